"""Calls under random faults drawn from a seed, and a rule checker that is independent of the dispatcher.

The dispatcher's parts, faulty instances and clients run on one simulated clock. The checker sees only what
instances and clients observed. It reports an unsafe call that may have run and was sent again; a call without
exactly one ending; a status that the status table does not give for what the instances did; new attempts at a
drained instance; and an instance that was not notified of a call's end.
"""

from __future__ import annotations

import itertools
import random
import socket
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial

from pulleyroute.emulator.faulty import FaultyInstance, ReceivedAttempt, ScriptedResponse, draw_response
from pulleyroute.emulator.virtual import VirtualLoop
from pulleyroute.grpc import Front, FrontLimits, GrpcTransport, Match, Routes
from pulleyroute.grpc.front import Target
from pulleyroute.grpc.health import Health
from pulleyroute.interface import Effect, JobClass, ReportSource, Settings
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.host import Host
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Code, Http2Connection, Limits, Stream

SECOND = 1_000_000
# gRPC status by HTTP/2 error code, from "gRPC over HTTP2", section "Errors". The checker keeps its own copy
# and does not use the dispatcher's table.
STATUS_BY_RESET_CODE = {0: 13, 1: 13, 2: 13, 3: 13, 5: 13, 7: 14, 8: 1, 11: 8, 12: 7, 13: 13}
UNAVAILABLE, DEADLINE = 14, 4  # gRPC status


@dataclass(slots=True)
class ClientCall:
    """One call as its client observes it; times are in microseconds."""

    id: str
    unsafe: bool
    timeout: int
    began: int = 0
    endings: list[str] = field(default_factory=list)  # "status", "reset" or "lost", in order of arrival
    status: int = -1
    refused: bool = False  # by the dispatcher itself, with grpc-retry-pushback-ms
    messages: bytes = b""
    cancelled: bool = False
    ended_at: int = 0


@dataclass(slots=True)
class Outcome:
    """Result of a campaign.

    `statuses` counts calls by gRPC status, and `endings_played` counts attempts by scripted ending. `broken`
    has one line for each broken rule.
    """

    seed: int
    calls: int
    statuses: Counter[int]
    attempts: int
    endings_played: Counter[str]
    broken: list[str]


class _CallRecorder:
    """Handles the client's stream of one call and records every ending that arrives."""

    def __init__(self, loop: VirtualLoop, call: ClientCall) -> None:
        self._loop, self._call = loop, call
        self.stream: Stream | None = None

    def headers(self, headers: Headers, ended: bool) -> None:
        if ended:
            self._end(headers)

    def data(self, data: bytes) -> None:
        self._call.messages += data
        if self.stream is not None:
            self.stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None:
        if trailers:
            self._end(trailers)
        elif not self._call.endings:
            self._call.endings.append("end without a status")

    def _end(self, trailers: Headers) -> None:
        values = {bytes(name): bytes(value) for name, value in trailers}
        self._call.endings.append("status")
        self._call.ended_at = self._loop.now()
        self._call.status = int(values.get(b"grpc-status", b"-1"))
        self._call.refused = (
            self._call.status == UNAVAILABLE
            and b"grpc-retry-pushback-ms" in values
            and b"x-box" not in values
        )

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if code == 0 and self._call.endings:
            return  # RST_STREAM with NO_ERROR after a complete answer (RFC 9113, 8.1)
        if not self._call.cancelled:
            self._call.endings.append("lost" if code is None else "reset")


