"""The store's client and a stand-in for etcd that loses answers, dies, sends nothing or is killed."""

import os
import signal
import subprocess
import sys
import time

import pytest

from pulleyroute.emulator.store import Server
from pulleyroute.fleet.store import (
    Client,
    Compacted,
    Item,
    StoreRejected,
    StoreUnavailable,
    compare_created,
    lease_from_grant,
)
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.loop import Loop
from tests.net.scene import SECOND, ManualClockLoop

FOREVER = 1 << 62


class StoreScene:
    """A client and stand-ins for the store on a loop whose clock advances only while a coroutine waits."""

    def __init__(self, tmp_path=None, servers=1):
        self.loop = ManualClockLoop()
        self.log = tmp_path / "log" if tmp_path else None
        self.servers = [Server(self.loop, log=self.log) for _ in range(servers)]
        self.client = self.new_client()

    def new_client(self, seed=1):
        return Client(self.loop, BufferPool(), [server.address for server in self.servers], seed)

    def run(self, coroutine):
        """Return or raise what the coroutine does; the clock advances while it waits."""
        return drive(self.loop, coroutine, lambda: self.loop.skip(10_000))

    def close(self):
        for server in self.servers:
            server.close()


def drive(loop, coroutine, pause):
    """Run a coroutine to its end and return or raise what it does; `pause` is called between turns."""
    results = []

    def body():
        try:
            results.append((True, (yield from coroutine)))
        except Exception as exc:
            results.append((False, exc))

    loop.spawn(body(), "test")
    end = time.monotonic() + 60
    while not results:
        assert time.monotonic() < end, "the coroutine did not end in time"
        for _ in range(5):
            loop.turn(0.001)
        pause()
    succeeded, value = results[0]
    if not succeeded:
        raise value
    return value


@pytest.fixture
def scene(tmp_path):
    scene = StoreScene(tmp_path)
    yield scene
    scene.close()


def put(scene, key, value, item=None, **more):
    return scene.run(scene.client.commit(item or Item(key), value, scene.loop.now() + 5 * SECOND, **more))


def test_what_is_committed_is_read_with_its_revisions(scene):
    assert put(scene, b"k", b"one") is None
    revision, (item,) = scene.run(scene.client.range(b"k"))
    assert (item.value, item.mod_revision, item.create_revision, revision) == (b"one", 2, 2, 2)
    assert put(scene, b"k", b"two", item) is None
    current = put(scene, b"k", b"three", item)  # `item` has the revision before
    assert (current.value, current.create_revision, current.mod_revision) == (b"two", 2, 3)


@pytest.mark.parametrize("lost_answers", [1, 2])
def test_a_commit_whose_answer_was_lost_is_settled_and_takes_effect_once(scene, lost_answers):
    scene.servers[0].faults.lose_answers = lost_answers
    assert put(scene, b"permit", b"mine") is None
    assert scene.servers[0].store.revision == 2 and scene.client.calls > 1
    assert put(scene, b"permit", b"other").value == b"mine"


def test_a_lost_answer_may_have_been_applied_and_a_call_to_a_dead_store_was_not(scene):
    scene.servers[0].faults.lose_answers = 1
    with pytest.raises(StoreUnavailable) as error:
        scene.run(scene.client.commit(Item(b"k"), b"v", scene.loop.now()))
    assert error.value.maybe_applied
    scene.servers[0].close()
    with pytest.raises(StoreUnavailable) as error:
        scene.run(scene.new_client().commit(Item(b"j"), b"v", scene.loop.now()))
    assert not error.value.maybe_applied
    scene.servers.clear()


def test_a_write_that_compares_an_election_key_changes_nothing_once_another_leads(scene):
    lease = scene.run(scene.client.grant(5))
    put(scene, b"leader", b"old", lease=lease.id)
    mine = scene.run(scene.client.range(b"leader"))[1][0]
    scene.run(scene.client.revoke(lease))
    put(scene, b"leader", b"new")
    late = put(scene, b"plan", b"late", compares=[compare_created(b"leader", mine.create_revision)])
    assert late == Item(b"plan") and scene.run(scene.client.range(b"plan"))[1] == []


def test_an_endpoint_that_is_dead_or_has_no_leader_gives_way_to_the_next():
    scene = StoreScene(servers=3)
    scene.servers.pop(0).close()
    scene.servers[0].faults.leaderless = True
    assert put(scene, b"k", b"v") is None
    assert scene.servers[1].store.range(b"k")[0].value == b"v"
    scene.close()


def test_transactions_under_a_prefix_are_held_until_so_many_keys_are_requested(scene):
    scene.servers[0].faults.gather, scene.servers[0].faults.gather_under = 2, "permit/"
    assert put(scene, b"k", b"v") is None
    with pytest.raises(StoreUnavailable) as error:
        scene.run(scene.client.commit(Item(b"permit/1"), b"a", scene.loop.now()))
    assert error.value.maybe_applied and scene.servers[0].store.range(b"permit/1") == []
    assert put(scene, b"permit/2", b"b") is None
    scene.loop.skip(SECOND)
    assert scene.servers[0].store.range(b"permit/1")[0].value == b"a"


def test_a_call_to_a_slow_store_times_out(scene):
    scene.servers[0].faults.slow = 3 * SECOND
    before = scene.loop.now()
    with pytest.raises(StoreUnavailable) as error:
        scene.run(scene.client.range(b"k"))
    assert error.value.maybe_applied and scene.loop.now() - before <= 1.2 * SECOND


