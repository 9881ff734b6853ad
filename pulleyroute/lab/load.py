"""Load on a dispatcher, jobs or gRPC calls, open loop or closed, with what became of it.

Open loop: requests are due by a schedule, whatever becomes of the earlier ones, and the time of each counts
from when it was due. A slow dispatcher so shows in every request that it held up, and not in fewer requests
("coordinated omission"). Closed loop: so many clients, each with one request at a time.
"""

from __future__ import annotations

import asyncio
import ipaddress
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import grpc
import grpc.aio
import h11
from hdrh.histogram import HdrHistogram

from pulleyroute.lab.arrivals import Mix, Shape, arrivals
from pulleyroute.lab.referee import ENDINGS
from pulleyroute.net.http import parse_address

OUT = 5000  # requests out at once in an open loop; one that is due beyond is counted as not sent
KEPT = 256  # idle connections that are kept
SERVED, REFUSED, FAILED, LOST = "served", "refused", "failed", "lost"


class NotLoopback(ValueError):
    """A target that is not on this machine."""


def parse_loopback(address: str) -> tuple[str, int]:
    """A loopback address; raises `NotLoopback` for any other, so that a slip of the pen loads nobody else's
    machine."""
    try:
        host, port = parse_address(address)
    except ValueError as exc:
        raise NotLoopback(str(exc)) from None
    if not ipaddress.ip_address(host).is_loopback:
        raise NotLoopback(f"{address} is not a loopback address")
    return host, port


class Target(Protocol):
    """Something to load. `send` makes one request and says how it ended."""

    async def send(self, kind: str, number: int, timeout: float) -> str: ...
    async def close(self) -> None: ...


class JobTarget:
    """The platform's clients' side: HTTP/1.1, one request a connection at a time, kept connections."""

    def __init__(self, address: str, body: bytes = b"{}") -> None:
        self._address = parse_loopback(address)
        self._body = body
        self._idle: list[tuple[h11.Connection, asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._mark = f"{random.SystemRandom().getrandbits(32):08x}"  # ids of two loads must not meet

    async def send(self, kind: str, number: int, timeout: float) -> str:
        try:
            return await asyncio.wait_for(self._send(kind, number, timeout), timeout + 1)
        except (TimeoutError, OSError, h11.RemoteProtocolError, EOFError):
            return LOST

    async def _send(self, kind: str, number: int, timeout: float, fresh: bool = False) -> str:
        kept = bool(self._idle) and not fresh
        if kept:
            connection, reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(*self._address)
            connection = h11.Connection(h11.CLIENT)
        try:
            head = h11.Request(
                method="POST",
                target=f"/{kind}",
                headers=[
                    ("Host", "load"),
                    ("X-Txn", f"{self._mark}-{number}"),
                    ("X-Remaining-Ms", str(int(timeout * 1000))),
                    ("Content-Length", str(len(self._body))),
                ],
            )
            for part in (head, h11.Data(data=self._body), h11.EndOfMessage()):
                writer.write(connection.send(part) or b"")
            status = 0
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    data = await reader.read(65_536)
                    if not data and status == 0:
                        if kept:
                            break  # closed between two requests, unread: once more on a new connection
                        raise EOFError
                    kept = False
                    connection.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    break
            done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
            if done and len(self._idle) < KEPT:
                connection.start_next_cycle()
                self._idle.append((connection, reader, writer))
                writer = None  # type: ignore[assignment]
            if status == 0:
                return await self._send(kind, number, timeout, fresh=True)
            return ENDINGS.get(status, FAILED)
        finally:
            if writer is not None:
                writer.close()

    async def close(self) -> None:
        for _, _, writer in self._idle:
            writer.close()
        self._idle.clear()


class GrpcTarget:
    """gRPC: a kind is `service/method`, or a service whose method is Unary; a message of so many bytes each
    way."""

    def __init__(
        self, address: str, body: bytes = b"hello", metadata: tuple[tuple[str, str], ...] = ()
    ) -> None:
        host, port = parse_loopback(address)
        self._channel = grpc.aio.insecure_channel(f"{host}:{port}", [("grpc.enable_retries", 0)])
        self._body, self._metadata = body, metadata
        self._methods: dict[str, Any] = {}

    async def send(self, kind: str, number: int, timeout: float) -> str:
        method = self._methods.get(kind)
        if method is None:
            path = f"/{kind}" if "/" in kind else f"/{kind}/Unary"
            method = self._methods[kind] = self._channel.unary_unary(path)
        try:
            await method(self._body, timeout=timeout, metadata=(*self._metadata, ("x-id", str(number))))
        except grpc.aio.AioRpcError as exc:
            refused = any(key == "grpc-retry-pushback-ms" for key, _ in exc.trailing_metadata() or ())
            return REFUSED if refused else FAILED
        return SERVED

    async def close(self) -> None:
        await self._channel.close()


@dataclass(slots=True)
class Kind:
    """What became of one kind. Times in microseconds, of served requests and of all."""

    endings: Counter[str] = field(default_factory=Counter)
    served: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    all: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))


