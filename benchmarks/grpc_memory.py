"""Resident memory of open streams whose clients read nothing: `python -m benchmarks.grpc_memory [--write]`.

A grpc.aio instance answers each call with 1 MiB in messages of 4 KiB; the clients read the first message and
no more. Options: `--streams N` (2,000), `--window BYTES` of the pool.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from benchmarks.fixture import Program, machine, program
from benchmarks.grpc_faults import option

MESSAGE_BYTES, MESSAGES = 4096, 256
OPTIONS = [("grpc.max_concurrent_streams", 10_000), ("grpc.http2.max_ping_strikes", 0)]


def run_instance(pipe: Any) -> None:
    """Serve calls in a process of its own, and send its port through `pipe`."""

    class Handler(grpc.GenericRpcHandler):  # type: ignore[misc]
        def service(self, details: Any) -> Any:
            async def spread(request: bytes, context: Any) -> Any:
                for _ in range(MESSAGES):
                    yield b"x" * MESSAGE_BYTES

            return grpc.unary_stream_rpc_method_handler(spread)

    async def serve() -> None:
        server = grpc.aio.server(options=OPTIONS)
        server.add_generic_rpc_handlers((Handler(),))
        pipe.send(server.add_insecure_port("127.0.0.1:0"))
        await server.start()
        await server.wait_for_termination()

    asyncio.run(serve())


async def settled_memory(started: Program) -> int:
    """Return the resident memory in bytes once it no longer changes, or after 60 s."""
    last, end = 0, time.monotonic() + 60
    while time.monotonic() < end:
        now = started.resident()
        if abs(now - last) < 256 * 1024:
            return now
        last = now
        await asyncio.sleep(1.0)
    return last


async def measure(started: Program, streams: int) -> tuple[int, int, int, int]:
    """Measure resident memory in bytes.

    Returns it before the streams, with open streams that are not read, and after their end; and the number of
    streams.
    """
    # Without these options grpcio's client enlarges its windows and buffers the whole answer itself.
    narrow = [("grpc.http2.bdp_probe", 0), ("grpc.http2.lookahead_bytes", 65_535)]
    async with grpc.aio.insecure_channel(started.address, narrow) as via:
        call = via.unary_stream("/test.Unsafe/Spread")
        async for _ in call(b"x", timeout=60):
            pass
        before = await settled_memory(started)
        calls: list[Any] = []
        # grpc.aio cancels some of 2,000 calls that start at once, even without a proxy.
        while len(calls) < streams:
            batch = [call(b"x", timeout=100) for _ in range(100)]
            firsts = await asyncio.gather(*(each.read() for each in batch))
            assert all(len(first) == MESSAGE_BYTES for first in firsts)
            calls += batch
        with_streams = await settled_memory(started)
        for each in calls:
            each.cancel()
        await asyncio.sleep(2)
        after = await settled_memory(started)
    return before, with_streams, after, streams


def main() -> int:
    streams = option("--streams", 2000)
    pipe, other = multiprocessing.Pipe()
    child = multiprocessing.Process(target=run_instance, args=(other,), daemon=True)
    child.start()
    try:
        port = pipe.recv()
        with (
            tempfile.TemporaryDirectory() as folder,
            program(Path(folder), {"box": f"127.0.0.1:{port}"}, slots=10_000) as started,
        ):
            before, with_streams, after, count = asyncio.run(measure(started, streams))
            again = asyncio.run(measure(started, streams))[1]
    finally:
        child.kill()
    each = (with_streams - before) / count
    lines = [
        "| streams | before | silent readers | a stream | bound a stream | after | as many again |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        f"| {count} | {before / 2**20:.1f} MiB | {with_streams / 2**20:.1f} MiB | {each / 1024:.1f} KiB | "
        f"64 KiB of window and some KiB of objects | {after / 2**20:.1f} MiB | "
        f"{again / 2**20:.1f} MiB |",
    ]
    print("\n".join(lines))
    if "--write" in sys.argv:
        Path("docs/measured/grpc-memory.md").write_text(
            "\n".join(
                [
                    "# Memory of streams whose clients read slowly",
                    "",
                    "Command: `python -m benchmarks.grpc_memory --write`. Each stream has 1 MiB to",
                    "come and its",
                    "client reads the first 4 KiB alone. What the dispatcher holds of a stream is",
                    "bounded by the",
                    "window that it gives the instance (`window` of the pool, 65,535 bytes):",
                    "nothing is read beyond",
                    "it until the client has read.",
                    f"Run on: {machine()}.",
                    "",
                    *lines,
                    "",
                ]
            )
        )
    # The second round must reuse the memory of the first one; growth by a tenth would be a leak.
    return 0 if each < 80 * 1024 and again < with_streams * 1.1 else 1


if __name__ == "__main__":
    sys.exit(main())
