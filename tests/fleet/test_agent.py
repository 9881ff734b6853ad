"""Agents, each of which is a process of its own to the store, on a store that fails in many ways."""

import json

import pytest

from pulleyroute.emulator.store import Server
from pulleyroute.fleet.agent import Agent, MemberSettings
from pulleyroute.fleet.drains import Bounds, CountOrShare
from pulleyroute.fleet.operate import OperationRefused, Operator
from pulleyroute.fleet.runners import Runner, RunnerBounds
from pulleyroute.fleet.store import Client, Item
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.lifecycle import Phase
from tests.fleet.test_store import drive
from tests.net.scene import SECOND, ManualClockLoop


class Service:
    """A service that serves, and records the versions that it was to restart with."""

    def __init__(self):
        self.phase, self.versions, self.agent = Phase.SERVING, [], None
        self.withheld, self.busy_at, self.job_counts = set(), set(), (95, 100)

    def standby(self):
        self.phase = Phase.STANDBY
        self.agent.on_phase_change()

    def active(self):
        self.phase = Phase.SERVING
        self.agent.on_phase_change()

    def leave(self, version):
        self.phase = Phase.ENDING
        self.versions.append(version)
        self.agent.on_phase_change()

    def runners(self, pool):
        return [Runner(f"r{i}", f"h{i % 2}", "k", True) for i in range(4)] if pool == "p" else None

    def withhold(self, drained):
        self.withheld = set(drained)

    def jobs(self):
        return self.job_counts

    def busy(self, pool, runner):
        return (pool, runner) in self.busy_at


class Fleet:
    """Agents on one loop with a manual clock, their store and an operator."""

    def __init__(self, tmp_path, **bounds):
        self.loop, self.log = ManualClockLoop(), tmp_path / "log"
        self.server = Server(self.loop, log=self.log)
        self.bounds = Bounds(**{"fleet": CountOrShare(count=1), "least_serving": 1, **bounds})
        self.services, self.agents, self.seed = {}, {}, 0
        client = Client(self.loop, BufferPool(), [self.server.address], 1)
        self.operator = Operator(self.loop, client, "g", "ann", 1)

    def join(self, name, zone="z", version="v1"):
        self.seed += 1
        service = Service()
        place = MemberSettings(
            "g", name, zone, "r", version, 5, self.bounds, RunnerBounds(pool=CountOrShare(count=1))
        )
        service.agent = Agent(self.loop, BufferPool(), [self.server.address], place, service, self.seed)
        self.services[name], self.agents[name] = service, service.agent
        service.agent.start()
        return service

    def skip(self, seconds=1.0):
        for _ in range(int(seconds * 50)):
            self.loop.skip(20_000)
            for _ in range(3):
                self.loop.turn(0.0003)

    def until(self, condition, seconds=30):
        for _ in range(int(seconds * 20)):
            if condition():
                return
            self.skip(0.05)
        raise AssertionError("the condition was not met in time")

    def do(self, coroutine):
        return drive(self.loop, coroutine, lambda: self.loop.skip(10_000))

    def out(self):
        return sorted(name for name, each in self.services.items() if each.phase is not Phase.SERVING)

    def rows(self):
        return {row["name"]: row for row in self.do(self.operator.members())}

    def restart_store(self, empty=False):
        """Kill the store and start it again, without its data if `empty`."""
        address = self.server.address
        self.server.close()
        if empty:
            self.log.unlink()
        self.server = Server(self.loop, address, self.log)


def together(fleet, *names):
    for name in names:
        fleet.join(name)
    fleet.until(lambda: sum(1 for row in fleet.rows().values() if not row["out"]) == len(names))


