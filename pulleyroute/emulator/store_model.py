"""A model of etcd v3 without I/O or clock: its keys, revisions, transactions and leases.

Follows the published interface (etcd API reference, "KV", "Watch" and "Lease") as far as the fleet uses it.
Keys and values are bytes; `store.py` translates them from and to JSON. Times are in microseconds of the
caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Request = dict[str, Any]
FROM_KEY = b"\0"  # as the end of a range: the range has no upper bound
MAX_TTL_S = 9_000_000_000


class StoreError(Exception):
    """The store rejects a call, with a gRPC status code and a message."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


INVALID_ARGUMENT, NOT_FOUND, OUT_OF_RANGE = 3, 5, 11  # gRPC status codes


@dataclass(slots=True, frozen=True)
class Item:
    """The state of a key after one change of it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int  # 0 for a deletion
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    ttl: int  # seconds
    until: int  # the time at which it expires
    keys: set[bytes] = field(default_factory=set)


class Store:
    """Owns the keys with their history, the revisions and the leases. Every change is one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self._history: dict[bytes, list[Item]] = {}
        self._next_lease = 1

    # Reading

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> list[Item]:
        """Return the items of a range at a revision, 0 for the current one, sorted by key."""
        if revision > self.revision:
            raise StoreError(OUT_OF_RANGE, "mvcc: required revision is a future revision")
        if 0 < revision < self.compacted:
            raise StoreError(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        names = [key] if not end else sorted(k for k in self._history if _in_range(k, key, end))
        found = (self._item_at(name, revision or self.revision) for name in names)
        return [item for item in found if item is not None and item.version]

    def _item_at(self, key: bytes, revision: int) -> Item | None:
        return next(
            (item for item in reversed(self._history.get(key, [])) if item.mod_revision <= revision), None
        )

    def events(self, key: bytes, end: bytes, start: int) -> list[Item]:
        """Return the changes of a range from revision `start` on, deletions included, by revision and key.

        Raises `StoreError` for a `start` equal to the compacted revision, which etcd accepts: the model does
        not keep a deletion at that revision.
        """
        if start <= self.compacted:
            raise StoreError(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        changed = [
            item
            for name, items in self._history.items()
            for item in items
            if item.mod_revision >= start and (_in_range(name, key, end) if end else name == key)
        ]
        return sorted(changed, key=lambda item: (item.mod_revision, item.key))

    # Changing

    def txn(
        self, compares: list[Request], success: list[Request], failure: list[Request]
    ) -> tuple[bool, list[Any]]:
        """Apply one branch as a whole, or raise `StoreError` and change nothing.

        Returns whether all comparisons held, and one result for each operation: the items read or deleted,
        None for a put.
        """
        succeeded = all(self._comparison_holds(compare) for compare in compares)
        branch = success if succeeded else failure
        self._validate(branch)
        revision = self.revision + 1
        results: list[Any] = []
        for op in branch:
            if op["op"] == "range":
                results.append(self.range(op["key"], op["end"], op["revision"]))
            elif op["op"] == "put":
                self._put(op["key"], op["value"], op["lease"], revision)
                results.append(None)
            else:
                deleted = self.range(op["key"], op["end"])
                for item in deleted:
                    self._delete(item, revision)
                results.append(deleted)
        return succeeded, results

    def _validate(self, branch: list[Request]) -> None:
        """Raise `StoreError` if an operation of the branch would fail, before any of them is applied."""
        written: set[bytes] = set()
        for op in branch:
            if op["op"] == "put":
                if not op["key"]:
                    raise StoreError(INVALID_ARGUMENT, "etcdserver: key is not provided")
                if op["key"] in written:
                    raise StoreError(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
                if op["lease"] and op["lease"] not in self.leases:
                    raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")
                written.add(op["key"])
            elif op["op"] == "range":
                self.range(op["key"], op["end"], op["revision"])

    def _comparison_holds(self, compare: Request) -> bool:
        item = self._item_at(compare["key"], self.revision)
        if item is None or not item.version:
            item = Item(compare["key"], b"", 0, 0, 0)
            if compare["target"] == "VALUE":
                return False  # a key that does not exist has no value
        actual = {
            "VERSION": item.version,
            "CREATE": item.create_revision,
            "MOD": item.mod_revision,
            "LEASE": item.lease,
            "VALUE": item.value,
        }[compare["target"]]
        expected = compare["want"]
        return bool(
            {
                "EQUAL": actual == expected,
                "NOT_EQUAL": actual != expected,
                "GREATER": actual > expected,
                "LESS": actual < expected,
            }[compare["result"]]
        )

    def _put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        old = self._item_at(key, self.revision)
        if old is not None and old.lease:
            self.leases[old.lease].keys.discard(key)
        new = old is None or not old.version
        self._history.setdefault(key, []).append(
            Item(
                key,
                value,
                revision if new or old is None else old.create_revision,
                revision,
                1 if old is None else old.version + 1,
                lease,
            )
        )
        if lease:
            self.leases[lease].keys.add(key)
        self.revision = revision

    def _delete(self, item: Item, revision: int) -> None:
        if item.lease:
            self.leases[item.lease].keys.discard(item.key)
        self._history[item.key].append(Item(item.key, b"", 0, revision, 0))
        self.revision = revision

    def compact(self, revision: int) -> None:
        """Discard the history before a revision; the items current at that revision are kept."""
        if revision > self.revision:
            raise StoreError(OUT_OF_RANGE, "mvcc: required revision is a future revision")
        if revision <= self.compacted:
            raise StoreError(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        self.compacted = revision
        for key, items in list(self._history.items()):
            current = max((at for at, item in enumerate(items) if item.mod_revision <= revision), default=0)
            kept = items[current:]
            if kept[0].mod_revision <= revision and not kept[0].version:
                kept = kept[1:]
            if kept:
                self._history[key] = kept
            else:
                del self._history[key]

    # Leases

    def grant(self, ttl: int, lease: int, now: int) -> int:
        """Create a lease of `ttl` seconds and return its ID; chooses an ID if `lease` is 0."""
        if not 0 < ttl <= MAX_TTL_S:
            raise StoreError(OUT_OF_RANGE, "etcdserver: lease TTL is too large, or not positive")
        if lease in self.leases:
            raise StoreError(9, "etcdserver: lease already exists")  # FAILED_PRECONDITION
        while not lease or lease in self.leases:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = Lease(ttl, now + ttl * 1_000_000)
        return lease

    def keep_alive(self, lease: int, now: int) -> int:
        """Restart the TTL of a lease and return it in seconds, or 0 if there is no such lease."""
        renewed = self.leases.get(lease)
        if renewed is None:
            return 0
        renewed.until = now + renewed.ttl * 1_000_000
        return renewed.ttl

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys, all in one revision."""
        if lease not in self.leases:
            raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")
        revision = self.revision + 1
        for key in sorted(self.leases[lease].keys):
            item = self._item_at(key, self.revision)
            if item is not None and item.version:
                self._delete(item, revision)
        del self.leases[lease]

    def expired_leases(self, now: int) -> list[int]:
        """Return the IDs of the leases that have expired and are to be revoked."""
        return [lease_id for lease_id, lease in self.leases.items() if lease.until <= now]


def _in_range(key: bytes, start: bytes, end: bytes) -> bool:
    return key >= start and (end == FROM_KEY or key < end)


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range that holds all keys with this prefix."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes([prefix[at] + 1])
    return FROM_KEY
