"""A stand-in for the fleet's store: etcd v3's JSON gateway over HTTP/1.1, with a log and injected faults.

Each change is written to the log and the log flushed to disk before the call is answered, so a store that is
started again on the same file has the state of the one that was killed. In the JSON, keys and values are
base64 and integers are strings, as in etcd.
"""

from __future__ import annotations

import json
import os
import socket
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

from pulleyroute.emulator.store_model import INVALID_ARGUMENT, Item, Request, Store, StoreError
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Message, Stream
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Task, Wait

UNAVAILABLE = 14  # gRPC status code
POLL_INTERVAL_US = 20_000  # between checks for changes to send to watches, and for expired leases
HTTP_STATUS = {UNAVAILABLE: 503, 5: 404, 13: 500}  # by gRPC status code; 400 for the others
Json = dict[str, Any]


@dataclass(slots=True)
class Faults:
    """The faults to inject; they may change while the store runs.

    The fields are the keys in the body of `POST /faults`.
    """

    slow: int = 0  # delay before each response, in microseconds
    leaderless: bool = False  # every call fails with "no leader"
    lose_answers: int = 0  # for this many changes, the change is applied and the connection closed unanswered
    silent_watches: bool = False  # watches stay open and send nothing
    # Transactions that put a key with the prefix `gather_under` wait until this many such keys are requested.
    gather: int = 0
    gather_under: str = ""


