"""Client of the shared store, which is etcd v3 by its JSON gateway, as coroutines of the loop.

Every call has a timeout. One endpoint is used at a time, and a failed call selects the next one.
`StoreUnavailable` states whether the call may have taken effect. `commit` finds out by reading whether a
transaction whose answer was lost has taken effect.
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

CALL_TIMEOUT_US = 1_000_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # of an answer or a line of a watch
MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US = 50_000, 2_000_000
PAGE_KEYS = 1000  # in one answer to a range request
OUT_OF_RANGE, UNAVAILABLE = 11, 14  # gRPC status codes
CLOCK_DRIFT = 0.02  # share of a lease's time by which the store's clock may be faster than this process's

Json = dict[str, Any]
T = TypeVar("T")


class StoreUnavailable(Exception):
    """No valid answer was received. `maybe_applied`: the call may have taken effect, or may still do so."""

    def __init__(self, reason: str, maybe_applied: bool) -> None:
        super().__init__(reason)
        self.maybe_applied = maybe_applied


class StoreRejected(Exception):
    """The store rejected the call and changed nothing. `code`: the gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class Compacted(Exception):
    """The revision to watch from is compacted, so that the range has to be read again.

    `revision`: the newest compacted one.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"compacted up to {revision}")
        self.revision = revision


@dataclass(slots=True, frozen=True)
class Item:
    """A key as of some revision; `lease` is the identifier of its lease, 0 for none.

    `value` is None for a key that doesn't exist; `mod_revision` is then that of its deletion, or 0.
    """

    key: bytes
    value: bytes | None = None
    mod_revision: int = 0
    create_revision: int = 0
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Page:
    """One page of a range. `revision`: the store's; `more`: whether further keys follow."""

    revision: int
    items: list[Item]
    more: bool


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease of this process. `expires_at`: until when it may be relied on, by the loop's clock (us)."""

    id: int
    expires_at: int

    def is_valid(self, now: int) -> bool:
        """Return whether the lease may be relied on; to be checked right before each use."""
        return now < self.expires_at


def lease_from_grant(lease: int, ttl: int, requested_at: int) -> Lease:
    """Return a lease of `ttl` seconds, requested or extended at that time of the loop's clock (us)."""
    # The store counts the time from when it received the call, which is after the request was made. If this
    # process counted from the arrival of a slow answer, it would rely on the lease after its end.
    return Lease(lease, requested_at + int(ttl * 1_000_000 * (1 - CLOCK_DRIFT)))


