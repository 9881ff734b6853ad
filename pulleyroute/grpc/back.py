"""Connections to gRPC instances: sends and cancels attempts, and estimates the load of the instances."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from pulleyroute.grpc.call import Call, Upstream
from pulleyroute.grpc.decide import AttemptResult
from pulleyroute.grpc.head import request_headers
from pulleyroute.grpc.messages import parse_load_report
from pulleyroute.interface import LoadReport, Outcome, Settings, WorkerId
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.host import Host
from pulleyroute.net.http import ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Headers, dial
from pulleyroute.net.http2 import Code, Http2Connection, Limits
from pulleyroute.net.instance import Attempt, AttemptEnded, BeginCheck, ProbeEnded, RequestRejected
from pulleyroute.net.loop import Coroutine, Loop, Task, Wait
from pulleyroute.net.metrics import Metrics
from pulleyroute.net.tls import Tls

DEFAULT_CONNECT_TIMEOUT_US = 1_000_000  # includes the wait for the peer's first SETTINGS frame
MAX_CONNECTIONS = 4  # to one instance; another is opened only when none has capacity for a stream
NACK_QUEUE_LENGTH = 4.0  # queued calls reported for an instance that has just rejected one
SWEEP_INTERVAL_US = 5_000_000  # between two searches for connections to instances that have left
DEFAULT_SLOTS = 100.0  # concurrent calls assumed as an instance's capacity unless it reports its load


@dataclass(slots=True, eq=False)
class InstanceState:
    """The connections of this process to one instance, and its attempts there."""

    connections: list[Http2Connection] = field(default_factory=list)
    waiting: dict[Attempt, None] = field(default_factory=dict)  # attempts that wait for a connection
    connect_task: Task | None = None
    unreachable: bool = False  # the last attempt to connect failed
    open_attempts: int = 0  # attempts not ended, with or without a stream yet


class GrpcTransport:
    """The `requests.InstanceTransport` for gRPC: owns a pool's connections to instances and its attempts.

    `slots` is the number of concurrent calls that an instance is assumed to accept; `message_bytes` limits
    each message of a response, 0 for no limit. `context` and `server_name` are for TLS.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: DiscoveryClient,
        settings: Settings,
        limits: Limits,
        slots: float = DEFAULT_SLOTS,
        message_bytes: int = 0,
        context: ssl.SSLContext | None = None,
        server_name: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or Metrics()
        self._loop, self._pool, self._discovery, self._settings = loop, pool, discovery, settings
        self.limits, self.slots, self.message_bytes = limits, slots, message_bytes
        self.context, self.server_name = context, server_name
        self._instances: dict[WorkerId, InstanceState] = {}
        self._upstreams: dict[Attempt, Upstream] = {}
        self.ended: AttemptEnded = lambda attempt, outcome, report: None
        self.gate: BeginCheck = lambda attempt: True
        self.rejected: RequestRejected = lambda attempt: None
        self.probed: ProbeEnded = lambda instance, outcome, took, report: None
        self._sweeping = False
        self.host: Host | None = None  # set by the owner, once the host exists

    @property
    def open_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return len(self._upstreams)

    # Attempts

    def attempt(self, attempt: Attempt) -> None:
        """Send an attempt on a connection that has capacity, or on a new one; `ended` reports its outcome."""
        call = attempt.call
        assert isinstance(call, Call)
        state = self._instances.setdefault(attempt.instance, InstanceState())
        upstream = Upstream(call, attempt, self._attempt_finished, self.message_bytes)
        self._upstreams[attempt] = upstream
        state.open_attempts += 1
        connection = next((c for c in state.connections if c.has_capacity and c.ready), None)
        if connection is not None:
            self._open_stream(connection, upstream)
            return
        if len([c for c in state.connections if not c.draining]) >= MAX_CONNECTIONS:
            attempt.nacked = True  # not sent: the instance accepts no more streams
            self._remove_attempt(attempt)
            self.ended(attempt, Outcome.FULL, self._estimate_load(attempt.instance))
            return
        state.waiting[attempt] = None
        self._connect(attempt.instance, state)

    def _open_stream(self, connection: Http2Connection, upstream: Upstream) -> None:
        attempt, call = upstream.attempt, upstream.call
        if not self.gate(attempt):  # may no longer be allowed after the wait for the connection
            self._remove_attempt(attempt)
            return
        time_left = attempt.timeout_at - self._loop.now()
        headers = request_headers(
            call.head,
            b"https" if self.context is not None else b"http",
            time_left,
            call.head.previous_attempts + attempt.index,
        )
        # Many calls share the connection, so its end is no evidence about this call's instance.
        attempt.reused_connection = True
        attempt.written = True  # the instance may run the call as soon as it has the headers
        try:
            upstream.stream = connection.request(headers, upstream)
            self._metrics.sends += 1
        except ConnectionFailed:
            attempt.written = False
            self._remove_attempt(attempt)
            self.ended(attempt, Outcome.MOOT, None)
            return
        call.attach(upstream)
        if self.host is not None:
            self.host.started(attempt)

    def _remove_attempt(self, attempt: Attempt) -> Upstream | None:
        upstream = self._upstreams.pop(attempt, None)
        if upstream is not None:
            upstream.call.detach(upstream)
            self._instances[attempt.instance].open_attempts -= 1
            self._instances[attempt.instance].waiting.pop(attempt, None)
        return upstream

    def _attempt_finished(self, upstream: Upstream, result: AttemptResult, trailers: Headers) -> None:
        """Settle a finished attempt, after the pushback delay if the instance asked for one."""
        attempt = upstream.attempt
        stream = upstream.stream
        if stream is not None and stream.open and not stream.local_closed:
            # The response ended before the request, so the instance reads no more of it. The reset waits
            # until the events of this loop iteration have been handled.
            self._loop.call_at(self._loop.now(), lambda: stream.reset(Code.NO_ERROR))
        self._remove_attempt(attempt)
        attempt.nacked = attempt.nacked or result.nacked
        report = parse_load_report(trailers, self.slots) or self._estimate_load(attempt.instance)
        if result.outcome is Outcome.FULL:
            # The local count would show free slots. The decision module takes an instance that shows free
            # slots but rejects calls for one that is leaving, and sends it no calls for seconds.
            in_hand = report.in_hand or 0.0
            report = LoadReport(free_slots=0.0, in_hand=in_hand, queued=in_hand + NACK_QUEUE_LENGTH)
        if result.delay_us:
            self._loop.call_at(
                self._loop.now() + result.delay_us, lambda: self._settle(attempt, result, report)
            )
        else:
            self._settle(attempt, result, report)

    def _settle(self, attempt: Attempt, result: AttemptResult, report: LoadReport | None) -> None:
        if self.host is not None:
            self.host.settle(attempt, result.outcome, report, ending=result.ending)

    def give_up(self, attempt: Attempt, given: Callable[[], None]) -> None:
        """Cancel an attempt's stream, then call `given`."""
        upstream = self._remove_attempt(attempt)
        if upstream is not None:
            upstream.give_up()
        given()

    # Connections

    def _sweep(self) -> None:
        """Close the connections to instances that have left, once no attempt is open there.

        They would otherwise stay open for ever, and use up the descriptors where instances come and go.
        """
        for instance, state in list(self._instances.items()):
            if not self._discovery.active(instance) and not state.open_attempts:
                for connection in list(state.connections):
                    connection.close("the instance has left")
                if not state.connections and state.connect_task is None:
                    del self._instances[instance]
        self._sweeping = any(state.connections for state in self._instances.values())
        if self._sweeping:
            self._loop.call_at(self._loop.now() + SWEEP_INTERVAL_US, self._sweep)

    def _connect(self, instance: WorkerId, state: InstanceState) -> None:
        if state.connect_task is None or state.connect_task.done:
            state.connect_task = Task(
                self._loop, self._establish_connection(instance, state), "grpc connection"
            )
            state.connect_task.start()

    def _establish_connection(self, instance: WorkerId, state: InstanceState) -> Coroutine[None]:
        """Open a connection, wait for the peer's SETTINGS, then send the attempts that wait for it."""
        deadline = self._loop.now() + (self._settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US)
        connection: Http2Connection | None = None
        try:
            member = self._discovery.member(instance)
            if member is None:
                raise ConnectionFailed("not in the discovery client")
            sock = yield from dial(self._loop, member.address, deadline)
            tls = None
            if self.context is not None:
                tls = Tls(self.context, False, self.server_name or member.address[0])
            connection = Http2Connection(
                self._loop,
                self._pool,
                sock,
                False,
                self.limits,
                tls,
                on_closed=self._closed_handler(instance),
            )
            task = state.connect_task
            if task is not None:
                connection.on_ready = task.wake
            connection.start()
            while not connection.ready and not connection.closed:
                if self._loop.now() >= deadline:
                    raise ConnectionFailed("no SETTINGS frame before the deadline")
                yield Wait(until=deadline)
            if connection.closed:
                raise ConnectionFailed("connection closed before the SETTINGS frame arrived")
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded) as exc:
            logger.bind(event="instance.unreachable", instance=instance.decode()).warning(
                "instance {}: could not connect: {}", instance.decode(), exc or "deadline exceeded"
            )
            if connection is not None:
                connection.close("no use")
            # A lack of file descriptors in this process must not count against the instance.
            limit_reached = isinstance(exc, ConnectionLimitReached)
            state.unreachable = not limit_reached
            waiting, state.waiting = list(state.waiting), {}
            for attempt in waiting:
                self._remove_attempt(attempt)
                self.ended(attempt, Outcome.MOOT if limit_reached else Outcome.CONNECT_FAILED, None)
            return
        connection.on_ready = None
        state.unreachable = False
        state.connect_task = None
        state.connections.append(connection)
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_at(self._loop.now() + SWEEP_INTERVAL_US, self._sweep)
        while state.waiting and connection.has_capacity:
            attempt = next(iter(state.waiting))
            del state.waiting[attempt]
            self._open_stream(connection, self._upstreams[attempt])
        if state.waiting:
            # These attempts need another connection, or end as rejected if no more may be opened.
            waiting, state.waiting = list(state.waiting), {}
            for attempt in waiting:
                self._upstreams.pop(attempt)
                state.open_attempts -= 1
                self.attempt(attempt)

    def _closed_handler(self, instance: WorkerId):  # type: ignore[no-untyped-def]
        def closed(connection: Http2Connection, why: str) -> None:
            state = self._instances.get(instance)
            if state is not None and connection in state.connections:
                state.connections.remove(connection)
                logger.bind(event="instance.connection_ended", instance=instance.decode()).info(
                    "instance {}: connection ended: {}", instance.decode(), why
                )

        return closed

    def close_idle(self, instance: WorkerId) -> None:
        """Close the connections to an instance that carry no stream."""
        state = self._instances.get(instance)
        for connection in list(state.connections) if state is not None else []:
            if not len(connection):
                connection.close("idle")

    def close(self) -> None:
        """Close every connection, because the pool is no longer used."""
        for state in self._instances.values():
            for connection in list(state.connections):
                connection.close("the pool is closed")

    # Load

    def _estimate_load(self, instance: WorkerId) -> LoadReport:
        """Return the load as seen from this process: its own open attempts against the assumed slots."""
        state = self._instances.get(instance)
        open_attempts = state.open_attempts if state is not None else 0
        return LoadReport(free_slots=max(0.0, self.slots - open_attempts), in_hand=float(open_attempts))

    def probe(self, instance: WorkerId) -> None:
        """Report a probe's outcome: the local load estimate, or whether a connection can be established.

        The instance is contacted only if the last attempt to connect failed and no connection is open.
        """
        state = self._instances.setdefault(instance, InstanceState())
        if not state.unreachable or state.connections:
            # Reported at once, so that a burst right after the start finds capacity: the decision module
            # sends only one call to an instance whose load is unknown. The host queues the event until the
            # current one has been handled.
            self.probed(instance, Outcome.OK, 0, self._estimate_load(instance))
        else:
            self._loop.spawn(self._probe_by_connecting(instance, state), "probe")

    def _probe_by_connecting(self, instance: WorkerId, state: InstanceState) -> Coroutine[None]:
        started = self._loop.now()
        self._connect(instance, state)
        while state.connect_task is not None and not state.connect_task.done:
            yield Wait(until=self._loop.now() + 20_000)
        outcome = Outcome.CONNECT_FAILED if state.unreachable else Outcome.OK
        self.probed(
            instance,
            outcome,
            self._loop.now() - started,
            self._estimate_load(instance) if outcome is Outcome.OK else None,
        )
