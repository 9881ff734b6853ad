"""The `pulleyroute load` command."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Annotated, Literal

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

HELP = (
    "Send jobs or gRPC calls to a dispatcher on this machine, by a schedule (open loop) or with a fixed "
    "number of clients (closed loop), and show how the requests ended. In an open loop, times count from "
    "when a request was due."
)
EXAMPLES = (
    "Examples:\n\n`pulleyroute load jobs 127.0.0.1:8080 --mix balance-check=4,card-charge=1 "
    "--shape 20/10s,20-200/30s,burst:300`\n\n"
    "`pulleyroute load grpc 127.0.0.1:8443 --mix shop.Look/Unary --clients 32 --seconds 10 --json`"
)


def run(
    what: Annotated[Literal["jobs", "grpc"], typer.Argument(help="What to send.")],
    address: Annotated[str, typer.Argument(help="A loopback address, HOST:PORT.")],
    mix: Annotated[
        str, typer.Option(help="Kinds with their shares: NAME=SHARE,... For grpc, a kind is service/method.")
    ],
    shape: Annotated[
        str,
        typer.Option(
            help="RATE/SPANs, FROM-TO/SPANs, RATE~SWING@PERIODs/SPANs, burst:N; " "joined by commas."
        ),
    ] = "20/10s",
    even: Annotated[
        bool, typer.Option(help="Send at equal intervals instead of as a Poisson process.")
    ] = False,
    clients: Annotated[
        int, typer.Option(min=0, max=2000, help="Clients of a closed loop; 0 for an open loop.")
    ] = 0,
    seconds: Annotated[float, typer.Option(min=0.1, max=3600, help="How long a closed loop lasts.")] = 10.0,
    timeout: Annotated[
        float, typer.Option(min=0.01, max=600, help="How long a client waits, in seconds.")
    ] = 5.0,
    size: Annotated[int, typer.Option(min=0, max=64 * 1024, help="Size of a request in bytes.")] = 100,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals and kinds.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Generate the load and print the report; exits with status 2 if an argument is not valid."""
    try:
        from pulleyroute.lab import arrivals, load
    except ImportError as exc:
        print(f"pulleyroute: {exc.name} is missing: install the extra `lab`", file=sys.stderr)
        raise typer.Exit(1) from None
    try:
        kinds, plan = arrivals.read_mix(mix), arrivals.read_shape(shape)
        load.parse_loopback(address)
    except (arrivals.BadShape, load.NotLoopback) as exc:
        print(f"pulleyroute: {exc}", file=sys.stderr)
        raise typer.Exit(2) from None

    async def play(tick: load.Tick) -> load.Report:
        body = b"x" * size
        target: load.Target = (
            load.JobTarget(address, body) if what == "jobs" else load.GrpcTarget(address, body)
        )
        try:
            if clients:
                return await load.closed_loop(target, clients, seconds, kinds, seed, timeout, tick=tick)
            return await load.open_loop(target, plan, kinds, seed, timeout, even, tick)
        finally:
            await target.close()

    console = Console(stderr=as_json)
    with Progress(
        TextColumn("loading"),
        BarColumn(),
        TextColumn("{task.fields[done]} ended"),
        TimeElapsedColumn(),
        console=console,
    ) as progress:
        progress_bar = progress.add_task("", total=1.0, done=0)
        report = asyncio.run(
            play(lambda share, done: progress.update(progress_bar, completed=share, done=done))
        )
    if as_json:
        print(
            json.dumps(
                {
                    "due": report.due,
                    "unsent": report.unsent,
                    "seconds": round(report.seconds, 3),
                    "late": round(report.late, 6),
                    "kinds": report.rows(),
                }
            )
        )
        return
    table = Table(title=f"{report.due} due in {report.seconds:.1f} s; times of served requests in ms")
    names = ("kind", "sent", "served", "refused", "failed", "lost", "p50", "p90", "p99", "p99.9")
    for name in names:
        table.add_column(name, justify="left" if name == "kind" else "right")
    for row in report.rows():
        table.add_row(*(str(row[name]) for name in names))
    console.print(table)
    if report.unsent or report.late > 0.1:
        console.print(
            f"the load generator fell behind: {report.unsent} not sent, "
            f"others up to {report.late:.2f} s late",
            style="yellow",
        )