class Campaign:
    """One run. With `instance_faults`, instances also crash and restart, or drain and return."""

    def __init__(self, seed: int, calls: int, instances: int = 4, instance_faults: bool = True) -> None:
        self.seed, self.count = seed, calls
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.client_calls: list[ClientCall] = []
        self.drained: dict[str, int] = {}  # instance name: when its drain was published
        self._late_attempts: list[str] = []  # attempts sent to instances after their drain
        self._instance_faults = instance_faults
        self._buffers = BufferPool()
        classes = [
            JobClass("safe", Effect.SAFE, SECOND, 10 * SECOND, 1.0),
            JobClass("unsafe", Effect.UNSAFE, SECOND, 10 * SECOND, 1.0),
        ]
        self.settings = Settings(
            classes,
            1,
            0,
            4,
            probes=True,
            max_retry_after=2 * SECOND,
            drain_grace=1_500_000,
            report_source=ReportSource.ANSWERS,
        )
        self.instances = [FaultyInstance(self.loop, f"b-{i}", self.script) for i in range(instances)]
        for instance in self.instances:
            instance.start()
        self.discovery = DiscoveryClient(self.loop, self._buffers, ("127.0.0.1", 1), self.settings, 0)
        self.upstream = GrpcTransport(
            self.loop,
            self._buffers,
            self.discovery,
            self.settings,
            Limits(idle=0, ping_after=5 * SECOND, ping_timeout=2 * SECOND),
            50,
        )
        self.host = self.upstream.host = Host(self.loop, self.settings, seed, self.discovery, self.upstream)
        self._publish_members()
        routes = Routes(
            [
                (Match("s.Safe"), Target(self.host, 0, 10 * SECOND)),
                (Match("s.Unsafe"), Target(self.host, 1, 10 * SECOND)),
            ]
        )
        self.front = Front(self.loop, self._buffers, routes, FrontLimits(), Health(lambda name: True))
        self.front.listen(("127.0.0.1", 0))

    def script(self, request: str, attempts: int) -> ScriptedResponse:
        """Draw the response to an attempt from the seed, the request and the number of previous attempts.

        It does not depend on anything that happened before.
        """
        return draw_response(random.Random(f"{self.seed}/{request}/{attempts}"))

    def _publish_members(self) -> None:
        self.discovery.load_known(
            {
                "revision": 1,
                "complete": True,
                "members": [
                    {
                        "id": instance.name,
                        "host_port": "{}:{}".format(*instance.address),
                        "up_since_ms": 0,
                        "phase": "leaving" if instance.name in self.drained else "active",
                    }
                    for instance in self.instances
                ],
            }
        )

    def run(self) -> Outcome:
        """Run the campaign to its end and check the rules."""
        clients = [self._connect() for _ in range(4)]
        at = self.loop.now()
        for i in range(self.count):
            at += int(self.rng.expovariate(1 / 20_000))
            call = ClientCall(
                f"c{i}", self.rng.random() < 0.5, self.rng.choice((300_000, 1_000_000, 4_000_000))
            )
            self.client_calls.append(call)
            client_index = self.rng.randrange(len(clients))
            size, spacing = self.rng.choice(((5, 1), (5, 3), (2000, 2), (90_000, 4))), self.rng.random()
            cancel = self.rng.randrange(1000, 500_000) if self.rng.random() < 0.06 else 0
            self.loop.call_at(
                at, partial(self._start_call, clients, client_index, call, size, spacing, cancel)
            )
            if self._instance_faults and i % 150 == 149:
                self.loop.call_at(at, partial(self._inject_fault, i))
        done = self.loop.run_until(
            lambda: len(self.client_calls) == self.count
            and all(each.began and (each.endings or each.cancelled) for each in self.client_calls)
            and not self.upstream.open_attempts,
            (at - self.loop.now()) + 60 * SECOND,
        )
        self.loop.run_until(lambda: False, 2 * SECOND)
        return self._check_run(done)

    def _connect(self) -> Http2Connection:
        sock = socket.create_connection(self.front.address)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Http2Connection(self.loop, self._buffers, sock, False, Limits(idle=0, ping_after=0))
        client.start()
        return client

    def _start_call(
        self,
        clients: list[Http2Connection],
        client_index: int,
        call: ClientCall,
        size: tuple[int, int],
        spacing: float,
        cancel: int,
    ) -> None:
        if clients[client_index].closed:
            clients[client_index] = self._connect()
        call.began = self.loop.now()
        recorder = _CallRecorder(self.loop, call)
        path = b"/s.Unsafe/Do" if call.unsafe else b"/s.Safe/Do"
        stream = recorder.stream = clients[client_index].request(
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", path),
                (b":authority", b"x"),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
                (b"x-id", call.id.encode()),
                (b"grpc-timeout", b"%du" % call.timeout),
            ],
            recorder,
        )
        length, count = size
        message = b"\0" + length.to_bytes(4, "big") + bytes(length)
        for i in range(count):
            wait = int(i * 20_000 * spacing)
            self.loop.call_at(self.loop.now() + wait, partial(self._send, stream, message, i == count - 1))
        if cancel:
            self.loop.call_at(self.loop.now() + cancel, lambda: self._cancel(call, stream))

    @staticmethod
    def _send(stream: Stream, message: bytes, last: bool) -> None:
        stream.write(message)
        if last:
            stream.finish()

    def _cancel(self, call: ClientCall, stream: Stream) -> None:
        if not call.endings and stream.open:
            call.cancelled = True
            stream.reset(Code.CANCEL)

    def _inject_fault(self, number: int) -> None:
        """Crash an instance and restart it after 2 s, or drain it and end the drain after 4 s."""
        rng = random.Random(f"{self.seed}/trouble/{number}")
        instance = rng.choice(self.instances)
        if rng.random() < 0.5:
            if instance.up:
                instance.crash()
                self.loop.call_at(self.loop.now() + 2 * SECOND, instance.start)
        elif instance.name not in self.drained:
            self.drained[instance.name] = self.loop.now()
            self._publish_members()
            self.loop.call_at(self.loop.now() + 4 * SECOND, lambda: self._end_drain(instance.name))

    def _end_drain(self, name: str) -> None:
        drained_at = self.drained[name]
        for attempt in self._attempts_at(name):
            # The grace of 1.5 s, and a tolerance of 50 ms.
            if attempt.at > drained_at + 1_550_000:
                late = (attempt.at - drained_at) / 1e6
                self._late_attempts.append(
                    f"{attempt.request} went to {name} {late:.2f} s after its drain was told"
                )
        del self.drained[name]
        self._publish_members()

    def _attempts_at(self, name: str) -> list[ReceivedAttempt]:
        return [
            attempt for instance in self.instances if instance.name == name for attempt in instance.received
        ]

    def _check_run(self, done: bool) -> Outcome:
        attempts_by_call: dict[str, list[ReceivedAttempt]] = defaultdict(list)
        for instance in self.instances:
            for attempt in instance.received:
                attempts_by_call[attempt.request].append(attempt)
        broken = list(self._late_attempts)
        if not done:
            broken.append("the campaign did not end: some calls are unfinished")
        broken += [f"task {name}: {exc!r}" for name, exc in self.loop.errors]
        if self.host.faults:
            broken.append(f"the decisions raised {self.host.faults} exceptions")
        if self.front.ledger.held:
            broken.append(f"{self.front.ledger.held} bytes of requests are still buffered")
        for call in self.client_calls:
            attempts = sorted(attempts_by_call[call.id], key=lambda attempt: attempt.at)
            broken += [
                f"{call.id}: {text}; {self.history(call, attempts)}" for text in check_call(call, attempts)
            ]
        return Outcome(
            self.seed,
            self.count,
            Counter(a.status for a in self.client_calls if not a.cancelled),
            sum(len(attempts) for attempts in attempts_by_call.values()),
            Counter(
                attempt.response.ending for attempts in attempts_by_call.values() for attempt in attempts
            ),
            broken,
        )

    @staticmethod
    def history(call: ClientCall, attempts: list[ReceivedAttempt]) -> str:
        """Describe all that happened to a call, in one line."""
        parts = [
            f"{attempt.instance} at {(attempt.at - call.began) / 1e6:+.3f} s {attempt.response}, "
            f"ending sent {attempt.ending_sent}, dropped {attempt.dropped}, abort code {attempt.abort_code}"
            for attempt in attempts
        ]
        return (
            f"{'unsafe' if call.unsafe else 'safe'}, {call.timeout / 1e6} s, endings {call.endings}, "
            f"status {call.status}, cancelled {call.cancelled}: {'; '.join(parts) or 'no attempt'}"
        )


