"""Downstream: listener, client connections, `/-/ready`, and the instances' `/callback`."""

from __future__ import annotations

import json
import re
import socket
import zlib
from collections import OrderedDict
from collections.abc import Callable
from itertools import islice
from typing import Any
from urllib.parse import parse_qsl

from loguru import logger

from pulleyroute.interface import Settings, WorkerId
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.host import Host
from pulleyroute.net.http import Broken, Headers, Late, Malformed, Message, Stream
from pulleyroute.net.instance import read_report
from pulleyroute.net.job_transfer import movable
from pulleyroute.net.lifecycle import Lifecycle
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import ENDED, READABLE, Coroutine, Loop, Task, Wait, Woken
from pulleyroute.net.metrics import JobOutcome, Metrics, outcome_of_status
from pulleyroute.net.requests import Answer, Call, Ending, Job, Request, State

READY = b"/-/ready"
CALLBACK = b"/callback"
REQUEST_TIME = 10_000_000  # from a request's first byte to its last
IDLE_TIME = 90_000_000  # between two requests
# A stranger has not made a whole valid request yet. Its first byte must come so soon after connecting, and
# the last one of that request so soon.
STRANGER_SILENCE = 2_500_000
STRANGER_TIME = 2_800_000
LATE_SILENCE = 300_000  # the same once idle connections are being closed
SHED_AGE = 100_000  # a stranger is not shed before: its request may be on the way
STRANGER_SHARE = 0.25  # where more of the connections are strangers, no known client is shed for another
SHED_LOOKS = 16  # connections looked at for one to shed
WRITE_TIME = 10_000_000
EARLY_BYTES = 64 * 1024  # read ahead of an answer at most
SKIP_PAUSE = 2_000  # between two reads of what is beyond that
MOVE_PAUSE = 10_000  # between two looks at what may move to another process by now
MOST_MISSED = 4  # that do not go before the rest waits too
HELD = 2  # requests held for each that may wait: attempts go on for a while after their client left
FULL_RETRY_AFTER = 1_000_000  # advice where there is no room for another request
LABELS = ("slots", "memory")
PASSED_ON = (b"idempotency-key", b"content-type", b"x-labels")

_TXN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
_WHOLE = re.compile(rb"[0-9]{1,12}")


SHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class Connection:
    """One accepted connection."""

    __slots__ = ("answer", "job", "known", "line", "since", "stream", "task", "working")

    def __init__(self, stream: Stream, since: int) -> None:
        self.stream = stream
        self.since = since  # when it was accepted
        self.known = False  # it has made a whole valid request: no stranger any more
        self.line: Line | None = None  # where it stands to be shed
        self.task: Task | None = None
        self.working = False  # a whole message of it is being dealt with
        self.answer: Answer | None = None
        self.job: Job | None = None  # that it waits for


# Sends a connection to another process: what is known of it, a body, the descriptor; whether it went.
Move = Callable[[dict[str, Any], bytes, int], bool]
Line = OrderedDict[Connection, None]  # the first to be shed first


