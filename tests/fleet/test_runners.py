"""Which runners may be drained, when a drain is confirmed, and how it reaches the decisions."""

import pytest

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import Heartbeat, Registration
from pulleyroute.fleet.records import RunnerDrain, Snapshot
from pulleyroute.fleet.runners import Runner, RunnerBounds, refusal, unconfirmed
from pulleyroute.interface import Entry, ListKind, WorkerList, WorkerState
from pulleyroute.service.withheld import WithheldInstances


def runners(leaving=()):
    return [Runner(f"r{i}", f"h{i % 2}", "old" if i < 2 else "new", f"r{i}" not in leaving) for i in range(4)]


@pytest.mark.parametrize(
    ("bounds", "leaving", "drained", "reason"),
    [
        (RunnerBounds(pool=CountOrShare(count=1)), (), set(), None),
        (RunnerBounds(pool=CountOrShare(count=1)), ("r3",), set(), "runners out in the pool: 1; limit: 1"),
        (RunnerBounds(pool=CountOrShare(share=0.5)), ("r3",), {"r2"}, "runners out in the pool: 2; limit: 2"),
        (RunnerBounds(hall=CountOrShare(count=1)), ("r2",), set(), "runners out in hall h0: 1; limit: 1"),
        (RunnerBounds(hall=CountOrShare(count=1)), ("r3",), set(), None),
        (RunnerBounds(kind=CountOrShare(count=1)), (), {"r1"}, "runners out in kind old: 1; limit: 1"),
        (
            RunnerBounds(),
            ("r1", "r2"),
            {"r3"},
            "r0 is the last runner that accepts work: no class of the pool could be served",
        ),
        (
            RunnerBounds(pool=CountOrShare(count=0)),
            ("r0",),
            set(),
            None,
        ),  # leaving already by discovery
    ],
)
def test_limits_count_runners_that_are_leaving_by_discovery_and_drained_ones(
    bounds, leaving, drained, reason
):
    assert refusal("r0", runners(leaving), drained, bounds) == reason


def test_an_unknown_runner_is_refused():
    assert refusal("r9", runners(), set(), RunnerBounds()) == "r9 is not in the list of discovery"


def test_a_drain_is_confirmed_by_the_processes_that_are_registered_now():
    snapshot = Snapshot({"a": Registration("a", 2, "", "")}, {}, {"a": Heartbeat("a", 2, "serving")})
    snapshot.runner_drains["p", "r"] = RunnerDrain("m1")
    assert unconfirmed(snapshot, "p", "r") == ["a"]
    for ack, waits in (((2, "m1"), []), ((1, "m1"), ["a"]), ((2, "m0"), ["a"])):
        snapshot.acks["p", "r", "a"] = ack
        assert unconfirmed(snapshot, "p", "r") == waits
    snapshot.acks["p", "r", "a"] = 2, "m1"
    snapshot.heartbeats.clear()  # cut off after its acknowledgement
    assert unconfirmed(snapshot, "p", "r") == ["a"]


def test_a_withheld_runner_is_draining_for_the_decisions_and_returns_with_the_state_of_discovery():
    lists = []
    withheld = WithheldInstances(lists.append)
    one, two = (Entry(name, WorkerState.READY, started=7) for name in (b"one", b"two"))
    withheld.on_list_update(WorkerList(1, ListKind.FULL, [one, two]))
    withheld.withhold(frozenset([b"one"]))
    assert [entry.state for entry in lists[-1].entries] == [WorkerState.DRAINING, WorkerState.READY]
    # FULL or DELTA would state that a broken watch on discovery works again.
    assert lists[-1].kind is ListKind.CACHED
    withheld.on_list_update(WorkerList(2, ListKind.DELTA, [one]))
    assert lists[-1].entries[0].state is WorkerState.DRAINING
    withheld.on_list_update(WorkerList(3, ListKind.DELTA, [Entry(b"one", WorkerState.GONE)]))
    assert lists[-1].entries[0].state is WorkerState.GONE
    withheld.on_list_update(WorkerList(4, ListKind.DELTA, [one]))
    withheld.withhold(frozenset())
    assert lists[-1].entries == [one, two]
    count = len(lists)
    withheld.withhold(frozenset())
    assert len(lists) == count
