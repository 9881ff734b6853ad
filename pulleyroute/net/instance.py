"""Connections to instances over HTTP/1.1: attempts, their cancellation, and probes."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import h11
from loguru import logger

from pulleyroute.interface import LoadReport, Outcome, ReportSource, Settings, WorkerId
from pulleyroute.net import log
from pulleyroute.net.backoff import Backoff
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Headers,
    Malformed,
    Message,
    Stream,
    connect,
)
from pulleyroute.net.instance_list import InstanceGroup
from pulleyroute.net.loop import Coroutine, Loop, Task, Timer, Wait
from pulleyroute.net.metrics import Metrics

PROBE_TIMEOUT_US = 500_000
CANCEL_TIMEOUT_US = 1_000_000  # for a DELETE and its response, if the settings have no connect timeout
ANSWER_GRACE_US = 1_000_000  # a response is still read for so long after its attempt has timed out
CONNECT_TIMEOUT_US = 1_000_000  # if the settings have none
TRANSIENT_STATUSES = (408, 429)  # 4xx responses that a retry may not receive again
# After a request has failed on a kept connection, kept ones carry only repeatable requests for so long.
KEPT_DISTRUST_US = 10_000_000
# A request that may not be repeated is sent on a kept connection only once that has been silent for so long:
# a late second response to the previous request would be taken for this one's. The value is the tolerance
# that the protocol allows for each time limit.
MIN_SILENCE_US = 50_000
FIRST_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 100_000, 1_000_000  # between two tries of a DELETE
IDLE_TIMEOUT_SHARE = 0.7  # of the keep-alive time, after which an instance may close an idle connection

# Fields of a load report whose names on the wire differ from those in the settings.
_SETTINGS_NAME_BY_FIELD = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request at an instance.

    The host creates it; `written` and the attributes below are set by the connection to the instance.
    """

    txn: str
    index: int
    instance: WorkerId
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    sent: int
    timeout_at: int
    repeatable: bool = True  # the request may be sent again whatever became of this attempt
    unsafe: bool = False  # the request may never run twice
    over: bool = False  # the outcome is known
    stopping: bool = False  # the attempt is being cancelled
    started: bool = False
    outcome: Outcome | None = None
    timer: Timer | None = None
    call: object = None  # the call that a streaming front has bound to the request
    incarnation: int = 0  # of the instance when the decisions chose it
    group: InstanceGroup | None = None  # of the instance then; None: unknown
    written: bool = field(default=False, init=False)  # the kernel has accepted the last byte
    reused_connection: bool = field(default=False, init=False)  # not opened for this attempt
    accepted: bool = field(default=False, init=False)  # the instance answered 202
    nacked: bool = field(default=False, init=False)  # the instance answered with a marked rejection
    task: Task | None = field(default=None, init=False)


class AttemptEnded(Protocol):
    """Reports the outcome of an attempt, with the load report of its response."""

    def __call__(self, attempt: Attempt, outcome: Outcome, report: LoadReport | None, /) -> None: ...


class BeginCheck(Protocol):
    """Decides whether an attempt may still be sent; the callee concludes an attempt that may not."""

    def __call__(self, attempt: Attempt, /) -> bool: ...


class RequestRejected(Protocol):
    """Reports that an instance has rejected the request itself as invalid."""

    def __call__(self, attempt: Attempt, /) -> None: ...


class ProbeEnded(Protocol):
    """Reports the outcome of a probe and its duration `took` in microseconds."""

    def __call__(
        self, instance: WorkerId, outcome: Outcome, took: int, report: LoadReport | None, /
    ) -> None: ...


@dataclass(slots=True)
class IdleConnection:
    """A kept connection between two requests."""

    idle_since: int  # microseconds of the loop's clock
    stream: Stream
    incarnation: int  # of the instance that the connection was opened to


