"""Connections to gRPC instances: attempts on their streams, giving them up, and what is known of their
load."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from pulleyroute.grpc.call import Call, Upstream
from pulleyroute.grpc.decide import Word
from pulleyroute.grpc.head import request_headers
from pulleyroute.grpc.messages import read_load
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

CONNECT_TIME = 1_000_000  # where the settings name no limit; up to the peer's first SETTINGS
CONNECTIONS = 4  # to one instance at most, where one has no room for another stream
QUEUED = 4.0  # calls that are held to wait at an instance that has just turned one away
SWEEP = 5_000_000  # between two looks for connections to instances that have left
SLOTS = 100.0  # calls that an instance is held to take at once, until it says otherwise


@dataclass(slots=True, eq=False)
class Site:
    """One instance as seen from here."""

    connections: list[Http2Connection] = field(default_factory=list)
    waiting: dict[Attempt, None] = field(default_factory=dict)
    connecting: Task | None = None
    doubted: bool = False  # the last connection did not come up
    out: int = 0  # attempts there


class GrpcTransport:
    """Owns every connection to a pool's instances and its attempts. A `requests.InstanceTransport`."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: DiscoveryClient,
        settings: Settings,
        limits: Limits,
        slots: float = SLOTS,
        message_bytes: int = 0,
        context: ssl.SSLContext | None = None,
        server_name: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or Metrics()
        self._loop, self._pool, self._discovery, self._settings = loop, pool, discovery, settings
        self.limits, self.slots, self.message_bytes = limits, slots, message_bytes
        self.context, self.server_name = context, server_name
        self._sites: dict[WorkerId, Site] = {}
        self._upstreams: dict[Attempt, Upstream] = {}
        self.ended: AttemptEnded = lambda attempt, outcome, report: None
        self.gate: BeginCheck = lambda attempt: True
        self.rejected: RequestRejected = lambda attempt: None
        self.probed: ProbeEnded = lambda instance, outcome, took, report: None
        self._sweeping = False
        self.host: Host | None = None  # set once it is made

    @property
    def open_attempts(self) -> int:
        """Attempts out."""
        return len(self._upstreams)

    # Attempts

    def attempt(self, attempt: Attempt) -> None:
        """Send a call out; its outcome is told to the host."""
        call = attempt.call
        assert isinstance(call, Call)
        site = self._sites.setdefault(attempt.instance, Site())
        upstream = Upstream(call, attempt, self._finished, self.message_bytes)
        self._upstreams[attempt] = upstream
        site.out += 1
        connection = next((c for c in site.connections if c.has_capacity and c.ready), None)
        if connection is not None:
            self._open(connection, upstream)
            return
        if len([c for c in site.connections if not c.draining]) >= CONNECTIONS:
            attempt.nacked = True  # it was not sent: the instance lets no more streams in
            self._let_go(attempt)
            self.ended(attempt, Outcome.FULL, self._report(attempt.instance))
            return
        site.waiting[attempt] = None
        self._connect(attempt.instance, site)

    def _open(self, connection: Http2Connection, upstream: Upstream) -> None:
        attempt, call = upstream.attempt, upstream.call
        if not self.gate(attempt):  # what allowed it may have passed while the connection came up
            self._let_go(attempt)
            return
        left = attempt.timeout_at - self._loop.now()
        headers = request_headers(
            call.head,
            b"https" if self.context is not None else b"http",
            left,
            call.head.attempts + attempt.index,
        )
        # a connection is many calls': its end says nothing of this one's instance
        attempt.reused_connection = True
        attempt.written = True  # from its head on it may run
        try:
            upstream.stream = connection.request(headers, upstream)
            self._metrics.sends += 1
        except ConnectionFailed:
            attempt.written = False
            self._let_go(attempt)
            self.ended(attempt, Outcome.MOOT, None)
            return
        call.attach(upstream)
        if self.host is not None:
            self.host.started(attempt)

    def _let_go(self, attempt: Attempt) -> Upstream | None:
        upstream = self._upstreams.pop(attempt, None)
        if upstream is not None:
            upstream.call.detach(upstream)
            self._sites[attempt.instance].out -= 1
            self._sites[attempt.instance].waiting.pop(attempt, None)
        return upstream

    def _finished(self, upstream: Upstream, word: Word, trailers: Headers) -> None:
        """An instance's last word on an attempt; it may have asked to be left alone for a while first."""
        attempt = upstream.attempt
        stream = upstream.stream
        if stream is not None and stream.open and not stream.local_closed:
            # An answer before the request's end: nobody reads the rest. Not before this turn's events are
            # over.
            self._loop.call_at(self._loop.now(), lambda: stream.reset(Code.NO_ERROR))
        self._let_go(attempt)
        attempt.nacked = attempt.nacked or word.nacked
        report = read_load(trailers, self.slots) or self._report(attempt.instance)
        if word.outcome is Outcome.FULL:
            # Guards an instance that turns one away against being shut out for seconds: what is counted here
            # would show room, and room shown but not given is how the decisions know one that leaves.
            held = report.in_hand or 0.0
            report = LoadReport(free_slots=0.0, in_hand=held, queued=held + QUEUED)
        if word.hold:
            self._loop.call_at(self._loop.now() + word.hold, lambda: self._settle(attempt, word, report))
        else:
            self._settle(attempt, word, report)

    def _settle(self, attempt: Attempt, word: Word, report: LoadReport | None) -> None:
        if self.host is not None:
            self.host.settle(attempt, word.outcome, report, ending=word.ending)

    def give_up(self, attempt: Attempt, given: Callable[[], None]) -> None:
        upstream = self._let_go(attempt)
        if upstream is not None:
            upstream.give_up()
        given()

    # Connections

    def _sweep(self) -> None:
        """Let go of connections to instances that have left, once nothing runs there.

        Guards the descriptors where instances come and go: the connections would stay open for ever.
        """
        for instance, site in list(self._sites.items()):
            if not self._discovery.active(instance) and not site.out:
                for connection in list(site.connections):
                    connection.close("the instance has left")
                if not site.connections and site.connecting is None:
                    del self._sites[instance]
        self._sweeping = any(site.connections for site in self._sites.values())
        if self._sweeping:
            self._loop.call_at(self._loop.now() + SWEEP, self._sweep)

    def _connect(self, instance: WorkerId, site: Site) -> None:
        if site.connecting is None or site.connecting.done:
            site.connecting = Task(self._loop, self._connecting(instance, site), "grpc connection")
            site.connecting.start()

    def _connecting(self, instance: WorkerId, site: Site) -> Coroutine[None]:
        """Bring a connection up to the peer's SETTINGS; then let what waits for it go out."""
        limit = self._loop.now() + (self._settings.connect_timeout or CONNECT_TIME)
        connection: Http2Connection | None = None
        try:
            member = self._discovery.member(instance)
            if member is None:
                raise ConnectionFailed("not in the discovery client")
            sock = yield from dial(self._loop, member.address, limit)
            tls = None
            if self.context is not None:
                tls = Tls(self.context, False, self.server_name or member.address[0])
            connection = Http2Connection(
                self._loop, self._pool, sock, False, self.limits, tls, on_closed=self._gone(instance)
            )
            task = site.connecting
            if task is not None:
                connection.on_ready = task.wake
            connection.start()
            while not connection.ready and not connection.closed:
                if self._loop.now() >= limit:
                    raise ConnectionFailed("no settings in time")
                yield Wait(until=limit)
            if connection.closed:
                raise ConnectionFailed("it ended before its settings came")
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded) as exc:
            logger.bind(event="instance.unreachable", instance=instance.decode()).warning(
                "instance {}: could not connect: {}", instance.decode(), exc or "not up in time"
            )
            if connection is not None:
                connection.close("no use")
            # Guards the instance: descriptors that ran out here are no fault of its.
            crowded = isinstance(exc, ConnectionLimitReached)
            site.doubted = not crowded
            waiting, site.waiting = list(site.waiting), {}
            for attempt in waiting:
                self._let_go(attempt)
                self.ended(attempt, Outcome.MOOT if crowded else Outcome.CONNECT_FAILED, None)
            return
        connection.on_ready = None
        site.doubted = False
        site.connecting = None
        site.connections.append(connection)
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_at(self._loop.now() + SWEEP, self._sweep)
        while site.waiting and connection.has_capacity:
            attempt = next(iter(site.waiting))
            del site.waiting[attempt]
            self._open(connection, self._upstreams[attempt])
        if site.waiting:
            # Their turn comes on another connection, or they are told that there is no room.
            waiting, site.waiting = list(site.waiting), {}
            for attempt in waiting:
                self._upstreams.pop(attempt)
                site.out -= 1
                self.attempt(attempt)

    def _gone(self, instance: WorkerId):  # type: ignore[no-untyped-def]
        def gone(connection: Http2Connection, why: str) -> None:
            site = self._sites.get(instance)
            if site is not None and connection in site.connections:
                site.connections.remove(connection)
                logger.bind(event="instance.connection_ended", instance=instance.decode()).info(
                    "instance {}: connection ended: {}", instance.decode(), why
                )

        return gone

    def close_idle(self, instance: WorkerId) -> None:
        site = self._sites.get(instance)
        for connection in list(site.connections) if site is not None else []:
            if not len(connection):
                connection.close("idle")

    def close(self) -> None:
        """End every connection: the pool is not used any more."""
        for site in self._sites.values():
            for connection in list(site.connections):
                connection.close("the pool is closed")

    # Load

    def _report(self, instance: WorkerId) -> LoadReport:
        """What is known without a word of the instance: own calls there against its slots."""
        site = self._sites.get(instance)
        out = site.out if site is not None else 0
        return LoadReport(free_slots=max(0.0, self.slots - out), in_hand=float(out))

    def probe(self, instance: WorkerId) -> None:
        """Costs the instance nothing while its connections stand; else it is whether one comes up."""
        site = self._sites.setdefault(instance, Site())
        if not site.doubted or site.connections:
            # At once, so that a burst right after the start finds room: without a word of an instance the
            # decisions give it one call. The host keeps it until the event in hand is over.
            self.probed(instance, Outcome.OK, 0, self._report(instance))
        else:
            self._loop.spawn(self._probing(instance, site), "probe")

    def _probing(self, instance: WorkerId, site: Site) -> Coroutine[None]:
        began = self._loop.now()
        self._connect(instance, site)
        while site.connecting is not None and not site.connecting.done:
            yield Wait(until=self._loop.now() + 20_000)
        outcome = Outcome.CONNECT_FAILED if site.doubted else Outcome.OK
        self.probed(
            instance,
            outcome,
            self._loop.now() - began,
            self._report(instance) if outcome is Outcome.OK else None,
        )