class Downstream:
    """Owns the listener and every accepted connection."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        ledger: Ledger,
        host: Host,
        settings: Settings,
        most: int,
        most_jobs: int,
        metrics: Metrics | None = None,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._ledger = ledger
        self._host = host
        self.adopt(settings)
        self._most = most  # accepted connections
        self._most_jobs = most_jobs  # requests at once; the rest is kept for the instances' calls
        self._connections: set[Connection] = set()
        self._lingering: Line = OrderedDict()  # they have their last answer
        self._silent: Line = OrderedDict()  # strangers that have sent nothing
        self._begun: Line = OrderedDict()  # strangers that have sent part of a request
        self._idle: Line = OrderedDict()  # known ones between two requests
        self.listener = Listener(loop, "listener", self._room, self._shed, self._welcome)
        self.lifecycle = Lifecycle()
        self._metrics = metrics or Metrics()
        self._move: Move | None = None  # to another process, once it has taken over
        # A call-back for a job that is not here: whether it was heard by whoever has it, or nobody has.
        self.elsewhere: Callable[[Call, bytes], Coroutine[bool]] | None = None
        self.theirs: frozenset[str] = frozenset()  # ids that the process before this one still works on
        self.left: Callable[[], None] = loop.stop  # once nothing is owed and no connection is left

    def listen(self, address: tuple[str, int]) -> None:
        self.listener.listen(address)
        self.lifecycle.serve()

    @property
    def address(self) -> tuple[str, int]:
        return self.listener.address

    def adopt(self, settings: Settings) -> None:
        """Other settings, and so other classes, from the next request on."""
        self._settings = settings
        self._classes = {cls.name.encode(): i for i, cls in enumerate(settings.classes)}

    @property
    def settings(self) -> Settings:
        """Those in force."""
        return self._settings

    @property
    def count(self) -> int:
        """Accepted connections."""
        return len(self._connections)

    def allow(self, most: int, most_jobs: int) -> None:
        """Other budgets from now on."""
        self._most, self._most_jobs = most, most_jobs

    # Letting go

    def stop(self) -> None:
        """SIGTERM: keep serving, end the connections in good time, and leave once all is answered."""
        longest = max(cls.give_up for cls in self._settings.classes)
        if self.lifecycle.end(self._loop.now(), longest):
            self._let_go()

    def standby(self) -> None:
        """Drain: new clients are not wanted, those that are here are sent elsewhere, the process stays."""
        if self.lifecycle.standby(self._loop.now()):
            self._let_go()

    def active(self) -> None:
        """Back to work; what is not closed yet stays open."""
        self.lifecycle.active()

    # Another process of this dispatcher

    def hand(self, move: Move) -> None:
        """Another process takes the clients: accept no more, and move to it what is here."""
        if self.lifecycle.hand_over(self._loop.now()):
            self._move = move
            self.listener.pause()
            self._let_go()
            self._moving()

    def resume(self) -> None:
        """The other process is gone: take clients again, unless this one was told to end."""
        self._move = None
        if self.lifecycle.resume():
            self.listener.resume()

    def _moving(self) -> None:
        """Move what can be moved by now; what is between two states is looked at again in a moment."""
        move = self._move
        if move is None:
            return
        missed = 0
        for connection in list(self._connections):
            job, stream = connection.job, connection.stream
            if job is not None and not stream.skipped and movable(job):
                body = job.request.body
                values = {"known": True, "job": self._host.pack(job), "pending": stream.pending()}
            elif connection.line in (self._silent, self._idle) and stream.fresh:
                job, body = None, b""
                values = {"known": connection.known, "since": connection.since}
            else:
                continue
            if not move(values, body, stream.fileno()):
                # The other process is behind, or this one is too large: it is kept for now.
                missed += 1
                if missed == MOST_MISSED:
                    break
                continue
            # From here on the other process has it; this one's copy of the descriptor is closed unsaid.
            if job is not None:
                self._host.release(job)
            if connection.task is not None:
                connection.task.cancel()
        self._loop.call_at(self._loop.now() + MOVE_PAUSE, self._moving)
        self._leave()

    def receive(self, sock: socket.socket, values: dict[str, Any], body: bytes, shift: int) -> None:
        """Go on with a connection that another process has moved here, and with its job where it has one."""
        sock.setblocking(False)
        stream = Stream(self._loop, self._pool, sock, server=True, ledger=self._ledger)
        connection = Connection(stream, values.get("since", self._loop.now()) + shift)
        connection.known = values["known"]
        first = None
        if "job" in values and self._host.knows(values["job"]["txn"]):
            # Guards the one attempt of an id: this one was asked for twice, here and there.
            stream.resume(values["pending"], len(body))
            first = self._tell(stream, 502, b"failed", close=True)
        elif "job" in values:
            stream.resume(values["pending"], len(body))
            connection.working = True
            connection.job = self._host.take_over(values["job"], body, self._replying(connection), shift)
            connection.job.request.gone = stream.gone
            first = self._awaiting(connection, connection.job)
        self._begin(connection, first)

    def _let_go(self) -> None:
        for at in self.lifecycle.pending_deadlines(self._loop.now()):
            self._loop.call_at(at, self._look)

    def _look(self) -> None:
        """One of the lifecycle's times has come: end what may be held no longer."""
        now = self._loop.now()
        if now >= self.lifecycle.close_idle_from:
            # A nudge and no close: what has come, and is not read yet, is served.
            for connection in [*self._silent, *self._idle]:
                if connection.task is not None:
                    connection.task.nudge()
        if now >= self.lifecycle.abort_incomplete_from:
            reading = [c for c in self._connections if not c.working and c.line is not self._lingering]
            for connection in reading:
                connection.stream.farewell(SHED)
                if connection.task is not None:
                    connection.task.cancel()
        self._leave()

    def _leave(self) -> None:
        """Stop the loop once nothing is owed any more."""
        if self.lifecycle.may_exit(self._loop.now()) and not self._host.open and not self._connections:
            logger.bind(event="stopped").info("all is answered, leaving")
            self.left()

    # Accepting

    def _room(self) -> bool:
        return len(self._connections) < self._most or self._shed()

    def _shed(self) -> bool:
        """Make room for a new connection: strangers go first, the silent ones before the others.

        Guards usual clients and the instances' calls against hundreds that connect and say nothing.
        """
        grown = self._loop.now() - SHED_AGE
        for line in (self._lingering, self._silent, self._begun, self._idle):
            stranger = line is self._silent or line is self._begun
            if line is self._idle and len(self._silent) + len(self._begun) > self._most * STRANGER_SHARE:
                return False  # guards known clients: the young strangers can be shed in a moment
            for connection in islice(line, SHED_LOOKS):
                if stranger and connection.since > grown:
                    break
                if line is not self._lingering and connection.stream.unread():
                    continue  # its request has come and waits for its turn
                if stranger:
                    connection.stream.farewell(SHED)
                if connection.task is not None:
                    connection.task.cancel()
                return True
        return False

    def _stand(self, connection: Connection, line: Line | None) -> None:
        """Put a connection into the line where it may be shed, or into none."""
        if connection.line is not None:
            connection.line.pop(connection, None)
        connection.line = line
        if line is not None:
            line[connection] = None

    def _welcome(self, sock: socket.socket) -> None:
        stream = Stream(self._loop, self._pool, sock, server=True, ledger=self._ledger)
        self._begin(Connection(stream, self._loop.now()))

    def _begin(self, connection: Connection, first: Coroutine[bool] | None = None) -> None:
        self._connections.add(connection)
        connection.task = Task(self._loop, self._serving(connection, first), "client connection")
        connection.task.start()

    # One connection

    def _serving(self, connection: Connection, first: Coroutine[bool] | None) -> Coroutine[None]:
        """Serve request after request; `first` finishes one that was taken elsewhere."""
        stream = connection.stream
        try:
            going = first is None or (yield from first)
            while going:
                connection.working = False
                try:
                    if not (yield from self._first_byte(connection)):
                        return
                    if connection.known:
                        until = self._loop.now() + REQUEST_TIME
                    else:
                        until = connection.since + STRANGER_TIME
                        self._stand(connection, self._begun)
                    if self._loop.now() >= self.lifecycle.abort_incomplete_from:
                        until = min(until, self._loop.now() + LATE_SILENCE)
                    message = yield from stream.request(until)
                    self._stand(connection, None)
                    connection.working = True
                    if message is None:
                        return
                    going = yield from self._route(connection, message)
                except Malformed as exc:
                    # After an error in the framing nobody knows where the next request begins.
                    advice = [retry_after(FULL_RETRY_AFTER)] if exc.status == 503 else None
                    yield from self._tell(stream, exc.status, str(exc).encode(), advice, close=True)
                    going = False
                except Late:
                    yield from self._tell(stream, 408, b"the request did not come in time", close=True)
                    going = False
                connection.working = True
                if going and not stream.fresh and connection.task is not None:
                    # Guards all others against one that sends request after request: their turn comes first.
                    connection.task.nudge()
                    yield Wait()
            self._stand(connection, self._lingering)
            yield from stream.linger()
        except (Broken, Late):
            return
        finally:
            self._stand(connection, None)
            self._connections.discard(connection)
            stream.close()
            if self.lifecycle.may_exit(self._loop.now()):
                self._loop.call_at(self._loop.now(), self._leave)

    def _first_byte(self, connection: Connection) -> Coroutine[bool]:
        """Wait between two requests; False if the connection is to end. Late: a stranger said nothing."""
        stream = connection.stream
        if not stream.fresh:
            return True
        self._stand(connection, self._idle if connection.known else self._silent)
        until = self._loop.now() + IDLE_TIME if connection.known else connection.since + STRANGER_SILENCE
        try:
            while True:
                count = stream.pull()
                if count is not None:
                    return count > 0
                if self._loop.now() >= self.lifecycle.close_idle_from:
                    # Guards the drain: one that connects now is given a moment, and not a stranger's time.
                    until = min(until, connection.since + LATE_SILENCE)
                woken = yield Wait(stream.fileno(), READABLE, until)
                if woken is not Woken.READY and stream.pull() is not None:
                    return True  # what came at the last moment is still served
                if woken is Woken.LATE and not connection.known:
                    raise Late
                if (
                    woken is Woken.NUDGED
                    and not connection.known
                    and (self._loop.now() < connection.since + LATE_SILENCE)
                ):
                    continue  # its request may be on the way
                if woken is not Woken.READY:
                    return False
        finally:
            self._stand(connection, None)

    def _tell(
        self,
        stream: Stream,
        status: int,
        body: bytes = b"",
        headers: Headers | None = None,
        close: bool = False,
    ) -> Coroutine[bool]:
        """Send an answer; whether the connection goes on."""
        if body and status != 200:
            body += b"\n"
        kind = [(b"Content-Type", b"text/plain; charset=utf-8")] if body else []
        headers = [*kind, *(headers or [])]
        until = self._loop.now() + WRITE_TIME
        close = close or self.lifecycle.closing(self._loop.now())
        return (yield from stream.answer(status, body, headers, close, until))

    def _route(self, connection: Connection, message: Message) -> Coroutine[bool]:
        stream = connection.stream
        path = message.target.partition(b"?")[0]
        if path == READY:
            if message.method not in (b"GET", b"HEAD"):
                return (yield from self._tell(stream, 405, headers=[(b"Allow", b"GET, HEAD")]))
            connection.known = True
            if not self.lifecycle.ready:
                return (yield from self._tell(stream, 503, self.lifecycle.phase.value.encode()))
            return (yield from self._tell(stream, 200, b"ready\n"))
        if path == CALLBACK:
            if message.method != b"POST":
                return (yield from self._tell(stream, 405, headers=[(b"Allow", b"POST")]))
            try:
                call = read_call(message.body, self._settings)
            except ValueError as exc:
                return (yield from self._tell(stream, 400, str(exc).encode()))
            connection.known = True
            if self._host.knows(call.txn) or self.elsewhere is None:
                self._host.call(call)
            elif not (yield from self.elsewhere(call, message.body)):
                # Guards the job: the other process has not said that it heard, so the instance has to say it
                # again.
                return (yield from self._tell(stream, 503, b"the holder of the job does not answer"))
            return (yield from self._tell(stream, 204))
        job_class = self._classes.get(path[1:].partition(b"/")[0]) if path.startswith(b"/") else None
        if job_class is None:
            return (yield from self._tell(stream, 404, b"no such class"))
        if message.method != b"POST":
            return (yield from self._tell(stream, 405, headers=[(b"Allow", b"POST")]))
        try:
            request = read_request(message, job_class)
        except (ValueError, Malformed) as exc:
            return (yield from self._tell(stream, 400, str(exc).encode()))
        if self._host.knows(request.txn) or request.txn in self.theirs:
            return (yield from self._tell(stream, 409, b"a request of this id is being worked on"))
        connection.known = True
        name = self._settings.classes[job_class].name
        if self._host.open >= self._most_jobs or self._host.held >= HELD * self._most_jobs:
            # Guards the descriptors that instances' calls need, without which no job would ever end, and the
            # memory that clients could fill who leave at once and come again.
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            return (yield from self._tell(stream, 503, b"full", [retry_after(FULL_RETRY_AFTER)]))
        now = self._loop.now()
        if self.lifecycle.refuses(now):
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            # On standby: others serve, so there is no reason to wait.
            return (yield from self._tell(stream, 503, self.lifecycle.phase.value.encode(), close=True))
        # Guards what comes late against SIGKILL: it gets an answer before that, whatever becomes of it.
        request.answer_by = self.lifecycle.answer_by(now)
        return (yield from self._working(connection, request))

    def _working(self, connection: Connection, request: Request) -> Coroutine[bool]:
        """Hand a request to the host and wait for its answer."""
        connection.answer = None
        request.gone = connection.stream.gone
        connection.job = self._host.submit(request, self._replying(connection))
        return (yield from self._awaiting(connection, connection.job))

    def _replying(self, connection: Connection) -> Callable[[Answer], None]:
        def reply(answer: Answer) -> None:
            connection.answer = answer
            if connection.task is not None:
                connection.task.nudge()

        return reply

    def _awaiting(self, connection: Connection, job: Job) -> Coroutine[bool]:
        """Wait for a job's answer, or for the client to go."""
        stream = connection.stream
        skip_from = 0
        try:
            while (answer := connection.answer) is None:
                early = stream.trailing() <= EARLY_BYTES
                if early or self._loop.now() >= skip_from:
                    woken = yield Wait(stream.fileno(), READABLE | ENDED)
                else:
                    woken = yield Wait(stream.fileno(), ENDED, skip_from)
                if woken is Woken.NUDGED:
                    continue
                # Guards against a client that sends on and on: what it sends then is dropped, bit by bit. And
                # against one that sends much and goes: its end is heard though it stands behind all that.
                if stream.gone() or (stream.pull() if early else stream.skip()) == 0:
                    raise Broken("the client is gone")
                if not early:
                    skip_from = self._loop.now() + SKIP_PAUSE
        finally:
            connection.job = None
            self._host.abandon(job)  # changes nothing once it is answered, or held elsewhere
        status, body, headers = _FORMS[answer.ending](answer)
        going = yield from self._tell(stream, status, body, headers, close=stream.skipped)
        # Guards the truth of the count: a job ends with the last byte of its answer, and not before.
        self._metrics.job_ended(job.cls.name, outcome_of_status(status))
        return going


