"""Calls under random faults, from a seed, and a judge that knows the rules but not the dispatcher.

The parts of the dispatcher, faulty boxes and clients on one virtual clock. The judge looks at what boxes and
clients saw: an unsafe call that may have run went out twice; a call without exactly one ending; a status that
is not the one the table gives for what the boxes did; new work to a drained box; an instance that was not
told of a call's end.
"""

from __future__ import annotations

import itertools
import random
import socket
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial

from pulleyroute.emulator.faulty import Act, FaultyBox, Taken, draw
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
# "gRPC over HTTP2", errors: the judge's own copy, by HTTP/2 code.
RESETS = {0: 13, 1: 13, 2: 13, 3: 13, 5: 13, 7: 14, 8: 1, 11: 8, 12: 7, 13: 13}
UNAVAILABLE, DEADLINE = 14, 4


@dataclass(slots=True)
class Asked:
    """One call as its client sees it; times in microseconds."""

    id: str
    unsafe: bool
    timeout: int
    began: int = 0
    endings: list[str] = field(default_factory=list)  # "status", "reset" or "lost", each time one came
    status: int = -1
    refused: bool = False  # with advice when to come back
    messages: bytes = b""
    cancelled: bool = False
    ended_at: int = 0


@dataclass(slots=True)
class Outcome:
    """What a campaign came to."""

    seed: int
    calls: int
    statuses: Counter[int]
    attempts: int
    acts: Counter[str]
    broken: list[str]


class _Client:
    """Owns a call's stream and records every ending that comes."""

    def __init__(self, loop: VirtualLoop, asked: Asked) -> None:
        self._loop, self._asked = loop, asked
        self.stream: Stream | None = None

    def headers(self, headers: Headers, ended: bool) -> None:
        if ended:
            self._end(headers)

    def data(self, data: bytes) -> None:
        self._asked.messages += data
        if self.stream is not None:
            self.stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None:
        if trailers:
            self._end(trailers)
        elif not self._asked.endings:
            self._asked.endings.append("end without a status")

    def _end(self, trailers: Headers) -> None:
        seen = {bytes(name): bytes(value) for name, value in trailers}
        self._asked.endings.append("status")
        self._asked.ended_at = self._loop.now()
        self._asked.status = int(seen.get(b"grpc-status", b"-1"))
        self._asked.refused = (
            self._asked.status == UNAVAILABLE and b"grpc-retry-pushback-ms" in seen and b"x-box" not in seen
        )

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if code == 0 and self._asked.endings:
            return  # RST_STREAM with NO_ERROR after a whole answer (RFC 9113, 8.1)
        if not self._asked.cancelled:
            self._asked.endings.append("lost" if code is None else "reset")


