"""The store's client against the stand-in: lost answers, dead endpoints, silence, a store that is killed."""

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
    """Coroutines on a loop whose clock stands still until a wait needs it to move."""

    def __init__(self, tmp_path=None, servers=1):
        self.loop = ManualClockLoop()
        self.log = tmp_path / "log" if tmp_path else None
        self.servers = [Server(self.loop, log=self.log) for _ in range(servers)]
        self.client = self.another()

    def another(self, seed=1):
        return Client(self.loop, BufferPool(), [server.address for server in self.servers], seed)

    def run(self, coroutine):
        """What it returns or raises; time moves on while it waits."""
        return drive(self.loop, coroutine, lambda: self.loop.skip(10_000))

    def close(self):
        for server in self.servers:
            server.close()


def drive(loop, coroutine, pause):
    ended = []

    def body():
        try:
            ended.append((True, (yield from coroutine)))
        except Exception as exc:
            ended.append((False, exc))

    loop.spawn(body(), "test")
    end = time.monotonic() + 60
    while not ended:
        assert time.monotonic() < end, "it did not come"
        for _ in range(5):
            loop.turn(0.001)
        pause()
    good, value = ended[0]
    if not good:
        raise value
    return value


@pytest.fixture
def play(tmp_path):
    played = StoreScene(tmp_path)
    yield played
    played.close()


def put(play, key, value, item=None, **more):
    return play.run(play.client.commit(item or Item(key), value, play.loop.now() + 5 * SECOND, **more))


def test_what_is_committed_is_read_with_its_revisions(play):
    assert put(play, b"k", b"one") is None
    revision, (item,) = play.run(play.client.range(b"k"))
    assert (item.value, item.mod_revision, item.create_revision, revision) == (b"one", 2, 2, 2)
    assert put(play, b"k", b"two", item) is None
    beaten = put(play, b"k", b"three", item)  # by the revision before
    assert (beaten.value, beaten.create_revision, beaten.mod_revision) == (b"two", 2, 3)


@pytest.mark.parametrize("lost", [1, 2])
def test_a_commit_whose_answer_was_lost_is_settled_and_takes_effect_once(play, lost):
    play.servers[0].faults.lose_answers = lost
    assert put(play, b"permit", b"mine") is None
    assert play.servers[0].store.revision == 2 and play.client.calls > 1
    assert put(play, b"permit", b"other").value == b"mine"


def test_a_lost_answer_is_told_as_such_where_no_time_is_left_and_a_dead_store_as_not_done(play):
    play.servers[0].faults.lose_answers = 1
    with pytest.raises(StoreUnavailable) as told:
        play.run(play.client.commit(Item(b"k"), b"v", play.loop.now()))
    assert told.value.maybe_applied
    play.servers[0].close()
    with pytest.raises(StoreUnavailable) as told:
        play.run(play.another().commit(Item(b"j"), b"v", play.loop.now()))
    assert not told.value.maybe_applied
    play.servers.clear()


def test_a_write_with_the_guard_of_an_election_key_changes_nothing_once_another_leads(play):
    held = play.run(play.client.grant(5))
    put(play, b"leader", b"old", lease=held.id)
    mine = play.run(play.client.range(b"leader"))[1][0]
    play.run(play.client.revoke(held))
    put(play, b"leader", b"new")
    late = put(play, b"plan", b"late", compares=[compare_created(b"leader", mine.create_revision)])
    assert late == Item(b"plan") and play.run(play.client.range(b"plan"))[1] == []


def test_an_endpoint_that_is_dead_or_has_no_leader_gives_way_to_the_next():
    play = StoreScene(servers=3)
    play.servers.pop(0).close()
    play.servers[0].faults.leaderless = True
    assert put(play, b"k", b"v") is None
    assert play.servers[1].store.range(b"k")[0].value == b"v"
    play.close()


def test_transactions_under_a_prefix_are_held_until_so_many_keys_are_asked_for(play):
    play.servers[0].faults.gather, play.servers[0].faults.gather_under = 2, "permit/"
    assert put(play, b"k", b"v") is None
    with pytest.raises(StoreUnavailable) as told:
        play.run(play.client.commit(Item(b"permit/1"), b"a", play.loop.now()))
    assert told.value.maybe_applied and play.servers[0].store.range(b"permit/1") == []
    assert put(play, b"permit/2", b"b") is None
    play.loop.skip(SECOND)
    assert play.servers[0].store.range(b"permit/1")[0].value == b"a"


