"""Agents, each a process of its own as far as the store can tell, on a store that fails in every way."""

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
    """Serves, and remembers what it was told."""

    def __init__(self):
        self.phase, self.told, self.agent = Phase.SERVING, [], None
        self.marked, self.out, self.served = set(), set(), (95, 100)

    def standby(self):
        self.phase = Phase.STANDBY
        self.agent.on_phase_change()

    def active(self):
        self.phase = Phase.SERVING
        self.agent.on_phase_change()

    def leave(self, version):
        self.phase = Phase.ENDING
        self.told.append(version)
        self.agent.on_phase_change()

    def runners(self, pool):
        return [Runner(f"r{i}", f"h{i % 2}", "k", True) for i in range(4)] if pool == "p" else None

    def withhold(self, marked):
        self.marked = set(marked)

    def jobs(self):
        return self.served

    def busy(self, pool, runner):
        return (pool, runner) in self.out


class Fleet:
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

    def until(self, so, seconds=30):
        for _ in range(int(seconds * 20)):
            if so():
                return
            self.skip(0.05)
        raise AssertionError("it did not come to be")

    def do(self, what):
        return drive(self.loop, what, lambda: self.loop.skip(10_000))

    def out(self):
        return sorted(name for name, each in self.services.items() if each.phase is not Phase.SERVING)

    def rows(self):
        return {row["name"]: row for row in self.do(self.operator.members())}

    def again(self, empty=False):
        """The store is killed and started anew."""
        port = self.server.address
        self.server.close()
        if empty:
            self.log.unlink()
        self.server = Server(self.loop, port, self.log)


def together(fleet, *names):
    for name in names:
        fleet.join(name)
    fleet.until(lambda: sum(1 for row in fleet.rows().values() if not row["out"]) == len(names))


def test_twelve_that_ask_at_the_same_moment_go_one_at_a_time_and_all_in_the_end(fleet):
    names = [f"d{i}" for i in range(12)]
    together(fleet, *names)
    for name in names:
        fleet.do(fleet.operator.drain(name, "restart", "release", "v2"))
    gone, most = set(), 0
    for _ in range(4000):
        fleet.skip(0.02)
        out = fleet.out()
        most = max(most, len(out))
        for name in out:  # the platform starts it again
            gone.add(name)
            assert fleet.services[name].told == ["v2"]
            fleet.agents[name]._task.cancel()
            fleet.join(name)
        if len(gone) == 12:
            break
    assert most == 1 and len(gone) == 12
    fleet.until(lambda: not any(row["permit"] or row["wish"] for row in fleet.rows().values()))
    whats = [event.what for event in fleet.do(fleet.operator.history())]
    assert whats.count("out") == whats.count("back") == 12


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_permit_whose_answer_was_lost_is_had_once_and_returned(fleet, lost):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.server.faults.lose_answers = lost
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.skip(3)
    assert fleet.out() == ["a"]
    fleet.do(fleet.operator.undrain("a", ""))
    fleet.until(lambda: fleet.out() == ["b"])


def test_who_crashed_while_out_keeps_its_permit_until_an_operator_says_it_is_gone(fleet):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.agents["a"]._task.cancel()
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.skip(12)  # its lease is over
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


def test_without_the_store_nobody_newly_goes_and_all_goes_on_at_its_return(fleet):
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.do(fleet.operator.undrain("a", ""))
    fleet.do(fleet.operator.drain("b", "standby", ""))
    fleet.server.faults.leaderless = True
    fleet.skip(30)
    assert fleet.out() in (["a"], [])  # back if it heard in time; b never
    fleet.server.faults.leaderless = False
    fleet.until(lambda: fleet.out() == ["b"])


@pytest.mark.parametrize("empty", [False, True])
def test_a_store_that_was_killed_loses_no_count(tmp_path, empty):
    fleet = Fleet(tmp_path, size=3)
    together(fleet, "a", "b", "c")
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"])
    fleet.again(empty)
    if empty:  # the wish is gone: it comes back by itself, and takes its seat anew
        fleet.until(lambda: fleet.out() == [] and len(fleet.rows()) == 3)
    else:
        fleet.until(lambda: sum(1 for row in fleet.rows().values() if not row["out"]) == 2)
        assert fleet.out() == ["a"]
    fleet.server.close()


def test_members_of_an_empty_store_that_are_not_back_yet_count(tmp_path):
    fleet = Fleet(tmp_path, size=3)
    together(fleet, "a", "b", "c")
    fleet.agents["c"]._task.cancel()
    fleet.again(empty=True)
    fleet.until(lambda: len(fleet.rows()) == 2)
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.skip(3)
    assert fleet.out() == []
    fleet.server.close()


