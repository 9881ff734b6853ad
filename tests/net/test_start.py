"""Tests a new process with a list from its configuration: instances that have left since get no requests."""

import json
import socket

import pytest

from pulleyroute.__main__ import build
from pulleyroute.net.config import load_config
from pulleyroute.net.handover import Handover
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.list_freshness import START_TIMEOUT, ListFreshness, ListStatus
from tests.net.scene import INFO, MS, READY, SECOND, TAKEN, Listener, ManualClockLoop, Peer, Scene, callback
from tests.net.test_discovery import CHUNKED_HEAD, chunk

STEP = 20 * MS
READY_WITHIN = 10 * SECOND  # the protocol's time limit for a restarted process


class NewProcess:
    """A new process whose configuration lists `s-0` as ready, although `s-0` has left since."""

    def __init__(self, tmp_path, mode="on_request", dispatchers=1, discovery_down=False):
        self.loop = ManualClockLoop()
        self.instances = {name: Listener(self.loop) for name in ("s-0", "s-1")}
        self.discovery = Listener(self.loop)
        if discovery_down:
            self.discovery.sock.close()
        path = tmp_path / "config.json"
        info = {**INFO, "membership-mode": mode, "balancers": dispatchers}
        known = self.table(s_0="active", s_1="active", revision=1)
        config = {"name": "n", "listen": "127.0.0.1:18080", "seed": "5", "settings": info, "known": known}
        path.write_text(json.dumps({**config, "discovery": "{}:{}".format(*self.discovery.address)}))
        loaded = load_config({"PROXY_CONFIG": str(path)})
        loaded.listen = ("127.0.0.1", 0)
        self.started_at = self.loop.time
        self.parts = build(loaded, self.loop)
        self.clients, self.connections, self.count = [], [], 0
        self.calls = []  # unanswered calls to discovery, with their times

    def table(self, revision, complete=True, **phases):
        """Return a list in discovery's form; the names of `phases` have `_` for the `-` of the instances."""
        members = [
            {
                "id": name.replace("_", "-"),
                "host_port": "{}:{}".format(*self.instances[name.replace("_", "-")].address),
                "phase": phase,
                "up_since_ms": 0,
            }
            for name, phase in phases.items()
        ]
        return {"revision": revision, "complete": complete, "members": members}

    def client(self, data):
        peer = Peer(self.loop, socket.create_connection(self.parts.clients.address))
        peer.send(data)
        return peer

    def ready(self):
        peer = self.client(READY)
        head, _ = peer.message()
        peer.close()
        return b" 200 " in head

    def ask(self):
        """Send a request; return its id and its connection."""
        self.count += 1
        peer = self.client(
            f"POST /read HTTP/1.1\r\nHost: x\r\nX-Txn: t{self.count}\r\nX-Remaining-Ms: 4000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        self.clients.append(peer)
        return f"t{self.count}", peer

    def step(self):
        """Advance the clock, and let the instances serve the requests that have arrived."""
        self.loop.skip(STEP)
        for name, listener in self.instances.items():
            while not listener.untouched_now():
                self.connections.append((name, listener.accept()))
        for name, peer in self.connections:
            head, mark, rest = peer.pull().partition(b"\r\n\r\n")
            if mark:
                peer.data = rest
                txn = head.partition(b"X-Txn: ")[2].partition(b"\r\n")[0].decode()
                peer.send(TAKEN)
                result = {"id": txn, "from": name, "state": "done", "result": "r"}
                callback_peer = self.client(callback(json.dumps(result).encode()))
                assert b" 204 " in callback_peer.message()[0]
                callback_peer.close()

    def next_call(self):
        """Return the next call that has arrived at discovery, or None."""
        return None if self.discovery.untouched_now() else self.discovery.accept()

    def wait_for_call(self):
        """Return the next call to discovery, once it has arrived."""
        while (peer := self.next_call()) is None:
            self.step()
        return peer

    def answer(self, peer):
        """Answer a call to discovery: of the two instances only `s-1` is still there."""
        peer.message()
        table = self.table(revision=2, s_0="left", s_1="active", complete=False)
        peer.send(CHUNKED_HEAD + chunk(json.dumps(table).encode() + b"\n"))
        self.loop.settle()

    def restart_discovery(self):
        self.discovery = Listener(self.loop, self.discovery.address)

    def departed_untouched(self):
        """Return whether the instance that has left has had no connection."""
        return not any(name == "s-0" for name, _ in self.connections)

    def end(self):
        self.parts.discovery.watch(False)
        for peer in self.clients:
            peer.close()
        self.loop.settle()
        self.parts.clients.listener.close()
        assert not self.loop.errors


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(**more):
        started.append(NewProcess(tmp_path, **more))
        return started[-1]

    yield begin
    for each in started:
        each.end()


def at_once(scene, now):
    if (peer := scene.next_call()) is not None:
        scene.answer(peer)


def late_by_two_seconds(scene, now):
    if (peer := scene.next_call()) is not None:
        scene.calls.append((now, peer))
    for called_at, peer in scene.calls:
        if now - called_at >= 2 * SECOND:
            scene.answer(peer)
    scene.calls = [call for call in scene.calls if now - call[0] < 2 * SECOND]


def down_for_five_seconds(scene, now):
    if now >= 5 * SECOND:
        if scene.discovery.sock.fileno() < 0:
            scene.restart_discovery()
        at_once(scene, now)


def rejecting_at_first(scene, now):
    if now >= 4 * SECOND:
        at_once(scene, now)
    elif (peer := scene.next_call()) is not None:
        peer.message()
        peer.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")


def reset_at_first(scene, now):
    if now >= 4 * SECOND:
        at_once(scene, now)
    elif (peer := scene.next_call()) is not None:
        peer.close()


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    "discovery", [at_once, late_by_two_seconds, down_for_five_seconds, rejecting_at_first, reset_at_first]
)
def test_nothing_is_sent_to_an_instance_that_left_before_the_start(start, discovery, mode):
    # Regression: a restarted process used its configuration's list until discovery answered.
    scene = start(mode=mode, discovery_down=discovery is down_for_five_seconds)
    sent = 0
    while (now := scene.loop.time - scene.started_at) < 8 * SECOND:
        if now >= sent * 200 * MS:
            scene.ask()
            sent += 1
        discovery(scene, now)
        scene.step()
        assert scene.departed_untouched()
    assert scene.parts.discovery.freshness.status is ListStatus.CONFIRMED and scene.ready()
    served, refused = 0, 0
    for peer in scene.clients[: sent - 5]:
        head = peer.message()[0]
        served += b" 200 " in head
        refused += b" 503 " in head and b"retry-after" in head.lower()
    assert served + refused == sent - 5
    assert served >= 10  # the requests that could wait for the list, and all later ones
    assert scene.parts.host.faults == 0