def test_twelve_that_request_a_permit_at_once_leave_one_at_a_time_and_all_in_the_end(fleet):
    names = [f"d{i}" for i in range(12)]
    together(fleet, *names)
    for name in names:
        fleet.do(fleet.operator.drain(name, "restart", "release", "v2"))
    restarted, most_out = set(), 0
    for _ in range(4000):
        fleet.skip(0.02)
        out = fleet.out()
        most_out = max(most_out, len(out))
        for name in out:  # the platform restarts it
            restarted.add(name)
            assert fleet.services[name].versions == ["v2"]
            fleet.agents[name]._task.cancel()
            fleet.join(name)
        if len(restarted) == 12:
            break
    assert most_out == 1 and len(restarted) == 12
    fleet.until(lambda: not any(row["permit"] or row["wish"] for row in fleet.rows().values()))
    entries = [event.what for event in fleet.do(fleet.operator.history())]
    assert entries.count("out") == entries.count("back") == 12


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
def test_a_permit_whose_answer_was_lost_is_granted_once_and_returned(fleet, lost_answers):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.server.faults.lose_answers = lost_answers
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.skip(3)
    assert fleet.out() == ["a"]
    fleet.do(fleet.operator.undrain("a", ""))
    fleet.until(lambda: fleet.out() == ["b"])


def test_a_member_that_crashed_while_out_keeps_its_permit_until_an_operator_forgets_it(fleet):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.agents["a"]._task.cancel()
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.skip(12)  # its lease has expired
    assert fleet.rows()["a"]["standing"] == "on a permit" and fleet.services["b"].phase is Phase.SERVING
    with pytest.raises(OperationRefused, match="c is running"):
        fleet.do(fleet.operator.forget("c", ""))
    fleet.do(fleet.operator.forget("a", "the machine burnt"))
    fleet.until(lambda: "b" in fleet.out())


def test_a_silent_member_counts_as_out(fleet):
    together(fleet, "a", "b", "c")
    fleet.agents["a"]._task.cancel()
    fleet.skip(12)
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.skip(3)
    assert fleet.out() == [] and fleet.rows()["a"]["standing"] == "silent"


def test_without_the_store_no_member_leaves_service_and_requests_continue_after_its_return(fleet):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.do(fleet.operator.undrain("a", ""))
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.server.faults.leaderless = True
    fleet.skip(30)
    assert fleet.out() in (["a"], [])  # a has returned if it was notified in time; b stays
    fleet.server.faults.leaderless = False
    fleet.until(lambda: fleet.out() == ["b"])


@pytest.mark.parametrize("empty", [False, True])
def test_the_limits_hold_after_the_store_was_killed(tmp_path, empty):
    fleet = Fleet(tmp_path, size=3)
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.restart_store(empty)
    if empty:  # the request is lost: a returns to service by itself and registers again
        fleet.until(lambda: fleet.out() == [] and len(fleet.rows()) == 3)
    else:
        fleet.until(lambda: sum(1 for row in fleet.rows().values() if not row["out"]) == 2)
        assert fleet.out() == ["a"]
    fleet.server.close()


def test_members_that_have_not_registered_again_in_an_empty_store_count(tmp_path):
    fleet = Fleet(tmp_path, size=3)
    together(fleet, "a", "b", "c")
    fleet.agents["c"]._task.cancel()
    fleet.restart_store(empty=True)
    fleet.until(lambda: len(fleet.rows()) == 2)
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.skip(3)
    assert fleet.out() == []
    fleet.server.close()


def test_the_older_of_two_processes_of_one_name_continues_to_serve_and_changes_nothing(fleet):
    together(fleet, "a", "b", "c")
    old = fleet.services["a"]
    new = fleet.join("a")
    fleet.until(lambda: fleet.rows()["a"]["incarnation"] == 2 and not fleet.rows()["a"]["out"])
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: new.phase is Phase.STANDBY)
    fleet.skip(2)
    assert old.phase is Phase.SERVING and fleet.rows()["a"]["phase"] == "standby"


def test_a_process_that_was_stalled_reads_the_store_before_it_leaves_service(fleet):
    # Failure: the process left service on a permit that an operator had removed meanwhile, and that another
    # member could have got since.
    together(fleet, "a", "b", "c")
    agent = fleet.agents["a"]
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: "a" in agent.snapshot.permits or fleet.out())
    if not fleet.out():
        agent._read_requested_at -= 60 * SECOND
        assert not agent._may_leave_service()
    fleet.until(lambda: fleet.out() == ["a"])
    agent._lease = None
    assert not agent._may_leave_service()


def test_a_watch_without_messages_is_noticed_and_all_records_are_read_again(fleet):
    together(fleet, "a", "b")
    fleet.server.faults.silent_watches = True
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"], 40)


