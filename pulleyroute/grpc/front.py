"""The client side of gRPC: accepts connections, routes calls to the hosts of pools, and drains."""

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

OVERLOAD_RETRY_AFTER_US = 1_000_000  # pushback for a call that exceeds a limit of the listener
UNREAD_CHECK_INTERVAL_US = 1_000_000
DEFAULT_DRAIN_US = 30_000_000
# All listeners of the process share one counter. A draining listener and its successor have the same name, so
# with a counter each, two calls at a pool could get the same id.
_CALL_NUMBERS = itertools.count(1)


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """The limits of a listener.

    `connections` and `calls` limit how many are open at once, `message_bytes` the size of each message. At
    most `replay` bytes of a request are kept for a retry, and `memory` bytes of all requests. `drain` is the
    time from the first GOAWAY until the remaining calls are ended, in microseconds. `connection` holds the
    limits of each connection.
    """

    connections: int = 1000
    calls: int = 10_000
    message_bytes: int = 4 * 1024 * 1024
    replay: int = 256 * 1024
    memory: int = 64 * 1024 * 1024
    drain: int = DEFAULT_DRAIN_US
    connection: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Target:
    """The target of a route: the host of a pool, and the number of a class in its settings."""

    host: Host
    job_class: int
    default_timeout_us: int  # for a call without `grpc-timeout`
    name: str = ""
    class_name: str = ""


class Front:
    """Owns a listener, its accepted connections and their calls."""

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
            loop, f"listener {name}", self._ensure_room, self._close_idle_connection, self._accept
        )
        # Streams of ended calls whose clients have not read the whole response, with the time of their reset.
        self._unread_responses: dict[Stream, int] = {}
        self.stopping = False

    def listen(self, address: tuple[str, int]) -> None:
        """Bind to an address and accept connections; raises OSError if the address is not available."""
        self._listener.listen(address)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the listener is bound to."""
        return self._listener.address

    def apply(self, routes: Routes[Target], limits: FrontLimits, context: ssl.SSLContext | None) -> None:
        """Apply new routes, limits and TLS context. Open calls and connections continue."""
        self.routes, self.limits, self.context = routes, limits, context
        self.ledger.limit = limits.memory

    def stop(self) -> None:
        """Drain: accept no more connections, send GOAWAY on the open ones, and let their calls finish.

        Calls that are still open after `limits.drain` are ended.
        """
        if self.stopping:
            return
        self.stopping = True
        self._listener.close()
        for connection in list(self.connections):
            connection.drain()
        self._loop.call_at(self._loop.now() + self.limits.drain, self._end_calls)

    def _end_calls(self) -> None:
        """End the calls that are still open when the time for the drain is over."""
        for call in list(self.calls):
            call.fail(Status.UNAVAILABLE, "the dispatcher stops: it may have run", discard_pending=True)
        self._loop.call_at(self._loop.now() + 100_000, self._close_connections)

    def _close_connections(self) -> None:
        for connection in list(self.connections):
            connection.close("stopped")

    @property
    def idle(self) -> bool:
        """Whether no connection is open."""
        return not self.connections

    # Accepting

    def _ensure_room(self) -> bool:
        return len(self.connections) < self.limits.connections or self._close_idle_connection()

    def _close_idle_connection(self) -> bool:
        """Close a connection that carries no call; returns whether there was one."""
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
        if log.debugging:  # a discarded log record would cost as much as parsing the headers
            logger.bind(
                event="call.ended", path=call.head.path.decode(errors="replace"), status=status.name
            ).debug("call ended")

    def _check_unread_responses(self) -> None:
        """Reset the streams whose responses the clients have not read in time.

        A client that never reads to the end would otherwise keep its response in memory for ever. All streams
        share this periodic check, because a timer for each would keep every ended call in memory until its
        deadline.
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
    """Owns a stream whose response has been sent. Discards what the client still sends."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        """Discard the data, and let the client send more."""
        self._stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...
