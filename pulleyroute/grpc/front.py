"""The downstream side of gRPC: listener, client connections, routing of calls to hosts, health, and the
drain."""

from __future__ import annotations

import itertools
import socket
import ssl
from dataclasses import dataclass, field

from loguru import logger

from pulleyroute.grpc.call import SLOW_READER_GRACE_US, Call
from pulleyroute.grpc.head import InvalidRequestHead, RequestHead, parse_request_head, trailers_only
from pulleyroute.grpc.health import HEALTH_PATHS, Health, HealthCall
from pulleyroute.grpc.routes import Routes
from pulleyroute.grpc.status import Status
from pulleyroute.net import log
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.host import Host
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import FLOOD_REASON, Http2Connection, Limits, Stream, StreamHandler
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import Loop
from pulleyroute.net.metrics import JobOutcome, Metrics
from pulleyroute.net.requests import Request
from pulleyroute.net.tls import Tls

OVERLOAD_RETRY_AFTER_US = 1_000_000
UNREAD_CHECK_INTERVAL_US = 1_000_000  # between two looks at answers that have not been read
DEFAULT_DRAIN_US = 30_000_000
# One count for all listeners of the process: guards against two calls of one id at a pool, where a listener
# that drains and the one that follows it have the same name.
_CALL_NUMBERS = itertools.count(1)


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """What a listener takes: `connections` and `calls` at once, bytes a message, bytes kept for resends a
    call (`replay`) and in all (`memory`); `drain` in microseconds, from the first GOAWAY to the end."""

    connections: int = 1000
    calls: int = 10_000
    message_bytes: int = 4 * 1024 * 1024
    replay: int = 256 * 1024
    memory: int = 64 * 1024 * 1024
    drain: int = DEFAULT_DRAIN_US
    connection: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Target:
    """Where a route leads: a pool's host, and a class by its number there."""

    host: Host
    job_class: int
    default_timeout_us: int  # microseconds, for a call that names no time of its own
    name: str = ""
    class_name: str = ""


