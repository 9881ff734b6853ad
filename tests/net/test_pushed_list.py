"""A list that an agent pushes: watched from the start, whatever ends the watch, and the rules hear of it."""

import json

import pytest

from pulleyroute.__main__ import build, reload
from pulleyroute.interface import ListKind
from pulleyroute.net.config import load_config
from pulleyroute.net.handover import Handover, handover_socket_path
from tests.net.scene import INFO, MS, SECOND, Listener, Scene
from tests.net.test_discovery import CHUNKS, chunk

PUSHED = {**INFO, "membership-mode": "pushed", "obligations": {**INFO["obligations"], "drain-grace": 500000}}
GRACE = 500 * MS


class Agent:
    """The agent beside one dispatcher, scripted; what the decisions are told is noted."""

    def __init__(self, info=PUSHED):
        self.scene = Scene(instances=2, info=info)
        self.told = []
        tell = self.scene.discovery.tell
        self.scene.discovery.tell = lambda news: (self.told.append(news.kind), tell(news))
        self.scene.discovery.begin()
        self.loop, self.listener = self.scene.loop, self.scene.discovery_peer

    def opened(self, since):
        peer = self.listener.accept()
        assert b"GET /api/targets?watch=1&from=%d " % since in peer.message()[0]
        peer.send(CHUNKS)
        return peer

    def line(self, *names, **more):
        return chunk(json.dumps(self.scene.table(*names, **more)).encode() + b"\n")

    def ready(self):
        return sorted(w.id for w in self.scene.host._dispatcher.ready)