class Instances:
    """Owns the HTTP/1.1 connections to all instances, and sends attempts and probes on them."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: DiscoveryClient,
        settings: Settings,
        max_connections: int,
        metrics: Metrics | None = None,
        seed: int = 0,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._discovery = discovery
        self._random = Random(seed)
        self.adopt(settings)
        self._max_connections = max_connections
        self._metrics = metrics or Metrics()
        self._count = 0
        self._idle: dict[WorkerId, list[IdleConnection]] = {}
        self._sweep_scheduled = False
        self._distrust_until = 0  # set when a request has failed on a kept connection
        self.ended: AttemptEnded = lambda attempt, outcome, report: None
        self.gate: BeginCheck = lambda attempt: True
        self.rejected: RequestRejected = lambda attempt: None
        self.probed: ProbeEnded = lambda instance, outcome, took, report: None

    @property
    def count(self) -> int:
        """The number of connections, including idle ones."""
        return self._count

    def adopt(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self._settings = settings
        self._idle_timeout = int(settings.keepalive * IDLE_TIMEOUT_SHARE) or 2_000_000

    def set_connection_limit(self, max_connections: int) -> None:
        """Replace the limit of connections."""
        self._max_connections = max_connections

    # Connections

    def _take_idle(self, instance: WorkerId, min_silence: int = 0) -> Stream | None:
        """Take a kept connection that seems to be open and has been silent for at least `min_silence`."""
        idle = self._idle.get(instance, [])
        for index in reversed(range(len(idle))):  # the most recently used one first
            kept = idle[index]
            silence = self._loop.now() - kept.idle_since
            if silence < min_silence:
                continue
            del idle[index]
            # A request on a connection that the instance closes for being idle counts as reset, and an old
            # connection may lead to an earlier process than the one that is listed.
            if (
                silence < self._idle_timeout
                and kept.incarnation == self._discovery.incarnation(instance)
                and kept.stream.reusable()
            ):
                return kept.stream
            self._close(kept.stream)
        return None

    def _on_reused_failure(self, instance: WorkerId) -> None:
        """Close the other kept connections to an instance after a request has failed on one of them."""
        self.close_idle(instance)
        self._distrust_until = self._loop.now() + KEPT_DISTRUST_US

    def _open(self, instance: WorkerId) -> Coroutine[Stream]:
        """Open a connection to an instance."""
        member = self._discovery.member(instance)
        if member is None:
            raise ConnectionFailed("the instance is not listed")
        if self._count >= self._max_connections:
            self._close_oldest_idle()
        if self._count >= self._max_connections:
            raise ConnectionLimitReached("the limit of connections is reached")
        self._count += 1
        try:
            limit = self._settings.connect_timeout or CONNECT_TIMEOUT_US
            if log.debugging:
                log.event("connect", instance=instance.decode())
            return (yield from connect(self._loop, self._pool, member.address, self._loop.now() + limit))
        except BaseException:
            self._count -= 1
            raise

    def _put_idle(self, instance: WorkerId, stream: Stream, incarnation: int) -> None:
        """Keep a connection for reuse, or close it if it can't be reused.

        `incarnation` is the one that was listed when the connection was opened or last reused.
        """
        if not stream.reusable():
            self._close(stream)
            return
        self._idle.setdefault(instance, []).append(IdleConnection(self._loop.now(), stream, incarnation))
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._loop.call_at(self._loop.now() + self._idle_timeout, self._close_expired)

    def _close(self, stream: Stream) -> None:
        if not stream.closed:
            self._count -= 1
            stream.close()

    def _close_oldest_idle(self) -> None:
        kept = min((k for k in self._idle.values() if k), key=lambda k: k[0].idle_since, default=None)
        if kept:
            self._close(kept.pop(0).stream)

    def _close_expired(self) -> None:
        """Close the connections that have been idle for the idle timeout, and schedule the next check."""
        latest_expired = self._loop.now() - self._idle_timeout
        for kept in self._idle.values():
            while kept and kept[0].idle_since <= latest_expired:
                self._close(kept.pop(0).stream)
        first = min((kept[0].idle_since for kept in self._idle.values() if kept), default=None)
        self._sweep_scheduled = first is not None
        if first is not None:
            self._loop.call_at(first + self._idle_timeout, self._close_expired)

    def close_idle(self, instance: WorkerId) -> None:
        """Close all kept connections to an instance."""
        for kept in self._idle.pop(instance, []):
            self._close(kept.stream)

    def _request_head(
        self, instance: WorkerId, method: bytes, target: bytes, headers: Headers, body: bytes = b""
    ) -> h11.Request:
        member = self._discovery.member(instance)
        host = f"{member.address[0]}:{member.address[1]}".encode() if member else b"-"
        if method != b"GET":
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        return h11.Request(method=method, target=target, headers=[(b"Host", host), *headers])

    # Attempts

    def attempt(self, attempt: Attempt) -> None:
        """Send the request of an attempt.

        `ended` reports the outcome, unless a call-back of the instance has reported it first.
        """
        attempt.task = Task(self._loop, self._run_attempt(attempt), f"attempt {attempt.txn}")
        attempt.task.start()

    def _run_attempt(self, attempt: Attempt) -> Coroutine[None]:
        stream = None
        try:
            try:
                if attempt.repeatable or self._loop.now() >= self._distrust_until:
                    # A kept connection may have been closed unnoticed, for example by an instance that closes
                    # idle ones early: a request that can't be sent again would fail on it.
                    stream = self._take_idle(attempt.instance, 0 if attempt.repeatable else MIN_SILENCE_US)
                attempt.reused_connection = stream is not None
                if stream is None:
                    stream = yield from self._open(attempt.instance)
                if not self.gate(attempt):  # it may have become obsolete while the connection was opened
                    self._put_idle(attempt.instance, stream, attempt.incarnation)
                    stream = None
                    return
                remaining_ms = max(1, (attempt.timeout_at - self._loop.now()) // 1000)
                headers = [
                    *attempt.headers,
                    (b"X-Txn", attempt.txn.encode()),
                    (b"X-Remaining-Ms", b"%d" % remaining_ms),
                ]
                head = self._request_head(
                    attempt.instance, attempt.method, attempt.target, headers, attempt.body
                )
                yield from stream.send_request(head, attempt.body, attempt.timeout_at)
            except ConnectionLimitReached:
                self.ended(attempt, Outcome.MOOT, None)
                return
            except (ConnectionFailed, DeadlineExceeded) as exc:
                # The last byte was not written, so the job can't have run.
                logger.bind(event="instance.unreachable", instance=attempt.instance.decode()).warning(
                    "instance {}: could not connect: {}", attempt.instance.decode(), exc
                )
                if attempt.reused_connection:
                    self._on_reused_failure(attempt.instance)
                self.ended(attempt, Outcome.CONNECT_FAILED, None)
                return
            attempt.written = True
            self._metrics.sends += 1
            try:
                # From here on the request may have run: it is not resent on another connection.
                answer = yield from stream.response(
                    attempt.timeout_at + ANSWER_GRACE_US,
                    on_head=lambda status: self._on_response_head(attempt, status),
                )
            except (ConnectionFailed, DeadlineExceeded, Malformed) as exc:
                if attempt.accepted:
                    # With the head of its 202 response the instance has accepted the job and will call back,
                    # even if the rest of the response is lost; a failure here would start a second copy.
                    return
                if not attempt.over:
                    logger.bind(event="instance.reset", instance=attempt.instance.decode()).warning(
                        "instance {}: reset: {}", attempt.instance.decode(), exc
                    )
                if attempt.reused_connection and not isinstance(exc, DeadlineExceeded):
                    self._on_reused_failure(attempt.instance)
                self.ended(attempt, Outcome.RESET, None)
                return
            in_doubt = stream.answer_in_doubt
            self._put_idle(attempt.instance, stream, attempt.incarnation)
            stream = None
            self._evaluate_response(attempt, answer, in_doubt)
        finally:
            if stream is not None:
                self._close(stream)

    def _on_response_head(self, attempt: Attempt, status: int) -> None:
        attempt.accepted = status == 202

    def _evaluate_response(self, attempt: Attempt, answer: Message, in_doubt: bool) -> None:
        """Derive the outcome of an attempt from the response of the instance.

        `in_doubt`: the response may answer an earlier request on the connection, so it proves nothing.
        """
        if attempt.accepted:
            return
        if in_doubt:
            self.ended(attempt, Outcome.RESET, None)
            return
        is_rejection = (b"x-turned-away", b"1") in answer.headers
        report = None
        if self._settings.report_source is ReportSource.ANSWERS:
            values = [value for name, value in answer.headers if name == b"x-pressure"]
            report = self.parse_report(attempt.instance, values[0]) if values else None
        if answer.status in (503, 504) and is_rejection:
            attempt.nacked = True
            self.ended(attempt, Outcome.FULL, report)
            return
        logger.bind(
            event="instance.answered", instance=attempt.instance.decode(), status=answer.status
        ).warning("instance {}: answered {}", attempt.instance.decode(), answer.status)
        if 400 <= answer.status < 500 and answer.status not in TRANSIENT_STATUSES:
            self.rejected(attempt)
            return
        self.ended(attempt, Outcome.ERROR, report)

    def give_up(self, attempt: Attempt, on_cancelled: Callable[[], None]) -> None:
        """Cancel an attempt: close its connection before the 202 response, send a DELETE after it.

        `on_cancelled` is called once the instance has been notified. If second copies are allowed, or the
        attempt has ended meanwhile, it is also called when the instance can't be reached.
        """
        if attempt.task is not None and not attempt.task.done:
            # Closing the connection cancels only an attempt without a 202 response, and that may have arrived
            # and still be unread: the instance would work on while a second copy starts.
            attempt.task.process_pending_read()
            attempt.task.cancel()
        if attempt.accepted:
            self._loop.spawn(self._delete_job(attempt, on_cancelled), "give-up")
            return
        on_cancelled()

    def _delete_job(self, attempt: Attempt, on_cancelled: Callable[[], None]) -> Coroutine[None]:
        limit = self._settings.connect_timeout or CANCEL_TIMEOUT_US
        target = b"/jobs/" + attempt.txn.encode()
        backoff = Backoff(FIRST_RETRY_DELAY_US, MAX_RETRY_DELAY_US, self._random)
        outcome, _ = yield from self._exchange(attempt.instance, b"DELETE", target, limit)
        while outcome is Outcome.RESET or (outcome is not Outcome.OK and not self._settings.second_copies):
            # A kept connection may be closed or unresponsive, and the DELETE written to it lost. A connection
            # opened for it has delivered it, even if the instance does not respond.
            outcome, _ = yield from self._exchange(
                attempt.instance, b"DELETE", target, limit, new_connection=True
            )
            if outcome is Outcome.TIMEOUT or self._settings.second_copies or attempt.over:
                break
            # An instance that can't be reached has not received the DELETE and works on: where second copies
            # are not allowed, none may start beside it. The attempt ends with the call-back of the instance,
            # or when its time is up.
            if outcome is not Outcome.OK:
                yield Wait(until=self._loop.now() + backoff.failed())
        on_cancelled()

    def _exchange(
        self, instance: WorkerId, method: bytes, target: bytes, limit: int, new_connection: bool = False
    ) -> Coroutine[tuple[Outcome, Message | None]]:
        """Send a request without a body and return its outcome and response.

        With `new_connection` no kept connection is used.
        """
        stream = None
        until, incarnation = self._loop.now() + limit, self._discovery.incarnation(instance)
        written = False
        try:
            stream = None if new_connection else self._take_idle(instance)
            if stream is None:
                stream = yield from self._open(instance)
            yield from stream.send_request(self._request_head(instance, method, target, []), b"", until)
            written = True
            answer = yield from stream.response(until)
            if stream.answer_in_doubt:
                return Outcome.RESET, None
            self._put_idle(instance, stream, incarnation)
            stream = None
            return Outcome.OK, answer
        except ConnectionLimitReached:
            return Outcome.MOOT, None
        except DeadlineExceeded:
            return Outcome.TIMEOUT if written else Outcome.CONNECT_FAILED, None
        except (ConnectionFailed, Malformed):
            return Outcome.RESET if written else Outcome.CONNECT_FAILED, None
        finally:
            if stream is not None:
                self._close(stream)

    # Probes

    def probe(self, instance: WorkerId) -> None:
        """Request the health or the load report of an instance; `probed` reports the outcome."""
        self._loop.spawn(self._run_probe(instance), "probe")

    def _run_probe(self, instance: WorkerId) -> Coroutine[None]:
        sent = self._loop.now()
        wants_load = self._settings.report_source is not ReportSource.NONE
        target = b"/-/load" if wants_load else b"/-/healthy"
        outcome, answer = yield from self._exchange(instance, b"GET", target, PROBE_TIMEOUT_US)
        report = None
        if outcome is Outcome.MOOT:
            return  # not sent for want of a connection, which says nothing about the instance
        if answer is not None:
            if answer.status == 200:
                report = self.parse_report(instance, answer.body) if wants_load else None
            else:
                outcome = Outcome.FULL if answer.status == 503 else Outcome.ERROR
        self.probed(instance, outcome, self._loop.now() - sent, report)

    def parse_report(self, instance: WorkerId, data: bytes) -> LoadReport | None:
        """Parse a load report, `name=value,...` or a JSON object; logs an invalid one and returns None."""
        values: dict[str, object] = {}
        try:
            text = data.decode().strip()
            if text.startswith("{"):
                values = json.loads(text)
            else:
                for pair in text.split(","):
                    name, _, value = pair.partition("=")
                    values[name.strip()] = float(value)
        except (ValueError, RecursionError):
            log_invalid_report(instance.decode(), data)
            return None
        return read_report(values, self._settings.report_names, instance.decode())


def log_invalid_report(instance: str, report: object) -> None:
    """Log an invalid load report, since an instance without reports keeps the lowest weight in the draw."""
    logger.bind(event="instance.spoilt_report", instance=instance).warning(
        "instance {}: ignoring an invalid load report: {:.80}", instance, repr(report)
    )


def read_report(values: object, names: dict[str, str], instance: str) -> LoadReport | None:
    """Return the load report in a parsed object, None if it has none.

    `names` maps the names of the settings to attributes of the report. Invalid values are logged and ignored.
    """
    if not isinstance(values, dict):
        if values is not None:
            log_invalid_report(instance, values)
        return None
    report = LoadReport()
    invalid = []
    for name, value in values.items():
        attribute = names.get(_SETTINGS_NAME_BY_FIELD.get(name, name))
        if attribute is None:
            continue
        if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf:
            setattr(report, attribute, float(value))
        else:
            invalid.append(name)
    if invalid:
        log_invalid_report(instance, {name: values[name] for name in invalid[:4]})
    if not report.free_slots and (report.in_hand == 0 or report.busy == 0):
        # In its first seconds, before it has measured anything, an instance reports only zeros. No free slot
        # contradicts no jobs in hand or idle cores; taken for full, the instance would be pushed no jobs.
        return None
    return report
