"""Connections to instances: attempts, giving them up, and probes."""

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
from pulleyroute.net.loop import Coroutine, Loop, Task, Timer, Wait
from pulleyroute.net.metrics import Metrics

PROBE_TIME = 500_000
GIVE_UP_TIME = 1_000_000  # for a DELETE and its answer
ANSWER_GRACE = 1_000_000  # an answer may be read this long after its attempt ended otherwise
CONNECT_TIME = 1_000_000  # where the settings name no limit
MAY_PASS = (408, 429)  # of the answers that blame a request, those that a repeat may not get
DISTRUST = 10_000_000  # how long kept ones carry only what may be repeated freely after one has broken
# What may not be repeated goes out on a kept connection only once that has been silent for so long. Guards
# against a second answer that comes late and would be taken for the next request's. It is the slack that the
# protocol gives each limit.
SILENT_FOR = 50_000
FIRST_PAUSE, LONGEST_PAUSE = 100_000, 1_000_000  # between two tries to tell an instance that it is given up
IDLE_SHARE = 0.7  # of the time after which the instance's machine may close an idle connection

# A load report's values have other names on sockets than in the settings.
_SOCKET_NAMES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at an instance. The host sets it up; `written` and below are this module's."""

    txn: str
    index: int
    instance: WorkerId
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    sent: int
    timeout_at: int
    repeatable: bool = True  # freely, whatever became of it
    unsafe: bool = False  # never twice
    over: bool = False  # its outcome is known
    stopping: bool = False  # it is being given up
    started: bool = False
    outcome: Outcome | None = None
    timer: Timer | None = None
    call: object = None  # what a front that streams has bound to the request
    incarnation: int = 0  # of the instance that the decisions chose
    written: bool = field(default=False, init=False)  # the last byte is with the kernel
    reused_connection: bool = field(default=False, init=False)  # sent on a connection kept from before
    accepted: bool = field(default=False, init=False)  # the instance answered 202
    nacked: bool = field(default=False, init=False)  # the instance answered with a marked nack
    task: Task | None = field(default=None, init=False)


class AttemptEnded(Protocol):
    """An attempt's outcome."""

    def __call__(self, attempt: Attempt, outcome: Outcome, report: LoadReport | None, /) -> None: ...


class BeginCheck(Protocol):
    """Whether an attempt may begin now; what may not is settled by whoever says so."""

    def __call__(self, attempt: Attempt, /) -> bool: ...


class RequestRejected(Protocol):
    """An instance can't use the request."""

    def __call__(self, attempt: Attempt, /) -> None: ...


class ProbeEnded(Protocol):
    """A probe's outcome, and how many microseconds it took."""

    def __call__(
        self, instance: WorkerId, outcome: Outcome, took: int, report: LoadReport | None, /
    ) -> None: ...


@dataclass(slots=True)
class Kept:
    """A connection between two requests."""

    since: int
    stream: Stream
    incarnation: int  # of the instance that it leads to


