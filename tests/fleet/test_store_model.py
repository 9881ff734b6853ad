"""The common store's model against a naive one, and the corners that the fleet rests on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.emulator.store_model import FROM_KEY, Refused, Store, prefix_end


def put(key, value=b"v", lease=0):
    return {"op": "put", "key": key, "value": value, "lease": lease}


def delete(key, end=b""):
    return {"op": "delete", "key": key, "end": end}


def read(key, end=b"", revision=0):
    return {"op": "range", "key": key, "end": end, "revision": revision}


def when(key, target, want, result="EQUAL"):
    return {"key": key, "target": target, "want": want, "result": result}


def do(store, *ops):
    return store.txn([], list(ops), [])


KEYS = st.sampled_from([b"a", b"a/1", b"a/2", b"b", b"\xff"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), KEYS, st.binary(max_size=2)),
        st.tuples(st.just("delete"), KEYS, st.just(b"")),
    ),
    max_size=25,
)


@given(STEPS, st.data())
def test_every_revision_reads_as_it_stood_and_events_rebuild_the_whole(steps, data):
    store, worlds, world = Store(), {1: {}}, {}
    for kind, key, value in steps:
        do(store, put(key, value) if kind == "put" else delete(key))
        world = {**world, key: value} if kind == "put" else {k: v for k, v in world.items() if k != key}
        worlds[store.revision] = world
    for revision, was in worlds.items():
        assert {i.key: i.value for i in store.range(b"\0", FROM_KEY, revision)} == was
    at = data.draw(st.sampled_from(sorted(worlds)))
    rebuilt = dict(worlds[at])
    for item in store.events(b"\0", FROM_KEY, at + 1):
        rebuilt.pop(item.key, None)
        if item.version:
            rebuilt[item.key] = item.value
    assert rebuilt == world
    if at > 1:
        store.compact(at)
        for revision, was in worlds.items():
            if revision >= at:
                assert {i.key: i.value for i in store.range(b"\0", FROM_KEY, revision)} == was
            else:
                with pytest.raises(Refused, match="compacted"):
                    store.range(b"\0", FROM_KEY, revision)


@pytest.mark.parametrize(
    "bad",
    [
        [put(b"x"), put(b"y"), put(b"x")],
        [put(b"x"), put(b"y", lease=99)],
        [put(b"x"), put(b"")],
        [put(b"x"), read(b"x", revision=99)],
    ],
)
def test_a_transaction_that_cannot_be_carried_out_whole_changes_nothing(bad):
    store = Store()
    with pytest.raises(Refused):
        do(store, *bad)
    assert store.range(b"\0", FROM_KEY) == [] and store.revision == 1


def test_a_leases_keys_go_with_it_in_one_revision_and_a_key_put_anew_is_no_longer_its():
    store = Store()
    lease = store.grant(5, 0, now=1_000_000)
    for key in (b"a", b"b", b"c"):
        do(store, put(key, lease=lease))
    do(store, put(b"b"))  # not under the lease any more
    before = store.revision
    assert store.lapsed(5_999_999) == [] and store.keep_alive(lease, 2_000_000) == 5
    assert store.lapsed(6_000_000) == [] and store.lapsed(7_000_000) == [lease]
    store.revoke(lease)
    assert [i.key for i in store.range(b"\0", FROM_KEY)] == [b"b"] and store.revision == before + 1
    assert store.keep_alive(lease, 8_000_000) == 0
    with pytest.raises(Refused):
        store.revoke(lease)
    assert store.grant(5, 0, now=0) != lease


@pytest.mark.parametrize(
    ("target", "absent", "present"),
    [("VERSION", 0, 2), ("CREATE", 0, 2), ("MOD", 0, 3), ("VALUE", b"", b"v"), ("LEASE", 0, 0)],
)
def test_compares_by_every_target_of_a_key_that_is_there_and_of_one_that_is_not(target, absent, present):
    store = Store()
    do(store, put(b"k", b"u"))
    do(store, put(b"k"))
    assert store.txn([when(b"k", target, present)], [], [])[0]
    assert store.txn([when(b"none", target, absent)], [], [])[0] is (target != "VALUE")
    assert not store.txn([when(b"k", target, present, "NOT_EQUAL")], [], [])[0]


def test_a_watch_from_what_was_compacted_is_refused_and_from_after_it_is_whole():
    store = Store()
    for value in (b"1", b"2", b"3"):
        do(store, put(b"k", value))
    store.compact(3)
    with pytest.raises(Refused, match="compacted"):
        store.events(b"k", b"", 3)
    assert [item.value for item in store.events(b"k", b"", 4)] == [b"3"]
    with pytest.raises(Refused):
        store.compact(3)


@given(st.binary(max_size=3), st.binary(max_size=4))
def test_a_prefixs_range_holds_what_begins_so_and_nothing_else(prefix, key):
    store = Store()
    if key:
        do(store, put(key))
        assert bool(store.range(prefix or b"\0", prefix_end(prefix))) is key.startswith(prefix)
