"""A fleet of 1,024 members: in the store, at the stand-ins and in the test rig."""

import json
import resource
import subprocess
import sys

import pytest

from pulleyroute.fleet import records
from pulleyroute.fleet.records import Keys
from pulleyroute.fleet.store import MAX_ANSWER_BYTES, Item, StoreUnavailable, compare_unchanged, put
from pulleyroute.lab.fleet.rig import Rig
from pulleyroute.lab.fleet.schedule import FleetSpec, Schedule
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import Loop
from tests.fleet.test_agent import runner_states
from tests.fleet.test_store import StoreScene
from tests.net.scene import SECOND

COUNT = 1024
KEYS = Keys("g")
NAMES = [f"{'d' * 120}-{number:04d}" for number in range(COUNT)]


@pytest.fixture
def play():
    scene = StoreScene()
    yield scene
    scene.close()


@pytest.fixture
def usual_limit():
    """Set the limit of file descriptors that a process commonly starts with."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (COUNT, before[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


def fill(store, values):
    """Put all these keys and values as one change."""
    store.txn([], [{"op": "put", "key": key, "value": value, "lease": 0} for key, value in values], [])


def members():
    """Yield the records of all members, as they are while the members serve."""
    for name in NAMES:
        yield (
            KEYS.of("seat", name),
            records.encode(incarnation=1, token=name, zone="z", region="r", mark=name),
        )
        yield KEYS.of("word", name), records.encode(incarnation=1, phase="serving", version="v1", mark=name)


def acks(runners):
    """Yield the acknowledgements by all members of the drains of the first `runners` runners."""
    for number in range(runners):
        for name in NAMES:
            yield KEYS.of("ack", "p", f"r{number}", name), records.encode(incarnation=1, of="m", mark=name)


def test_a_range_larger_than_one_answer_is_read_completely_at_one_revision(play):
    store = play.servers[0].store
    fill(store, [*members(), *acks(12)])
    call, answer_bytes = play.client.call, []

    def call_and_change(path, body):
        answer = yield from call(path, body)
        answer_bytes.append(sum(len(kv["key"]) + len(kv["value"]) for kv in answer["kvs"]))
        fill(store, [(KEYS.of("word", NAMES[-1]), b"later")])
        return answer

    play.client.call = call_and_change
    revision, items = play.run(play.client.range(KEYS.prefix, KEYS.end))
    assert revision == 2 and len(items) == 14 * COUNT and sum(answer_bytes) > MAX_ANSWER_BYTES
    assert all(item.mod_revision == 2 for item in items)


def test_a_read_of_a_revision_that_is_compacted_meanwhile_is_lost_and_changed_nothing(play):
    store = play.servers[0].store
    fill(store, members())
    call = play.client.call

    def call_and_compact(path, body):
        answer = yield from call(path, body)
        fill(store, [(b"k", b"v")])
        store.compact(store.revision)
        return answer

    play.client.call = call_and_compact
    with pytest.raises(StoreUnavailable) as lost:
        play.run(play.client.range(KEYS.prefix, KEYS.end))
    assert not lost.value.maybe_applied


def test_a_watch_receives_a_change_of_1024_members(play):
    received = []

    def watch():
        yield from play.client.watch(
            KEYS.prefix, KEYS.end, 2, lambda items, _: received.extend(items), SECOND
        )

    fill(play.servers[0].store, members())
    with pytest.raises(StoreUnavailable):
        play.run(watch())
    assert len(received) == 2 * COUNT


def test_a_transaction_with_1024_comparisons_is_applied(play):
    store = play.servers[0].store
    fill(store, members())
    items = [Item(key, b"", 2, 2) for key, _ in members()]
    guards = [compare_unchanged(item) for item in items if b"/word/" in item.key]
    also = [put(KEYS.of("wish", name), b"{}") for name in NAMES]
    until = play.loop.now() + SECOND
    commit = play.client.commit(Item(b"permit"), b"v", until, compares=guards, extra_operations=also)
    assert play.run(commit) is None
    assert len(store.range(*KEYS.below("wish"))) == COUNT


def test_a_member_among_1024_gets_its_permit_and_drains(fleet):
    fill(fleet.server.store, members())
    service = fleet.join("me")
    fleet.until(
        lambda: KEYS.of("word", "me") in {item.key for item in fleet.server.store.range(*KEYS.below("word"))}
    )
    fleet.do(fleet.operator.drain("me", "standby", "why"))
    fleet.until(lambda: service.phase is Phase.STANDBY)


def test_the_drain_of_a_runner_that_1024_members_have_acknowledged_ends_in_one_small_transaction(fleet):
    store = fleet.server.store
    mark = (KEYS.of("mark", "p", "r0"), records.encode(mark="m", by="ann", why="why"))
    want = (KEYS.of("want", "p", "r0"), records.encode(mark="w", by="ann", why="why"))
    fill(store, [*members(), *acks(2), mark, want])
    assert runner_states(fleet)["r0"] == ("drained", [])
    txn, sizes = store.txn, []

    def record_size(compares, success, failure):
        sizes.append(max(len(compares), len(success), len(failure)))
        return txn(compares, success, failure)

    store.txn = record_size
    fleet.do(fleet.operator.undrain_runner("p", "r0", "why"))
    assert max(sizes) <= 128
    assert not store.range(*KEYS.below("ack", "p", "r0"))
    assert len(store.range(*KEYS.below("ack", "p", "r1"))) == COUNT


def test_a_runner_stand_in_serves_1024_dispatchers(usual_limit):
    command = [sys.executable, "-m", "pulleyroute.cli", "emulate", "runner", "r0"]
    command += [part for number in range(COUNT) for part in ("--callback", f"127.0.0.1:{20_000 + number}")]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert len({port for _, port in json.loads(process.stdout.readline())}) == COUNT
        finally:
            process.terminate()


def test_the_rig_has_links_for_1024_dispatchers(usual_limit, tmp_path):
    rig = Rig(Loop(lambda name, exc: None), Schedule(1, FleetSpec(members=COUNT)), tmp_path)
    try:
        assert len({member.port for member in rig.members}) == COUNT
        assert max(member.port for member in rig.members) < first_ephemeral_port()
    finally:
        rig.close()


def first_ephemeral_port():
    """Return the lowest port of the ephemeral range, which the system assigns to connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        return int(file.read().split()[0])
