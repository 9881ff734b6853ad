"""Fleets of real processes under scheduled faults.

The checker finds no violation in the program, and finds one in each mutant, in which one safeguard is
disabled. All runs take place side by side, each in a process of its own, once for all tests.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import pytest

from pulleyroute.lab.fleet.campaign import run_schedule
from pulleyroute.lab.fleet.schedule import (
    AWAIT_OUT,
    AWAIT_RESTARTS,
    ONCE_DRAINED,
    ONCE_OUT,
    STORE_GATHER,
    FleetSpec,
    Operation,
    Schedule,
    draw_drains,
)

SECOND = 1_000_000
SPEC = FleetSpec(members=5, runners=2, duration=9 * SECOND, rate=20.0)
# The store delays each request for a permit until it has received all five, so that no member knows of
# another's permit.
ALL_AT_ONCE = Schedule(
    1,
    replace(SPEC, lease=10 * SECOND),
    [
        Operation(SECOND // 2, STORE_GATHER),
        *(Operation(SECOND, "wish", member, 0, "standby") for member in range(5)),
        Operation(5 * SECOND, AWAIT_OUT, 2),
        Operation(5 * SECOND, AWAIT_OUT, 3, 4 * SECOND),
    ],
    retry_lost_calls=True,
)
# A member is stopped while it is out, for longer than its lease; then operators drain all others.
STALLED = Schedule(
    2,
    SPEC,
    [
        Operation(SECOND, "wish", 0, 0, "standby"),
        Operation(2 * SECOND, "stop", 0, 0, ONCE_OUT),
        *(Operation(9 * SECOND, "wish", member, 0, "standby") for member in range(1, 5)),
        Operation(9 * SECOND, AWAIT_OUT, 2),
        Operation(9 * SECOND, AWAIT_OUT, 3, 8 * SECOND),
        Operation(9 * SECOND, "go-on", 0),
    ],
    retry_lost_calls=True,
)
RESTARTS = Schedule(
    3,
    SPEC,
    [
        *(Operation(SECOND, "wish", member, 0, "restart") for member in range(5)),
        Operation(2 * SECOND, "store-kill", -1, SECOND),
        Operation(4 * SECOND, "kill", 2),
        Operation(5 * SECOND, "store-cut", 3, 3 * SECOND, "down"),
        Operation(9 * SECOND, AWAIT_RESTARTS, 4),
    ],
    retry_lost_calls=True,
)
# Two runners are drained one after the other, while jobs run for a mean of four seconds.
RUNNER_DRAINS = Schedule(
    4,
    FleetSpec(members=4, runners=3, duration=10 * SECOND, rate=2.5, mean_job_ms=4000, give_up=60 * SECOND),
    [
        Operation(2 * SECOND, "box-drain", 0),
        Operation(7 * SECOND, "box-undrain", 0, 0, ONCE_DRAINED),
        Operation(7 * SECOND, "box-drain", 1),
        Operation(9 * SECOND, "box-undrain", 1, 0, ONCE_DRAINED),
    ],
    retry_lost_calls=True,
)
# Releases of a version whose jobs fail and of a good one. The leader is stopped for longer than its lease,
# and in the second run also killed.
BAD_VERSION = Schedule(
    5,
    SPEC,
    [Operation(SECOND, "release", -1, 0, "v2-errs"), Operation(4 * SECOND, "stop-leader", -1, 5 * SECOND)],
)
GOOD_VERSION = Schedule(
    6,
    replace(SPEC, wave_timeout=60 * SECOND),
    [
        Operation(SECOND, "release", -1, 0, "v2"),
        Operation(4 * SECOND, "kill-leader"),
        Operation(12 * SECOND, "stop-leader", -1, 5 * SECOND),
    ],
)
MUTANT = """
import sys
import pulleyroute.fleet.agent as agent
import pulleyroute.fleet.drains as drains
import pulleyroute.service.assembly as assembly
{mutant}
from pulleyroute.cli import main
sys.exit(main())
"""
MUTANTS = {
    # A member takes a permit although another one has changed the count since it was read.
    "race on a permit": (
        ALL_AT_ONCE,
        """