def check_call(call: ClientCall, attempts: list[ReceivedAttempt]) -> list[str]:
    """Return one line for each rule that a call broke."""
    violations: list[str] = []
    may_have_run = [attempt for attempt in attempts if not attempt.never_ran]
    if call.unsafe and len(may_have_run) > 1:
        violations.append(f"must never run twice and may have run {len(may_have_run)} times")
    if len(attempts) > 4:
        violations.append(f"{len(attempts)} attempts")
    if call.cancelled:
        return violations + [
            f"cancelled, and {attempt.instance} was not told"
            for attempt in attempts
            if not attempt.ending_sent and attempt.abort_code is None
        ]
    if call.endings != ["status"]:
        return [*violations, f"had the endings {call.endings}"]
    for earlier, later in itertools.pairwise(attempts):
        if earlier.response.messages and earlier.ending_sent and not earlier.dropped:
            violations.append(f"went to {later.instance} though its answer had begun")
    if call.ended_at > call.began + call.timeout:
        violations.append("was answered after its deadline")
    if call.status not in allowed_statuses(call, attempts):
        violations.append(f"status {call.status}, expected one of {sorted(allowed_statuses(call, attempts))}")
    if (
        call.status == 0
        and attempts
        and call.messages
        != b"".join(b"\0\0\0\0\1%c" % (i % 256) for i in range(attempts[-1].response.messages))
    ):
        violations.append("the messages differ from those sent")
    violations += [
        f"ended, and {attempt.instance} was not told"
        for attempt in attempts
        if not attempt.ending_sent and attempt.abort_code is None
    ]
    return violations


def allowed_statuses(call: ClientCall, attempts: list[ReceivedAttempt]) -> set[int]:
    """Return the gRPC statuses that the status table allows for what the instances did."""
    near_deadline = call.ended_at >= call.began + int(call.timeout * 0.85) - 30_000
    allowed = {DEADLINE} if near_deadline else set()
    if not attempts:
        return allowed | {UNAVAILABLE}
    last = attempts[-1]
    response = last.response
    if last.abort_code == -1:
        allowed.add(UNAVAILABLE)  # the instance crashed, or another call's fault closed the connection
    if not last.ending_sent:
        return allowed | {UNAVAILABLE} if last.abort_code == -1 else allowed
    if last.dropped:
        allowed.add(UNAVAILABLE)
    elif response.ending in ("status", "only"):
        allowed.add(response.code)
    elif response.ending == "reset":
        allowed.add(STATUS_BY_RESET_CODE[response.code])
    elif response.ending in ("cut", "nack", "refuse", "goaway"):
        allowed.add(UNAVAILABLE)
    if call.refused:
        allowed.add(UNAVAILABLE)
        if call.unsafe and any(not attempt.never_ran for attempt in attempts):
            allowed.discard(UNAVAILABLE)  # a refusal promises that a repeat is harmless
    return allowed
