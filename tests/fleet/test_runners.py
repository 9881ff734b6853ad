"""Which runners may be drained, and how the decisions hear of it."""

import pytest

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import Heartbeat, Registration
from pulleyroute.fleet.records import RunnerDrain, Snapshot
from pulleyroute.fleet.runners import Runner, RunnerBounds, refusal, unconfirmed
from pulleyroute.interface import Entry, ListKind, WorkerList, WorkerState
from pulleyroute.service.withheld import Withheld


def boxes(leaving=()):
    return [Runner(f"r{i}", f"h{i % 2}", "old" if i < 2 else "new", f"r{i}" not in leaving) for i in range(4)]


@pytest.mark.parametrize(
    ("bounds", "leaving", "marked", "why"),
    [
        (RunnerBounds(pool=CountOrShare(count=1)), (), set(), None),
        (RunnerBounds(pool=CountOrShare(count=1)), ("r3",), set(), "1 of the pool are out, and 1 may be"),
        (RunnerBounds(pool=CountOrShare(share=0.5)), ("r3",), {"r2"}, "2 of the pool are out, and 2 may be"),
        (RunnerBounds(hall=CountOrShare(count=1)), ("r2",), set(), "1 of hall h0 are out, and 1 may be"),
        (RunnerBounds(hall=CountOrShare(count=1)), ("r3",), set(), None),
        (RunnerBounds(kind=CountOrShare(count=1)), (), {"r1"}, "1 of kind old are out, and 1 may be"),
        (
            RunnerBounds(),
            ("r1", "r2"),
            {"r3"},
            "r0 is the last one that takes work: every class of the pool would be stranded",
        ),
        (RunnerBounds(pool=CountOrShare(count=0)), ("r0",), set(), None),  # discovery says so already
    ],
)
def test_limits_count_what_discovery_says_and_what_is_marked(bounds, leaving, marked, why):
    assert refusal("r0", boxes(leaving), marked, bounds) == why


def test_a_runner_that_nobody_knows_is_refused():
    assert refusal("r9", boxes(), set(), RunnerBounds()) == "r9 is not in the list"


def test_a_drain_is_confirmed_by_the_processes_that_there_are_now():
    snapshot = Snapshot({"a": Registration("a", 2, "", "")}, {}, {"a": Heartbeat("a", 2, "serving")})
    snapshot.runner_drains["p", "r"] = RunnerDrain("m1")
    assert unconfirmed(snapshot, "p", "r") == ["a"]
    for ack, waits in (((2, "m1"), []), ((1, "m1"), ["a"]), ((2, "m0"), ["a"])):
        snapshot.acks["p", "r", "a"] = ack
        assert unconfirmed(snapshot, "p", "r") == waits
    snapshot.acks["p", "r", "a"] = 2, "m1"
    snapshot.heartbeats.clear()  # cut off after it had said so
    assert unconfirmed(snapshot, "p", "r") == ["a"]


def test_what_is_withheld_leaves_for_the_decisions_alone_and_comes_back_as_discovery_has_it():
    told = []
    withheld = Withheld(told.append)
    one, two = (Entry(name, WorkerState.READY, started=7) for name in (b"one", b"two"))
    withheld.hear(WorkerList(1, ListKind.FULL, [one, two]))
    withheld.set(frozenset([b"one"]))
    assert [entry.state for entry in told[-1].entries] == [WorkerState.DRAINING, WorkerState.READY]
    assert told[-1].kind is ListKind.CACHED  # or a broken watch on discovery would be taken for whole again
    withheld.hear(WorkerList(2, ListKind.DELTA, [one]))
    assert told[-1].entries[0].state is WorkerState.DRAINING
    withheld.hear(WorkerList(3, ListKind.DELTA, [Entry(b"one", WorkerState.GONE)]))
    assert told[-1].entries[0].state is WorkerState.GONE
    withheld.hear(WorkerList(4, ListKind.DELTA, [one]))
    withheld.set(frozenset())
    assert told[-1].entries == [one, two]
    count = len(told)
    withheld.set(frozenset())
    assert len(told) == count