class Campaign:
    """One run; `box_faults` lets boxes crash, return and drain beside what they do to single calls."""

    def __init__(self, seed: int, calls: int, boxes: int = 4, box_faults: bool = True) -> None:
        self.seed, self.count = seed, calls
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.asked: list[Asked] = []
        self.drained: dict[str, int] = {}
        self._late: list[str] = []  # new work to drained boxes
        self._box_faults = box_faults
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
        self.boxes = [FaultyBox(self.loop, f"b-{i}", self.script) for i in range(boxes)]
        for box in self.boxes:
            box.start()
        self.discovery = DiscoveryClient(self.loop, self._buffers, ("127.0.0.1", 1), self.settings, 0)
        self.back = GrpcTransport(
            self.loop,
            self._buffers,
            self.discovery,
            self.settings,
            Limits(idle=0, ping_after=5 * SECOND, ping_timeout=2 * SECOND),
            50,
        )
        self.host = self.back.host = Host(self.loop, self.settings, seed, self.discovery, self.back)
        self._list()
        routes = Routes(
            [
                (Match("s.Safe"), Target(self.host, 0, 10 * SECOND)),
                (Match("s.Unsafe"), Target(self.host, 1, 10 * SECOND)),
            ]
        )
        self.front = Front(self.loop, self._buffers, routes, FrontLimits(), Health(lambda name: True))
        self.front.listen(("127.0.0.1", 0))

    def script(self, request: str, attempts: int) -> Act:
        """What a box does with an attempt: by seed, request and try, whatever happened before."""
        return draw(random.Random(f"{self.seed}/{request}/{attempts}"))

    def _list(self) -> None:
        self.discovery.load_known(
            {
                "revision": 1,
                "complete": True,
                "members": [
                    {
                        "id": box.name,
                        "host_port": "{}:{}".format(*box.address),
                        "up_since_ms": 0,
                        "phase": "leaving" if box.name in self.drained else "active",
                    }
                    for box in self.boxes
                ],
            }
        )

    def run(self) -> Outcome:
        """Play it to its end, and judge."""
        clients = [self._connect() for _ in range(4)]
        at = self.loop.now()
        for i in range(self.count):
            at += int(self.rng.expovariate(1 / 20_000))
            asked = Asked(f"c{i}", self.rng.random() < 0.5, self.rng.choice((300_000, 1_000_000, 4_000_000)))
            self.asked.append(asked)
            which = self.rng.randrange(len(clients))
            size, pieces = self.rng.choice(((5, 1), (5, 3), (2000, 2), (90_000, 4))), self.rng.random()
            cancel = self.rng.randrange(1000, 500_000) if self.rng.random() < 0.06 else 0
            self.loop.call_at(at, partial(self._call, clients, which, asked, size, pieces, cancel))
            if self._box_faults and i % 150 == 149:
                self.loop.call_at(at, partial(self._trouble, i))
        done = self.loop.run_until(
            lambda: len(self.asked) == self.count
            and all(each.began and (each.endings or each.cancelled) for each in self.asked)
            and not self.back.open_attempts,
            (at - self.loop.now()) + 60 * SECOND,
        )
        self.loop.run_until(lambda: False, 2 * SECOND)
        return self._judge(done)

    def _connect(self) -> Http2Connection:
        sock = socket.create_connection(self.front.address)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Http2Connection(self.loop, self._buffers, sock, False, Limits(idle=0, ping_after=0))
        client.start()
        return client

    def _call(
        self,
        clients: list[Http2Connection],
        which: int,
        asked: Asked,
        size: tuple[int, int],
        pieces: float,
        cancel: int,
    ) -> None:
        if clients[which].closed:
            clients[which] = self._connect()
        asked.began = self.loop.now()
        owner = _Client(self.loop, asked)
        path = b"/s.Unsafe/Do" if asked.unsafe else b"/s.Safe/Do"
        stream = owner.stream = clients[which].request(
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", path),
                (b":authority", b"x"),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
                (b"x-id", asked.id.encode()),
                (b"grpc-timeout", b"%du" % asked.timeout),
            ],
            owner,
        )
        length, count = size
        message = b"\0" + length.to_bytes(4, "big") + bytes(length)
        for i in range(count):
            wait = int(i * 20_000 * pieces)
            self.loop.call_at(self.loop.now() + wait, partial(self._send, stream, message, i == count - 1))
        if cancel:
            self.loop.call_at(self.loop.now() + cancel, lambda: self._cancel(asked, stream))

    @staticmethod
    def _send(stream: Stream, message: bytes, last: bool) -> None:
        stream.write(message)
        if last:
            stream.finish()

    def _cancel(self, asked: Asked, stream: Stream) -> None:
        if not asked.endings and stream.open:
            asked.cancelled = True
            stream.reset(Code.CANCEL)

    def _trouble(self, number: int) -> None:
        """A box crashes and comes back, or drains and returns."""
        rng = random.Random(f"{self.seed}/trouble/{number}")
        box = rng.choice(self.boxes)
        if rng.random() < 0.5:
            if box.up:
                box.crash()
                self.loop.call_at(self.loop.now() + 2 * SECOND, box.start)
        elif box.name not in self.drained:
            self.drained[box.name] = self.loop.now()
            self._list()
            self.loop.call_at(self.loop.now() + 4 * SECOND, lambda: self._return(box.name))

    def _return(self, name: str) -> None:
        told = self.drained[name]
        for taken in self._taken(name):
            if taken.at > told + 1_550_000:
                late = (taken.at - told) / 1e6
                self._late.append(f"{taken.request} went to {name} {late:.2f} s after its drain was told")
        del self.drained[name]
        self._list()

    def _taken(self, name: str) -> list[Taken]:
        return [taken for box in self.boxes if box.name == name for taken in box.taken]

    # The judge

    def _judge(self, done: bool) -> Outcome:
        by_call: dict[str, list[Taken]] = defaultdict(list)
        for box in self.boxes:
            for taken in box.taken:
                by_call[taken.request].append(taken)
        broken = list(self._late)
        if not done:
            broken.append("the campaign did not come to rest")
        broken += [f"task {name}: {exc!r}" for name, exc in self.loop.errors]
        if self.host.faults:
            broken.append(f"the decisions failed {self.host.faults} times")
        if self.front.ledger.held:
            broken.append(f"{self.front.ledger.held} bytes of requests are still held")
        for asked in self.asked:
            runs = sorted(by_call[asked.id], key=lambda taken: taken.at)
            broken += [f"{asked.id}: {text}; {self.history(asked, runs)}" for text in judge(asked, runs)]
        return Outcome(
            self.seed,
            self.count,
            Counter(a.status for a in self.asked if not a.cancelled),
            sum(len(runs) for runs in by_call.values()),
            Counter(taken.act.ending for runs in by_call.values() for taken in runs),
            broken,
        )

    @staticmethod
    def history(asked: Asked, runs: list[Taken]) -> str:
        """All that happened to a call, in one line."""
        parts = [
            f"{taken.box} at {(taken.at - asked.began) / 1e6:+.3f} s {taken.act}, told {taken.told}, "
            f"dropped {taken.dropped}, given up {taken.given_up}"
            for taken in runs
        ]
        return (
            f"{'unsafe' if asked.unsafe else 'safe'}, {asked.timeout / 1e6} s, endings {asked.endings}, "
            f"status {asked.status}, cancelled {asked.cancelled}: {'; '.join(parts) or 'no attempt'}"
        )


