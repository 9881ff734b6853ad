"""The common store's stand-in: etcd v3's JSON gateway over HTTP/1.1, on the loop, with a log and with faults.

A change is in the log, and the log on the disk, before it is answered; a store started anew on the same file
is the one that was killed. Keys and values are base64 in JSON, whole numbers are texts, as in the original.
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

from pulleyroute.emulator.store_model import INVALID, Item, Refused, Request, Store
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Message, Stream
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Task, Wait

UNAVAILABLE = 14
LOOK = 20_000  # us between two looks for what a watch has to tell, and for leases that lapse
STATUS = {UNAVAILABLE: 503, 5: 404, 13: 500}
Json = dict[str, Any]


@dataclass(slots=True)
class Faults:
    """What the store is told to do wrong; it may change while the store runs."""

    slow: int = 0  # us before each answer
    leaderless: bool = False  # every call is turned down
    lose_answers: int = 0  # so many changes are carried out and their connection closed unanswered
    silent_watches: bool = False  # watches stay open and tell nothing
    gather: int = (
        0  # transactions that put a key under `gather_under` are held until so many keys are asked for
    )
    gather_under: str = ""


class Server:
    """Owns the listener, the model and its log."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int] = ("127.0.0.1", 0),
        log: Path | None = None,
        leases: Literal["extend", "end"] = "extend",
    ) -> None:
        """`leases`: what becomes of those in the log: their whole time anew, as in the original, or none."""
        self._loop, self._pool = loop, BufferPool()
        self.store, self.faults = Store(), Faults()
        self._log: int | None = None
        self._full = False  # the log can't be written: nothing is promised any more
        self._gathered: set[bytes] = set()  # keys that held transactions ask for
        self._tasks: list[Task] = []
        self._streams: set[Stream] = set()
        self._paths: dict[bytes, Callable[[Json], Json]] = {
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
            for number in list(self.store.leases):
                if leases == "end":
                    self.store.revoke(number)
                else:
                    self.store.keep_alive(number, loop.now())
        self._sock = socket.create_server(address)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._tasks = [loop.spawn(self._accepting(), "store"), loop.spawn(self._lapsing(), "leases")]

    def close(self) -> None:
        """As a kill does it: connections break, what is in the log stays."""
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
        whole = data[: data.rfind(b"\n") + 1]
        for line in whole.splitlines():
            entry = json.loads(line)
            self._paths[entry["path"].encode()](entry["body"])
        self._log = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        # Guards the next line against what a kill left half written: it was never answered.
        os.ftruncate(self._log, len(whole))

    def _keep(self, path: bytes, body: Json) -> None:
        if self._log is None:
            return
        line = json.dumps({"path": path.decode(), "body": body}).encode() + b"\n"
        try:
            if os.write(self._log, line) != len(line):
                raise OSError("the disk is full")
            os.fsync(self._log)
        except OSError as exc:
            self._full = True
            raise Refused(13, f"the log can't be written: {exc}") from None

    def _lapsing(self) -> Coroutine[None]:
        while True:
            for number in self.store.lapsed(self._loop.now()):
                self.store.revoke(number)
                self._keep(b"/v3/lease/revoke", {"ID": str(number)})
            yield Wait(until=self._loop.now() + LOOK)

    # Connections

    def _accepting(self) -> Coroutine[None]:
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                yield Wait(self._sock.fileno(), READABLE)
                continue
            sock.setblocking(False)
            self._tasks = [task for task in self._tasks if not task.done]
            self._tasks.append(
                self._loop.spawn(
                    self._serving(Stream(self._loop, self._pool, sock, server=True)), "store call"
                )
            )

    def _serving(self, stream: Stream) -> Coroutine[None]:
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
                yield from self._gathering(message)
                before = self.store.revision
                status, body = self._answer(message.target, message.body)
                if self.faults.lose_answers and self.store.revision != before:
                    self.faults.lose_answers -= 1
                    return
                if not (yield from stream.answer(status, body, [], False, None)):
                    return
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    def _gathering(self, message: Message) -> Coroutine[None]:
        """Hold a transaction until all that `gather` names are there, so that none has heard of another's."""
        if not self.faults.gather or message.target != b"/v3/kv/txn":
            return
        asked = _puts_under(message.body, self.faults.gather_under.encode())
        self._gathered |= asked
        if not asked:
            return
        while len(self._gathered) < self.faults.gather:
            yield Wait(until=self._loop.now() + LOOK)

    def _set_faults(self, data: bytes) -> tuple[int, bytes]:
        """`POST /faults`, which only the stand-in has: what it is to do wrong from now on."""
        try:
            self.faults = Faults(**json.loads(data))
        except (ValueError, TypeError) as exc:
            return 400, f"{exc}\n".encode()
        return 200, b"{}"

    def _answer(self, path: bytes, data: bytes) -> tuple[int, bytes]:
        try:
            if self.faults.leaderless or self._full:
                raise Refused(UNAVAILABLE, "etcdserver: no leader")
            call = self._paths.get(path)
            if call is None:
                raise Refused(5, "Not Found")
            body = json.loads(data)
            before = self.store.revision, len(self.store.leases), self.store.compacted
            answer = call(body)
            if (self.store.revision, len(self.store.leases), self.store.compacted) != before:
                self._keep(path, {**body, "ID": answer["ID"]} if path == b"/v3/lease/grant" else body)
            return 200, json.dumps({"header": self._header(), **answer}).encode()
        except Refused as exc:
            return STATUS.get(exc.code, 400), json.dumps({"code": exc.code, "message": str(exc)}).encode()
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
            return 400, json.dumps({"code": INVALID, "message": f"not a request: {exc!r}"}).encode()

    def _header(self) -> Json:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.store.revision), "raft_term": "2"}

    # Calls

    def _range(self, body: Json) -> Json:
        items = self.store.range(_bytes(body, "key"), _bytes(body, "range_end"), int(body.get("revision", 0)))
        limit = int(body.get("limit", 0)) or len(items)
        told: Json = {"kvs": [_item(item) for item in items[:limit]], "count": str(len(items))}
        return {**told, "more": True} if len(items) > limit else told

    def _put(self, body: Json) -> Json:
        self.store.txn([], [_op({"request_put": body})], [])
        return {}

    def _deleterange(self, body: Json) -> Json:
        _, (gone,) = self.store.txn([], [_op({"request_delete_range": body})], [])
        return {"deleted": str(len(gone))}

    def _txn(self, body: Json) -> Json:
        branches = [[_op(each) for each in body.get(name, [])] for name in ("success", "failure")]
        held, answers = self.store.txn([_compare(each) for each in body.get("compare", [])], *branches)
        told: list[Json] = []
        for op, answer in zip(branches[0 if held else 1], answers, strict=True):
            if op["op"] == "put":
                told.append({"response_put": {}})
            elif op["op"] == "delete":
                told.append({"response_delete_range": {"deleted": str(len(answer))}})
            else:
                told.append(
                    {"response_range": {"kvs": [_item(item) for item in answer], "count": str(len(answer))}}
                )
        return {"succeeded": held, "responses": told}

    def _compaction(self, body: Json) -> Json:
        self.store.compact(int(body.get("revision", 0)))
        return {}

    def _grant(self, body: Json) -> Json:
        number = self.store.grant(int(body.get("TTL", 0)), int(body.get("ID", 0)), self._loop.now())
        return {"ID": str(number), "TTL": str(self.store.leases[number].ttl)}

    def _revoke(self, body: Json) -> Json:
        self.store.revoke(int(body.get("ID", 0)))
        return {}

    def _keepalive(self, body: Json) -> Json:
        number = int(body.get("ID", 0))
        left = self.store.keep_alive(number, self._loop.now())
        return {"result": {"header": self._header(), "ID": str(number), "TTL": str(left)}}

    def _serve_watch(self, stream: Stream, data: bytes) -> Coroutine[None]:
        """Tell of changes, one JSON object a line, until the connection ends."""
        try:
            wanted = json.loads(data)["create_request"]
            key, end = _bytes(wanted, "key"), _bytes(wanted, "range_end")
            start = int(wanted.get("start_revision", 0)) or self.store.revision + 1
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
                # Not at every look: reading what has changed goes through all keys' history.
                changed = self.store.events(key, end, start) if start <= self.store.revision else []
                start = max(start, self.store.revision + 1)
                if changed:
                    yield from stream.send(
                        _line(
                            {
                                "header": self._header(),
                                "events": [
                                    {"kv": _item(item)}
                                    if item.version
                                    else {"type": "DELETE", "kv": _item(item)}
                                    for item in changed
                                ],
                            }
                        ),
                        None,
                    )
            yield Wait(until=self._loop.now() + LOOK)


def _puts_under(data: bytes, prefix: bytes) -> set[bytes]:
    """The keys below a prefix that a transaction puts; none where it is not in form."""
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
    each: Json = {"key": b64encode(item.key).decode(), "mod_revision": str(item.mod)}
    if item.version:
        each |= {
            "create_revision": str(item.create),
            "version": str(item.version),
            "value": b64encode(item.value).decode(),
        }
        if item.lease:
            each["lease"] = str(item.lease)
    return each


def _op(body: Json) -> Request:
    """One operation of a transaction, as the model takes it."""
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
    raise Refused(INVALID, f"an operation {kind!r} is not known")


_TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
    "VALUE": "value",
}


def _compare(body: Json) -> Request:
    target = body.get("target", "VERSION")
    name = _TARGETS[target]
    want = _bytes(body, name) if target == "VALUE" else int(body.get(name, 0))
    return {"key": _bytes(body, "key"), "target": target, "want": want, "result": body.get("result", "EQUAL")}
