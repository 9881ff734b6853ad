"""Tests a list pushed by an agent: it is watched from the start, and its updates reach the decision logic.

The drain rule below: a leaving instance gets no new work after the time that the protocol allows for the
update.
"""

import json

import pytest

from pulleyroute.__main__ import build, reload
from pulleyroute.interface import ListKind
from pulleyroute.net.config import load_config
from pulleyroute.net.handover import Handover, handover_socket_path
from tests.net.scene import INFO, MS, SECOND, Listener, Scene
from tests.net.test_discovery import CHUNKED_HEAD, chunk

PUSHED = {**INFO, "membership-mode": "pushed", "obligations": {**INFO["obligations"], "drain-grace": 500000}}
GRACE = 500 * MS


class Agent:
    """A scripted agent of one dispatcher, which records the updates reported to the decision logic."""

    def __init__(self, info=PUSHED):
        self.scene = Scene(instances=2, info=info)
        self.reported = []
        on_update = self.scene.discovery.on_update
        self.scene.discovery.on_update = lambda update: (self.reported.append(update.kind), on_update(update))
        self.scene.discovery.begin()
        self.loop, self.listener = self.scene.loop, self.scene.discovery_peer

    def accept_watch(self, since):
        """Accept the next watch, which has to start from version `since`."""
        peer = self.listener.accept()
        assert b"GET /api/targets?watch=1&from=%d " % since in peer.message()[0]
        peer.send(CHUNKED_HEAD)
        return peer

    def line(self, *names, **more):
        """Return a watch line with a list of the named instances, as an HTTP chunk."""
        return chunk(json.dumps(self.scene.table(*names, **more)).encode() + b"\n")

    def ready(self):
        """Return the instances that the decision logic may use, sorted."""
        return sorted(w.id for w in self.scene.host._dispatcher.ready)