class Client:
    """Calls the store's endpoints. Each call uses a connection of its own; `calls` counts them."""

    def __init__(self, loop: Loop, pool: BufferPool, endpoints: list[tuple[str, int]], seed: int) -> None:
        self._loop, self._pool = loop, pool
        self._endpoints = endpoints
        self._endpoint_index = 0
        self._random = Random(seed)
        self.calls = 0

    # One call

    def _stream(self, path: str, body: Json, until: int) -> Coroutine[Any]:
        """Open a connection and send the request; raises `StoreUnavailable`."""
        self.calls += 1
        address = self._endpoints[self._endpoint_index % len(self._endpoints)]
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
            yield from stream.send_request(head, data, until)
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed) as exc:
            self._endpoint_index += 1
            if stream is not None:
                stream.close()
            # The store doesn't carry out a request that it has not received completely.
            raise StoreUnavailable(str(exc) or "sending the call timed out", maybe_applied=False) from None
        return stream

    def call(self, path: str, body: Json) -> Coroutine[Json]:
        """Make one call and return the answer; raises `StoreUnavailable` or `StoreRejected`."""
        until = self._loop.now() + CALL_TIMEOUT_US
        stream = yield from self._stream(path, body, until)
        try:
            answer = yield from stream.response(until, MAX_ANSWER_BYTES)
            value = json.loads(answer.body)
            if not isinstance(value, dict):
                raise ValueError("the answer is not a JSON object")
        except (ConnectionFailed, DeadlineExceeded, Malformed, ValueError, RecursionError) as exc:
            self._endpoint_index += 1
            raise StoreUnavailable(str(exc) or "no answer before the timeout", maybe_applied=True) from None
        finally:
            stream.close()
        if answer.status == 200:
            return value
        code = value.get("code")
        if code == UNAVAILABLE or answer.status >= 500 or not isinstance(code, int):
            # etcd also answers so when it loses its leader during a call, and may have committed before.
            self._endpoint_index += 1
            raise StoreUnavailable(f"status {answer.status}: {value.get('message')}", maybe_applied=True)
        raise StoreRejected(code, str(value.get("message")))

    # Reading

    def range(self, key: bytes, end: bytes = b"") -> Coroutine[tuple[int, list[Item]]]:
        """Return the store's revision and the keys of a range; all pages are read at that revision."""
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
            "key": _base64(start),
            "range_end": _base64(end),
            "limit": str(PAGE_KEYS),
            "revision": str(revision),
        }
        try:
            answer = yield from self.call("/v3/kv/range", body)
        except StoreRejected as exc:
            if revision and exc.code == OUT_OF_RANGE:
                # The revision was compacted between two pages. As `StoreRejected` this would count as an
                # invalid call.
                raise StoreUnavailable(str(exc), maybe_applied=False) from None
            raise
        return _parse(
            lambda: Page(
                int(answer["header"]["revision"]),
                [_item(kv) for kv in answer.get("kvs", [])],
                bool(answer.get("more", False)),
            )
        )

    def watch(
        self, key: bytes, end: bytes, start: int, on_change: Callable[[list[Item], int], None], timeout: int
    ) -> Coroutine[None]:
        """Call `on_change` with changed keys and the store's revision, from the revision `start` on.

        Ends with `StoreUnavailable` or `Compacted`. `timeout`: us without a message after which the watch
        counts as broken. The caller then has to read the range again, since a store may keep the connection
        open and send nothing.
        """
        body = {
            "create_request": {"key": _base64(key), "range_end": _base64(end), "start_revision": str(start)}
        }
        stream = yield from self._stream("/v3/watch", body, self._loop.now() + CALL_TIMEOUT_US)
        try:
            answer = yield from stream.response_head(self._loop.now() + CALL_TIMEOUT_US)
            if answer.status != 200:
                raise ConnectionFailed(f"status {answer.status}")
            partial = b""
            while True:
                event = yield from stream.event(self._loop.now() + timeout)
                if not isinstance(event, h11.Data):
                    raise ConnectionFailed("the store ended the watch")
                *lines, partial = (partial + bytes(event.data)).split(b"\n")
                if len(partial) > MAX_ANSWER_BYTES:
                    raise ConnectionFailed(f"a line of the watch is over {MAX_ANSWER_BYTES} bytes")
                for line in lines:
                    self._deliver(json.loads(line)["result"], on_change)
        except (
            ConnectionFailed,
            DeadlineExceeded,
            Malformed,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
        ) as exc:
            self._endpoint_index += 1
            raise StoreUnavailable(
                str(exc) or "no message from the watch before the timeout", maybe_applied=False
            ) from None
        finally:
            stream.close()

    def _deliver(self, result: Json, on_change: Callable[[list[Item], int], None]) -> None:
        if result.get("canceled"):
            raise Compacted(int(result.get("compact_revision", 0)))
        items = [_item(each["kv"], deleted=each.get("type") == "DELETE") for each in result.get("events", [])]
        on_change(items, int(result["header"]["revision"]))

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
        """Put a value, or delete the key for None, if the key is unchanged since `item` and `compares` hold.

        Retries until the store answers. `value` has to differ from any other value put under the key;
        `extra_operations` are carried out in the same transaction. Returns None once committed. Otherwise
        returns the key as it is now, which equals `item` if one of `compares` did not hold. Raises
        `StoreRejected`; and `StoreUnavailable` if there is no answer by `until`: the transaction may then
        have been committed, or may still be.

        Every attempt compares the key's revision, so that only one takes effect even if an earlier attempt
        reaches the store late. If an answer was lost, the next attempt's failure branch reads the key and
        finds the value.
        """
        body = {
            "compare": [compare_unchanged(item), *(compares or [])],
            "success": [
                delete(item.key) if value is None else put(item.key, value, lease),
                *(extra_operations or []),
            ],
            "failure": [{"request_range": {"key": _base64(item.key)}}],
        }
        pause = Backoff(MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US, self._random)
        maybe_applied = False
        while True:
            try:
                answer = yield from self.call("/v3/kv/txn", body)
                break
            except StoreUnavailable as exc:
                maybe_applied = maybe_applied or exc.maybe_applied
                retry_at = self._loop.now() + pause.failed()
                if retry_at >= until:
                    raise StoreUnavailable(str(exc), maybe_applied) from None
                yield Wait(until=retry_at)
        if answer.get("succeeded"):
            return None
        kvs = _parse(lambda: answer["responses"][0]["response_range"].get("kvs", []))
        current = _item(kvs[0]) if kvs else Item(item.key)
        return None if current.value == value else current

    # Leases

    def grant(self, ttl: int) -> Coroutine[Lease]:
        """Request a lease of `ttl` seconds; raises `StoreUnavailable` or `StoreRejected`."""
        requested_at = self._loop.now()
        answer = yield from self.call("/v3/lease/grant", {"TTL": str(ttl)})
        return _parse(lambda: lease_from_grant(int(answer["ID"]), int(answer["TTL"]), requested_at))

    def extend(self, lease: Lease) -> Coroutine[Lease | None]:
        """Extend a lease by its full time; returns None if the store doesn't know it any more."""
        requested_at = self._loop.now()
        answer = yield from self.call("/v3/lease/keepalive", {"ID": str(lease.id)})
        ttl = _parse(lambda: int(answer["result"].get("TTL", 0)))
        return lease_from_grant(lease.id, ttl, requested_at) if ttl > 0 else None

    def revoke(self, lease: Lease) -> Coroutine[None]:
        """Revoke a lease; the store deletes the keys attached to it."""
        yield from self.call("/v3/lease/revoke", {"ID": str(lease.id)})


