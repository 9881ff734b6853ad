"""A toy discovery with two toy instances, to try the dispatcher by hand. Only for that: it keeps no rules.

    python -m examples.toy_server [HOST]

from the root, listens on HOST (127.0.0.1 unless named): discovery on port 8500, instances on 9001 and 9002.
It stands on the package's own loop, so it also shows how a coroutine on it looks.
"""

from __future__ import annotations

import json
import socket
import sys

import h11

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Stream, connect
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait

DISCOVERY_PORT = 8500
INSTANCES = {"s-one": 9001, "s-two": 9002}
DISPATCHER_PORT = 8080
RUNNING = 50_000  # microseconds that a job takes
SLOTS = 2


class Toy:
    """All parties but the client and the dispatcher."""

    def __init__(self, host: str) -> None:
        self.loop = Loop(lambda name, exc: print(f"{name}: {exc!r}", flush=True))
        self.pool = BufferPool()
        self.host = host
        self.running = dict.fromkeys(INSTANCES, 0)
        for name, port in [("discovery", DISCOVERY_PORT), *INSTANCES.items()]:
            self.loop.spawn(self.listening(name, port), name)

    def listening(self, name: str, port: int) -> Coroutine[None]:
        listener = socket.create_server((self.host, port))
        listener.setblocking(False)
        print(f"{name} listens on {self.host}:{port}", flush=True)
        while True:
            yield Wait(listener.fileno(), READABLE)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:  # readiness is a hint
                continue
            sock.setblocking(False)
            stream = Stream(self.loop, self.pool, sock, server=True)
            self.loop.spawn(self.serving(name, stream), f"connection to {name}")

    def serving(self, name: str, stream: Stream) -> Coroutine[None]:
        try:
            while (message := (yield from stream.request(None))) is not None:
                path = message.target.decode()
                if name == "discovery" and "watch" in path:
                    yield from self.watched(stream)
                elif name == "discovery":
                    yield from stream.answer(200, self.table(), [], False, None)
                elif path == "/-/load":
                    held = self.running[name]
                    load = f"queue={max(0, held - SLOTS)},inflight={held},x0={max(0, SLOTS - held)}"
                    yield from stream.answer(200, load.encode(), [], False, None)
                elif message.method == b"POST":
                    yield from stream.answer(202, b"", [], False, None)
                    txn = (message.single_header(b"x-txn") or b"").decode()
                    self.loop.spawn(self.job(name, txn, message.body), f"job {txn}")
                else:
                    yield from stream.answer(404, b"", [], False, None)
        except (ConnectionFailed, Malformed):
            pass
        finally:
            stream.close()

    def table(self) -> bytes:
        return json.dumps(
            {
                "revision": 1,
                "complete": True,
                "members": [
                    {
                        "id": name,
                        "host_port": f"{self.host}:{port}",
                        "locality": "leicester",
                        "flavor": "new-kit",
                        "cell": 0,
                        "phase": "active",
                        "size": 1.0,
                        "up_since_ms": 0,
                    }
                    for name, port in INSTANCES.items()
                ],
            }
        ).encode()

    def watched(self, stream: Stream) -> Coroutine[None]:
        """The whole list, then an empty line every 2 s."""
        line = self.table() + b"\n"
        yield from stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
        while True:
            yield from stream.send(b"%x\r\n%s\r\n" % (len(line), line), None)
            line = b"\n"
            yield Wait(until=self.loop.now() + 2_000_000)

    def job(self, name: str, txn: str, body: bytes) -> Coroutine[None]:
        self.running[name] += 1
        yield from self.call(name, txn, {"state": "started"})
        yield Wait(until=self.loop.now() + RUNNING)
        self.running[name] -= 1
        result = f"{name} did {body.decode(errors='replace')}"
        yield from self.call(name, txn, {"state": "done", "result": result})

    def call(self, name: str, txn: str, news: dict[str, str]) -> Coroutine[None]:
        body = json.dumps({"id": txn, "from": name, **news}).encode()
        until = self.loop.now() + 1_000_000
        try:
            stream = yield from connect(self.loop, self.pool, (self.host, DISPATCHER_PORT), until)
        except (ConnectionFailed, DeadlineExceeded):
            return
        try:
            head = h11.Request(
                method=b"POST",
                target=b"/callback",
                headers=[(b"Host", b"dispatcher"), (b"Content-Length", b"%d" % len(body))],
            )
            yield from stream.send(stream.frame(head, body), until)
            yield from stream.response(until)
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            stream.close()


if __name__ == "__main__":
    try:
        Toy(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1").loop.run()
    except KeyboardInterrupt:
        sys.exit(0)
