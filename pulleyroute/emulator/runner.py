"""A job box on the loop, as a process of its own: takes, runs, calls back, and writes down what it saw.

It has a listener for each dispatcher, since a job's end is told to the one that sent it. Each line of its
book is one JSON object with the time of the machine's monotonic clock in microseconds: `start` and `end` of a
job.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import socket
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from pulleyroute.emulator.exchange import exchange
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Malformed,
    Stream,
    connect,
)
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait

CALLS = 10  # tries of a call-back
CALL_TIME, CALL_PAUSE = 2_000_000, 50_000
LINE = 3  # jobs that may wait, for each slot


@dataclass(slots=True)
class Taken:
    """A job taken and not over. `span`: us that it runs."""

    txn: str
    kind: str
    callback: tuple[str, int]
    span: int
    cancelled: bool = False


class Runner:
    """Owns the slots, the queue, the listeners and the book."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        callbacks: list[tuple[str, int]],
        slots: int = 4,
        mean_us: int = 30_000,
        seed: int = 0,
        event_log: Path | None = None,
    ) -> None:
        """`mean`: us that a job runs, exponentially drawn and at most ten times as long."""
        self._loop, self._pool, self.name = loop, BufferPool(), name
        self._slots, self._mean_us, self._random = slots, mean_us, random.Random(seed)
        self._jobs: dict[str, Taken] = {}
        self._queue: deque[Taken] = deque()
        self._running = 0
        self._event_log = (
            os.open(event_log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            if event_log is not None
            else None
        )
        self.addresses: list[tuple[str, int]] = []
        for callback in callbacks:
            sock = socket.create_server(("127.0.0.1", 0), backlog=256)
            sock.setblocking(False)
            self.addresses.append(sock.getsockname())
            loop.spawn(self._accepting(sock, callback), "listener")

    def _note(self, what: str, job: Taken) -> None:
        if self._event_log is not None:
            os.write(
                self._event_log,
                json.dumps(
                    {
                        "at": self._loop.now(),
                        "what": what,
                        "txn": job.txn,
                        "kind": job.kind,
                        "box": self.name,
                    }
                ).encode()
                + b"\n",
            )

    def _accepting(self, sock: socket.socket, callback: tuple[str, int]) -> Coroutine[None]:
        while True:
            try:
                near, _ = sock.accept()
            except OSError:
                yield Wait(sock.fileno(), READABLE)
                continue
            near.setblocking(False)
            stream = Stream(self._loop, self._pool, near, server=True)
            self._loop.spawn(self._serving(stream, callback), "call")

    def _serving(self, stream: Stream, callback: tuple[str, int]) -> Coroutine[None]:
        try:
            while (message := (yield from stream.request(None))) is not None:
                status, body, headers = self._answer(
                    message.method, message.target.decode(), message.single_header(b"x-txn") or b"", callback
                )
                if not (yield from stream.answer(status, body, headers, False, None)):
                    return
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            stream.close()

    def _answer(
        self, method: bytes, path: str, txn: bytes, callback: tuple[str, int]
    ) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        if method == b"GET":
            free = max(0, self._slots - self._running)
            return (
                200,
                json.dumps(
                    {"x0": free, "rif": self._running + len(self._queue), "q": len(self._queue)}
                ).encode(),
                [],
            )
        if method == b"DELETE":
            job = self._jobs.get(path.rsplit("/", 1)[-1])
            if job is not None:
                job.cancelled = True  # what waits is dropped when its turn comes; what runs goes on
            return 204, b"", []
        if not txn:
            return 404, b"", []
        if len(self._queue) >= LINE * self._slots:
            return 503, b"", [(b"X-Turned-Away", b"1")]
        span = int(min(10.0, self._random.expovariate(1)) * self._mean_us)
        job = Taken(txn.decode(), path.split("?")[0][1:], callback, span)
        self._jobs[job.txn] = job
        self._queue.append(job)
        self._next()
        return 202, b"", []

    def _next(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            if job.cancelled:
                self._jobs.pop(job.txn, None)
                continue
            self._running += 1
            self._note("start", job)
            self._loop.spawn(self._run(job), "job")

    def _run(self, job: Taken) -> Coroutine[None]:
        yield Wait(until=self._loop.now() + job.span)
        self._running -= 1
        self._jobs.pop(job.txn, None)
        self._note("end", job)
        self._next()
        if not job.cancelled:
            yield from self._tell(job)

    def _tell(self, job: Taken) -> Coroutine[None]:
        data = json.dumps(
            {"id": job.txn, "from": self.name, "state": "done", "result": f"done by {self.name}"}
        ).encode()
        for _ in range(CALLS):
            until = self._loop.now() + CALL_TIME
            with contextlib.suppress(ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
                stream = yield from connect(self._loop, self._pool, job.callback, until)
                answer = yield from exchange(stream, b"POST", b"/callback", until, data)
                if answer.status in (200, 204):
                    return
            yield Wait(until=self._loop.now() + CALL_PAUSE)
