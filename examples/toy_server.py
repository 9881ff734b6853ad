"""A minimal discovery with two minimal instances, to try the dispatcher by hand.

    python -m examples.toy_server [HOST]

Run from the root of the repository, it listens on HOST (default 127.0.0.1): discovery on port 8500, the
instances on ports 9001 and 9002. It is for trials only, because it does not follow the rules of a real
instance. It runs on the package's own event loop, and so also shows how coroutines are written for it.
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
JOB_TIME_US = 50_000
SLOTS = 2  # jobs that an instance reports to run at the same time


class ToyServer:
    """Discovery and the instances on one event loop."""

    def __init__(self, host: str) -> None:
        self.loop = Loop(lambda name, exc: print(f"{name}: {exc!r}", flush=True))
        self.pool = BufferPool()
        self.host = host
        self.running = dict.fromkeys(INSTANCES, 0)  # number of jobs by instance
        for name, port in [("discovery", DISCOVERY_PORT), *INSTANCES.items()]:
            self.loop.spawn(self.accept_connections(name, port), name)

    def accept_connections(self, name: str, port: int) -> Coroutine[None]:
        """Accept connections to discovery or an instance, and serve each in a task of its own."""
        listener = socket.create_server((self.host, port))
        listener.setblocking(False)
        print(f"{name} listens on {self.host}:{port}", flush=True)
        while True:
            yield Wait(listener.fileno(), READABLE)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:  # a readable listener does not guarantee a connection
                continue
            sock.setblocking(False)
            stream = Stream(self.loop, self.pool, sock, server=True)
            self.loop.spawn(self.serve_connection(name, stream), f"connection to {name}")

    def serve_connection(self, name: str, stream: Stream) -> Coroutine[None]:
        """Answer the requests on one connection until it is closed."""
        try:
            while (message := (yield from stream.request(None))) is not None:
                path = message.target.decode()
                if name == "discovery" and "watch" in path:
                    yield from self.serve_watch(stream)
                elif name == "discovery":
                    yield from stream.answer(200, self.instance_list(), [], False, None)
                elif path == "/-/load":
                    in_hand = self.running[name]
                    load = f"queue={max(0, in_hand - SLOTS)},inflight={in_hand},x0={max(0, SLOTS - in_hand)}"
                    yield from stream.answer(200, load.encode(), [], False, None)
                elif message.method == b"POST":
                    yield from stream.answer(202, b"", [], False, None)
                    txn = (message.single_header(b"x-txn") or b"").decode()
                    self.loop.spawn(self.run_job(name, txn, message.body), f"job {txn}")
                else:
                    yield from stream.answer(404, b"", [], False, None)
        except (ConnectionFailed, Malformed):
            pass
        finally:
            stream.close()

    def instance_list(self) -> bytes:
        """Return the list of instances as discovery's JSON."""
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

    def serve_watch(self, stream: Stream) -> Coroutine[None]:
        """Send the whole list, then an empty line every 2 s."""
        line = self.instance_list() + b"\n"
        yield from stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
        while True:
            yield from stream.send(b"%x\r\n%s\r\n" % (len(line), line), None)
            line = b"\n"
            yield Wait(until=self.loop.now() + 2_000_000)

    def run_job(self, name: str, txn: str, body: bytes) -> Coroutine[None]:
        """Run a job, and report its start and its end to the dispatcher."""
        self.running[name] += 1
        yield from self.send_callback(name, txn, {"state": "started"})
        yield Wait(until=self.loop.now() + JOB_TIME_US)
        self.running[name] -= 1
        result = f"{name} did {body.decode(errors='replace')}"
        yield from self.send_callback(name, txn, {"state": "done", "result": result})

    def send_callback(self, name: str, txn: str, state: dict[str, str]) -> Coroutine[None]:
        """Send a callback to the dispatcher; a failure is ignored."""
        body = json.dumps({"id": txn, "from": name, **state}).encode()
        deadline = self.loop.now() + 1_000_000
        try:
            stream = yield from connect(self.loop, self.pool, (self.host, DISPATCHER_PORT), deadline)
        except (ConnectionFailed, DeadlineExceeded):
            return
        try:
            head = h11.Request(
                method=b"POST",
                target=b"/callback",
                headers=[(b"Host", b"dispatcher"), (b"Content-Length", b"%d" % len(body))],
            )
            yield from stream.send(stream.frame(head, body), deadline)
            yield from stream.response(deadline)
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            stream.close()


if __name__ == "__main__":
    try:
        ToyServer(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1").loop.run()
    except KeyboardInterrupt:
        sys.exit(0)
