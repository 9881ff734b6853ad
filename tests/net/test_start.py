"""A new process and the list that it was handed: who has left since gets nothing, whatever discovery does."""

import json
import socket

import pytest

from pulleyroute.__main__ import build
from pulleyroute.net.config import load_config
from pulleyroute.net.handover import Handover
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.list_freshness import START_PATIENCE, ListFreshness, Standing
from tests.net.scene import INFO, MS, READY, SECOND, TAKEN, Listener, Peer, Scene, StillLoop, callback
from tests.net.test_discovery import CHUNKS, chunk

STEP = 20 * MS
READY_WITHIN = 10 * SECOND  # the protocol's time for a restarted process


class Start:
    """A new process; in the list of its configuration `s-0` is ready, which has left since."""

    def __init__(self, tmp_path, mode="on_request", dispatchers=1, away=False):
        self.loop = StillLoop()
        self.instances = {name: Listener(self.loop) for name in ("s-0", "s-1")}
        self.discovery = Listener(self.loop)
        if away:
            self.discovery.sock.close()
        path = tmp_path / "config.json"
        info = {**INFO, "membership-mode": mode, "balancers": dispatchers}
        known = self.table(s_0="active", s_1="active", revision=1)
        config = {"name": "n", "listen": "127.0.0.1:18080", "seed": "5", "settings": info, "known": known}
        path.write_text(json.dumps({**config, "discovery": "{}:{}".format(*self.discovery.address)}))
        loaded = load_config({"PROXY_CONFIG": str(path)})
        loaded.listen = ("127.0.0.1", 0)
        self.began = self.loop.time
        self.parts = build(loaded, self.loop)
        self.clients, self.open, self.count = [], [], 0
        self.calls = []  # to discovery, not answered

    def table(self, revision, complete=True, **phases):
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
        """A request; its connection, with its id."""
        self.count += 1
        peer = self.client(
            f"POST /read HTTP/1.1\r\nHost: x\r\nX-Txn: t{self.count}\r\nX-Remaining-Ms: 4000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        self.clients.append(peer)
        return f"t{self.count}", peer

    def step(self):
        """Time passes, and the instances serve what has come to them."""
        self.loop.skip(STEP)
        for name, listener in self.instances.items():
            while not listener.untouched_now():
                self.open.append((name, listener.accept()))
        for name, peer in self.open:
            head, mark, rest = peer.pull().partition(b"\r\n\r\n")
            if mark:
                peer.data = rest
                txn = head.partition(b"X-Txn: ")[2].partition(b"\r\n")[0].decode()
                peer.send(TAKEN)
                word = {"id": txn, "from": name, "state": "done", "result": "r"}
                call = self.client(callback(json.dumps(word).encode()))
                assert b" 204 " in call.message()[0]
                call.close()

    def come(self):
        """The next call to discovery that has come, or None."""
        return None if self.discovery.untouched_now() else self.discovery.accept()

    def called(self):
        """The first call to discovery, once it has come."""
        while (peer := self.come()) is None:
            self.step()
        return peer

    def tell(self, peer):
        """Discovery answers: of the two only `s-1` is there."""
        peer.message()
        table = self.table(revision=2, s_0="left", s_1="active", complete=False)
        peer.send(CHUNKS + chunk(json.dumps(table).encode() + b"\n"))
        self.loop.settle()

    def back(self):
        self.discovery = Listener(self.loop, self.discovery.address)

    def untouched(self):
        """Whether the instance that has left has seen nobody."""
        return not any(name == "s-0" for name, _ in self.open)

    def end(self):
        self.parts.discovery.watch(False)
        for peer in self.clients:
            peer.close()
        self.loop.settle()
        self.parts.clients.listener.close()
        assert not self.loop.errors


@pytest.fixture
def start(tmp_path):
    made = []

    def begin(**more):
        made.append(Start(tmp_path, **more))
        return made[-1]

    yield begin
    for each in made:
        each.end()


def at_once(scene, now):
    if (peer := scene.come()) is not None:
        scene.tell(peer)


def late_by_two_seconds(scene, now):
    if (peer := scene.come()) is not None:
        scene.calls.append((now, peer))
    for came, peer in scene.calls:
        if now - came >= 2 * SECOND:
            scene.tell(peer)
    scene.calls = [each for each in scene.calls if now - each[0] < 2 * SECOND]


def away_for_five_seconds(scene, now):
    if now >= 5 * SECOND:
        if scene.discovery.sock.fileno() < 0:
            scene.back()
        at_once(scene, now)


def refusing_at_first(scene, now):
    if now >= 4 * SECOND:
        at_once(scene, now)
    elif (peer := scene.come()) is not None:
        peer.message()
        peer.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")


def reset_at_first(scene, now):
    if now >= 4 * SECOND:
        at_once(scene, now)
    elif (peer := scene.come()) is not None:
        peer.close()


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    "discovery", [at_once, late_by_two_seconds, away_for_five_seconds, refusing_at_first, reset_at_first]
)
def test_nothing_is_sent_to_who_left_before_the_start(start, discovery, mode):
    # Failure: a restarted process sent requests by its configuration's list until discovery had answered.
    scene = start(mode=mode, away=discovery is away_for_five_seconds)
    asked = 0
    while (now := scene.loop.time - scene.began) < 8 * SECOND:
        if now >= asked * 200 * MS:
            scene.ask()
            asked += 1
        discovery(scene, now)
        scene.step()
        assert scene.untouched()
    assert scene.parts.discovery.freshness.standing is Standing.CONFIRMED and scene.ready()
    served, refused = 0, 0
    for peer in scene.clients[: asked - 5]:
        head = peer.message()[0]
        served += b" 200 " in head
        refused += b" 503 " in head and b"retry-after" in head.lower()
    assert served + refused == asked - 5
    assert served >= 10  # those that came in time for the list, and all since
    assert scene.parts.host.faults == 0