class Server:
    """Owns the listener, the model of the store and its log."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int] = ("127.0.0.1", 0),
        log: Path | None = None,
        leases: Literal["extend", "end"] = "extend",
    ) -> None:
        """Replay the log and listen.

        `leases`: whether the leases in the log start again with their whole TTL, as in etcd, or end.
        """
        self._loop, self._pool = loop, BufferPool()
        self.store, self.faults = Store(), Faults()
        self._log: int | None = None  # file descriptor
        self._log_failed = False  # the log could not be written: further calls are rejected
        self._gathered_keys: set[bytes] = set()  # keys that delayed transactions put
        self._tasks: list[Task] = []
        self._streams: set[Stream] = set()
        self._handlers: dict[bytes, Callable[[Json], Json]] = {
            b"/v3/kv/range": self._range,
            b"/v3/kv/put": self._put,
            b"/v3/kv/deleterange": self._deleterange,
            b"/v3/kv/txn": self._txn,
            b"/v3/kv/compaction": self._compaction,
            b"/v3/lease/grant": self._grant,
            b"/v3/lease/revoke": self._revoke,
            b"/v3/lease/keepalive": self._keepalive,
        }
        if log is not None:
            self._replay(log)
            for lease_id in list(self.store.leases):
                if leases == "end":
                    self.store.revoke(lease_id)
                else:
                    self.store.keep_alive(lease_id, loop.now())
        self._sock = socket.create_server(address)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._tasks = [
            loop.spawn(self._accept_connections(), "store"),
            loop.spawn(self._expire_leases(), "leases"),
        ]

    def close(self) -> None:
        """End as a killed process does: connections break, and the log remains."""
        for task in self._tasks:
            task.cancel()
        for stream in list(self._streams):
            stream.close()
        self._loop.forget(self._sock.fileno())
        self._sock.close()
        if self._log is not None:
            os.close(self._log)
            self._log = None

    # The log

    def _replay(self, path: Path) -> None:
        data = path.read_bytes() if path.exists() else b""
        complete = data[: data.rfind(b"\n") + 1]
        for line in complete.splitlines():
            entry = json.loads(line)
            self._handlers[entry["path"].encode()](entry["body"])
        self._log = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        # Drops the incomplete line that a kill leaves, which would corrupt the next one; its call was never
        # answered.
        os.ftruncate(self._log, len(complete))

    def _append_to_log(self, path: bytes, body: Json) -> None:
        if self._log is None:
            return
        line = json.dumps({"path": path.decode(), "body": body}).encode() + b"\n"
        try:
            if os.write(self._log, line) != len(line):
                raise OSError("the disk is full")
            os.fsync(self._log)
        except OSError as exc:
            self._log_failed = True
            raise StoreError(13, f"the log can't be written: {exc}") from None

    def _expire_leases(self) -> Coroutine[None]:
        while True:
            for lease_id in self.store.expired_leases(self._loop.now()):
                self.store.revoke(lease_id)
                self._append_to_log(b"/v3/lease/revoke", {"ID": str(lease_id)})
            yield Wait(until=self._loop.now() + POLL_INTERVAL_US)

    # Connections

    def _accept_connections(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                yield Wait(self._sock.fileno(), READABLE)
                continue
            sock.setblocking(False)
            self._tasks = [task for task in self._tasks if not task.done]
            self._tasks.append(
                self._loop.spawn(self._serve(Stream(self._loop, self._pool, sock, server=True)), "store call")
            )

    def _serve(self, stream: Stream) -> Coroutine[None]:
        self._streams.add(stream)
        try:
            while (message := (yield from stream.request(None, 1024 * 1024))) is not None:
                if self.faults.slow and message.target != b"/faults":
                    yield Wait(until=self._loop.now() + self.faults.slow)
                if message.target == b"/v3/watch" and not self.faults.leaderless:
                    yield from self._serve_watch(stream, message.body)
                    return
                if message.target == b"/faults":
                    status, body = self._set_faults(message.body)
                    yield from stream.answer(status, body, [], True, None)
                    return
                yield from self._wait_for_gathered(message)
                revision_before = self.store.revision
                status, body = self._handle(message.target, message.body)
                if self.faults.lose_answers and self.store.revision != revision_before:
                    self.faults.lose_answers -= 1
                    return
                if not (yield from stream.answer(status, body, [], False, None)):
                    return
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    def _wait_for_gathered(self, message: Message) -> Coroutine[None]:
        """Delay a transaction until `gather` keys are requested.

        None of the clients then knows of another's request at the time of its own.
        """
        if not self.faults.gather or message.target != b"/v3/kv/txn":
            return
        requested = _put_keys_with_prefix(message.body, self.faults.gather_under.encode())
        self._gathered_keys |= requested
        if not requested:
            return
        while len(self._gathered_keys) < self.faults.gather:
            yield Wait(until=self._loop.now() + POLL_INTERVAL_US)

    def _set_faults(self, data: bytes) -> tuple[int, bytes]:
        """Handle `POST /faults`, which etcd does not have: replaces the faults to inject."""
        try:
            self.faults = Faults(**json.loads(data))
        except (ValueError, TypeError) as exc:
            return 400, f"{exc}\n".encode()
        return 200, b"{}"

    def _handle(self, path: bytes, data: bytes) -> tuple[int, bytes]:
        try:
            if self.faults.leaderless or self._log_failed:
                raise StoreError(UNAVAILABLE, "etcdserver: no leader")
            handler = self._handlers.get(path)
            if handler is None:
                raise StoreError(5, "Not Found")
            body = json.loads(data)
            before = self.store.revision, len(self.store.leases), self.store.compacted
            answer = handler(body)
            if (self.store.revision, len(self.store.leases), self.store.compacted) != before:
                self._append_to_log(
                    path, {**body, "ID": answer["ID"]} if path == b"/v3/lease/grant" else body
                )
            return 200, json.dumps({"header": self._header(), **answer}).encode()
        except StoreError as exc:
            return HTTP_STATUS.get(exc.code, 400), json.dumps(
                {"code": exc.code, "message": str(exc)}
            ).encode()
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
            return 400, json.dumps({"code": INVALID_ARGUMENT, "message": f"not a request: {exc!r}"}).encode()

    def _header(self) -> Json:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.store.revision), "raft_term": "2"}

    # Calls

    def _range(self, body: Json) -> Json:
        items = self.store.range(_bytes(body, "key"), _bytes(body, "range_end"), int(body.get("revision", 0)))
        limit = int(body.get("limit", 0)) or len(items)
        answer: Json = {"kvs": [_item(item) for item in items[:limit]], "count": str(len(items))}
        return {**answer, "more": True} if len(items) > limit else answer

    def _put(self, body: Json) -> Json:
        self.store.txn([], [_op({"request_put": body})], [])
        return {}

    def _deleterange(self, body: Json) -> Json:
        _, (deleted,) = self.store.txn([], [_op({"request_delete_range": body})], [])
        return {"deleted": str(len(deleted))}

    def _txn(self, body: Json) -> Json:
        branches = [[_op(each) for each in body.get(name, [])] for name in ("success", "failure")]
        succeeded, results = self.store.txn([_compare(each) for each in body.get("compare", [])], *branches)
        responses: list[Json] = []
        for op, result in zip(branches[0 if succeeded else 1], results, strict=True):
            if op["op"] == "put":
                responses.append({"response_put": {}})
            elif op["op"] == "delete":
                responses.append({"response_delete_range": {"deleted": str(len(result))}})
            else:
                responses.append(
                    {"response_range": {"kvs": [_item(item) for item in result], "count": str(len(result))}}
                )
        return {"succeeded": succeeded, "responses": responses}

    def _compaction(self, body: Json) -> Json:
        self.store.compact(int(body.get("revision", 0)))
        return {}

    def _grant(self, body: Json) -> Json:
        lease_id = self.store.grant(int(body.get("TTL", 0)), int(body.get("ID", 0)), self._loop.now())
        return {"ID": str(lease_id), "TTL": str(self.store.leases[lease_id].ttl)}

    def _revoke(self, body: Json) -> Json:
        self.store.revoke(int(body.get("ID", 0)))
        return {}

    def _keepalive(self, body: Json) -> Json:
        lease_id = int(body.get("ID", 0))
        ttl = self.store.keep_alive(lease_id, self._loop.now())
        return {"result": {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}}

    def _serve_watch(self, stream: Stream, data: bytes) -> Coroutine[None]:
        """Send the changes of the watched range, one JSON object per line, until the connection ends."""
        try:
            request = json.loads(data)["create_request"]
            key, end = _bytes(request, "key"), _bytes(request, "range_end")
            start = int(request.get("start_revision", 0)) or self.store.revision + 1
        except (ValueError, KeyError, TypeError, AttributeError):
            yield from stream.answer(400, b"{}", [], True, None)
            return
        yield from stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
        yield from stream.send(_line({"header": self._header(), "created": True}), None)
        while True:
            if not self.faults.silent_watches:
                if start <= self.store.compacted:
                    yield from stream.send(
                        _line(
                            {
                                "header": self._header(),
                                "canceled": True,
                                "compact_revision": str(self.store.compacted),
                            }
                        ),
                        None,
                    )
                    return
                # Skipped if there is no new revision: reading the changes scans the history of all keys.
                changes = self.store.events(key, end, start) if start <= self.store.revision else []
                start = max(start, self.store.revision + 1)
                if changes:
                    yield from stream.send(
                        _line(
                            {
                                "header": self._header(),
                                "events": [
                                    {"kv": _item(item)}
                                    if item.version
                                    else {"type": "DELETE", "kv": _item(item)}
                                    for item in changes
                                ],
                            }
                        ),
                        None,
                    )
            yield Wait(until=self._loop.now() + POLL_INTERVAL_US)


def _put_keys_with_prefix(data: bytes, prefix: bytes) -> set[bytes]:
    """Return the keys with this prefix that a transaction puts; none if the transaction is malformed."""
    try:
        puts = [op["request_put"] for op in json.loads(data).get("success", []) if "request_put" in op]
        keys = {_bytes(each, "key") for each in puts}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return set()
    return {key for key in keys if key.startswith(prefix)}


def _line(result: Json) -> bytes:
    data = json.dumps({"result": result}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


def _bytes(body: Json, name: str) -> bytes:
    return b64decode(body.get(name, ""), validate=True)


def _item(item: Item) -> Json:
    each: Json = {"key": b64encode(item.key).decode(), "mod_revision": str(item.mod_revision)}
    if item.version:
        each |= {
            "create_revision": str(item.create_revision),
            "version": str(item.version),
            "value": b64encode(item.value).decode(),
        }
        if item.lease:
            each["lease"] = str(item.lease)
    return each


def _op(body: Json) -> Request:
    """Translate one operation of a transaction into the form that the model takes."""
    ((kind, each),) = body.items()
    if kind == "request_put":
        return {
            "op": "put",
            "key": _bytes(each, "key"),
            "value": _bytes(each, "value"),
            "lease": int(each.get("lease", 0)),
        }
    if kind == "request_delete_range":
        return {"op": "delete", "key": _bytes(each, "key"), "end": _bytes(each, "range_end")}
    if kind == "request_range":
        return {
            "op": "range",
            "key": _bytes(each, "key"),
            "end": _bytes(each, "range_end"),
            "revision": int(each.get("revision", 0)),
        }
    raise StoreError(INVALID_ARGUMENT, f"an operation {kind!r} is not known")


_OPERAND_KEYS = {  # by the target of a comparison
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
    "VALUE": "value",
}


def _compare(body: Json) -> Request:
    """Translate one comparison of a transaction into the form that the model takes."""
    target = body.get("target", "VERSION")
    name = _OPERAND_KEYS[target]
    operand = _bytes(body, name) if target == "VALUE" else int(body.get(name, 0))
    return {
        "key": _bytes(body, "key"),
        "target": target,
        "want": operand,
        "result": body.get("result", "EQUAL"),
    }
