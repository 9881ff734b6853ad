"""The `pulleyroute demo` command."""

from __future__ import annotations

import json
import sys
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

HELP = (
    "Start the dispatcher with embedded stand-ins, send jobs and gRPC calls during a drain and a crash "
    "of an instance, and show how the requests ended."
)
EXAMPLES = "Examples:\n\n`pulleyroute demo`\n\n`pulleyroute demo --seconds 20 --rate 100 --json`"


def run(
    seconds: Annotated[float, typer.Option(min=2, max=300, help="How long the load lasts.")] = 6.0,
    rate: Annotated[float, typer.Option(min=1, max=500, help="Requests per second.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Run the demo and print its results; exits with status 1 if a rule was broken."""
    try:
        from pulleyroute.lab.demo import Demo
    except ImportError as exc:
        print(f"pulleyroute: {exc.name} is missing: install the extra `lab`", file=sys.stderr)
        raise typer.Exit(1) from None
    demo = Demo(rate, seconds, seed)
    console = Console(stderr=as_json)
    with Progress(
        TextColumn("running"),
        BarColumn(),
        MofNCompleteColumn(),
        TextColumn("answered"),
        TimeRemainingColumn(),
        console=console,
    ) as progress:
        progress_bar = progress.add_task("", total=int(rate * seconds))
        try:
            result = demo.run(lambda share, done: progress.update(progress_bar, completed=done))
        except RuntimeError as exc:
            print(f"pulleyroute: {exc}", file=sys.stderr)
            raise typer.Exit(1) from None
    rows = [
        (
            name,
            row.asked,
            *(row.endings[each] for each in ("served", "refused", "failed")),
            row.took.get_value_at_percentile(50) / 1000,
            row.took.get_value_at_percentile(99) / 1000,
            result.attempts[name],
        )
        for name, row in result.rows.items()
    ]
    names = ("kind", "asked", "served", "refused", "failed", "p50 ms", "p99 ms", "runs")
    if as_json:
        print(
            json.dumps(
                {
                    "rows": [dict(zip(names, row, strict=True)) for row in rows],
                    "broken": result.broken,
                    "figures": result.metrics,
                    "seconds": round(result.seconds, 3),
                }
            )
        )
    else:
        table = Table(title="One box drained after a third of the run, one app killed after half of it")
        for name in names:
            table.add_column(name, justify="left" if name == "kind" else "right")
        for row in rows:
            table.add_row(
                row[0], *(f"{value:.1f}" if isinstance(value, float) else str(value) for value in row[1:])
            )
        console.print(table)
        shown = ", ".join(f"{name.removeprefix('app.')} {value}" for name, value in result.metrics.items())
        console.print(f"counters of the admin listener: {shown}", highlight=False)
        console.print(f"rules broken: {len(result.broken)}", style="red" if result.broken else "green")
        for line in result.broken[:10]:
            console.print(f"  {line}")
    if result.broken:
        raise typer.Exit(1)