class Instances:
    """Owns every connection to an instance."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: DiscoveryClient,
        settings: Settings,
        most: int,
        metrics: Metrics | None = None,
        seed: int = 0,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._discovery = discovery
        self._random = Random(seed)
        self.adopt(settings)
        self._max_connections = most  # connections at once
        self._metrics = metrics or Metrics()
        self._count = 0
        self._idle: dict[WorkerId, list[Kept]] = {}
        self._sweeping = False
        self._distrust_until = 0  # a kept connection broke under a request not long ago
        self.ended: AttemptEnded = lambda attempt, outcome, report: None
        self.gate: BeginCheck = lambda attempt: True
        self.rejected: RequestRejected = lambda attempt: None
        self.probed: ProbeEnded = lambda instance, outcome, took, report: None

    @property
    def count(self) -> int:
        """Connections, idle ones included."""
        return self._count

    def adopt(self, settings: Settings) -> None:
        """Other settings from now on."""
        self._settings = settings
        self._idle_time = int(settings.keepalive * IDLE_SHARE) or 2_000_000

    def set_connection_limit(self, most: int) -> None:
        """Another budget of connections from now on."""
        self._max_connections = most

    # Connections

    def _kept(self, instance: WorkerId, silent_for: int = 0) -> Stream | None:
        """A kept connection that is still there, as far as can be seen, and has been silent for so long."""
        idle = self._idle.get(instance, [])
        for place in reversed(range(len(idle))):  # the last one first
            kept = idle[place]
            silent = self._loop.now() - kept.since
            if silent < silent_for:
                continue
            del idle[place]
            # Guards against the instance's time limit: a request on a connection that it closes is a reset;
            # and against a connection to a process before the one that is listed.
            if (
                silent < self._idle_time
                and kept.incarnation == self._discovery.incarnation(instance)
                and kept.stream.reusable()
            ):
                return kept.stream
            self._drop(kept.stream)
        return None

    def _broke(self, instance: WorkerId) -> None:
        """A kept connection broke under a request: those kept beside it are no better."""
        self.close_idle(instance)
        self._distrust_until = self._loop.now() + DISTRUST

    def _open(self, instance: WorkerId) -> Coroutine[Stream]:
        """A new connection."""
        member = self._discovery.member(instance)
        if member is None:
            raise ConnectionFailed("not in the discovery client")
        if self._count >= self._max_connections:
            self._drop_oldest()
        if self._count >= self._max_connections:
            raise ConnectionLimitReached("the budget of connections is used up")
        self._count += 1
        try:
            limit = self._settings.connect_timeout or CONNECT_TIME
            if log.debugging:
                log.event("connect", instance=instance.decode())
            return (yield from connect(self._loop, self._pool, member.address, self._loop.now() + limit))
        except BaseException:
            self._count -= 1
            raise

    def _keep(self, instance: WorkerId, stream: Stream, incarnation: int) -> None:
        """Keep a connection for later; `incarnation` is what was listed when it was opened, or found good."""
        if not stream.reusable():
            self._drop(stream)
            return
        self._idle.setdefault(instance, []).append(Kept(self._loop.now(), stream, incarnation))
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_at(self._loop.now() + self._idle_time, self._sweep)

    def _drop(self, stream: Stream) -> None:
        if not stream.closed:
            self._count -= 1
            stream.close()

    def _drop_oldest(self) -> None:
        kept = min((k for k in self._idle.values() if k), key=lambda k: k[0].since, default=None)
        if kept:
            self._drop(kept.pop(0).stream)

    def _sweep(self) -> None:
        """Close what has stood idle long enough."""
        old = self._loop.now() - self._idle_time
        for kept in self._idle.values():
            while kept and kept[0].since <= old:
                self._drop(kept.pop(0).stream)
        first = min((kept[0].since for kept in self._idle.values() if kept), default=None)
        self._sweeping = first is not None
        if first is not None:
            self._loop.call_at(first + self._idle_time, self._sweep)

    def close_idle(self, instance: WorkerId) -> None:
        for kept in self._idle.pop(instance, []):
            self._drop(kept.stream)

    def _frame(
        self,
        stream: Stream,
        instance: WorkerId,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
    ) -> bytes:
        member = self._discovery.member(instance)
        host = f"{member.address[0]}:{member.address[1]}".encode() if member else b"-"
        if method != b"GET":
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = h11.Request(method=method, target=target, headers=[(b"Host", host), *headers])
        return stream.frame(head, body)

    # Attempts

    def attempt(self, attempt: Attempt) -> None:
        """Send the request; its outcome is told by `ended`, unless a call tells it first."""
        attempt.task = Task(self._loop, self._attempting(attempt), f"attempt {attempt.txn}")
        attempt.task.start()

    def _attempting(self, attempt: Attempt) -> Coroutine[None]:
        stream = None
        try:
            try:
                if attempt.repeatable or self._loop.now() >= self._distrust_until:
                    # Guards what can't be sent again: a kept connection may be gone and not show it, as where
                    # an instance closes idle ones early.
                    stream = self._kept(attempt.instance, 0 if attempt.repeatable else SILENT_FOR)
                attempt.reused_connection = stream is not None
                if stream is None:
                    stream = yield from self._open(attempt.instance)
                if not self.gate(attempt):  # what allowed it may have passed while the connection came up
                    self._keep(attempt.instance, stream, attempt.incarnation)
                    stream = None
                    return
                left = max(1, (attempt.timeout_at - self._loop.now()) // 1000)
                headers = [
                    *attempt.headers,
                    (b"X-Txn", attempt.txn.encode()),
                    (b"X-Remaining-Ms", b"%d" % left),
                ]
                data = self._frame(
                    stream, attempt.instance, attempt.method, attempt.target, headers, attempt.body
                )
                yield from stream.send(data, attempt.timeout_at)
            except ConnectionLimitReached:
                self.ended(attempt, Outcome.MOOT, None)
                return
            except (ConnectionFailed, DeadlineExceeded) as exc:  # the last byte was not written: it never ran
                logger.bind(event="instance.unreachable", instance=attempt.instance.decode()).warning(
                    "instance {}: could not connect: {}", attempt.instance.decode(), exc
                )
                if attempt.reused_connection:
                    self._broke(attempt.instance)
                self.ended(attempt, Outcome.CONNECT_FAILED, None)
                return
            attempt.written = True
            self._metrics.sends += 1
            try:
                # No resending from here on, whatever the connection does: the request may have run.
                answer = yield from stream.response(
                    attempt.timeout_at + ANSWER_GRACE, on_head=lambda status: self._begun(attempt, status)
                )
            except (ConnectionFailed, DeadlineExceeded, Malformed) as exc:
                if attempt.accepted:
                    # Guards against a second copy: with the head of its 202 the instance has taken the job,
                    # and calls back, however the rest of that answer ends.
                    return
                if not attempt.over:
                    logger.bind(event="instance.reset", instance=attempt.instance.decode()).warning(
                        "instance {}: reset: {}", attempt.instance.decode(), exc
                    )
                if attempt.reused_connection and not isinstance(exc, DeadlineExceeded):
                    self._broke(attempt.instance)
                self.ended(attempt, Outcome.RESET, None)
                return
            self._keep(attempt.instance, stream, attempt.incarnation)
            stream = None
            self._judge(attempt, answer)
        finally:
            if stream is not None:
                self._drop(stream)

    def _begun(self, attempt: Attempt, status: int) -> None:
        attempt.accepted = status == 202

    def _judge(self, attempt: Attempt, answer: Message) -> None:
        """What an instance's answer means for its attempt."""
        if attempt.accepted:
            return
        marked = (b"x-turned-away", b"1") in answer.headers
        report = None
        if self._settings.report_source is ReportSource.ANSWERS:
            values = [value for name, value in answer.headers if name == b"x-pressure"]
            report = self.parse_report(attempt.instance, values[0]) if values else None
        if answer.status in (503, 504) and marked:
            attempt.nacked = True
            self.ended(attempt, Outcome.FULL, report)
            return
        logger.bind(
            event="instance.answered", instance=attempt.instance.decode(), status=answer.status
        ).warning("instance {}: answered {}", attempt.instance.decode(), answer.status)
        if 400 <= answer.status < 500 and answer.status not in MAY_PASS:
            self.rejected(attempt)
            return
        self.ended(attempt, Outcome.ERROR, report)

    def give_up(self, attempt: Attempt, given: Callable[[], None]) -> None:
        """Stop an attempt at its instance: close before its answer, DELETE after.

        `given` is called once the instance has heard of it; where second copies are allowed, or the attempt
        has ended meanwhile, also if it can't be reached.
        """
        if attempt.task is not None and not attempt.task.done:
            # Guards against a second copy: a close gives up only what has no 202 yet, and that may have come
            # and wait to be read.
            attempt.task.process_pending_read()
            attempt.task.cancel()
        if attempt.accepted:
            self._loop.spawn(self._deleting(attempt, given), "give-up")
            return
        given()

    def _deleting(self, attempt: Attempt, given: Callable[[], None]) -> Coroutine[None]:
        limit = self._settings.connect_timeout or GIVE_UP_TIME
        target = b"/jobs/" + attempt.txn.encode()
        pause = Backoff(FIRST_PAUSE, LONGEST_PAUSE, self._random)
        outcome, _ = yield from self._asking(attempt.instance, b"DELETE", target, limit)
        while outcome is Outcome.RESET or (outcome is not Outcome.OK and not self._settings.second_copies):
            # A kept connection may be gone or silent, and what was written to it lost. One that has just come
            # up surely carried it, even where the instance does not answer.
            outcome, _ = yield from self._asking(attempt.instance, b"DELETE", target, limit, fresh=True)
            if outcome is Outcome.TIMEOUT or self._settings.second_copies or attempt.over:
                break
            # Guards against a second copy where none is allowed: an instance that can't be reached has not
            # heard, and works on. The attempt ends with its word, or with its time.
            if outcome is not Outcome.OK:
                yield Wait(until=self._loop.now() + pause.failed())
        given()

    def _asking(
        self, instance: WorkerId, method: bytes, target: bytes, limit: int, fresh: bool = False
    ) -> Coroutine[tuple[Outcome, Message | None]]:
        """A small request with its answer; with `fresh` on a new connection."""
        stream = None
        until, incarnation = self._loop.now() + limit, self._discovery.incarnation(instance)
        written = False
        try:
            stream = None if fresh else self._kept(instance)
            if stream is None:
                stream = yield from self._open(instance)
            yield from stream.send(self._frame(stream, instance, method, target, []), until)
            written = True
            answer = yield from stream.response(until)
            self._keep(instance, stream, incarnation)
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
                self._drop(stream)

    # Probes

    def probe(self, instance: WorkerId) -> None:
        self._loop.spawn(self._probing(instance), "probe")

    def _probing(self, instance: WorkerId) -> Coroutine[None]:
        sent = self._loop.now()
        wants_load = self._settings.report_source is not ReportSource.NONE
        target = b"/-/load" if wants_load else b"/-/healthy"
        outcome, answer = yield from self._asking(instance, b"GET", target, PROBE_TIME)
        report = None
        if outcome is Outcome.MOOT:
            return  # it was not sent: nothing is known, and the instance is not to blame
        if answer is not None:
            if answer.status == 200:
                report = self.parse_report(instance, answer.body) if wants_load else None
            else:
                outcome = Outcome.FULL if answer.status == 503 else Outcome.ERROR
        self.probed(instance, outcome, self._loop.now() - sent, report)

    def parse_report(self, instance: WorkerId, data: bytes) -> LoadReport | None:
        """A load report, as `name=value,...` or as a JSON object; a spoilt one is one line in the log."""
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
            spoilt(instance.decode(), data)
            return None
        return read_report(values, self._settings.report_names, instance.decode())


def spoilt(instance: str, what: object) -> None:
    """Guards whoever looks for the cause: without reports an instance stays at the floor of the draw."""
    logger.bind(event="instance.spoilt_report", instance=instance).warning(
        "instance {}: its load report is spoilt, which changes nothing: {:.80}", instance, repr(what)
    )


def read_report(values: object, names: dict[str, str], instance: str) -> LoadReport | None:
    """The load report in a parsed object, None for none; a spoilt value is passed over and told."""
    if not isinstance(values, dict):
        if values is not None:
            spoilt(instance, values)
        return None
    report = LoadReport()
    unusable = []
    for name, value in values.items():
        attribute = names.get(_SOCKET_NAMES.get(name, name))
        if attribute is None:
            continue
        if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf:
            setattr(report, attribute, float(value))
        else:
            unusable.append(name)
    if unusable:
        spoilt(instance, {name: values[name] for name in unusable[:4]})
    if not report.free_slots and (report.in_hand == 0 or report.busy == 0):
        # Guards the first seconds: an instance that has taken no reading yet reports zeros throughout. Idle,
        # by the jobs it holds or by its cores, and without a free slot contradicts itself, and taken for full
        # it would be pushed nothing.
        return None
    return report