class Front:
    """Owns a listener, its accepted connections and the calls on them."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        routes: Routes[Target],
        limits: FrontLimits,
        health: Health,
        context: ssl.SSLContext | None = None,
        name: str = "grpc",
        metrics: Metrics | None = None,
    ) -> None:
        self._loop, self._pool = loop, pool
        self.routes, self.limits, self.context = routes, limits, context
        self.health = health
        self.name = name
        self.ledger = Ledger(limits.memory)
        self.calls: set[Call] = set()
        self.connections: set[Http2Connection] = set()
        self._metrics = metrics or Metrics()
        self._listener = Listener(
            loop, f"listener {name}", self._has_capacity, self._close_idle_connection, self._accept
        )
        self._unread_responses: dict[
            Stream, int
        ] = {}  # ended calls whose answers wait for their clients, until when
        self.stopping = False

    def listen(self, address: tuple[str, int]) -> None:
        self._listener.listen(address)

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.address

    def apply(self, routes: Routes[Target], limits: FrontLimits, context: ssl.SSLContext | None) -> None:
        """Other routes, limits and certificate from now on; calls and connections that are open go on."""
        self.routes, self.limits, self.context = routes, limits, context
        self.ledger.limit = limits.memory

    def stop(self) -> None:
        """No new connection; GOAWAY on those there are; their calls finish, for `limits.drain` at the
        longest."""
        if self.stopping:
            return
        self.stopping = True
        self._listener.close()
        for connection in list(self.connections):
            connection.drain()
        self._loop.call_at(self._loop.now() + self.limits.drain, self._end_calls)

    def _end_calls(self) -> None:
        """The drain's time is over: what still runs gets its one ending now."""
        for call in list(self.calls):
            call.fail(Status.UNAVAILABLE, "the dispatcher stops: it may have run", discard_pending=True)
        self._loop.call_at(self._loop.now() + 100_000, self._close_connections)

    def _close_connections(self) -> None:
        for connection in list(self.connections):
            connection.close("stopped")

    @property
    def idle(self) -> bool:
        return not self.connections

    # Accepting

    def _has_capacity(self) -> bool:
        return len(self.connections) < self.limits.connections or self._close_idle_connection()

    def _close_idle_connection(self) -> bool:
        """Make room: one that carries no call goes."""
        for connection in self.connections:
            if not len(connection):
                connection.close("room was needed")
                return True
        return False

    def _accept(self, sock: socket.socket) -> None:
        tls = Tls(self.context, True) if self.context is not None else None
        connection = Http2Connection(
            self._loop,
            self._pool,
            sock,
            True,
            self.limits.connection,
            tls,
            self._stream_opened,
            self._connection_closed,
        )
        self.connections.add(connection)
        connection.start()

    def _connection_closed(self, connection: Http2Connection, why: str) -> None:
        self.connections.discard(connection)
        if why.startswith(FLOOD_REASON):
            logger.bind(event="client.flood", listener=self.name).warning("connection ended: {}", why)
        elif log.debugging:
            logger.bind(event="client.connection_ended").debug("connection ended: {}", why)

    # Calls

    def _stream_opened(self, stream: Stream, headers: Headers, ended: bool) -> StreamHandler:
        try:
            if (
                sum(len(name) + len(value) + 32 for name, value in headers)
                > self.limits.connection.header_bytes
            ):
                raise InvalidRequestHead(Status.RESOURCE_EXHAUSTED, "the headers are too large")
            head = parse_request_head(headers)
            if head.path in HEALTH_PATHS:
                return HealthCall(self.health, stream, head.path, ended)
            return self._start_call(stream, head, ended)
        except InvalidRequestHead as exc:
            if exc.http_status != 200:
                stream.send_headers([(b":status", b"%d" % exc.http_status)], end=True)
            else:
                stream.send_headers(trailers_only(exc.status, str(exc)), end=True)
            return DiscardingHandler(stream)

    def _start_call(self, stream: Stream, head: RequestHead, ended: bool) -> StreamHandler:
        target = self.routes.find(head.service, head.method)
        if target is None:
            raise InvalidRequestHead(Status.UNIMPLEMENTED, "no route takes this method")
        if head.timeout_us is not None and head.timeout_us <= 0:
            raise InvalidRequestHead(Status.DEADLINE_EXCEEDED, "the deadline was over when the call came")
        host = target.host
        if len(self.calls) >= self.limits.calls or self.ledger.full:
            self._metrics.job_ended(target.class_name, JobOutcome.DEFERRED)
            stream.send_headers(
                trailers_only(Status.UNAVAILABLE, "full: it has not run", OVERLOAD_RETRY_AFTER_US), end=True
            )
            return DiscardingHandler(stream)
        call = Call(
            host, stream, head, self.limits.replay, self.ledger, self.limits.message_bytes, self._call_ended
        )
        call.replay.ended = ended
        self.calls.add(call)
        stream.handler = call
        request = Request(
            txn=f"{self.name}-{next(_CALL_NUMBERS)}",
            job_class=target.job_class,
            remaining=target.default_timeout_us if head.timeout_us is None else head.timeout_us,
            method=b"POST",
            target=head.path,
            headers=[],
            body=b"",
            is_repeat=head.previous_attempts > 0,
            call=call,
        )
        job = host.submit(request, call.reply)
        call.job = job
        return call

    def _call_ended(self, call: Call, status: Status) -> None:
        self.calls.discard(call)
        if call.job is not None and not call.client_gone:
            outcome = (
                JobOutcome.ANSWERED
                if status is Status.OK
                else JobOutcome.DEFERRED
                if call.refused
                else JobOutcome.ERRORED
            )
            self._metrics.job_ended(call.job.cls.name, outcome)
        if call.stream.pending_bytes and call.stream.open and call.job is not None:
            self._unread_responses[call.stream] = (
                max(call.job.deadline, self._loop.now()) + SLOW_READER_GRACE_US
            )
            if len(self._unread_responses) == 1:
                self._loop.call_at(self._loop.now() + UNREAD_CHECK_INTERVAL_US, self._check_unread_responses)
        if log.debugging:  # guards the hot path: a line that nobody reads costs as much as a head
            logger.bind(
                event="call.ended", path=call.head.path.decode(errors="replace"), status=status.name
            ).debug("call ended")

    def _check_unread_responses(self) -> None:
        """Forget the answers that have been read, end those that nobody reads.

        Guards the memory twice: against a client that never reads to the end, and against keeping each call
        that has ended until its deadline, which a timer of its own would do.
        """
        now = self._loop.now()
        for stream, deadline in list(self._unread_responses.items()):
            if not stream.open:
                del self._unread_responses[stream]
            elif now >= deadline:
                del self._unread_responses[stream]
                stream.reset()
        if self._unread_responses:
            self._loop.call_at(now + UNREAD_CHECK_INTERVAL_US, self._check_unread_responses)


class DiscardingHandler:
    """Owns a stream that has its answer: what still comes is read and dropped."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        self._stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...
