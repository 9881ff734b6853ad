"""The common store's model, without I/O or clock: etcd v3's keys, revisions, transactions and leases.

After the published interface (etcd API reference, "KV", "Watch" and "Lease"), as much of it as the fleet
uses. Keys and values are bytes here; the JSON form is `store.py`'s. Times are microseconds of the caller's
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Request = dict[str, Any]
FROM_KEY = b"\0"  # as the range's end: all keys from the first on
LONGEST_TTL = 9_000_000_000  # seconds


class Refused(Exception):
    """The store turns a call down: gRPC's code and a text."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


INVALID, NOT_FOUND, OUT_OF_RANGE = 3, 5, 11


@dataclass(slots=True, frozen=True)
class Item:
    """One key as it stood from a revision on."""

    key: bytes
    value: bytes
    create: int
    mod: int
    version: int  # 0 for a deletion
    lease: int = 0


@dataclass(slots=True)
class Lease:
    ttl: int  # seconds
    until: int
    keys: set[bytes] = field(default_factory=set)


class Store:
    """Owns keys with their history, revisions and leases. Every change is one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self._history: dict[bytes, list[Item]] = {}
        self._next_lease = 1

    # Reading

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> list[Item]:
        """The items in a range as they stood at a revision, 0 for now, in the order of their keys."""
        if revision > self.revision:
            raise Refused(OUT_OF_RANGE, "mvcc: required revision is a future revision")
        if 0 < revision < self.compacted:
            raise Refused(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        names = [key] if not end else sorted(k for k in self._history if _within(k, key, end))
        found = (self._at(name, revision or self.revision) for name in names)
        return [item for item in found if item is not None and item.version]

    def _at(self, key: bytes, revision: int) -> Item | None:
        return next((item for item in reversed(self._history.get(key, [])) if item.mod <= revision), None)

    def events(self, key: bytes, end: bytes, start: int) -> list[Item]:
        """What has changed in a range since a revision, that one included, in order; deletions too.

        Stricter than the original by one: a deletion at the compacted revision itself is not kept.
        """
        if start <= self.compacted:
            raise Refused(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        changed = [
            item
            for name, items in self._history.items()
            for item in items
            if item.mod >= start and (_within(name, key, end) if end else name == key)
        ]
        return sorted(changed, key=lambda item: (item.mod, item.key))

    # Changing

    def txn(
        self, compares: list[Request], success: list[Request], failure: list[Request]
    ) -> tuple[bool, list[Any]]:
        """Carry out one branch whole, or raise `Refused` and change nothing.

        Answers, one an operation: the items of a range or a deletion, None for a put.
        """
        held = all(self._holds(compare) for compare in compares)
        branch = success if held else failure
        self._check(branch)
        revision = self.revision + 1
        answers: list[Any] = []
        for op in branch:
            if op["op"] == "range":
                answers.append(self.range(op["key"], op["end"], op["revision"]))
            elif op["op"] == "put":
                self._put(op["key"], op["value"], op["lease"], revision)
                answers.append(None)
            else:
                gone = self.range(op["key"], op["end"])
                for item in gone:
                    self._delete(item, revision)
                answers.append(gone)
        return held, answers

    def _check(self, branch: list[Request]) -> None:
        """Guards the whole: nothing of a branch is carried out unless all of it can be."""
        written: set[bytes] = set()
        for op in branch:
            if op["op"] == "put":
                if not op["key"]:
                    raise Refused(INVALID, "etcdserver: key is not provided")
                if op["key"] in written:
                    raise Refused(INVALID, "etcdserver: duplicate key given in txn request")
                if op["lease"] and op["lease"] not in self.leases:
                    raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
                written.add(op["key"])
            elif op["op"] == "range":
                self.range(op["key"], op["end"], op["revision"])

    def _holds(self, compare: Request) -> bool:
        item = self._at(compare["key"], self.revision)
        if item is None or not item.version:
            item = Item(compare["key"], b"", 0, 0, 0)
            if compare["target"] == "VALUE":
                return False  # there is no value to compare with
        have = {
            "VERSION": item.version,
            "CREATE": item.create,
            "MOD": item.mod,
            "LEASE": item.lease,
            "VALUE": item.value,
        }[compare["target"]]
        want = compare["want"]
        return bool(
            {"EQUAL": have == want, "NOT_EQUAL": have != want, "GREATER": have > want, "LESS": have < want}[
                compare["result"]
            ]
        )

    def _put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        old = self._at(key, self.revision)
        if old is not None and old.lease:
            self.leases[old.lease].keys.discard(key)
        new = old is None or not old.version
        self._history.setdefault(key, []).append(
            Item(
                key,
                value,
                revision if new or old is None else old.create,
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
        """Forget what was before a revision; what stood at it stays."""
        if revision > self.revision:
            raise Refused(OUT_OF_RANGE, "mvcc: required revision is a future revision")
        if revision <= self.compacted:
            raise Refused(OUT_OF_RANGE, "mvcc: required revision has been compacted")
        self.compacted = revision
        for key, items in list(self._history.items()):
            last = max((at for at, item in enumerate(items) if item.mod <= revision), default=0)
            kept = items[last:]
            if kept[0].mod <= revision and not kept[0].version:
                kept = kept[1:]
            if kept:
                self._history[key] = kept
            else:
                del self._history[key]

    # Leases

    def grant(self, ttl: int, lease: int, now: int) -> int:
        """A lease of so many seconds; its number is chosen where 0 is asked for."""
        if not 0 < ttl <= LONGEST_TTL:
            raise Refused(OUT_OF_RANGE, "etcdserver: lease TTL is too large, or not positive")
        if lease in self.leases:
            raise Refused(9, "etcdserver: lease already exists")
        while not lease or lease in self.leases:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = Lease(ttl, now + ttl * 1_000_000)
        return lease

    def keep_alive(self, lease: int, now: int) -> int:
        """Its whole time again, in seconds; 0 where there is no such lease any more."""
        held = self.leases.get(lease)
        if held is None:
            return 0
        held.until = now + held.ttl * 1_000_000
        return held.ttl

    def revoke(self, lease: int) -> None:
        """End a lease; its keys go with it, in one revision."""
        if lease not in self.leases:
            raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
        revision = self.revision + 1
        for key in sorted(self.leases[lease].keys):
            item = self._at(key, self.revision)
            if item is not None and item.version:
                self._delete(item, revision)
        del self.leases[lease]

    def lapsed(self, now: int) -> list[int]:
        """The leases whose time is over, to be revoked."""
        return [number for number, lease in self.leases.items() if lease.until <= now]


def _within(key: bytes, start: bytes, end: bytes) -> bool:
    return key >= start and (end == FROM_KEY or key < end)


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range of all keys that begin so."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes([prefix[at] + 1])
    return FROM_KEY