def test_the_older_of_two_processes_of_one_name_serves_on_and_changes_nothing(fleet):
    together(fleet, "a", "b", "c")
    old = fleet.services["a"]
    new = fleet.join("a")
    fleet.until(lambda: fleet.rows()["a"]["incarnation"] == 2 and not fleet.rows()["a"]["out"])
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: new.phase is Phase.STANDBY)
    fleet.skip(2)
    assert old.phase is Phase.SERVING and fleet.rows()["a"]["phase"] == "standby"


def test_a_process_that_stood_still_reads_the_store_before_it_goes(fleet):
    # Guard: a permit that was forgotten meanwhile is another's by now.
    together(fleet, "a", "b", "c")
    agent = fleet.agents["a"]
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: "a" in agent.snapshot.permits or fleet.out())
    if not fleet.out():
        agent._fresh_at -= 60 * SECOND
        assert not agent._may_go()
    fleet.until(lambda: fleet.out() == ["a"])
    agent._lease = None
    assert not agent._may_go()


def test_a_watch_that_falls_silent_is_noticed_and_the_whole_read_anew(fleet):
    together(fleet, "a", "b")
    fleet.server.faults.silent_watches = True
    fleet.do(fleet.operator.drain("a", "standby", ""))
    fleet.until(lambda: fleet.out() == ["a"], 40)


def test_a_store_that_lets_no_watch_stand_is_not_read_without_end(fleet, monkeypatch):
    together(fleet, "a")
    monkeypatch.setattr(Server, "_watching", lambda self, stream, data: iter(()))
    for stream in list(fleet.server._streams):
        stream.close()
    before = fleet.agents["a"].client.calls
    fleet.skip(10)
    assert fleet.agents["a"].client.calls - before < 60


def test_what_the_watch_tells_while_the_whole_is_read_is_not_lost(fleet):
    # Failure: an answer older than the watch took back what that had told, for 10 s; 50 that started together
    # needed as long to know of each other.
    together(fleet, "a")
    agent = fleet.agents["a"]
    real, behind = agent.client.range, agent._read_at
    newer = Item(agent._keys.of("word", "b"), b"{}", behind + 5, behind + 5, 1)
    older = Item(agent._keys.of("word", "c"), b"{}", behind, behind, 1)

    def overtaken(start, end):
        agent._heard([newer, older], behind + 5)
        return (yield from real(start, end))

    agent.client.range = overtaken
    drive(fleet.loop, agent._read(), lambda: fleet.loop.skip(10_000))
    assert agent._mirror[newer.key] == newer and older.key not in agent._mirror
    agent.client.range = real
    drive(fleet.loop, agent._read(), lambda: fleet.loop.skip(10_000))
    assert newer.key not in agent._mirror  # the store does not have it


def test_a_compacted_store_is_read_anew(fleet):
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


def test_a_runner_is_drained_once_everybody_has_said_so_and_one_at_a_time(fleet):
    together(fleet, "a", "b")
    fleet.services["b"].out = {("p", "r1")}
    fleet.do(fleet.operator.drain_runner("p", "r1", "disk"))
    fleet.do(fleet.operator.drain_runner("p", "r2", ""))
    fleet.until(lambda: runner_states(fleet)["r1"] == ("draining", ["b"]))
    assert fleet.services["a"].marked == fleet.services["b"].marked == {("p", "r1")}
    fleet.services["b"].out.clear()
    fleet.until(lambda: runner_states(fleet)["r1"] == ("drained", []))
    assert runner_states(fleet)["r2"][0] == "wanted"
    fleet.do(fleet.operator.undrain_runner("p", "r1", ""))
    fleet.until(lambda: runner_states(fleet) == {"r2": ("drained", [])})
    assert fleet.services["a"].marked == {("p", "r2")}
    with pytest.raises(OperationRefused, match="no drain of r1 of pool p is requested"):
        fleet.do(fleet.operator.undrain_runner("p", "r1", ""))


def test_who_is_silent_keeps_a_runners_drain_unconfirmed(fleet):
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


def test_faults_are_told_over_the_stores_own_listener(fleet):
    assert fleet.server._told(json.dumps({"slow": 5}).encode())[0] == 200 and fleet.server.faults.slow == 5
    assert fleet.server._told(b'{"wrong": 1}')[0] == 400