def test_a_pushed_list_is_watched_from_the_start_and_binds():
    # Guards the drain rule: the decisions never ask for a pushed list, and nobody else opened the watch.
    agent = Agent()
    peer = agent.opened(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    assert not agent.scene.discovery.active(b"s-0")


def test_an_asked_list_is_watched_from_the_start_spread_by_the_fleets_size():
    # Guards one discovery against all processes at once, and each process against the decisions' slow pace.
    waits = []
    for _ in range(2):
        agent = Agent(info={**INFO, "balancers": 200})
        agent.scene.discovery._random.seed(len(waits))
        agent.scene.discovery.begin()
        start = agent.loop.time
        while agent.listener.untouched_now():
            agent.loop.skip(10 * MS)
        waits.append(agent.loop.time - start)
        assert waits[-1] <= 2 * SECOND
    assert waits[0] != waits[1]
    agent = Agent()
    assert not agent.listener.untouched()  # an agent serves one process alone: at once


def test_a_watch_that_ends_is_opened_anew_at_once_from_where_it_stood():
    agent = Agent()
    peer = agent.opened(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.told)
    agent.loop.skip(SECOND)
    peer.close()
    peer = agent.opened(2)  # with no time passed
    peer.send(agent.line("s-0", complete=False, revision=3))
    agent.loop.until(lambda: agent.ready() == [b"s-0", b"s-1"])
    assert agent.told == [ListKind.DELTA, ListKind.FAILED, ListKind.DELTA]


def test_an_agent_that_is_down_is_called_with_growing_pauses_within_half_the_grace():
    # Guards the agent's machine against a hot loop, and the drain rule against long pauses.
    agent = Agent()
    calls = []
    for _ in range(40):
        agent.listener.accept().close()
        calls.append(agent.loop.time)
        agent.loop.settle()
        while agent.listener.untouched_now():
            agent.loop.skip(10 * MS)
            assert agent.loop.time - calls[-1] <= GRACE / 2 + 10 * MS
    assert calls[-1] - calls[0] > 40 * GRACE / 8  # the mean of the draws is a quarter of the grace
    assert agent.told == [ListKind.FAILED]  # and told of once


def test_silence_is_told_to_the_decisions_and_so_is_its_end():
    agent = Agent()
    agent.opened(1)
    agent.loop.settle()
    agent.loop.skip(3 * SECOND)
    assert agent.told == [ListKind.FAILED] and not agent.scene.host._dispatcher.subscribed
    peer = agent.opened(1)  # a new call stands at the agent while it is silent
    peer.send(chunk(b"\n"))  # it speaks again, and nothing has changed
    agent.loop.until(lambda: len(agent.told) == 2)
    assert agent.told[1] is ListKind.DELTA and agent.scene.host._dispatcher.subscribed
    assert agent.ready() == [b"s-0", b"s-1"]


@pytest.mark.parametrize(
    "bad",
    [
        b"garbage\n",
        b"{}\n",
        b'{"revision":9,"complete":true,"members":[{}]}\n',
        b"[1]\n",
        b"7\n",
        b'{"revision":9,"complete":true,"mem',
    ],
)
def test_what_cannot_be_read_changes_nothing_and_is_told_of_once(bad, logged):
    agent = Agent()
    peer = agent.opened(1)
    agent.loop.skip(SECOND)
    peer.send(chunk(bad))
    peer.close()
    peer = agent.opened(1)
    peer.send(chunk(bad))
    peer.close()
    agent.loop.settle()
    agent.loop.skip(SECOND)
    peer = agent.opened(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    assert len([line for line in logged if "watch failed" in line]) == 1


def test_a_list_that_goes_back_is_passed_over_until_it_is_plain_that_versions_began_anew(logged):
    # Guards the drain rule: an agent that comes back with what it once saved.
    agent = Agent()
    peer = agent.opened(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=8))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    for _ in range(3):
        peer.send(agent.line("s-0", "s-1", revision=5))
        agent.loop.settle()
        agent.loop.skip(SECOND)
    assert agent.ready() == [b"s-1"]
    assert len([line for line in logged if "passed over" in line]) == 1
    for _ in range(2):
        peer.send(chunk(b"\n"))
        agent.loop.settle()
        agent.loop.skip(1500 * MS)
    peer.send(agent.line("s-0", "s-1", revision=6))
    whole = agent.listener.accept()
    assert whole.message()[0].startswith(b"GET /api/targets HTTP")
    body = json.dumps(agent.scene.table("s-0", "s-1", revision=6)).encode()
    whole.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    agent.opened(6)
    assert agent.ready() == [b"s-0", b"s-1"]


def test_who_leaves_by_an_older_list_leaves_and_nobody_comes_back_by_it():
    # Guards the drain rule: what is written counts as told, also where versions have begun anew.
    agent = Agent()
    table = agent.scene.table("s-0", "s-1", revision=8)
    table["members"][1]["up_since_ms"] = 5
    agent.opened(1).send(
        chunk(json.dumps(table).encode() + b"\n") + agent.line("s-0", "s-1", phase="leaving", revision=2)
    )
    agent.loop.until(lambda: agent.ready() == [b"s-1"])  # which has started since
    agent.loop.settle()
    assert agent.scene.discovery.version == 8 and agent.ready() == [b"s-1"]


def test_a_move_and_a_change_of_the_way_keep_the_list_open():
    agent = Agent()
    agent.opened(1)
    new = Listener(agent.loop)
    agent.scene.discovery.move(new.address)
    whole = new.accept()
    assert whole.message()[0].startswith(b"GET /api/targets HTTP")
    body = json.dumps(agent.scene.table("s-1", revision=1)).encode()
    whole.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert b"?watch=1&from=1 " in new.accept().message()[0]
    other = Agent(info=INFO)
    other.loop.skip(100 * MS)
    peer = other.opened(1)
    other.scene.parts.adopt(agent.scene.settings)  # pushed from now on
    peer.send(other.line("s-0", phase="leaving", complete=False, revision=2))
    other.loop.until(lambda: other.ready() == [b"s-1"])


def test_a_list_taken_over_at_an_upgrade_is_watched_from_its_own_version():
    # Guards the drain rule: the old process may know less than the new one's watch has told already.
    agent = Agent()
    agent.opened(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    handover = Handover(
        agent.loop,
        handover_socket_path("/nowhere", agent.listener.sock),
        agent.scene.clients,
        agent.scene.host,
        agent.scene.discovery,
        None,
    )
    handover._state_complete = True
    link = type("Link", (), {"shift": 0, "close": lambda self, why: None})()
    handover._apply_state(link, [{"phase": "serving"}, {"list": agent.scene.table("s-0", "s-1", revision=1)}])
    assert agent.ready() == [b"s-0", b"s-1"]
    agent.opened(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])


def test_the_program_itself_opens_the_watch(tmp_path, monkeypatch):
    scene = Scene()
    path = tmp_path / "config.json"
    config = {
        "name": "n",
        "listen": "127.0.0.1:18080",
        "seed": "ff",
        "settings": PUSHED,
        "discovery": "{}:{}".format(*scene.discovery_peer.address),
        "known": scene.table("s-0"),
    }
    path.write_text(json.dumps(config))
    monkeypatch.setenv("PROXY_CONFIG", str(path))
    loaded = load_config({"PROXY_CONFIG": str(path)})
    loaded.listen = ("127.0.0.1", 0)
    parts = build(loaded, scene.loop)
    peer = scene.discovery_peer.accept()
    assert b"?watch=1&from=1 " in peer.message()[0]
    peer.send(CHUNKS + chunk(json.dumps(scene.table("s-0", phase="leaving", revision=2)).encode() + b"\n"))
    scene.loop.until(lambda: not parts.discovery.active(b"s-0"))
    config["settings"] = {**PUSHED, "membership-mode": "on_request"}
    path.write_text(json.dumps(config))
    reload(parts)
    assert parts.discovery.member(b"s-0").entry["phase"] == "leaving"
    peer.send(chunk(json.dumps(scene.table("s-0", revision=3)).encode() + b"\n"))  # the watch goes on
    scene.loop.until(lambda: parts.discovery.active(b"s-0"))
    parts.discovery.watch(False)
    parts.clients.listener.close()
