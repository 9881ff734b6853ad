"""Stand-ins for the platform: discovery with list and watch, and job runners that run jobs and call back."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from pulleyroute.emulator.book import EventLog

MAX_ACCEPT_DELAY_S = 60.0  # for a 202 that is sent after its job's call-back


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Do not log errors of connections that the peer has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: Any) -> None: ...

    def reply(self, status: int, body: bytes = b"") -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery:
    """A discovery server: the complete list of instances on request, and each change on a watch."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        """Start listening on a free port of `host`; `address` is HOST:PORT."""
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
        """Add an instance, or replace its entry, and notify the watches."""
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
        """Return the current revision with all instances, as JSON."""
        with self._changed:
            return json.dumps(
                {"revision": self._revision, "complete": True, "members": list(self._members.values())}
            ).encode()

    def watch(self, handler: _Handler) -> None:
        """Send a line with the list after each change, and an empty line after 2 s without one."""
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        sent_revision = -1
        try:
            while True:
                with self._changed:
                    if sent_revision == self._revision:
                        self._changed.wait(2.0)
                    line = b"\n" if sent_revision == self._revision else self.snapshot_line()
                    sent_revision = self._revision
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                handler.wfile.flush()
        except OSError:
            return

    def snapshot_line(self) -> bytes:
        """Return `snapshot` as one line of a watch."""
        return (
            json.dumps(
                {"revision": self._revision, "complete": True, "members": list(self._members.values())}
            ).encode()
            + b"\n"
        )

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


class ThreadedRunner:
    """A job runner with threads that accepts jobs and calls the dispatcher back when they end.

    Jobs beyond `slots` are not queued but take longer on average. Jobs beyond three times `slots` are
    rejected with a 503 that is marked `X-Turned-Away`.
    """

    def __init__(
        self,
        name: str,
        event_log: EventLog,
        callback: str,
        slots: int = 4,
        mean_ms: float = 20.0,
        seed: int = 0,
        early_callback_share: float = 0.0,
    ) -> None:
        """Start listening on a free port of loopback.

        `callback` is the dispatcher's HOST:PORT, `mean_ms` the mean running time of a job while slots are
        free, and `early_callback_share` the share of jobs whose call-back is sent before the 202.
        """
        self.name, self.callback = name, callback
        self._event_log, self._slots, self._mean_s = event_log, slots, mean_ms / 1000
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._unfinished = 0  # jobs accepted and not finished
        self._early_callback_share = early_callback_share
        # For each job with an early call-back: set after the call-back.
        self._called_back: dict[str, threading.Event] = {}
        self._cancelled: set[str] = set()
        outer = self

        class Handler(_Handler):
            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                request = self.headers.get("X-Txn") or ""
                if not request:
                    self.reply(404)
                elif not outer.accept(request, self.path.split("?")[0][1:]):
                    self.send_response(503)
                    self.send_header("X-Turned-Away", "1")
                    self.send_header("Content-Length", "0")
                    self.end_headers()
                else:
                    called_back = outer._called_back.get(request)
                    if called_back is not None:
                        called_back.wait(MAX_ACCEPT_DELAY_S)
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
        """Return the load report that probes read."""
        with self._lock:
            return {
                "x0": max(0, self._slots - self._unfinished),
                "rif": self._unfinished,
                "q": max(0, self._unfinished - self._slots),
            }

    def accept(self, request: str, kind: str) -> bool:
        """Start a job, whose running time is drawn. Return False if the runner rejects it."""
        with self._lock:
            if self._unfinished >= 3 * self._slots:
                return False
            self._unfinished += 1
            mean = self._mean_s * (1 + max(0, self._unfinished - self._slots) / self._slots)
            duration = min(1.0, self._random.expovariate(1 / mean))
            if self._random.random() < self._early_callback_share:
                self._called_back[request] = threading.Event()
        self._event_log.record_attempt(request, kind, self.name)
        timer = threading.Timer(duration, self._finish, (request,))
        timer.daemon = True
        timer.start()
        return True

    def cancel(self, request: str) -> None:
        """Suppress the call-back of a job; the job still occupies its slot to the end."""
        self._cancelled.add(request)

    def _finish(self, request: str) -> None:
        with self._lock:
            self._unfinished -= 1
        if request in self._cancelled:
            return
        self._call_back({"id": request, "from": self.name, "state": "done", "result": f"done by {self.name}"})
        called_back = self._called_back.get(request)
        if called_back is not None:
            called_back.set()

    def _call_back(self, result: dict[str, Any]) -> None:
        host, port = self.callback.rsplit(":", 1)
        for _ in range(10):
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            try:
                connection.request("POST", "/callback", json.dumps(result))
                if connection.getresponse().status in (200, 204):
                    self._event_log.record_acknowledgement(result["id"])
                    return
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
            finally:
                connection.close()

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