def test_a_pushed_list_is_watched_from_the_start_and_applied():
    # The decision logic never requests a pushed list. If the process did not open the watch itself, a drain
    # would go unnoticed.
    agent = Agent()
    peer = agent.accept_watch(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    assert not agent.scene.discovery.active(b"s-0")


def test_a_requested_list_is_watched_from_the_start_spread_by_the_fleets_size():
    # Otherwise all processes would call one discovery at once, and each would depend on the slow pace at
    # which the decision logic requests the list.
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
    assert not agent.listener.untouched()  # an agent serves one process only: no spread


def test_a_watch_that_ends_is_reopened_at_once_from_its_last_version():
    agent = Agent()
    peer = agent.accept_watch(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.reported)
    agent.loop.skip(SECOND)
    peer.close()
    peer = agent.accept_watch(2)  # no time has passed
    peer.send(agent.line("s-0", complete=False, revision=3))
    agent.loop.until(lambda: agent.ready() == [b"s-0", b"s-1"])
    assert agent.reported == [ListKind.DELTA, ListKind.FAILED, ListKind.DELTA]


def test_an_agent_that_is_down_is_called_with_growing_pauses_within_half_the_grace():
    # Without pauses the calls would load the agent's machine; with long ones the drain rule would be broken.
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
    assert agent.reported == [ListKind.FAILED]  # reported once


def test_silence_and_its_end_are_reported_to_the_decision_logic():
    agent = Agent()
    agent.accept_watch(1)
    agent.loop.settle()
    agent.loop.skip(3 * SECOND)
    assert agent.reported == [ListKind.FAILED] and not agent.scene.host._dispatcher.subscribed
    peer = agent.accept_watch(1)  # the next call reaches the agent while it is silent
    peer.send(chunk(b"\n"))  # the agent answers again, and nothing has changed
    agent.loop.until(lambda: len(agent.reported) == 2)
    assert agent.reported[1] is ListKind.DELTA and agent.scene.host._dispatcher.subscribed
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
def test_unreadable_data_changes_nothing_and_is_reported_once(bad, logged):
    agent = Agent()
    peer = agent.accept_watch(1)
    agent.loop.skip(SECOND)
    peer.send(chunk(bad))
    peer.close()
    peer = agent.accept_watch(1)
    peer.send(chunk(bad))
    peer.close()
    agent.loop.settle()
    agent.loop.skip(SECOND)
    peer = agent.accept_watch(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    assert len([line for line in logged if "watch failed" in line]) == 1


def test_older_versions_are_ignored_until_it_is_clear_that_versions_have_restarted(logged):
    # An agent that restarts from saved data would reactivate instances that are leaving, against the drain
    # rule.
    agent = Agent()
    peer = agent.accept_watch(1)
    peer.send(agent.line("s-0", phase="leaving", complete=False, revision=8))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    for _ in range(3):
        peer.send(agent.line("s-0", "s-1", revision=5))
        agent.loop.settle()
        agent.loop.skip(SECOND)
    assert agent.ready() == [b"s-1"]
    assert len([line for line in logged if "ignoring version" in line]) == 1
    for _ in range(2):
        peer.send(chunk(b"\n"))
        agent.loop.settle()
        agent.loop.skip(1500 * MS)
    peer.send(agent.line("s-0", "s-1", revision=6))
    full_list = agent.listener.accept()
    assert full_list.message()[0].startswith(b"GET /api/targets HTTP")
    body = json.dumps(agent.scene.table("s-0", "s-1", revision=6)).encode()
    full_list.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    agent.accept_watch(6)
    assert agent.ready() == [b"s-0", b"s-1"]


def test_an_older_list_can_only_mark_instances_as_leaving():
    # The drain rule counts a departure as delivered once it is written, also after versions have restarted.
    agent = Agent()
    table = agent.scene.table("s-0", "s-1", revision=8)
    table["members"][1]["up_since_ms"] = 5
    agent.accept_watch(1).send(
        chunk(json.dumps(table).encode() + b"\n") + agent.line("s-0", "s-1", phase="leaving", revision=2)
    )
    # The older entry of s-1 does not apply, because s-1 has been restarted since.
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    agent.loop.settle()
    assert agent.scene.discovery.version == 8 and agent.ready() == [b"s-1"]


def test_a_change_of_address_or_of_the_membership_mode_keeps_the_watch_open():
    agent = Agent()
    agent.accept_watch(1)
    new = Listener(agent.loop)
    agent.scene.discovery.set_address(new.address)
    full_list = new.accept()
    assert full_list.message()[0].startswith(b"GET /api/targets HTTP")
    body = json.dumps(agent.scene.table("s-1", revision=1)).encode()
    full_list.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert b"?watch=1&from=1 " in new.accept().message()[0]
    other = Agent(info=INFO)
    other.loop.skip(100 * MS)
    peer = other.accept_watch(1)
    other.scene.parts.adopt(agent.scene.settings)  # the list is pushed from now on
    peer.send(other.line("s-0", phase="leaving", complete=False, revision=2))
    other.loop.until(lambda: other.ready() == [b"s-1"])


def test_a_list_received_in_a_hand_over_is_watched_from_its_own_version():
    # The old process's list may be older than what the new process's watch has delivered already; a watch
    # that went on from there would leave out the changes in between, against the drain rule.
    agent = Agent()
    agent.accept_watch(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
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
    agent.accept_watch(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])


def test_the_program_opens_the_watch_itself(tmp_path, monkeypatch):
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
    peer.send(
        CHUNKED_HEAD + chunk(json.dumps(scene.table("s-0", phase="leaving", revision=2)).encode() + b"\n")
    )
    scene.loop.until(lambda: not parts.discovery.active(b"s-0"))
    config["settings"] = {**PUSHED, "membership-mode": "on_request"}
    path.write_text(json.dumps(config))
    reload(parts)
    assert parts.discovery.member(b"s-0").entry["phase"] == "leaving"
    peer.send(chunk(json.dumps(scene.table("s-0", revision=3)).encode() + b"\n"))  # the watch goes on
    scene.loop.until(lambda: parts.discovery.active(b"s-0"))
    parts.discovery.watch(False)
    parts.clients.listener.close()