def test_a_store_that_ends_every_watch_is_read_with_pauses(fleet, monkeypatch):
    together(fleet, "a")
    monkeypatch.setattr(Server, "_serve_watch", lambda self, stream, data: iter(()))
    for stream in list(fleet.server._streams):
        stream.close()
    before = fleet.agents["a"].client.calls
    fleet.skip(10)
    assert fleet.agents["a"].client.calls - before < 60


def test_updates_from_the_watch_during_a_read_are_kept(fleet):
    # Failure: an answer older than the watch's updates overwrote them for 10 s; 50 members that started
    # together took as long to learn of each other.
    together(fleet, "a")
    agent = fleet.agents["a"]
    real_range, revision = agent.client.range, agent._read_revision
    newer = Item(agent._keys.of("word", "b"), b"{}", revision + 5, revision + 5, 1)
    older = Item(agent._keys.of("word", "c"), b"{}", revision, revision, 1)

    def range_after_update(start, end):
        agent._on_update([newer, older], revision + 5)
        return (yield from real_range(start, end))

    agent.client.range = range_after_update
    drive(fleet.loop, agent._read_all(), lambda: fleet.loop.skip(10_000))
    assert agent._mirror[newer.key] == newer and older.key not in agent._mirror
    agent.client.range = real_range
    drive(fleet.loop, agent._read_all(), lambda: fleet.loop.skip(10_000))
    assert newer.key not in agent._mirror  # the store does not have it


def test_a_compacted_store_is_read_again(fleet):
    together(fleet, "a", "b")
    fleet.server.faults.silent_watches = True
    for _ in range(3):
        fleet.do(fleet.operator.drain("a", "standby", ""))
        fleet.do(fleet.operator.undrain("a", ""))
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.server.store.compact(fleet.server.store.revision)
    fleet.server.faults.silent_watches = False
    fleet.until(lambda: fleet.out() == ["b"], 40)


def runner_states(fleet):
    return {row["name"]: (row["state"], row["waits"]) for row in fleet.do(fleet.operator.runners())}


def test_runners_are_drained_one_at_a_time_each_once_all_members_have_acknowledged(fleet):
    together(fleet, "a", "b")
    fleet.services["b"].busy_at = {("p", "r1")}
    fleet.do(fleet.operator.drain_runner("p", "r1", "disk"))
    fleet.do(fleet.operator.drain_runner("p", "r2", ""))
    fleet.until(lambda: runner_states(fleet)["r1"] == ("draining", ["b"]))
    assert fleet.services["a"].withheld == fleet.services["b"].withheld == {("p", "r1")}
    fleet.services["b"].busy_at.clear()
    fleet.until(lambda: runner_states(fleet)["r1"] == ("drained", []))
    assert runner_states(fleet)["r2"][0] == "wanted"
    fleet.do(fleet.operator.undrain_runner("p", "r1", ""))
    fleet.until(lambda: runner_states(fleet) == {"r2": ("drained", [])})
    assert fleet.services["a"].withheld == {("p", "r2")}
    with pytest.raises(OperationRefused, match="no drain of r1 of pool p is requested"):
        fleet.do(fleet.operator.undrain_runner("p", "r1", ""))


def test_a_silent_member_keeps_a_runners_drain_unconfirmed(fleet):
    together(fleet, "a", "b")
    fleet.do(fleet.operator.drain_runner("p", "r1", ""))
    fleet.until(lambda: runner_states(fleet)["r1"][0] == "drained")
    fleet.agents["b"]._task.cancel()
    fleet.until(lambda: runner_states(fleet)["r1"] == ("draining", ["b"]))
    fleet.join("b")
    fleet.until(lambda: runner_states(fleet)["r1"] == ("drained", []))


def test_at_rest_a_member_calls_the_store_less_than_once_a_second(fleet):
    together(fleet, "a", "b", "c")
    before = {name: agent.client.calls for name, agent in fleet.agents.items()}
    fleet.skip(20)
    assert all(agent.client.calls - before[name] < 20 for name, agent in fleet.agents.items())


def test_faults_are_set_over_the_stores_own_listener(fleet):
    assert (
        fleet.server._set_faults(json.dumps({"slow": 5}).encode())[0] == 200 and fleet.server.faults.slow == 5
    )
    assert fleet.server._set_faults(b'{"wrong": 1}')[0] == 400
