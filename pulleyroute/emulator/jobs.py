"""Stand-ins for the platform's side: discovery with list and watch, and job boxes that take, run and call
back."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from pulleyroute.emulator.book import EventLog

LONGEST_HASTE = 60.0  # seconds that a 202 waits for its job's end


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A connection that its peer has ended is nothing to tell of."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: Any) -> None: ...

    def reply(self, status: int, body: bytes = b"") -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery:
    """The list of boxes: whole on request, its changes on a watch."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._members: dict[str, dict[str, Any]] = {}
        self._revision = 0
        self._changed = threading.Condition()
        outer = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                if "watch=1" in self.path:
                    outer.watch(self)
                else:
                    self.reply(200, outer.snapshot())

        self._server = _Server((host, 0), Handler)
        self.address = "{}:{}".format(*self._server.server_address[:2])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, name: str, address: str, phase: str = "active") -> None:
        with self._changed:
            self._revision += 1
            self._members[name] = {
                "id": name,
                "host_port": address,
                "locality": "a",
                "flavor": "kit",
                "cell": 0,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
            self._changed.notify_all()

    def snapshot(self) -> bytes:
        with self._changed:
            return json.dumps(
                {"revision": self._revision, "complete": True, "members": list(self._members.values())}
            ).encode()

    def watch(self, handler: _Handler) -> None:
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        seen = -1
        try:
            while True:
                with self._changed:
                    if seen == self._revision:
                        self._changed.wait(2.0)
                    line = b"\n" if seen == self._revision else self.snapshot_line()
                    seen = self._revision
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                handler.wfile.flush()
        except OSError:
            return

    def snapshot_line(self) -> bytes:
        return (
            json.dumps(
                {"revision": self._revision, "complete": True, "members": list(self._members.values())}
            ).encode()
            + b"\n"
        )

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class ThreadedRunner:
    """Takes jobs, runs `slots` of them at once for some time, calls back at the dispatcher's address."""

    def __init__(
        self,
        name: str,
        book: EventLog,
        callback: str,
        slots: int = 4,
        mean_ms: float = 20.0,
        seed: int = 0,
        hasty: float = 0.0,
    ) -> None:
        """`hasty`: the share of jobs whose end is told before the 202."""
        self.name, self.callback = name, callback
        self._book, self._slots, self._mean = book, slots, mean_ms / 1000
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._held = 0
        self._hasty = hasty
        self._told: dict[str, threading.Event] = {}  # hasty jobs: set once their end has been told
        self._cancelled: set[str] = set()
        outer = self

        class Handler(_Handler):
            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                request = self.headers.get("X-Txn") or ""
                if not request:
                    self.reply(404)
                elif not outer.take(request, self.path.split("?")[0][1:]):
                    self.send_response(503)
                    self.send_header("X-Turned-Away", "1")
                    self.send_header("Content-Length", "0")
                    self.end_headers()
                else:
                    told = outer._told.get(request)
                    if told is not None:
                        told.wait(LONGEST_HASTE)
                    self.reply(202)

            def do_DELETE(self) -> None:
                outer.cancel(self.path.rsplit("/", 1)[-1])
                self.reply(204)

            def do_GET(self) -> None:
                self.reply(200, json.dumps(outer.load()).encode())

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = "{}:{}".format(*self._server.server_address[:2])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def load(self) -> dict[str, float]:
        with self._lock:
            return {
                "x0": max(0, self._slots - self._held),
                "rif": self._held,
                "q": max(0, self._held - self._slots),
            }

    def take(self, request: str, kind: str) -> bool:
        with self._lock:
            if self._held >= 3 * self._slots:
                return False
            self._held += 1
            wait = self._mean * (1 + max(0, self._held - self._slots) / self._slots)
            span = min(1.0, self._random.expovariate(1 / wait))
            if self._random.random() < self._hasty:
                self._told[request] = threading.Event()
        self._book.record_attempt(request, kind, self.name)
        timer = threading.Timer(span, self._done, (request,))
        timer.daemon = True
        timer.start()
        return True

    def cancel(self, request: str) -> None:
        self._cancelled.add(request)

    def _done(self, request: str) -> None:
        with self._lock:
            self._held -= 1
        if request in self._cancelled:
            return
        self._tell({"id": request, "from": self.name, "state": "done", "result": f"done by {self.name}"})
        told = self._told.get(request)
        if told is not None:
            told.set()

    def _tell(self, call: dict[str, Any]) -> None:
        host, port = self.callback.rsplit(":", 1)
        for _ in range(10):
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            try:
                connection.request("POST", "/callback", json.dumps(call))
                if connection.getresponse().status in (200, 204):
                    self._book.record_acknowledgement(call["id"])
                    return
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
            finally:
                connection.close()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