def compare_created(key: bytes, create_revision: int) -> Json:
    """Return a comparison: the key has not been deleted or created again since it was created.

    Compared on the key of an election, it holds only while the same process leads.
    """
    return {"key": _base64(key), "target": "CREATE", "create_revision": str(create_revision)}


def item_at(items: Mapping[bytes, Item], key: bytes) -> Item:
    """Return the item of a key among those that were read; without a value if the key is not among them."""
    return items.get(key, Item(key))


def compare_unchanged(item: Item) -> Json:
    """Return a comparison: the key is unchanged since it was read, or still doesn't exist."""
    mod_revision = item.mod_revision if item.value is not None else 0
    return {"key": _base64(item.key), "target": "MOD", "mod_revision": str(mod_revision)}


def put(key: bytes, value: bytes, lease: int = 0) -> Json:
    """Return an operation that puts a key."""
    return {"request_put": {"key": _base64(key), "value": _base64(value), "lease": str(lease)}}


def delete(key: bytes, end: bytes = b"") -> Json:
    """Return an operation that deletes a key, if it exists, or all keys from it to before `end`."""
    return {"request_delete_range": {"key": _base64(key), "range_end": _base64(end)}}


def _base64(data: bytes) -> str:
    return b64encode(data).decode()


def _item(kv: Json, deleted: bool = False) -> Item:
    key = b64decode(kv["key"])
    if deleted:
        return Item(key, None, int(kv.get("mod_revision", 0)))
    return Item(
        key,
        b64decode(kv.get("value", "")),
        int(kv["mod_revision"]),
        int(kv["create_revision"]),
        int(kv.get("lease", 0)),
    )


def _parse(read: Callable[[], T]) -> T:
    """Return what `read` takes from an answer; a malformed answer counts as none."""
    try:
        return read()
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUnavailable(f"malformed answer: {exc!r}", maybe_applied=True) from None