def test_what_waits_for_the_list_is_served_by_it(start):
    scene = start()
    _, client = scene.ask()
    for _ in range(10):
        scene.step()
    assert not scene.ready() and not client.pull()
    scene.tell(scene.called())
    assert scene.ready()
    scene.loop.until(lambda: scene.step() or client.pull())
    assert b" 200 " in client.message()[0] and scene.untouched()


@pytest.mark.parametrize("way", ["refuses", "hangs", "breaks off"])
@pytest.mark.parametrize("dispatchers", [1, 200])
def test_where_discovery_is_away_for_good_the_list_of_the_configuration_serves(start, way, dispatchers):
    scene = start(away=way == "refuses", dispatchers=dispatchers)
    while not scene.parts.clients.lifecycle.ready:
        if way == "breaks off" and (peer := scene.come()) is not None:
            peer.close()
        scene.step()
        assert scene.loop.time - scene.began <= READY_WITHIN
    assert scene.loop.time - scene.began >= START_PATIENCE - SECOND
    assert scene.parts.discovery.freshness.standing is Standing.ASSUMED
    for _ in range(4):
        _, client = scene.ask()
        scene.loop.until(lambda client=client: scene.step() or client.pull())
        assert b" 200 " in client.message()[0]
    assert not scene.untouched()  # nobody knows better


def test_a_client_that_goes_while_its_request_waits_for_the_list_is_not_sent_on(start):
    scene = start()
    _, client = scene.ask()
    scene.loop.until(lambda: scene.parts.host.open == 1)
    client.close()
    scene.loop.until(lambda: not scene.parts.host.open)
    scene.tell(scene.called())
    for _ in range(20):
        scene.step()
    assert not scene.open and not scene.parts.host.held


def test_a_request_whose_class_a_reload_changes_while_it_waits_may_come_again(start):
    scene = start()
    _, client = scene.ask()
    scene.loop.until(lambda: scene.parts.host.open == 1)
    settings = scene.parts.clients.settings
    scene.parts.adopt(type(settings)(**{**vars_of(settings), "classes": list(reversed(settings.classes))}))
    scene.tell(scene.called())
    assert b" 503 " in client.message()[0] and not scene.open


def vars_of(settings):
    return {name: getattr(settings, name) for name in settings.__dataclass_fields__}


def test_a_drain_while_the_list_is_waited_for_does_not_make_the_process_ready(start):
    scene = start()
    scene.parts.standby()
    scene.parts.active()
    assert scene.parts.phase is Phase.STARTING and not scene.ready()
    scene.parts.standby()
    scene.tell(scene.called())
    assert scene.parts.phase is Phase.STANDBY and not scene.ready()
    scene.parts.active()
    assert scene.ready()


def test_the_list_of_the_process_before_is_used_only_if_that_might_and_nothing_newer_is_known():
    for usable, revision, want in ((True, 2, True), (False, 2, False), (None, 2, False), (True, 1, False)):
        scene = Scene(instances=2)
        scene.discovery.begin()
        scene.discovery.list.take(scene.table("s-0", "s-1", revision=2), cached=False)
        scene.discovery.freshness.confirm()
        handover = Handover(scene.loop, "/nowhere", scene.clients, scene.host, scene.discovery, None)
        handover._state_complete = True
        link = type("Link", (), {"shift": 0, "close": lambda self, why: None})()
        state = {"list": scene.table("s-0", "s-1", revision=revision), "usable": usable}
        handover._apply_state(link, [{"phase": "serving"}, state])
        assert scene.discovery.freshness.usable is want
        # In either case discovery is asked at once.
        assert b"?watch=1&from=%d " % revision in scene.discovery_peer.accept().message()[0]
        scene.discovery.watch(False)


def test_a_lists_standing_moves_only_as_the_table_says():
    freshness, called = ListFreshness(), []
    freshness.replace()
    freshness.confirm()
    assert freshness.usable and freshness.standing is Standing.GIVEN
    freshness.begin(100, 0.0)
    assert not freshness.usable and not freshness.call_failed(100 + START_PATIENCE - 1)
    freshness.when_usable(lambda: called.append(1))
    assert freshness.next_call(100 + 2 * START_PATIENCE) == 100 + START_PATIENCE
    assert not called and freshness.call_failed(100 + START_PATIENCE) and called == [1]
    assert freshness.standing is Standing.ASSUMED and not freshness.call_failed(200 + START_PATIENCE)
    assert freshness.next_call(300 + START_PATIENCE) == 300 + START_PATIENCE
    freshness.confirm()
    freshness.when_usable(lambda: called.append(2))
    assert called == [1, 2] and freshness.standing is Standing.CONFIRMED
    freshness.replace()
    assert not freshness.usable