def test_requests_that_wait_for_the_list_are_served_according_to_it(start):
    scene = start()
    _, client = scene.ask()
    for _ in range(10):
        scene.step()
    assert not scene.ready() and not client.pull()
    scene.answer(scene.wait_for_call())
    assert scene.ready()
    scene.loop.until(lambda: scene.step() or client.pull())
    assert b" 200 " in client.message()[0] and scene.departed_untouched()


@pytest.mark.parametrize("failure", ["refuses", "hangs", "breaks off"])
@pytest.mark.parametrize("dispatchers", [1, 200])
def test_the_configurations_list_is_used_while_discovery_is_unreachable(start, failure, dispatchers):
    scene = start(discovery_down=failure == "refuses", dispatchers=dispatchers)
    while not scene.parts.clients.lifecycle.ready:
        if failure == "breaks off" and (peer := scene.next_call()) is not None:
            peer.close()
        scene.step()
        assert scene.loop.time - scene.started_at <= READY_WITHIN
    assert scene.loop.time - scene.started_at >= START_TIMEOUT - SECOND
    assert scene.parts.discovery.freshness.status is ListStatus.ASSUMED
    for _ in range(4):
        _, client = scene.ask()
        scene.loop.until(lambda client=client: scene.step() or client.pull())
        assert b" 200 " in client.message()[0]
    assert not scene.departed_untouched()  # the process cannot know that s-0 has left