def _refused(answer: Answer) -> tuple[int, bytes, Headers]:
    return 503, b"refused", [retry_after(answer.retry_after)] if answer.retry_after else []


_FORMS: dict[Ending, Callable[[Answer], tuple[int, bytes, Headers]]] = {
    Ending.SERVED: lambda answer: (200, answer.result, []),
    Ending.REFUSED: _refused,
    Ending.FAILED: lambda answer: (502, b"failed", []),
    Ending.REJECTED: lambda answer: (400, b"no instance can use it", []),
}


def retry_after(span: int) -> tuple[bytes, bytes]:
    return b"Retry-After", b"%.3f" % (span / 1e6)


def read_request(message: Message, job_class: int) -> Request:
    """A client's request; raises ValueError or Malformed if it is not in form."""
    txn, remaining = message.one(b"x-txn"), message.one(b"x-remaining-ms")
    if txn is None or not _TXN.fullmatch(txn):
        raise ValueError("X-Txn is missing or not an id")
    if remaining is None or not _WHOLE.fullmatch(remaining):
        raise ValueError("X-Remaining-Ms is missing or not whole milliseconds")
    labels = read_labels(message.one(b"x-labels") or b"")
    pairs = dict(parse_qsl(message.target.partition(b"?")[2].decode("latin-1"), keep_blank_values=True))
    return Request(
        txn=txn.decode(),
        job_class=job_class,
        remaining=int(remaining) * 1000,
        method=message.method,
        target=message.target,
        body=message.body,
        headers=[(name, value) for name, value in message.headers if name in PASSED_ON],
        slots=labels.get("slots", 1.0),
        memory=labels.get("memory", 0.0),
        key=read_key(pairs.get("k", "")),
        is_repeat=message.one(b"x-resent") == b"1",
        hint=read_estimate(message),
    )


