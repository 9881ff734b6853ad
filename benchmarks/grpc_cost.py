"""CPU time of a call and of a streamed message, beside a plain grpc.aio proxy.

    python -m benchmarks.grpc_cost [--rounds N] [--calls N] [--streams N] [--write]

The program and the proxy run on one core each, in front of the same instance, and the same client loads them
alternately in interleaved rounds. CPU times come from /proc. `--calls` is the number of unary calls in a
round, `--streams` that of streams, each with 1,000 messages of 100 bytes.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import grpc

from benchmarks.fixture import await_port, channel, cpu_of, machine, program
from benchmarks.grpc_faults import option
from pulleyroute.lab.demo import free_port

MESSAGES = 1000


@contextmanager
def child(*arguments: str, core: int | None = None) -> Iterator[subprocess.Popen[bytes]]:
    """Run a Python module in a child process, on one core if given, and kill it at the end."""
    process = subprocess.Popen([sys.executable, "-m", *arguments], stdout=subprocess.PIPE)
    if core is not None:
        os.sched_setaffinity(process.pid, {core})
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def unary(via: grpc.Channel, count: int, threads: int = 16) -> None:
    """Make `count` unary calls of 100 bytes in a closed loop."""
    call = via.unary_unary("/test.Unsafe/Unary")

    def work() -> None:
        for _ in range(count // threads):
            call(b"x" * 100, timeout=30)

    _run_in_threads(work, threads)


def spread(via: grpc.Channel, count: int, threads: int = 4) -> None:
    """Make `count` server-streaming calls of 1,000 messages."""
    call = via.unary_stream("/test.Unsafe/Spread")
    metadata = (("x-count", str(MESSAGES)), ("x-size", "100"))

    def work() -> None:
        for _ in range(count // threads):
            received = sum(1 for _ in call(b"x", timeout=60, metadata=metadata))
            assert received == MESSAGES

    _run_in_threads(work, threads)


def echo(via: grpc.Channel, count: int, threads: int = 4) -> None:
    """Make `count` bidirectional calls of 1,000 messages each way."""
    call = via.stream_stream("/test.Unsafe/Echo")

    def work() -> None:
        for _ in range(count // threads):
            assert sum(1 for _ in call(iter([b"x" * 100] * MESSAGES), timeout=60)) == MESSAGES

    _run_in_threads(work, threads)


def _run_in_threads(work: Callable[[], None], count: int) -> None:
    failed: list[BaseException] = []

    def capture_errors() -> None:
        try:
            work()
        except BaseException as exc:
            failed.append(exc)

    threads = [threading.Thread(target=capture_errors) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failed:
        raise failed[0]


def main() -> int:
    rounds, calls, streams = option("--rounds", 7), option("--calls", 1600), option("--streams", 16)
    cores = sorted(os.sched_getaffinity(0))
    loads: list[tuple[str, Callable[[grpc.Channel], None], int]] = [
        ("unary call, 100 bytes", lambda via: unary(via, calls), calls),
        ("message, 1,000 a server stream", lambda via: spread(via, streams), streams * MESSAGES),
        ("message, 1,000 a stream each way", lambda via: echo(via, streams), streams * MESSAGES * 2),
    ]
    costs: dict[tuple[str, str], list[float]] = {}
    with tempfile.TemporaryDirectory() as folder, child("benchmarks.box") as instance:
        assert instance.stdout is not None
        target = instance.stdout.readline().decode().strip()
        listen = f"127.0.0.1:{free_port()}"
        with (
            program(Path(folder), {"box": target}, core=cores[0]) as ours,
            child("benchmarks.aio_proxy", listen, target, core=cores[min(1, len(cores) - 1)]) as proxy,
        ):
            await_port(proxy, listen)
            peers = {"pulleyroute": (ours.address, ours.process.pid), "grpc.aio": (listen, proxy.pid)}
            with channel(ours.address) as program_channel, channel(listen) as proxy_channel:
                via = {"pulleyroute": program_channel, "grpc.aio": proxy_channel}
                for each in via.values():
                    unary(each, 160)
                for _ in range(rounds):
                    for name, load, count in loads:
                        for peer, (_, pid) in peers.items():
                            before = cpu_of(pid)
                            load(via[peer])
                            costs.setdefault((name, peer), []).append((cpu_of(pid) - before) / count * 1e6)
    lines = [
        "| load | pulleyroute, us of CPU | grpc.aio proxy, us of CPU | ratio | goal |",
        "| --- | --- | --- | --- | --- |",
    ]
    for (name, _, _), goal in zip(loads, ("1.0", "0.5", "0.5"), strict=True):
        a, b = (statistics.median(costs[name, peer]) for peer in ("pulleyroute", "grpc.aio"))
        pairs = zip(costs[name, "pulleyroute"], costs[name, "grpc.aio"], strict=True)
        ratio = statistics.median(x / y for x, y in pairs if y)
        lines.append(f"| {name} | {a:.0f} | {b:.0f} | {ratio:.2f} | {goal} |")
    print("\n".join(lines))
    if "--write" in sys.argv:
        Path("docs/measured/grpc-cost.md").write_text(
            "\n".join(
                [
                    "# CPU of a gRPC call and a streamed message",
                    "",
                    "Command: `python -m benchmarks.grpc_cost --write`. Medians of interleaved",
                    "rounds; ratio: median",
                    "of the rounds' ratios. One core for the program, one for the proxy; 16 unary",
                    "calls or 4 streams",
                    "at once.",
                    f"Run on: {machine()}; {rounds} rounds of {calls} unary calls and {streams}",
                    "streams each.",
                    "",
                    *lines,
                    "",
                ]
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
