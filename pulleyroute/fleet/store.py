"""The common store's client: etcd v3's JSON gateway, over the loop.

Every call has a bound. One endpoint is in use; a call that fails moves on to the next. What is not known is
said: `Lost` tells whether the call may have taken effect, and `commit` settles a transaction whose answer was
lost by asking, never by hoping.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, TypeVar

import h11

from pulleyroute.net.backoff import Backoff
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Malformed,
    connect,
)
from pulleyroute.net.loop import Coroutine, Loop, Wait

CALL_TIME = 1_000_000  # us
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # bytes of an answer or a watch's line
PAUSE, LONGEST_PAUSE = 50_000, 2_000_000  # us between tries
PAGE = 1000  # keys in one answer of a range
OUT_OF_RANGE, UNAVAILABLE = 11, 14
DRIFT = 0.02  # of a right's time: how much faster than the store's this process's clock may be

Json = dict[str, Any]
T = TypeVar("T")


class StoreUnavailable(Exception):
    """No answer. `maybe`: the call may have taken effect, or may yet."""

    def __init__(self, why: str, maybe_applied: bool) -> None:
        super().__init__(why)
        self.maybe_applied = maybe_applied


class StoreRejected(Exception):
    """The store turned the call down; nothing was changed."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Compacted(Exception):
    """What was to be watched from is forgotten: read the whole anew. `revision`: up to which it is."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"compacted up to {revision}")
        self.revision = revision


@dataclass(slots=True, frozen=True)
class Item:
    """A key as it stands; `value` is None where it is gone, and then `mod` 0 or the deletion's revision."""

    key: bytes
    value: bytes | None = None
    mod_revision: int = 0
    create_revision: int = 0
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Page:
    """A part of a range: the store's revision, the items, and whether there are more after them."""

    revision: int
    items: list[Item]
    more: bool


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease as its holder may use it: until a time of its own clock, counted from before it asked."""

    id: int
    expires_at: int

    def is_valid(self, now: int) -> bool:
        """Whether it may be used. To be asked again right before each use."""
        return now < self.expires_at


def lease_from_grant(lease: int, ttl: int, asked: int) -> Lease:
    """The right of a lease of so many seconds, asked for at that time of one's own clock."""
    # Guards against the answer's way: the store's time runs from when it got the call at the earliest, and
    # that was after it was asked for. Counted from a slow answer, the right would outlive the lease.
    return Lease(lease, asked + int(ttl * 1_000_000 * (1 - DRIFT)))