def read_estimate(message: Message) -> int | None:
    """A client's guess of its job's work, in microseconds; one that is no such number counts as none.

    Guards the job: a guess that went wrong is no reason to turn it away.
    """
    told = [value for name, value in message.headers if name == b"x-estimate"]
    if len(told) == 1 and _WHOLE.fullmatch(told[0]) and int(told[0]) > 0:
        return int(told[0])
    if told:
        logger.bind(event="request.estimate").info("an estimate of {!r} is passed over", told[0][:40])
    return None


def read_labels(data: bytes) -> dict[str, float]:
    """Of `name=value,name=value` those that are known; a value that is no sensible number is an error."""
    labels: dict[str, float] = {}
    for pair in data.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name.strip() in LABELS:
            number = float(value)
            if not 0 <= number < 1e9:
                raise ValueError(f"label {name.strip()!r} is out of range")
            labels[name.strip()] = number
    return labels


def read_key(text: str) -> int:
    """What the request is about, as a number: the hexadecimal digits, or a digest of anything else."""
    if re.fullmatch(r"[0-9a-fA-F]{1,16}", text):
        return int(text, 16)
    return zlib.crc32(text.encode()) if text else 0


def read_call(data: bytes, settings: Settings) -> Call:
    """One call-back; raises ValueError if it is not in form."""
    try:
        value = json.loads(data)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(value, dict):
        raise ValueError("not a JSON object")
    txn, instance = value.get("id"), value.get("from")
    if not isinstance(txn, str) or not isinstance(instance, str):
        raise ValueError("id or from is missing")
    state = State(value.get("state"))
    result, share = value.get("result"), value.get("share", 0.0)
    if state is State.DONE and not isinstance(result, str):
        raise ValueError("done without a result")
    if isinstance(share, bool) or not isinstance(share, int | float):
        raise ValueError("share is not a number")
    return Call(
        txn,
        WorkerId(instance.encode("utf-8", "surrogatepass")),
        state,
        float(share),
        result.encode("utf-8", "surrogatepass") if isinstance(result, str) else b"",
        read_report(value.get("load"), settings.report_names, instance),
    )