def test_a_slow_store_is_given_up_in_time(play):
    play.servers[0].faults.slow = 3 * SECOND
    before = play.loop.now()
    with pytest.raises(StoreUnavailable) as told:
        play.run(play.client.range(b"k"))
    assert told.value.maybe_applied and play.loop.now() - before <= 1.2 * SECOND


def test_a_right_is_counted_from_before_it_was_asked_for_and_ends_before_the_stores_lease(play):
    # Guards against a slow answer: counted from it, the right would outlive the lease.
    play.servers[0].faults.slow = SECOND // 2
    asked = play.loop.now()
    held = play.run(play.client.grant(2))
    assert held.expires_at <= asked + 2 * SECOND < play.servers[0].store.leases[held.id].until
    play.servers[0].faults.slow = 0
    longer = play.run(play.client.extend(held))
    assert (
        longer.expires_at > held.expires_at
        and longer.is_valid(longer.expires_at - 1)
        and not longer.is_valid(longer.expires_at)
    )
    play.loop.skip(3 * SECOND)
    assert play.run(play.client.extend(held)) is None  # the store knows it no more
    assert lease_from_grant(7, 10, 0).expires_at < 10 * SECOND


def test_a_watch_tells_changes_and_what_lapses_and_a_compacted_start_is_told(play):
    told = []
    held = play.run(play.client.grant(2))
    watch = play.client.watch(b"a", b"b", 1, lambda items, at: told.extend(items), 9 * SECOND)
    task = play.loop.spawn(watch, "watch")
    put(play, b"a1", b"v", lease=held.id)
    put(play, b"z", b"outside")
    play.loop.skip(SECOND)
    play.loop.settle()
    assert [(item.key, item.value) for item in told] == [(b"a1", b"v")]
    play.loop.skip(3 * SECOND)
    play.loop.settle()
    assert [(item.key, item.value) for item in told] == [(b"a1", b"v"), (b"a1", None)]
    task.cancel()
    play.servers[0].store.compact(3)
    with pytest.raises(Compacted) as ended:
        play.run(play.client.watch(b"a", b"b", 2, lambda items, at: None, 9 * SECOND))
    assert ended.value.revision == 3


def test_a_watch_that_falls_silent_is_told_as_lost(play):
    play.servers[0].faults.silent_watches = True
    with pytest.raises(StoreUnavailable):
        play.run(play.client.watch(b"a", b"b", 0, lambda items, at: None, 2 * SECOND))


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
def test_bad_calls_are_turned_down_with_a_reason_and_change_nothing(play, path, body):
    with pytest.raises(StoreRejected):
        play.run(play.client.call(path, body))
    assert play.servers[0].store.revision == 1 and not play.loop.errors


def test_a_full_disk_promises_nothing_more_and_what_was_promised_is_there_after_it(play, monkeypatch):
    put(play, b"k", b"before")

    def full(fd):
        raise OSError("no space left")

    monkeypatch.setattr("pulleyroute.emulator.store.os.fsync", full)
    with pytest.raises(StoreUnavailable) as told:
        play.run(play.client.commit(Item(b"j"), b"v", play.loop.now() + SECOND))
    assert told.value.maybe_applied
    monkeypatch.undo()
    play.servers.pop().close()
    play.servers.append(Server(play.loop, log=play.log))
    assert play.run(play.another().range(b"k"))[1][0].value == b"before"


def started(log, *more):
    command = [sys.executable, "-m", "pulleyroute.cli", "emulate", "store", "127.0.0.1:0", "--log", str(log)]
    process = subprocess.Popen([*command, *more], stdout=subprocess.PIPE, text=True)
    host, port = process.stdout.readline().strip().split(":")
    return process, (host, int(port))


@pytest.mark.parametrize("leases", ["extend", "end"])
def test_a_store_that_is_killed_comes_back_with_all_that_it_answered(tmp_path, leases):
    loop = Loop(lambda name, exc: None)
    log = tmp_path / "log"
    process, address = started(log)
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
        torn.write(b'{"path":"/v3/kv/put","bo')  # what a kill left half written was never answered
    process, address = started(log, "--leases", leases)
    client = Client(loop, BufferPool(), [address], 2)
    try:
        revision, items = run(client.range(b"a", b"z"))
        kept = {"extend": [b"a", b"b", b"c"], "end": [b"a", b"c"]}[leases]
        assert [item.value for item in items] == kept and revision == {"extend": 4, "end": 5}[leases]
        assert run(client.commit(Item(b"d"), b"d", FOREVER)) is None
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
    assert os.path.getsize(log) > 0