def judge(asked: Asked, runs: list[Taken]) -> list[str]:
    """The rules that one call broke. Pure."""
    found: list[str] = []
    may_have_run = [taken for taken in runs if not taken.never_ran]
    if asked.unsafe and len(may_have_run) > 1:
        found.append(f"must never run twice and may have run {len(may_have_run)} times")
    if len(runs) > 4:
        found.append(f"{len(runs)} attempts")
    if asked.cancelled:
        return found + [
            f"cancelled, and {taken.box} was not told"
            for taken in runs
            if not taken.told and taken.given_up is None
        ]
    if asked.endings != ["status"]:
        return [*found, f"had the endings {asked.endings}"]
    for earlier, later in itertools.pairwise(runs):
        if earlier.act.messages and earlier.told and not earlier.dropped:
            found.append(f"went to {later.box} though its answer had begun")
    if asked.ended_at > asked.began + asked.timeout:
        found.append("was answered after its deadline")
    if asked.status not in expected(asked, runs):
        found.append(f"status {asked.status}, expected one of {sorted(expected(asked, runs))}")
    if (
        asked.status == 0
        and runs
        and asked.messages != b"".join(b"\0\0\0\0\1%c" % (i % 256) for i in range(runs[-1].act.messages))
    ):
        found.append("the messages differ from those sent")
    found += [
        f"ended, and {taken.box} was not told" for taken in runs if not taken.told and taken.given_up is None
    ]
    return found


def expected(asked: Asked, runs: list[Taken]) -> set[int]:
    """The statuses that the table allows for what the boxes did."""
    near_end = asked.ended_at >= asked.began + int(asked.timeout * 0.85) - 30_000
    allowed = {DEADLINE} if near_end else set()
    if not runs:
        return allowed | {UNAVAILABLE}
    last = runs[-1]
    act = last.act
    if last.given_up == -1:
        allowed.add(UNAVAILABLE)  # the box crashed, or another call's fault cut the connection
    if not last.told:
        return allowed | {UNAVAILABLE} if last.given_up == -1 else allowed
    if last.dropped:
        allowed.add(UNAVAILABLE)
    elif act.ending in ("status", "only"):
        allowed.add(act.code)
    elif act.ending == "reset":
        allowed.add(RESETS[act.code])
    elif act.ending in ("cut", "nack", "refuse", "goaway"):
        allowed.add(UNAVAILABLE)
    if asked.refused:
        allowed.add(UNAVAILABLE)
        if asked.unsafe and any(not taken.never_ran for taken in runs):
            allowed.discard(UNAVAILABLE)  # refused means that a repeat is harmless
    return allowed
