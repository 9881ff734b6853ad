"""The downstream side: the listener, the client connections, `/-/ready` and the instances' `/callback`."""

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
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Headers, Malformed, Message, Stream
from pulleyroute.net.instance import read_report
from pulleyroute.net.job_transfer import movable
from pulleyroute.net.lifecycle import Lifecycle
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import PEER_CLOSED, READABLE, Coroutine, Loop, Task, Wait, WaitResult
from pulleyroute.net.metrics import JobOutcome, Metrics, outcome_of_status
from pulleyroute.net.requests import Answer, CallbackState, Ending, InstanceCallback, Job, Request

READY_PATH = b"/-/ready"
CALLBACK_PATH = b"/callback"
REQUEST_TIMEOUT_US = 10_000_000  # from the first byte of a request to its last
IDLE_TIMEOUT_US = 90_000_000  # between two requests
# A new client has not sent a complete valid request yet; a known client has. Both times count from accepting
# the connection: to the first byte, and to the last byte of the first request.
NEW_CLIENT_FIRST_BYTE_TIMEOUT_US = 2_500_000
NEW_CLIENT_REQUEST_TIMEOUT_US = 2_800_000
DRAIN_REQUEST_TIMEOUT_US = 300_000  # limits these times while connections are being closed
MIN_SHED_AGE_US = 100_000  # a younger connection is not shed: its request may be in transit
# While new clients hold a larger share of the connection limit, no known client is shed.
MAX_NEW_CLIENT_SHARE = 0.25
SHED_SCAN_LIMIT = 16  # connections of each queue that are examined for one to shed
WRITE_TIMEOUT_US = 10_000_000
READ_AHEAD_LIMIT_BYTES = 64 * 1024  # received while a request waits for its answer
DISCARD_INTERVAL_US = 2_000  # between two reads that discard bytes beyond that limit
TRANSFER_INTERVAL_US = 10_000  # between two passes that move connections to another process
MAX_FAILED_TRANSFERS = 4  # in one pass, before the other connections wait for the next pass
# Requests kept in memory, as a multiple of the limit of open ones: attempts outlive clients that disconnect.
RETAINED_REQUESTS_RATIO = 2
RETRY_AFTER_WHEN_FULL_US = 1_000_000
KNOWN_LABELS = ("slots", "memory")
FORWARDED_HEADERS = (b"idempotency-key", b"content-type", b"x-labels")

_TXN_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
_WHOLE_NUMBER = re.compile(rb"[0-9]{1,12}")

SHED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class Connection:
    """One accepted connection."""

    __slots__ = ("accepted_at", "answer", "job", "known", "processing", "shed_queue", "stream", "task")

    def __init__(self, stream: Stream, accepted_at: int) -> None:
        self.stream = stream
        self.accepted_at = accepted_at  # microseconds of the loop's clock
        self.known = False  # the client has sent a complete valid request
        self.shed_queue: ShedQueue | None = None  # None while the connection may not be shed
        self.task: Task | None = None
        self.processing = False  # a complete request is being answered
        self.answer: Answer | None = None
        self.job: Job | None = None  # the job whose answer the client waits for


# Sends a connection to another process: its state, the body of its request and its descriptor. Returns
# whether it was sent.
SendConnection = Callable[[dict[str, Any], bytes, int], bool]
ShedQueue = OrderedDict[Connection, None]  # in the order in which connections are shed