def test_a_request_whose_client_disconnects_while_it_waits_for_the_list_is_not_sent(start):
    scene = start()
    _, client = scene.ask()
    scene.loop.until(lambda: scene.parts.host.open_requests == 1)
    client.close()
    scene.loop.until(lambda: not scene.parts.host.open_requests)
    scene.answer(scene.wait_for_call())
    for _ in range(20):
        scene.step()
    assert not scene.connections and not scene.parts.host.tracked_requests


def test_a_request_whose_class_a_reload_changes_while_it_waits_is_rejected_for_a_retry(start):
    scene = start()
    _, client = scene.ask()
    scene.loop.until(lambda: scene.parts.host.open_requests == 1)
    settings = scene.parts.clients.settings
    scene.parts.adopt(
        type(settings)(**{**field_values(settings), "classes": list(reversed(settings.classes))})
    )
    scene.answer(scene.wait_for_call())
    assert b" 503 " in client.message()[0] and not scene.connections


def field_values(settings):
    return {name: getattr(settings, name) for name in settings.__dataclass_fields__}


def test_a_drain_during_the_wait_for_the_list_does_not_make_the_process_ready(start):
    scene = start()
    scene.parts.standby()
    scene.parts.active()
    assert scene.parts.phase is Phase.STARTING and not scene.ready()
    scene.parts.standby()
    scene.answer(scene.wait_for_call())
    assert scene.parts.phase is Phase.STANDBY and not scene.ready()
    scene.parts.active()
    assert scene.ready()


def test_the_previous_processs_list_is_used_only_if_usable_there_and_not_older():
    for usable, revision, used in ((True, 2, True), (False, 2, False), (None, 2, False), (True, 1, False)):
        scene = Scene(instances=2)
        scene.discovery.begin()
        scene.discovery.list.apply(scene.table("s-0", "s-1", revision=2), cached=False)
        scene.discovery.freshness.confirm()
        handover = Handover(scene.loop, "/nowhere", scene.clients, scene.host, scene.discovery, None)
        handover._state_complete = True
        link = type("Link", (), {"shift": 0, "close": lambda self, why: None})()
        state = {"list": scene.table("s-0", "s-1", revision=revision), "usable": usable}
        handover._apply_state(link, [{"phase": "serving"}, state])
        assert scene.discovery.freshness.usable is used
        # Whether or not the list is used, the process calls discovery at once.
        assert b"?watch=1&from=%d " % revision in scene.discovery_peer.accept().message()[0]
        scene.discovery.watch(False)


def test_the_lists_status_changes_only_as_documented():
    freshness, notified = ListFreshness(), []
    freshness.replace()
    freshness.confirm()
    assert freshness.usable and freshness.status is ListStatus.GIVEN
    freshness.begin(100, 0.0)
    assert not freshness.usable and not freshness.call_failed(100 + START_TIMEOUT - 1)
    freshness.when_usable(lambda: notified.append(1))
    assert freshness.next_call(100 + 2 * START_TIMEOUT) == 100 + START_TIMEOUT
    assert not notified and freshness.call_failed(100 + START_TIMEOUT) and notified == [1]
    assert freshness.status is ListStatus.ASSUMED and not freshness.call_failed(200 + START_TIMEOUT)
    assert freshness.next_call(300 + START_TIMEOUT) == 300 + START_TIMEOUT
    freshness.confirm()
    freshness.when_usable(lambda: notified.append(2))
    assert notified == [1, 2] and freshness.status is ListStatus.CONFIRMED
    freshness.replace()
    assert not freshness.usable
