"""The model of the store against a naive one, and the edge cases of etcd that the fleet depends on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.emulator.store_model import FROM_KEY, Store, StoreError, prefix_end


def put(key, value=b"v", lease=0):
    return {"op": "put", "key": key, "value": value, "lease": lease}


def delete(key, end=b""):
    return {"op": "delete", "key": key, "end": end}


def read(key, end=b"", revision=0):
    return {"op": "range", "key": key, "end": end, "revision": revision}


def compare(key, target, operand, result="EQUAL"):
    return {"key": key, "target": target, "want": operand, "result": result}


def apply(store, *operations):
    return store.txn([], list(operations), [])


KEYS = st.sampled_from([b"a", b"a/1", b"a/2", b"b", b"\xff"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), KEYS, st.binary(max_size=2)),
        st.tuples(st.just("delete"), KEYS, st.just(b"")),
    ),
    max_size=25,
)


@given(STEPS, st.data())
def test_every_revision_is_readable_and_events_rebuild_the_last_state(steps, data):
    store, states, state = Store(), {1: {}}, {}
    for kind, key, value in steps:
        apply(store, put(key, value) if kind == "put" else delete(key))
        state = {**state, key: value} if kind == "put" else {k: v for k, v in state.items() if k != key}
        states[store.revision] = state
    for revision, expected in states.items():
        assert {i.key: i.value for i in store.range(b"\0", FROM_KEY, revision)} == expected
    at = data.draw(st.sampled_from(sorted(states)))
    rebuilt = dict(states[at])
    for item in store.events(b"\0", FROM_KEY, at + 1):
        rebuilt.pop(item.key, None)
        if item.version:
            rebuilt[item.key] = item.value
    assert rebuilt == state
    if at > 1:
        store.compact(at)
        for revision, expected in states.items():
            if revision >= at:
                assert {i.key: i.value for i in store.range(b"\0", FROM_KEY, revision)} == expected
            else:
                with pytest.raises(StoreError, match="compacted"):
                    store.range(b"\0", FROM_KEY, revision)


@pytest.mark.parametrize(
    "operations",
    [
        [put(b"x"), put(b"y"), put(b"x")],
        [put(b"x"), put(b"y", lease=99)],
        [put(b"x"), put(b"")],
        [put(b"x"), read(b"x", revision=99)],
    ],
)
def test_a_transaction_with_an_invalid_operation_changes_nothing(operations):
    store = Store()
    with pytest.raises(StoreError):
        apply(store, *operations)
    assert store.range(b"\0", FROM_KEY) == [] and store.revision == 1


def test_the_end_of_a_lease_deletes_its_keys_in_one_revision_but_not_a_key_put_again_without_it():
    store = Store()
    lease = store.grant(5, 0, now=1_000_000)
    for key in (b"a", b"b", b"c"):
        apply(store, put(key, lease=lease))
    apply(store, put(b"b"))  # detaches the key from the lease
    before = store.revision
    assert store.expired_leases(5_999_999) == [] and store.keep_alive(lease, 2_000_000) == 5
    assert store.expired_leases(6_000_000) == [] and store.expired_leases(7_000_000) == [lease]
    store.revoke(lease)
    assert [i.key for i in store.range(b"\0", FROM_KEY)] == [b"b"] and store.revision == before + 1
    assert store.keep_alive(lease, 8_000_000) == 0
    with pytest.raises(StoreError):
        store.revoke(lease)
    assert store.grant(5, 0, now=0) != lease


@pytest.mark.parametrize(
    ("target", "value_if_absent", "value"),
    [("VERSION", 0, 2), ("CREATE", 0, 2), ("MOD", 0, 3), ("VALUE", b"", b"v"), ("LEASE", 0, 0)],
)
def test_comparisons_by_every_target_with_a_key_that_exists_and_one_that_does_not(
    target, value_if_absent, value
):
    store = Store()
    apply(store, put(b"k", b"u"))
    apply(store, put(b"k"))
    assert store.txn([compare(b"k", target, value)], [], [])[0]
    assert store.txn([compare(b"none", target, value_if_absent)], [], [])[0] is (target != "VALUE")
    assert not store.txn([compare(b"k", target, value, "NOT_EQUAL")], [], [])[0]


def test_a_watch_from_a_compacted_revision_is_rejected_and_one_from_after_it_is_complete():
    store = Store()
    for value in (b"1", b"2", b"3"):
        apply(store, put(b"k", value))
    store.compact(3)
    with pytest.raises(StoreError, match="compacted"):
        store.events(b"k", b"", 3)
    assert [item.value for item in store.events(b"k", b"", 4)] == [b"3"]
    with pytest.raises(StoreError):
        store.compact(3)


@given(st.binary(max_size=3), st.binary(max_size=4))
def test_the_range_of_a_prefix_holds_exactly_the_keys_with_that_prefix(prefix, key):
    store = Store()
    if key:
        apply(store, put(key))
        assert bool(store.range(prefix or b"\0", prefix_end(prefix))) is key.startswith(prefix)