agent.compare_unchanged = lambda item: {
    "key": "YQ==", "target": "VERSION", "version": "-1", "result": "GREATER"
}
""",
    ),
    # The end of a lease frees the permit of the member.
    "permit of an ended lease": (
        STALLED,
        """
def picture(seats, words, permits, whole=drains.member_statuses):
    return whole([seat for seat in seats if seat.name in words], words, permits)
drains.member_statuses = picture
drains.Bounds.unregistered = lambda self, known: 0
""",
    ),
    # A member counts as out only if it holds a permit, so a crashed one does not count.
    "crashed members not counted": (
        STALLED,
        """
from pulleyroute.fleet.members import MemberStatus
def picture(seats, words, permits):
    return {seat.name: MemberStatus.PERMITTED if seat.name in permits and seat.name in words
            else MemberStatus.SERVING for seat in seats}
drains.member_statuses = picture
drains.serving_members = lambda known: sorted(known.heartbeats)
""",
    ),
    # A member reports a runner as drained before its last job there has ended.
    "early drain report": (
        RUNNER_DRAINS,
        """
assembly.Service.busy = lambda self, pool, runner: False
""",
    ),
    # Members still send jobs to a drained runner.
    "drain ignored": (
        RUNNER_DRAINS,
        """
assembly.Service.withhold = lambda self, marked: None
assembly.Service.busy = lambda self, pool, runner: False
""",
    ),
}


def mutant_run(name):
    """Return the schedule of a mutant and the command that starts the dispatchers with it."""
    schedule, mutant = MUTANTS[name]
    return schedule, [sys.executable, "-c", MUTANT.format(mutant=mutant), "serve"]


@pytest.fixture(scope="module")
def outcomes():
    """Return the outcomes of all runs by name."""
    arguments = {
        "seed 3": (draw_drains(3),),
        "seed 4": (draw_drains(4),),
        "all at once": (ALL_AT_ONCE,),
        "stalled": (STALLED,),
        "restarts": (RESTARTS,),
        "runner drains": (RUNNER_DRAINS,),
        "bad version": (BAD_VERSION,),
        "good version": (GOOD_VERSION,),
        **{name: mutant_run(name) for name in MUTANTS},
    }
    with ProcessPoolExecutor(4, get_context("spawn")) as pool:
        futures = {name: pool.submit(run_schedule, *each) for name, each in arguments.items()}
        return {name: future.result() for name, future in futures.items()}


@pytest.mark.parametrize(
    "name",
    [
        "seed 3",
        "seed 4",
        "all at once",
        "stalled",
        "restarts",
        "runner drains",
        "bad version",
        "good version",
    ],
)
def test_no_violation_under_faults(outcomes, name):
    assert outcomes[name].broken == []
    assert outcomes[name].endings["served"] > 0


def test_a_bad_version_is_taken_back_and_a_good_one_reaches_all_members(outcomes):
    assert outcomes["bad version"].ended == "v2-errs back" and outcomes["good version"].ended == "v2 done"


def test_runners_drained_one_after_the_other_are_reported_as_drained(outcomes):
    assert outcomes["runner drains"].drained == 2


def test_members_go_out_up_to_the_limit_and_all_requested_restarts_take_place(outcomes):
    assert outcomes["all at once"].most_out == 2
    assert outcomes["restarts"].out >= 5 - 1  # one was killed, perhaps during its planned outage


@pytest.mark.parametrize("name", MUTANTS)
def test_the_checker_reports_each_mutant(outcomes, name):
    text = "reported as drained" if MUTANTS[name][0] is RUNNER_DRAINS else "whose limit is"
    assert any(text in line for line in outcomes[name].broken)