class Client:
    """Owns the choice of the endpoint. Each call has a connection of its own."""

    def __init__(self, loop: Loop, pool: BufferPool, endpoints: list[tuple[str, int]], seed: int) -> None:
        self._loop, self._pool = loop, pool
        self._endpoints = endpoints
        self._at = 0
        self._random = Random(seed)
        self.calls = 0  # made, for the metrics

    # One call

    def _stream(self, path: str, body: Json, until: int) -> Coroutine[Any]:
        """A connection with the call written whole; raises `Lost`."""
        self.calls += 1
        address = self._endpoints[self._at % len(self._endpoints)]
        data = json.dumps(body).encode()
        stream = None
        try:
            stream = yield from connect(self._loop, self._pool, address, until)
            head = h11.Request(
                method=b"POST",
                target=path.encode(),
                headers=[
                    (b"Host", "{}:{}".format(*address).encode()),
                    (b"Content-Type", b"application/json"),
                    (b"Content-Length", b"%d" % len(data)),
                ],
            )
            yield from stream.send(stream.frame(head, data), until)
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed) as exc:
            self._at += 1
            if stream is not None:
                stream.close()
            # Before its last byte was written no call is carried out.
            raise StoreUnavailable(str(exc) or "no connection in time", maybe_applied=False) from None
        return stream

    def call(self, path: str, body: Json) -> Coroutine[Json]:
        """One call; raises `Lost` or `Turned`."""
        until = self._loop.now() + CALL_TIME
        stream = yield from self._stream(path, body, until)
        try:
            answer = yield from stream.response(until, MAX_ANSWER_BYTES)
            value = json.loads(answer.body)
            if not isinstance(value, dict):
                raise ValueError("not an object")
        except (ConnectionFailed, DeadlineExceeded, Malformed, ValueError, RecursionError) as exc:
            self._at += 1
            raise StoreUnavailable(str(exc) or "no answer in time", maybe_applied=True) from None
        finally:
            stream.close()
        if answer.status == 200:
            return value
        code = value.get("code")
        if code == UNAVAILABLE or answer.status >= 500 or not isinstance(code, int):
            # Guards against a leader lost in mid-call: the original answers so after a commit, too.
            self._at += 1
            raise StoreUnavailable(f"status {answer.status}: {value.get('message')}", maybe_applied=True)
        raise StoreRejected(code, str(value.get("message")))

    # Reading

    def range(self, key: bytes, end: bytes = b"") -> Coroutine[tuple[int, list[Item]]]:
        """The store's revision and what stands in the range at it; read in pages, all at that revision."""
        revision, items, start = 0, [], key
        while True:
            page = yield from self._page(start, end, revision)
            revision = revision or page.revision
            items += page.items
            if not page.more or not page.items:
                return revision, items
            start = page.items[-1].key + b"\0"

    def _page(self, start: bytes, end: bytes, revision: int) -> Coroutine[Page]:
        body = {
            "key": _text(start),
            "range_end": _text(end),
            "limit": str(PAGE),
            "revision": str(revision),
        }
        try:
            told = yield from self.call("/v3/kv/range", body)
        except StoreRejected as exc:
            if revision and exc.code == OUT_OF_RANGE:
                # A reading that a compaction has overtaken would else count as a call that is not in form.
                raise StoreUnavailable(str(exc), maybe_applied=False) from None
            raise
        return _shaped(
            lambda: Page(
                int(told["header"]["revision"]),
                [_item(kv) for kv in told.get("kvs", [])],
                bool(told.get("more", False)),
            )
        )

    def watch(
        self, key: bytes, end: bytes, start: int, heard: Callable[[list[Item], int], None], silence: int
    ) -> Coroutine[None]:
        """Tell `heard` of changes from a revision on, with the store's; ends by `Lost` or `Compacted`.

        `silence`: us after which a watch that told nothing counts as broken; whoever watches then reads the
        whole anew, since a store may keep a connection open and say nothing.
        """
        body = {"create_request": {"key": _text(key), "range_end": _text(end), "start_revision": str(start)}}
        stream = yield from self._stream("/v3/watch", body, self._loop.now() + CALL_TIME)
        try:
            answer = yield from stream.response_head(self._loop.now() + CALL_TIME)
            if answer.status != 200:
                raise ConnectionFailed(f"status {answer.status}")
            rest = b""
            while True:
                event = yield from stream.event(self._loop.now() + silence)
                if not isinstance(event, h11.Data):
                    raise ConnectionFailed("the watch ended")
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                if len(rest) > MAX_ANSWER_BYTES:
                    raise ConnectionFailed("a line is too long")
                for line in lines:
                    self._heard(json.loads(line)["result"], heard)
        except (
            ConnectionFailed,
            DeadlineExceeded,
            Malformed,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
        ) as exc:
            self._at += 1
            raise StoreUnavailable(str(exc) or "silence", maybe_applied=False) from None
        finally:
            stream.close()

    def _heard(self, result: Json, heard: Callable[[list[Item], int], None]) -> None:
        if result.get("canceled"):
            raise Compacted(int(result.get("compact_revision", 0)))
        items = [_item(each["kv"], gone=each.get("type") == "DELETE") for each in result.get("events", [])]
        heard(items, int(result["header"]["revision"]))

    # Writing

    def commit(
        self,
        item: Item,
        value: bytes | None,
        until: int,
        lease: int = 0,
        compares: list[Json] | None = None,
        extra_operations: list[Json] | None = None,
    ) -> Coroutine[Item | None]:
        """Put a value, or delete for None, if the key still stands as `item` and all guards hold.

        Tried until it is answered. `value` has to be unlike any other put there; `also` is carried out in the
        same transaction. Returns None once it is committed, else the key as it stands, or `item` itself where
        a guard did not hold. Raises `Lost` if `until` comes first: then it may have been committed, or may
        yet; and `Turned`.

        Each try compares the key's revision, so that of an earlier one that comes late and a later one only
        one takes effect; and a lost answer shows in the next try's failure branch, which reads the key.
        """
        body = {
            "compare": [compare_unchanged(item), *(compares or [])],
            "success": [
                delete(item.key) if value is None else put(item.key, value, lease),
                *(extra_operations or []),
            ],
            "failure": [{"request_range": {"key": _text(item.key)}}],
        }
        pause = Backoff(PAUSE, LONGEST_PAUSE, self._random)
        maybe_applied = False
        while True:
            try:
                told = yield from self.call("/v3/kv/txn", body)
                break
            except StoreUnavailable as exc:
                maybe_applied = maybe_applied or exc.maybe_applied
                rest = self._loop.now() + pause.failed()
                if rest >= until:
                    raise StoreUnavailable(str(exc), maybe_applied) from None
                yield Wait(until=rest)
        if told.get("succeeded"):
            return None
        kvs = _shaped(lambda: told["responses"][0]["response_range"].get("kvs", []))
        now = _item(kvs[0]) if kvs else Item(item.key)
        return None if now.value == value else now

    # Leases

    def grant(self, ttl: int) -> Coroutine[Lease]:
        """A lease of so many seconds."""
        asked = self._loop.now()
        told = yield from self.call("/v3/lease/grant", {"TTL": str(ttl)})
        return _shaped(lambda: lease_from_grant(int(told["ID"]), int(told["TTL"]), asked))

    def extend(self, held: Lease) -> Coroutine[Lease | None]:
        """The same right for its whole time anew; None where the store knows it no more."""
        asked = self._loop.now()
        told = yield from self.call("/v3/lease/keepalive", {"ID": str(held.id)})
        ttl = _shaped(lambda: int(told["result"].get("TTL", 0)))
        return lease_from_grant(held.id, ttl, asked) if ttl > 0 else None

    def revoke(self, held: Lease) -> Coroutine[None]:
        """Give a right back, with all keys under it."""
        yield from self.call("/v3/lease/revoke", {"ID": str(held.id)})


