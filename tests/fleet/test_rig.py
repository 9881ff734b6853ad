"""Real processes, hurt by schedule; and guards taken out one at a time, each of which the judge has to see.

All runs are played side by side, each in a process of its own, once for all tests.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import pytest

from pulleyroute.lab.fleet.campaign import play
from pulleyroute.lab.fleet.schedule import (
    AWAIT_OUT,
    AWAIT_RESTARTS,
    GATHER,
    ONCE_DRAINED,
    ONCE_OUT,
    Deed,
    Schedule,
    Shape,
    draw,
)

S = 1_000_000
SHAPE = Shape(members=5, runners=2, length=9 * S, rate=20.0)
# The store holds each request for a permit until all five are there: nobody has heard of another's permit.
ALL_AT_ONCE = Schedule(
    1,
    replace(SHAPE, lease=10 * S),
    [
        Deed(S // 2, GATHER),
        *(Deed(S, "wish", who, 0, "standby") for who in range(5)),
        Deed(5 * S, AWAIT_OUT, 2),
        Deed(5 * S, AWAIT_OUT, 3, 4 * S),
    ],
    insists=True,
)
# One stands still while it is out, for longer than its lease; then all others are wanted out.
STALLED = Schedule(
    2,
    SHAPE,
    [
        Deed(S, "wish", 0, 0, "standby"),
        Deed(2 * S, "stop", 0, 0, ONCE_OUT),
        *(Deed(9 * S, "wish", who, 0, "standby") for who in range(1, 5)),
        Deed(9 * S, AWAIT_OUT, 2),
        Deed(9 * S, AWAIT_OUT, 3, 8 * S),
        Deed(9 * S, "go-on", 0),
    ],
    insists=True,
)
RELEASE = Schedule(
    3,
    SHAPE,
    [
        *(Deed(S, "wish", who, 0, "restart") for who in range(5)),
        Deed(2 * S, "store-kill", -1, S),
        Deed(4 * S, "kill", 2),
        Deed(5 * S, "store-cut", 3, 3 * S, "down"),
        Deed(9 * S, AWAIT_RESTARTS, 4),
    ],
    insists=True,
)
# Jobs of four seconds on the mean, on runners of which one after the other is drained.
BOXES = Schedule(
    4,
    Shape(members=4, runners=3, length=10 * S, rate=2.5, mean_ms=4000, give_up=60 * S),
    [
        Deed(2 * S, "box-drain", 0),
        Deed(7 * S, "box-undrain", 0, 0, ONCE_DRAINED),
        Deed(7 * S, "box-drain", 1),
        Deed(9 * S, "box-undrain", 1, 0, ONCE_DRAINED),
    ],
    insists=True,
)
# A version that errs, and a good one; the leader is stopped past its lease and woken, and killed.
BAD_VERSION = Schedule(
    5, SHAPE, [Deed(S, "release", -1, 0, "v2-errs"), Deed(4 * S, "stop-leader", -1, 5 * S)]
)
GOOD_VERSION = Schedule(
    6,
    replace(SHAPE, patience=60 * S),
    [Deed(S, "release", -1, 0, "v2"), Deed(4 * S, "kill-leader"), Deed(12 * S, "stop-leader", -1, 5 * S)],
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
    # The count of a permit is not held against a race.
    "race": (
        ALL_AT_ONCE,
        """
agent.compare_unchanged = lambda item: {
    "key": "YQ==", "target": "VERSION", "version": "-1", "result": "GREATER"
}
""",
    ),
    # The end of a lease frees its holder's permit.
    "lapse": (
        STALLED,
        """
def picture(seats, words, permits, whole=drains.member_statuses):
    return whole([seat for seat in seats if seat.name in words], words, permits)
drains.member_statuses = picture
drains.Bounds.unregistered = lambda self, known: 0
""",
    ),
    # Only those on a permit count as out: a crashed one does not.
    "drained only": (
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
    # A member says that it has nothing at a runner before its last job has ended there.
    "hasty": (
        BOXES,
        """
assembly.Service.busy = lambda self, pool, runner: False
""",
    ),
    # A drained runner is given work all the same.
    "deaf": (
        BOXES,
        """
assembly.Service.withhold = lambda self, marked: None
assembly.Service.busy = lambda self, pool, runner: False
""",
    ),
}


def mutated(name):
    schedule, mutant = MUTANTS[name]
    return schedule, [sys.executable, "-c", MUTANT.format(mutant=mutant), "serve"]


@pytest.fixture(scope="module")
def runs():
    jobs = {
        "seed 3": (draw(3),),
        "seed 4": (draw(4),),
        "all at once": (ALL_AT_ONCE,),
        "stalled": (STALLED,),
        "release": (RELEASE,),
        "boxes": (BOXES,),
        "bad version": (BAD_VERSION,),
        "good version": (GOOD_VERSION,),
        **{name: mutated(name) for name in MUTANTS},
    }
    with ProcessPoolExecutor(4, get_context("spawn")) as pool:
        going = {name: pool.submit(play, *job) for name, job in jobs.items()}
        return {name: each.result() for name, each in going.items()}


@pytest.mark.parametrize(
    "name", ["seed 3", "seed 4", "all at once", "stalled", "release", "boxes", "bad version", "good version"]
)
def test_no_promise_is_broken_whatever_is_hurt(runs, name):
    assert runs[name].broken == []
    assert runs[name].endings["served"] > 0


def test_a_bad_version_is_taken_back_and_a_good_one_reaches_everybody(runs):
    assert runs["bad version"].ended == "v2-errs back" and runs["good version"].ended == "v2 done"


def test_runners_are_drained_one_after_the_other_and_told_so(runs):
    assert runs["boxes"].drained == 2


def test_as_many_go_out_at_once_as_may_and_a_release_reaches_everybody(runs):
    assert runs["all at once"].most_out == 2
    assert runs["release"].out >= 5 - 1  # one was killed, perhaps while it was on its way out


@pytest.mark.parametrize("name", MUTANTS)
def test_the_judge_sees_each_guard_that_is_taken_out(runs, name):
    said = "told as drained" if MUTANTS[name][0] is BOXES else "may be"
    assert any(said in line for line in runs[name].broken)