@dataclass(slots=True)
class Report:
    """A whole load: what was due, what was not sent for want of room, and each kind."""

    due: int = 0
    unsent: int = 0
    seconds: float = 0.0
    late: float = 0.0  # seconds that the generator itself ran behind its schedule, at worst
    kinds: dict[str, Kind] = field(default_factory=dict)

    def note(self, kind: str, ending: str, took: float) -> None:
        row = self.kinds.setdefault(kind, Kind())
        row.endings[ending] += 1
        micros = max(1, int(took * 1e6))
        row.all.record_value(micros)
        if ending == SERVED:
            row.served.record_value(micros)

    def rows(self) -> list[dict[str, Any]]:
        """One a kind, for a table or a program; milliseconds, histograms in their own encoding."""
        return [
            {
                "kind": name,
                "sent": sum(kind.endings.values()),
                **{ending: kind.endings[ending] for ending in (SERVED, REFUSED, FAILED, LOST)},
                **{
                    f"p{point:g}": round(kind.served.get_value_at_percentile(point) / 1000, 3)
                    for point in (50, 90, 99, 99.9)
                },
                "histogram": kind.all.encode().decode(),
            }
            for name, kind in sorted(self.kinds.items())
        ]


Tick = Callable[[float, int], None]


async def open_loop(
    target: Target,
    shape: Shape,
    mix: Mix,
    seed: int,
    timeout: float,
    even: bool = False,
    tick: Tick = lambda share, done: None,
) -> Report:
    """Play a shape. `tick` hears the share of time that is over and how many have ended."""
    report, rng = Report(), random.Random(seed)
    began = time.perf_counter()
    out: set[asyncio.Task[None]] = set()

    async def one(kind: str, number: int, due: float) -> None:
        ending = await target.send(kind, number, timeout)
        report.note(kind, ending, time.perf_counter() - began - due)

    for number, due in enumerate(arrivals(shape, rng, even)):
        kind = mix.draw(rng)
        wait = began + due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
            tick(due / shape.span if shape.span else 1.0, number - len(out))
        elif number % 64 == 0:
            await asyncio.sleep(0)  # what has come is heard though the schedule is behind
        report.late = max(report.late, time.perf_counter() - began - due)
        report.due += 1
        if len(out) >= OUT:
            report.unsent += 1
            continue
        task = asyncio.create_task(one(kind, number, due))
        out.add(task)
        task.add_done_callback(out.discard)
    if out:
        await asyncio.wait(out, timeout=timeout + 2)
    report.seconds = time.perf_counter() - began
    tick(1.0, report.due)
    return report


async def closed_loop(
    target: Target,
    clients: int,
    seconds: float,
    mix: Mix,
    seed: int,
    timeout: float,
    most: int = 1_000_000,
    tick: Tick = lambda share, done: None,
) -> Report:
    """So many clients, one request after another each, for some time or `most` requests."""
    report, numbers = Report(), itertools.count()
    began = time.perf_counter()

    async def client(which: int) -> None:
        rng = random.Random(f"{seed}/{which}")
        while time.perf_counter() - began < seconds:
            number = next(numbers)
            if number >= most:
                return
            report.due += 1
            kind, at = mix.draw(rng), time.perf_counter()
            ending = await target.send(kind, number, timeout)
            report.note(kind, ending, time.perf_counter() - at)
            tick(min(1.0, (time.perf_counter() - began) / seconds), number)

    await asyncio.gather(*(client(which) for which in range(clients)))
    report.seconds = time.perf_counter() - began
    tick(1.0, report.due)
    return report