def test_a_lease_is_counted_from_before_its_request_and_ends_before_the_stores(scene):
    # Failure: counted from the arrival of a slow answer, it would be relied on after its end in the store.
    scene.servers[0].faults.slow = SECOND // 2
    requested_at = scene.loop.now()
    lease = scene.run(scene.client.grant(2))
    assert lease.expires_at <= requested_at + 2 * SECOND < scene.servers[0].store.leases[lease.id].until
    scene.servers[0].faults.slow = 0
    extended = scene.run(scene.client.extend(lease))
    end = extended.expires_at
    assert end > lease.expires_at and extended.is_valid(end - 1) and not extended.is_valid(end)
    scene.loop.skip(3 * SECOND)
    assert scene.run(scene.client.extend(lease)) is None  # the store has deleted it
    assert lease_from_grant(7, 10, 0).expires_at < 10 * SECOND


def test_a_watch_reports_changes_expired_keys_and_a_compacted_start(scene):
    changes = []
    lease = scene.run(scene.client.grant(2))
    watch = scene.client.watch(b"a", b"b", 1, lambda items, at: changes.extend(items), 9 * SECOND)
    task = scene.loop.spawn(watch, "watch")
    put(scene, b"a1", b"v", lease=lease.id)
    put(scene, b"z", b"outside")
    scene.loop.skip(SECOND)
    scene.loop.settle()
    assert [(item.key, item.value) for item in changes] == [(b"a1", b"v")]
    scene.loop.skip(3 * SECOND)
    scene.loop.settle()
    assert [(item.key, item.value) for item in changes] == [(b"a1", b"v"), (b"a1", None)]
    task.cancel()
    scene.servers[0].store.compact(3)
    with pytest.raises(Compacted) as error:
        scene.run(scene.client.watch(b"a", b"b", 2, lambda items, at: None, 9 * SECOND))
    assert error.value.revision == 3


def test_a_watch_that_sends_nothing_is_reported_as_unavailable(scene):
    scene.servers[0].faults.silent_watches = True
    with pytest.raises(StoreUnavailable):
        scene.run(scene.client.watch(b"a", b"b", 0, lambda items, at: None, 2 * SECOND))


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/v3/kv/txn", {"compare": [{"target": "MOOD"}]}),
        ("/v3/kv/txn", {"success": [{"request_fly": {}}]}),
        ("/v3/kv/put", {"key": "?"}),
        ("/v3/kv/put", {}),
        ("/v3/lease/grant", {"TTL": "-1"}),
        ("/v3/none", {}),
        ("/v3/kv/range", {"key": "aw==", "revision": "99"}),
        ("/v3/kv/txn", {"success": [1]}),
    ],
)
def test_bad_calls_are_rejected_with_a_reason_and_change_nothing(scene, path, body):
    with pytest.raises(StoreRejected):
        scene.run(scene.client.call(path, body))
    assert scene.servers[0].store.revision == 1 and not scene.loop.errors


def test_a_full_disk_confirms_no_write_and_loses_none_that_was_confirmed(scene, monkeypatch):
    put(scene, b"k", b"before")

    def full(fd):
        raise OSError("no space left")

    monkeypatch.setattr("pulleyroute.emulator.store.os.fsync", full)
    with pytest.raises(StoreUnavailable) as error:
        scene.run(scene.client.commit(Item(b"j"), b"v", scene.loop.now() + SECOND))
    assert error.value.maybe_applied
    monkeypatch.undo()
    scene.servers.pop().close()
    scene.servers.append(Server(scene.loop, log=scene.log))
    assert scene.run(scene.new_client().range(b"k"))[1][0].value == b"before"


def start_store(log, *more):
    command = [sys.executable, "-m", "pulleyroute.cli", "emulate", "store", "127.0.0.1:0", "--log", str(log)]
    process = subprocess.Popen([*command, *more], stdout=subprocess.PIPE, text=True)
    host, port = process.stdout.readline().strip().split(":")
    return process, (host, int(port))


@pytest.mark.parametrize("leases", ["extend", "end"])
def test_a_store_that_is_killed_comes_back_with_all_that_it_answered(tmp_path, leases):
    loop = Loop(lambda name, exc: None)
    log = tmp_path / "log"
    process, address = start_store(log)
    client = Client(loop, BufferPool(), [address], 1)

    def run(coroutine):
        return drive(loop, coroutine, lambda: None)

    try:
        held = run(client.grant(60))
        for name in (b"a", b"b", b"c"):
            lease = held.id if name == b"b" else 0
            assert run(client.commit(Item(name), name, FOREVER, lease=lease)) is None
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    with open(log, "ab") as torn:
        torn.write(b'{"path":"/v3/kv/put","bo')  # a record that the kill cut off was never answered
    process, address = start_store(log, "--leases", leases)
    client = Client(loop, BufferPool(), [address], 2)
    try:
        revision, items = run(client.range(b"a", b"z"))
        values = {"extend": [b"a", b"b", b"c"], "end": [b"a", b"c"]}[leases]
        assert [item.value for item in items] == values and revision == {"extend": 4, "end": 5}[leases]
        assert run(client.commit(Item(b"d"), b"d", FOREVER)) is None
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
    assert os.path.getsize(log) > 0