class Downstream:
    """Owns the listener and every accepted connection."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        ledger: Ledger,
        host: Host,
        settings: Settings,
        max_connections: int,
        max_requests: int,
        metrics: Metrics | None = None,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._ledger = ledger
        self._host = host
        self.adopt(settings)
        self._max_connections = max_connections
        # Open at once; the other connections are reserved for the call-backs of instances.
        self._max_requests = max_requests
        self._connections: set[Connection] = set()
        self._lingering: ShedQueue = OrderedDict()  # the last answer is sent
        self._silent: ShedQueue = OrderedDict()  # new clients that have sent nothing
        self._partial: ShedQueue = OrderedDict()  # new clients that have sent part of a request
        self._idle: ShedQueue = OrderedDict()  # known clients between two requests
        self.listener = Listener(loop, "listener", self._has_room, self._shed_one, self._on_accept)
        self.lifecycle = Lifecycle()
        self._metrics = metrics or Metrics()
        self._send_connection: SendConnection | None = None  # set once another process has taken over
        # Passes on a call-back for a job that this process does not hold. Returns False if the process that
        # may hold the job did not acknowledge the call-back.
        self.forward_callback: Callable[[InstanceCallback, bytes], Coroutine[bool]] | None = None
        # Ids of requests that the previous process still works on.
        self.predecessor_ids: frozenset[str] = frozenset()
        self.on_drained: Callable[[], None] = loop.stop  # called when no request and no connection is left

    def listen(self, address: tuple[str, int]) -> None:
        """Listen on an address and serve clients; raises OSError if the address is not available."""
        self.listener.listen(address)
        self.lifecycle.serve()

    @property
    def address(self) -> tuple[str, int]:
        """The address that the listener is bound to."""
        return self.listener.address

    def adopt(self, settings: Settings) -> None:
        """Apply other settings, and so other job classes, from the next request on."""
        self._settings = settings
        self._classes = {cls.name.encode(): i for i, cls in enumerate(settings.classes)}

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._settings

    @property
    def count(self) -> int:
        """The number of accepted connections."""
        return len(self._connections)

    def set_limits(self, max_connections: int, max_requests: int) -> None:
        """Replace the limits of accepted connections and of open requests."""
        self._max_connections, self._max_requests = max_connections, max_requests

    # Draining

    def stop(self) -> None:
        """Begin to stop, as on SIGTERM: close the connections in steps and finish once all are answered."""
        longest = max(cls.give_up for cls in self._settings.classes)
        if self.lifecycle.end(self._loop.now(), longest):
            self._schedule_phase_checks()

    def standby(self) -> None:
        """Drain: report not ready and close the connections in steps, while the process keeps running."""
        if self.lifecycle.standby(self._loop.now()):
            self._schedule_phase_checks()

    def active(self) -> None:
        """Return to service; connections that are not closed yet stay open."""
        self.lifecycle.active()

    # Hand-over between two processes of this dispatcher

    def hand_over_clients(self, send_connection: SendConnection) -> None:
        """Stop accepting and move the connections to the process that has taken over."""
        if self.lifecycle.hand_over(self._loop.now()):
            self._send_connection = send_connection
            self.listener.pause()
            self._schedule_phase_checks()
            self._transfer_connections()

    def resume(self) -> None:
        """Accept clients again after the other process has gone, unless this process is stopping."""
        self._send_connection = None
        if self.lifecycle.resume():
            self.listener.resume()

    def _transfer_connections(self) -> None:
        """Move the connections that can be moved now; the others are tried again in a later pass."""
        send_connection = self._send_connection
        if send_connection is None:
            return
        failed = 0
        for connection in list(self._connections):
            job, stream = connection.job, connection.stream
            if job is not None and not stream.bytes_discarded and movable(job):
                body = job.request.body
                values = {"known": True, "job": self._host.pack(job), "pending": stream.transfer_state()}
            elif connection.shed_queue in (self._silent, self._idle) and stream.at_message_start:
                job, body = None, b""
                values = {"known": connection.known, "since": connection.accepted_at}
            else:
                continue
            if not send_connection(values, body, stream.fileno()):
                # The other process is behind, or the message is too large: the connection stays for now.
                failed += 1
                if failed == MAX_FAILED_TRANSFERS:
                    break
                continue
            # The other process owns the connection now; this process only closes its copy of the descriptor.
            if job is not None:
                self._host.release(job)
            if connection.task is not None:
                connection.task.cancel()
        self._loop.call_at(self._loop.now() + TRANSFER_INTERVAL_US, self._transfer_connections)
        self._finish_if_drained()

    def take_over_connection(
        self, sock: socket.socket, values: dict[str, Any], body: bytes, shift: int
    ) -> None:
        """Take over a connection that another process has moved here, with its job if it has one.

        `shift` converts times of the other process's clock to this one's.
        """
        sock.setblocking(False)
        stream = Stream(self._loop, self._pool, sock, server=True, ledger=self._ledger)
        connection = Connection(stream, values.get("since", self._loop.now()) + shift)
        connection.known = values["known"]
        first = None
        if "job" in values and self._host.has_request(values["job"]["txn"]):
            # The client sent this id to both processes; a second job of the same id must not start.
            stream.restore_transfer_state(values["pending"], len(body))
            first = self._respond(stream, 502, b"failed", close=True)
        elif "job" in values:
            stream.restore_transfer_state(values["pending"], len(body))
            connection.processing = True
            connection.job = self._host.take_over(
                values["job"], body, self._reply_callback(connection), shift
            )
            connection.job.request.client_gone = stream.peer_closed
            first = self._await_answer(connection, connection.job)
        self._start(connection, first)

    def _schedule_phase_checks(self) -> None:
        for at in self.lifecycle.pending_deadlines(self._loop.now()):
            self._loop.call_at(at, self._apply_phase)

    def _apply_phase(self) -> None:
        """Close the connections that the current time of the lifecycle no longer permits."""
        now = self._loop.now()
        if now >= self.lifecycle.close_idle_from:
            # Each is woken rather than closed, so that a request that has arrived unread is still served.
            for connection in [*self._silent, *self._idle]:
                if connection.task is not None:
                    connection.task.wake()
        if now >= self.lifecycle.abort_incomplete_from:
            reading = [
                c for c in self._connections if not c.processing and c.shed_queue is not self._lingering
            ]
            for connection in reading:
                connection.stream.send_best_effort(SHED_RESPONSE)
                if connection.task is not None:
                    connection.task.cancel()
        self._finish_if_drained()

    def _finish_if_drained(self) -> None:
        """Call `on_drained` once the process may stop and no request or connection is left."""
        if (
            self.lifecycle.may_exit(self._loop.now())
            and not self._host.open_requests
            and not self._connections
        ):
            logger.bind(event="stopped").info("all requests are answered, stopping")
            self.on_drained()

    # Accepting

    def _has_room(self) -> bool:
        return len(self._connections) < self._max_connections or self._shed_one()

    def _shed_one(self) -> bool:
        """Close one connection to make room for another; returns whether one could be closed.

        New clients are closed before known ones, and silent ones first. Otherwise hundreds of connections
        that send nothing would keep out ordinary clients and the call-backs of instances.
        """
        latest_accept = self._loop.now() - MIN_SHED_AGE_US
        for queue in (self._lingering, self._silent, self._partial, self._idle):
            is_new = queue is self._silent or queue is self._partial
            if (
                queue is self._idle
                and len(self._silent) + len(self._partial) > self._max_connections * MAX_NEW_CLIENT_SHARE
            ):
                return False  # known clients stay: the new ones can be shed a moment later
            for connection in islice(queue, SHED_SCAN_LIMIT):
                if is_new and connection.accepted_at > latest_accept:
                    break
                if queue is not self._lingering and connection.stream.has_unread_data():
                    continue  # a request has arrived and is about to be read
                if is_new:
                    connection.stream.send_best_effort(SHED_RESPONSE)
                if connection.task is not None:
                    connection.task.cancel()
                return True
        return False

    def _set_shed_queue(self, connection: Connection, queue: ShedQueue | None) -> None:
        """Move a connection to the end of a queue from which it may be shed, or out of all of them."""
        if connection.shed_queue is not None:
            connection.shed_queue.pop(connection, None)
        connection.shed_queue = queue
        if queue is not None:
            queue[connection] = None

    def _on_accept(self, sock: socket.socket) -> None:
        stream = Stream(self._loop, self._pool, sock, server=True, ledger=self._ledger)
        self._start(Connection(stream, self._loop.now()))

    def _start(self, connection: Connection, first: Coroutine[bool] | None = None) -> None:
        self._connections.add(connection)
        connection.task = Task(self._loop, self._serve(connection, first), "client connection")
        connection.task.start()

    # One connection

    def _serve(self, connection: Connection, first: Coroutine[bool] | None) -> Coroutine[None]:
        """Serve the requests of a connection; `first` answers one that another process has read."""
        stream = connection.stream
        try:
            going = first is None or (yield from first)
            while going:
                connection.processing = False
                try:
                    if not (yield from self._wait_first_byte(connection)):
                        return
                    if connection.known:
                        until = self._loop.now() + REQUEST_TIMEOUT_US
                    else:
                        until = connection.accepted_at + NEW_CLIENT_REQUEST_TIMEOUT_US
                        self._set_shed_queue(connection, self._partial)
                    if self._loop.now() >= self.lifecycle.abort_incomplete_from:
                        until = min(until, self._loop.now() + DRAIN_REQUEST_TIMEOUT_US)
                    message = yield from stream.request(until)
                    self._set_shed_queue(connection, None)
                    connection.processing = True
                    if message is None:
                        return
                    going = yield from self._route(connection, message)
                except Malformed as exc:
                    # After a framing error the start of the next request is unknown.
                    advice = [retry_after(RETRY_AFTER_WHEN_FULL_US)] if exc.status == 503 else None
                    yield from self._respond(stream, exc.status, str(exc).encode(), advice, close=True)
                    going = False
                except DeadlineExceeded:
                    yield from self._respond(stream, 408, b"the request did not come in time", close=True)
                    going = False
                connection.processing = True
                if going and not stream.at_message_start and connection.task is not None:
                    # Lets the other connections run first: a client that pipelines many requests would hold
                    # them up.
                    connection.task.wake()
                    yield Wait()
            self._set_shed_queue(connection, self._lingering)
            yield from stream.linger()
        except (ConnectionFailed, DeadlineExceeded):
            return
        finally:
            self._set_shed_queue(connection, None)
            self._connections.discard(connection)
            stream.close()
            if self.lifecycle.may_exit(self._loop.now()):
                self._loop.call_at(self._loop.now(), self._finish_if_drained)

    def _wait_first_byte(self, connection: Connection) -> Coroutine[bool]:
        """Wait for the first byte of a request; returns False if the connection is to be closed.

        Raises DeadlineExceeded if a new client has sent nothing in time.
        """
        stream = connection.stream
        if not stream.at_message_start:
            return True
        self._set_shed_queue(connection, self._idle if connection.known else self._silent)
        until = (
            self._loop.now() + IDLE_TIMEOUT_US
            if connection.known
            else connection.accepted_at + NEW_CLIENT_FIRST_BYTE_TIMEOUT_US
        )
        try:
            while True:
                count = stream.read_available()
                if count is not None:
                    return count > 0
                if self._loop.now() >= self.lifecycle.close_idle_from:
                    # With the full time of a new client, connections accepted now would hold up the drain.
                    until = min(until, connection.accepted_at + DRAIN_REQUEST_TIMEOUT_US)
                woken = yield Wait(stream.fileno(), READABLE, until)
                if woken is not WaitResult.READY and stream.read_available() is not None:
                    return True  # a request that arrived at the last moment is still served
                if woken is WaitResult.TIMED_OUT and not connection.known:
                    raise DeadlineExceeded
                if (
                    woken is WaitResult.WOKEN
                    and not connection.known
                    and (self._loop.now() < connection.accepted_at + DRAIN_REQUEST_TIMEOUT_US)
                ):
                    continue  # the request may be in transit
                if woken is not WaitResult.READY:
                    return False
        finally:
            self._set_shed_queue(connection, None)

    def _respond(
        self,
        stream: Stream,
        status: int,
        body: bytes = b"",
        headers: Headers | None = None,
        close: bool = False,
    ) -> Coroutine[bool]:
        """Send a response; returns whether the connection can carry another request."""
        if body and status != 200:
            body += b"\n"
        content_type = [(b"Content-Type", b"text/plain; charset=utf-8")] if body else []
        headers = [*content_type, *(headers or [])]
        until = self._loop.now() + WRITE_TIMEOUT_US
        close = close or self.lifecycle.closing(self._loop.now())
        return (yield from stream.answer(status, body, headers, close, until))

    def _route(self, connection: Connection, message: Message) -> Coroutine[bool]:
        """Answer a message by its path; returns whether the connection can carry another request."""
        stream = connection.stream
        path = message.target.partition(b"?")[0]
        if path == READY_PATH:
            if message.method not in (b"GET", b"HEAD"):
                return (yield from self._respond(stream, 405, headers=[(b"Allow", b"GET, HEAD")]))
            connection.known = True
            if not self.lifecycle.ready:
                return (yield from self._respond(stream, 503, self.lifecycle.phase.value.encode()))
            return (yield from self._respond(stream, 200, b"ready\n"))
        if path == CALLBACK_PATH:
            if message.method != b"POST":
                return (yield from self._respond(stream, 405, headers=[(b"Allow", b"POST")]))
            try:
                call = read_call(message.body, self._settings)
            except ValueError as exc:
                return (yield from self._respond(stream, 400, str(exc).encode()))
            connection.known = True
            if self._host.has_request(call.txn) or self.forward_callback is None:
                self._host.handle_callback(call)
            elif not (yield from self.forward_callback(call, message.body)):
                # The other process has not acknowledged the call-back: the instance has to send it again, or
                # the job would never end.
                return (yield from self._respond(stream, 503, b"the holder of the job does not answer"))
            return (yield from self._respond(stream, 204))
        job_class = self._classes.get(path[1:].partition(b"/")[0]) if path.startswith(b"/") else None
        if job_class is None:
            return (yield from self._respond(stream, 404, b"no such class"))
        if message.method != b"POST":
            return (yield from self._respond(stream, 405, headers=[(b"Allow", b"POST")]))
        try:
            request = read_request(message, job_class)
        except (ValueError, Malformed) as exc:
            return (yield from self._respond(stream, 400, str(exc).encode()))
        if self._host.has_request(request.txn) or request.txn in self.predecessor_ids:
            return (yield from self._respond(stream, 409, b"a request of this id is being worked on"))
        connection.known = True
        name = self._settings.classes[job_class].name
        if (
            self._host.open_requests >= self._max_requests
            or self._host.tracked_requests >= RETAINED_REQUESTS_RATIO * self._max_requests
        ):
            # The call-backs of instances need descriptors, or no job would ever end. Clients that disconnect
            # at once and return could otherwise fill the memory.
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            return (yield from self._respond(stream, 503, b"full", [retry_after(RETRY_AFTER_WHEN_FULL_US)]))
        now = self._loop.now()
        if self.lifecycle.refuses(now):
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            # On standby other dispatchers serve: the client need not wait before it tries one of them.
            return (yield from self._respond(stream, 503, self.lifecycle.phase.value.encode(), close=True))
        # A request that arrives late in the shutdown is answered in any case before SIGKILL ends the process.
        request.answer_by = self.lifecycle.answer_by(now)
        return (yield from self._process(connection, request))

    def _process(self, connection: Connection, request: Request) -> Coroutine[bool]:
        """Submit a request to the host and wait for its answer."""
        connection.answer = None
        request.client_gone = connection.stream.peer_closed
        connection.job = self._host.submit(request, self._reply_callback(connection))
        return (yield from self._await_answer(connection, connection.job))

    def _reply_callback(self, connection: Connection) -> Callable[[Answer], None]:
        def reply(answer: Answer) -> None:
            connection.answer = answer
            if connection.task is not None:
                connection.task.wake()

        return reply

    def _await_answer(self, connection: Connection, job: Job) -> Coroutine[bool]:
        """Wait for the answer of a job and send it; abandons the job if the client disconnects.

        Returns whether the connection can carry another request.
        """
        stream = connection.stream
        discard_from = 0
        try:
            while (answer := connection.answer) is None:
                within_limit = stream.unparsed_bytes() <= READ_AHEAD_LIMIT_BYTES
                if within_limit or self._loop.now() >= discard_from:
                    woken = yield Wait(stream.fileno(), READABLE | PEER_CLOSED)
                else:
                    woken = yield Wait(stream.fileno(), PEER_CLOSED, discard_from)
                if woken is WaitResult.WOKEN:
                    continue
                # Bytes beyond the limit are discarded a little at a time, so that a client that sends without
                # pause cannot fill the memory. A disconnect is noticed even behind many unread bytes.
                if (
                    stream.peer_closed()
                    or (stream.read_available() if within_limit else stream.discard_available()) == 0
                ):
                    raise ConnectionFailed("the client closed the connection")
                if not within_limit:
                    discard_from = self._loop.now() + DISCARD_INTERVAL_US
        finally:
            connection.job = None
            self._host.abandon(job)  # no effect once the job is answered or moved to another process
        status, body, headers = _RESPONSES[answer.ending](answer)
        going = yield from self._respond(stream, status, body, headers, close=stream.bytes_discarded)
        # A job counts as ended only once the last byte of its answer is written.
        self._metrics.job_ended(job.cls.name, outcome_of_status(status))
        return going


def _refused_response(answer: Answer) -> tuple[int, bytes, Headers]:
    return 503, b"refused", [retry_after(answer.retry_after)] if answer.retry_after else []


_RESPONSES: dict[Ending, Callable[[Answer], tuple[int, bytes, Headers]]] = {
    Ending.SERVED: lambda answer: (200, answer.result, []),
    Ending.REFUSED: _refused_response,
    Ending.FAILED: lambda answer: (502, b"failed", []),
    Ending.REJECTED: lambda answer: (400, b"no instance can use it", []),
}


def retry_after(delay_us: int) -> tuple[bytes, bytes]:
    """Return a Retry-After header, in seconds with a fraction."""
    return b"Retry-After", b"%.3f" % (delay_us / 1e6)


def read_request(message: Message, job_class: int) -> Request:
    """Parse the request of a client; raises ValueError or Malformed if it is invalid."""
    txn, remaining = message.single_header(b"x-txn"), message.single_header(b"x-remaining-ms")
    if txn is None or not _TXN_PATTERN.fullmatch(txn):
        raise ValueError("X-Txn is missing or not an id")
    if remaining is None or not _WHOLE_NUMBER.fullmatch(remaining):
        raise ValueError("X-Remaining-Ms is missing or not whole milliseconds")
    labels = read_labels(message.single_header(b"x-labels") or b"")
    pairs = dict(parse_qsl(message.target.partition(b"?")[2].decode("latin-1"), keep_blank_values=True))
    return Request(
        txn=txn.decode(),
        job_class=job_class,
        remaining=int(remaining) * 1000,
        method=message.method,
        target=message.target,
        body=message.body,
        headers=[(name, value) for name, value in message.headers if name in FORWARDED_HEADERS],
        slots=labels.get("slots", 1.0),
        memory=labels.get("memory", 0.0),
        key=read_key(pairs.get("k", "")),
        is_repeat=message.single_header(b"x-resent") == b"1",
        cost_hint=read_estimate(message),
    )


def read_estimate(message: Message) -> int | None:
    """Return the client's estimate of the work of its job in microseconds, None if there is none.

    An invalid estimate is logged and ignored: it is no reason to reject the job.
    """
    values = [value for name, value in message.headers if name == b"x-estimate"]
    if len(values) == 1 and _WHOLE_NUMBER.fullmatch(values[0]) and int(values[0]) > 0:
        return int(values[0])
    if values:
        logger.bind(event="request.estimate").info("ignoring an invalid estimate: {!r}", values[0][:40])
    return None


def read_labels(data: bytes) -> dict[str, float]:
    """Parse the known labels of `name=value,name=value`; raises ValueError for an invalid value."""
    labels: dict[str, float] = {}
    for pair in data.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name.strip() in KNOWN_LABELS:
            number = float(value)
            if not 0 <= number < 1e9:
                raise ValueError(f"label {name.strip()!r} is out of range")
            labels[name.strip()] = number
    return labels


def read_key(text: str) -> int:
    """Return the key of a request as a number: its hexadecimal digits, or a CRC of any other text."""
    if re.fullmatch(r"[0-9a-fA-F]{1,16}", text):
        return int(text, 16)
    return zlib.crc32(text.encode()) if text else 0


def read_call(data: bytes, settings: Settings) -> InstanceCallback:
    """Parse a call-back of an instance; raises ValueError if it is invalid."""
    try:
        value = json.loads(data)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(value, dict):
        raise ValueError("not a JSON object")
    txn, instance = value.get("id"), value.get("from")
    if not isinstance(txn, str) or not isinstance(instance, str):
        raise ValueError("id or from is missing")
    state = CallbackState(value.get("state"))
    result, share = value.get("result"), value.get("share", 0.0)
    if state is CallbackState.DONE and not isinstance(result, str):
        raise ValueError("done without a result")
    if isinstance(share, bool) or not isinstance(share, int | float):
        raise ValueError("share is not a number")
    return InstanceCallback(
        txn,
        WorkerId(instance.encode("utf-8", "surrogatepass")),
        state,
        float(share),
        result.encode("utf-8", "surrogatepass") if isinstance(result, str) else b"",
        read_report(value.get("load"), settings.report_names, instance),
    )