def compare_created(key: bytes, create_revision: int) -> Json:
    """That a key still is the one created at this revision: as with one's own election key."""
    return {"key": _text(key), "target": "CREATE", "create_revision": str(create_revision)}


def item_at(items: Mapping[bytes, Item], key: bytes) -> Item:
    """A key as it stands among what was read; one that is not there is one without a value."""
    return items.get(key, Item(key))


def compare_unchanged(item: Item) -> Json:
    """That a key stands as it was read, or is still not there."""
    mod_revision = item.mod_revision if item.value is not None else 0
    return {"key": _text(item.key), "target": "MOD", "mod_revision": str(mod_revision)}


def put(key: bytes, value: bytes, lease: int = 0) -> Json:
    """A transaction's operation: put."""
    return {"request_put": {"key": _text(key), "value": _text(value), "lease": str(lease)}}


def delete(key: bytes, end: bytes = b"") -> Json:
    """A transaction's operation: delete a key, whether or not it is there, or all from it to before `end`."""
    return {"request_delete_range": {"key": _text(key), "range_end": _text(end)}}


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def _item(each: Json, gone: bool = False) -> Item:
    key = b64decode(each["key"])
    if gone:
        return Item(key, None, int(each.get("mod_revision", 0)))
    return Item(
        key,
        b64decode(each.get("value", "")),
        int(each["mod_revision"]),
        int(each["create_revision"]),
        int(each.get("lease", 0)),
    )


def _shaped(read: Callable[[], T]) -> T:
    """What an answer says; one that is not in form is no answer."""
    try:
        return read()
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUnavailable(f"an answer is not in form: {exc!r}", maybe_applied=True) from None
