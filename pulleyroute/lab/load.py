"""Load on a dispatcher with jobs or gRPC calls, in an open or a closed loop, and statistics of the results.

Open loop: requests are due by a schedule that does not depend on earlier ones, and the time of each counts
from when it was due. A slow dispatcher therefore shows in every request that it delays, and not as fewer
requests ("coordinated omission"). Closed loop: a number of clients, each with one request at a time.
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

MAX_IN_FLIGHT = 5000  # requests of an open loop; one that is due beyond these is counted as not sent
MAX_IDLE_CONNECTIONS = 256
SERVED, REFUSED, FAILED, LOST = "served", "refused", "failed", "lost"


class NotLoopback(ValueError):
    """The address of a target is not a valid loopback address."""


def parse_loopback(address: str) -> tuple[str, int]:
    """Parse a loopback address, HOST:PORT.

    Raises `NotLoopback` for any other, so that a mistyped address puts no load on another machine.
    """
    try:
        host, port = parse_address(address)
    except ValueError as exc:
        raise NotLoopback(str(exc)) from None
    if not ipaddress.ip_address(host).is_loopback:
        raise NotLoopback(f"{address} is not a loopback address")
    return host, port


class Target(Protocol):
    """A destination of load."""

    async def send(self, kind: str, number: int, timeout: float) -> str:
        """Make one request and return how it ended: `SERVED`, `REFUSED`, `FAILED` or `LOST`.

        `number` distinguishes the requests of a load; `timeout` is in seconds.
        """

    async def close(self) -> None:
        """Close the connections."""


class JobTarget:
    """Sends jobs as the platform's clients do: HTTP/1.1, kept connections, one request at a time on each."""

    def __init__(self, address: str, body: bytes = b"{}") -> None:
        self._address = parse_loopback(address)
        self._body = body
        self._idle: list[tuple[h11.Connection, asyncio.StreamReader, asyncio.StreamWriter]] = []
        # Random, so that the ids of two loads differ.
        self._id_prefix = f"{random.SystemRandom().getrandbits(32):08x}"

    async def send(self, kind: str, number: int, timeout: float) -> str:
        try:
            return await asyncio.wait_for(self._send(kind, number, timeout), timeout + 1)
        except (TimeoutError, OSError, h11.RemoteProtocolError, EOFError):
            return LOST

    async def _send(self, kind: str, number: int, timeout: float, new_connection: bool = False) -> str:
        kept = bool(self._idle) and not new_connection
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
                    ("X-Txn", f"{self._id_prefix}-{number}"),
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
                            break  # closed before the request was read: sent again on a new connection
                        raise EOFError
                    kept = False
                    connection.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    break
            done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
            if done and len(self._idle) < MAX_IDLE_CONNECTIONS:
                connection.start_next_cycle()
                self._idle.append((connection, reader, writer))
                writer = None  # type: ignore[assignment]
            if status == 0:
                return await self._send(kind, number, timeout, new_connection=True)
            return ENDINGS.get(status, FAILED)
        finally:
            if writer is not None:
                writer.close()

    async def close(self) -> None:
        for _, _, writer in self._idle:
            writer.close()
        self._idle.clear()


class GrpcTarget:
    """Sends gRPC calls with one message each way.

    A kind is `service/method`, or a service whose method is Unary.
    """

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
class KindResults:
    """Results of one kind of request, with histograms in microseconds of the served and of all requests."""

    endings: Counter[str] = field(default_factory=Counter)
    served: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))
    all: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))


@dataclass(slots=True)
class Report:
    """Results of a load. `unsent` counts requests that were due beyond `MAX_IN_FLIGHT`."""

    due: int = 0
    unsent: int = 0
    seconds: float = 0.0
    late: float = 0.0  # seconds by which the generator ran behind its schedule, at worst
    kinds: dict[str, KindResults] = field(default_factory=dict)

    def record(self, kind: str, ending: str, took: float) -> None:
        """Count a request; `took` is in seconds."""
        row = self.kinds.setdefault(kind, KindResults())
        row.endings[ending] += 1
        micros = max(1, int(took * 1e6))
        row.all.record_value(micros)
        if ending == SERVED:
            row.served.record_value(micros)

    def rows(self) -> list[dict[str, Any]]:
        """Return one row for each kind, for a table or as JSON.

        Times are in milliseconds; `histogram` is HdrHistogram's own encoding.
        """
        return [
            {
                "kind": name,
                "sent": sum(kind.endings.values()),
                **{ending: kind.endings[ending] for ending in (SERVED, REFUSED, FAILED, LOST)},
                **{
                    f"p{percentile:g}": round(kind.served.get_value_at_percentile(percentile) / 1000, 3)
                    for percentile in (50, 90, 99, 99.9)
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
    """Run a load in an open loop.

    `tick` is called with the share of the time that has passed and the number of requests that have ended.
    """
    report, rng = Report(), random.Random(seed)
    began = time.perf_counter()
    in_flight: set[asyncio.Task[None]] = set()

    async def send(kind: str, number: int, due: float) -> None:
        ending = await target.send(kind, number, timeout)
        report.record(kind, ending, time.perf_counter() - began - due)

    for number, due in enumerate(arrivals(shape, rng, even)):
        kind = mix.draw(rng)
        wait = began + due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
            tick(due / shape.span if shape.span else 1.0, number - len(in_flight))
        elif number % 64 == 0:
            await asyncio.sleep(0)  # lets answers be read while the schedule is behind
        report.late = max(report.late, time.perf_counter() - began - due)
        report.due += 1
        if len(in_flight) >= MAX_IN_FLIGHT:
            report.unsent += 1
            continue
        task = asyncio.create_task(send(kind, number, due))
        in_flight.add(task)
        task.add_done_callback(in_flight.discard)
    if in_flight:
        await asyncio.wait(in_flight, timeout=timeout + 2)
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
    max_requests: int = 1_000_000,
    tick: Tick = lambda share, done: None,
) -> Report:
    """Run a load in a closed loop for `seconds` or `max_requests` requests in total."""
    report, numbers = Report(), itertools.count()
    began = time.perf_counter()

    async def client(index: int) -> None:
        rng = random.Random(f"{seed}/{index}")
        while time.perf_counter() - began < seconds:
            number = next(numbers)
            if number >= max_requests:
                return
            report.due += 1
            kind, at = mix.draw(rng), time.perf_counter()
            ending = await target.send(kind, number, timeout)
            report.record(kind, ending, time.perf_counter() - at)
            tick(min(1.0, (time.perf_counter() - began) / seconds), number)

    await asyncio.gather(*(client(index) for index in range(clients)))
    report.seconds = time.perf_counter() - began
    tick(1.0, report.due)
    return report
