"""A job runner on the event loop, run as a process of its own: it accepts jobs, runs them and calls back.

It has one listener for each dispatcher, since the end of a job is reported to the dispatcher that sent it.
Each line of its event log is a JSON object for the `start` or the `end` of a job, with the time of the
machine's monotonic clock in microseconds.
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

CALLBACK_TRIES = 10
CALLBACK_TIMEOUT_US, CALLBACK_PAUSE_US = 2_000_000, 50_000
QUEUED_JOBS_PER_SLOT = 3  # a job beyond these is rejected


@dataclass(slots=True)
class Job:
    """An accepted job that has not ended. `duration` is its running time in microseconds."""

    txn: str
    kind: str
    callback: tuple[str, int]
    duration: int
    cancelled: bool = False


class Runner:
    """Owns the slots, the queue, the listeners and the event log."""

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
        """Start a listener on loopback for each address in `callbacks`.

        The running time of a job is drawn from an exponential distribution with the mean `mean_us`, and is at
        most ten times as long.
        """
        self._loop, self._buffers, self.name = loop, BufferPool(), name
        self._slots, self._mean_us, self._random = slots, mean_us, random.Random(seed)
        self._jobs: dict[str, Job] = {}
        self._queue: deque[Job] = deque()
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
            loop.spawn(self._accept_connections(sock, callback), "listener")

    def _record(self, event: str, job: Job) -> None:
        if self._event_log is not None:
            os.write(
                self._event_log,
                json.dumps(
                    {
                        "at": self._loop.now(),
                        "what": event,
                        "txn": job.txn,
                        "kind": job.kind,
                        "box": self.name,
                    }
                ).encode()
                + b"\n",
            )

    def _accept_connections(self, sock: socket.socket, callback: tuple[str, int]) -> Coroutine[None]:
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                yield Wait(sock.fileno(), READABLE)
                continue
            connection.setblocking(False)
            stream = Stream(self._loop, self._buffers, connection, server=True)
            self._loop.spawn(self._serve_connection(stream, callback), "call")

    def _serve_connection(self, stream: Stream, callback: tuple[str, int]) -> Coroutine[None]:
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
                job.cancelled = True  # a queued job is dropped when its turn comes; a running one goes on
            return 204, b"", []
        if not txn:
            return 404, b"", []
        if len(self._queue) >= QUEUED_JOBS_PER_SLOT * self._slots:
            return 503, b"", [(b"X-Turned-Away", b"1")]
        duration = int(min(10.0, self._random.expovariate(1)) * self._mean_us)
        job = Job(txn.decode(), path.split("?")[0][1:], callback, duration)
        self._jobs[job.txn] = job
        self._queue.append(job)
        self._start_queued()
        return 202, b"", []

    def _start_queued(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            if job.cancelled:
                self._jobs.pop(job.txn, None)
                continue
            self._running += 1
            self._record("start", job)
            self._loop.spawn(self._run(job), "job")

    def _run(self, job: Job) -> Coroutine[None]:
        yield Wait(until=self._loop.now() + job.duration)
        self._running -= 1
        self._jobs.pop(job.txn, None)
        self._record("end", job)
        self._start_queued()
        if not job.cancelled:
            yield from self._call_back(job)

    def _call_back(self, job: Job) -> Coroutine[None]:
        data = json.dumps(
            {"id": job.txn, "from": self.name, "state": "done", "result": f"done by {self.name}"}
        ).encode()
        for _ in range(CALLBACK_TRIES):
            until = self._loop.now() + CALLBACK_TIMEOUT_US
            with contextlib.suppress(ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
                stream = yield from connect(self._loop, self._buffers, job.callback, until)
                answer = yield from exchange(stream, b"POST", b"/callback", until, data)
                if answer.status in (200, 204):
                    return
            yield Wait(until=self._loop.now() + CALLBACK_PAUSE_US)
