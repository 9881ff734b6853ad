"""The downstream side: the listener, the client connections, `/-/ready` and the instances' `/callback`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from loguru import logger

from pulleyroute.interface import Settings
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.host import Host
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Headers, Malformed, Message, Stream
from pulleyroute.net.job_transfer import movable
from pulleyroute.net.lifecycle import Lifecycle
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import PEER_CLOSED, READABLE, Coroutine, Loop, Task, Wait, WaitResult
from pulleyroute.net.metrics import JobOutcome, Metrics, outcome_of_status
from pulleyroute.net.request_parsing import read_call, read_request
from pulleyroute.net.requests import Answer, Ending, InstanceCallback, Job, Request
from pulleyroute.net.shedding import ShedQueues, ShedState

READY_PATH = b"/-/ready"
CALLBACK_PATH = b"/callback"
REQUEST_TIMEOUT_US = 2_800_000  # from the first byte of a known client's request to its last
IDLE_TIMEOUT_US = 90_000_000  # between two requests
# A new client has not sent a complete valid request yet; a known client has. Both times count from accepting
# the connection: to the first byte, and to the last byte of the first request.
NEW_CLIENT_FIRST_BYTE_TIMEOUT_US = 2_500_000
NEW_CLIENT_REQUEST_TIMEOUT_US = 2_800_000
DRAIN_REQUEST_TIMEOUT_US = 300_000  # limits these times while connections are being closed
WRITE_TIMEOUT_US = 10_000_000
READ_TIME_US = 1_000_000  # in which a client has to read its answer where others need its connection
READ_AHEAD_LIMIT_BYTES = 64 * 1024  # received while a request waits for its answer
DISCARD_INTERVAL_US = 2_000  # between two reads that discard bytes beyond that limit
TRANSFER_INTERVAL_US = 10_000  # between two passes that move connections to another process
MAX_FAILED_TRANSFERS = 4  # in one pass, before the other connections wait for the next pass
# Requests kept in memory, as a multiple of the limit of open ones: attempts outlive clients that disconnect.
RETAINED_REQUESTS_RATIO = 2
RETRY_AFTER_WHEN_FULL_US = 1_000_000


SHED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class Connection:
    """One accepted connection."""

    __slots__ = (
        "accepted_at",
        "answer",
        "job",
        "known",
        "processing",
        "stream",
        "task",
    )

    def __init__(self, stream: Stream, accepted_at: int) -> None:
        self.stream = stream
        self.accepted_at = accepted_at  # microseconds of the loop's clock
        self.known = False  # the client has sent a complete valid request
        self.task: Task | None = None
        self.processing = False  # a complete request is being answered
        self.answer: Answer | None = None
        self.job: Job | None = None  # the job whose answer the client waits for


# Sends a connection to another process: its state, the body of its request and its descriptor. Returns
# whether it was sent.
SendConnection = Callable[[dict[str, Any], bytes, int], bool]


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
        self._shed_queues: ShedQueues[Connection] = ShedQueues()
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
            elif self._is_idle(connection) and stream.at_message_start:
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

    def _is_idle(self, connection: Connection) -> bool:
        """Whether the connection waits for the first byte of a request."""
        return self._shed_queues.state(connection) in (ShedState.SILENT, ShedState.IDLE)

    def take_over_connection(
        self, sock: socket.socket, values: dict[str, Any], body: bytes, shift: int
    ) -> None:
        """Take over a connection that another process has moved here, with its job if it has one.

        `shift` converts times of the other process's clock to this one's.
        """
        sock.setblocking(False)
        stream = Stream(self._loop, self._pool, sock, server=True, ledger=self._ledger)
        accepted_at = values["since"] + shift if "since" in values else self._loop.now()
        connection = Connection(stream, accepted_at)
        connection.known = values["known"]
        first = None
        if "job" in values and self._host.has_request(values["job"]["txn"]):
            # The client sent this id to both processes; a second job of the same id must not start.
            stream.restore_transfer_state(values["pending"], len(body))
            first = self._respond(connection, 502, b"failed", close=True)
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
            for connection in self._shed_queues.connections(ShedState.SILENT, ShedState.IDLE):
                if connection.task is not None:
                    connection.task.wake()
        if now >= self.lifecycle.abort_incomplete_from:
            reading = [
                connection
                for connection in self._connections
                if not connection.processing
                and self._shed_queues.state(connection) is not ShedState.LINGERING
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
        """Close one connection to make room for another; returns whether one could be closed."""
        connection = self._shed_queues.choose(self._loop.now(), self._max_connections)
        if connection is None:
            return False
        state = self._shed_queues.state(connection)
        if state is not None and state.is_answered:
            connection.stream.send_best_effort(SHED_RESPONSE)
        if connection.task is not None:
            connection.task.cancel()
        return True

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
                    message = yield from stream.request(self._request_deadline(connection))
                    self._shed_queues.set(connection, None)
                    connection.processing = True
                    if message is None:
                        return
                    going = yield from self._route(connection, message)
                except Malformed as exc:
                    # After a framing error the start of the next request is unknown.
                    advice = [retry_after(RETRY_AFTER_WHEN_FULL_US)] if exc.status == 503 else None
                    yield from self._respond(connection, exc.status, str(exc).encode(), advice, close=True)
                    going = False
                except DeadlineExceeded:
                    yield from self._respond(connection, 408, b"the request did not come in time", close=True)
                    going = False
                connection.processing = True
                if going and not stream.at_message_start and connection.task is not None:
                    # Lets the other connections run first: a client that pipelines many requests would hold
                    # them up.
                    connection.task.wake()
                    yield Wait()
            self._shed_queues.set(connection, ShedState.LINGERING)
            yield from stream.linger()
        except (ConnectionFailed, DeadlineExceeded):
            return
        finally:
            self._shed_queues.set(connection, None)
            self._connections.discard(connection)
            stream.close()
            if self.lifecycle.may_exit(self._loop.now()):
                self._loop.call_at(self._loop.now(), self._finish_if_drained)

    def _request_deadline(self, connection: Connection) -> int:
        """Return the time by which the request that has begun must be complete; it may be shed until then."""
        now = self._loop.now()
        if connection.known:
            started_at = connection.stream.next_message_arrived_at()
            deadline = started_at + REQUEST_TIMEOUT_US
            self._shed_queues.set(connection, ShedState.PARTIAL_KNOWN, started_at)
        else:
            deadline = connection.accepted_at + NEW_CLIENT_REQUEST_TIMEOUT_US
            self._shed_queues.set(connection, ShedState.PARTIAL_NEW, connection.accepted_at)
        if now >= self.lifecycle.abort_incomplete_from:
            deadline = min(deadline, now + DRAIN_REQUEST_TIMEOUT_US)
        return deadline

    def _wait_first_byte(self, connection: Connection) -> Coroutine[bool]:
        """Wait for the first byte of a request; returns False if the connection is to be closed.

        Raises DeadlineExceeded if a new client has sent nothing in time.
        """
        stream = connection.stream
        if not stream.at_message_start:
            return True
        if connection.known:
            self._shed_queues.set(connection, ShedState.IDLE)
        else:
            self._shed_queues.set(connection, ShedState.SILENT, connection.accepted_at)
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
            self._shed_queues.set(connection, None)

    def _respond(
        self,
        connection: Connection,
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
        self._shed_queues.set(connection, ShedState.UNREAD, self._loop.now() + READ_TIME_US)
        going = yield from connection.stream.answer(status, body, headers, close, until)
        self._shed_queues.set(connection, None)
        return going

    def _route(self, connection: Connection, message: Message) -> Coroutine[bool]:
        """Answer a message by its path; returns whether the connection can carry another request."""
        stream = connection.stream
        path = message.target.partition(b"?")[0]
        if path == READY_PATH:
            if message.method not in (b"GET", b"HEAD"):
                return (yield from self._respond(connection, 405, headers=[(b"Allow", b"GET, HEAD")]))
            connection.known = True
            if not self.lifecycle.ready:
                return (yield from self._respond(connection, 503, self.lifecycle.phase.value.encode()))
            return (yield from self._respond(connection, 200, b"ready\n"))
        if path == CALLBACK_PATH:
            if message.method != b"POST":
                return (yield from self._respond(connection, 405, headers=[(b"Allow", b"POST")]))
            try:
                call = read_call(message.body, self._settings)
            except ValueError as exc:
                return (yield from self._respond(connection, 400, str(exc).encode()))
            connection.known = True
            if self._host.has_request(call.txn) or self.forward_callback is None:
                self._host.handle_callback(call)
            elif not (yield from self.forward_callback(call, message.body)):
                # The other process has not acknowledged the call-back: the instance has to send it again, or
                # the job would never end.
                return (yield from self._respond(connection, 503, b"the holder of the job does not answer"))
            return (yield from self._respond(connection, 204))
        job_class = self._classes.get(path[1:].partition(b"/")[0]) if path.startswith(b"/") else None
        if job_class is None:
            return (yield from self._respond(connection, 404, b"no such class"))
        if message.method != b"POST":
            return (yield from self._respond(connection, 405, headers=[(b"Allow", b"POST")]))
        try:
            request = read_request(message, job_class)
        except (ValueError, Malformed) as exc:
            return (yield from self._respond(connection, 400, str(exc).encode()))
        # A pipelined request has waited for the answers to those before it.
        request.remaining = max(0, request.remaining - (self._loop.now() - stream.message_arrived_at()))
        if self._host.has_request(request.txn) or request.txn in self.predecessor_ids:
            return (yield from self._respond(connection, 409, b"a request of this id is being worked on"))
        connection.known = True
        name = self._settings.classes[job_class].name
        if (
            self._host.open_requests >= self._max_requests
            or self._host.tracked_requests >= RETAINED_REQUESTS_RATIO * self._max_requests
        ):
            # The call-backs of instances need descriptors, or no job would ever end. Clients that disconnect
            # at once and return could otherwise fill the memory.
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            return (
                yield from self._respond(connection, 503, b"full", [retry_after(RETRY_AFTER_WHEN_FULL_US)])
            )
        now = self._loop.now()
        if self.lifecycle.refuses(now):
            self._metrics.job_ended(name, JobOutcome.DEFERRED)
            # On standby other dispatchers serve: the client need not wait before it tries one of them.
            return (
                yield from self._respond(connection, 503, self.lifecycle.phase.value.encode(), close=True)
            )
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
        going = yield from self._respond(connection, status, body, headers, close=stream.bytes_discarded)
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
