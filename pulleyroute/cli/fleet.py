"""`pulleyroute fleet`."""

from __future__ import annotations

import getpass
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer

from pulleyroute.fleet.operate import Operator
from pulleyroute.net.loop import Coroutine

HELP = "See who is in the fleet, and put members on standby, start them again, or drain runners."
app = typer.Typer(help=HELP, no_args_is_help=True)
T = TypeVar("T")
Config = Annotated[Path, typer.Option("--config", "-c", help="A configuration with the fleet block.")]
Why = Annotated[str, typer.Option("--why", help="For the history.")]
AsJson = Annotated[bool, typer.Option("--json", help="As JSON.")]
Pool = Annotated[str, typer.Option("--pool", help="Of this pool's runners, not a member.")]
Name = Annotated[str, typer.Argument(help="The name.")]


def run_operation(path: Path, what: Callable[[Operator], Coroutine[T]]) -> T:
    """Do one thing on the store that the configuration names; ends with one plain line where it can't be."""
    from pulleyroute.config import InvalidConfig, load
    from pulleyroute.fleet.records import OperationRefused
    from pulleyroute.fleet.store import Client, StoreRejected, StoreUnavailable
    from pulleyroute.net.buffers import BufferPool
    from pulleyroute.net.loop import Loop

    try:
        config = load(path)
    except InvalidConfig as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from None
    if config.fleet is None:
        print(f"{path}:1: fleet: expected a block, found none", file=sys.stderr)
        raise typer.Exit(2)
    faults: list[Exception] = []
    loop = Loop(lambda _, exc: faults.append(exc))
    seed = random.SystemRandom().getrandbits(64)
    client = Client(loop, BufferPool(), config.fleet.store, seed)
    operator = Operator(loop, client, config.fleet.group, _person(), seed)
    told: list[T] = []

    def whole() -> Coroutine[None]:
        try:
            told.append((yield from what(operator)))
        finally:
            loop.stop()

    loop.spawn(whole(), "command")
    loop.run()
    if told:
        return told[0]
    fault = faults[0] if faults else None
    if isinstance(fault, StoreUnavailable):
        done = "it may have been done all the same" if fault.maybe_applied else "nothing was done"
        print(f"pulleyroute: the store can't be reached ({fault}); {done}", file=sys.stderr)
    elif isinstance(fault, StoreRejected | OperationRefused):
        print(f"pulleyroute: {fault}", file=sys.stderr)
    elif fault is not None:
        raise fault
    raise typer.Exit(1)


def _person() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "somebody"


def print_table(rows: list[dict[str, Any]], names: list[str], as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for name in names:
        table.add_column(name)
    for row in rows:
        table.add_row(*(_shown(row[name]) for name in names))
    Console().print(table)


def _shown(value: object) -> str:
    return ("yes" if value else "") if isinstance(value, bool) else str(value)


@app.command()
def members(config: Config, as_json: AsJson = False) -> None:
    """Who is in the fleet, who counts as out, and what is wanted of them."""
    print_table(
        run_operation(config, lambda operator: operator.members()),
        ["name", "zone", "region", "version", "standing", "out", "permit", "wish", "why"],
        as_json,
    )


@app.command()
def runners(config: Config, as_json: AsJson = False) -> None:
    """Which runners are drained or wanted so, and which members may still send to them."""
    rows = run_operation(config, lambda operator: operator.runners())
    if not as_json:
        rows = [{**row, "waits": ", ".join(row["waits"])} for row in rows]
    print_table(rows, ["pool", "name", "state", "waits", "by", "why"], as_json)


@app.command()
def drain(name: Name, config: Config, why: Why = "", pool: Pool = "") -> None:
    """Want a member on standby, or a runner drained. It goes once the limits allow it, until `undrain`."""
    if pool:
        run_operation(config, lambda operator: operator.drain_runner(pool, name, why))
        print(f"{name} gets nothing new once the limits allow it: see `pulleyroute fleet runners`")
        return
    run_operation(config, lambda operator: operator.drain(name, "standby", why))
    print(f"{name} goes on standby once it has a permit: see `pulleyroute fleet members`")


@app.command()
def restart(
    name: Name,
    config: Config,
    why: Why = "",
    version: Annotated[str, typer.Option(help="That is to come; the same without it.")] = "",
) -> None:
    """Want a member started again. It ends once the limits allow it; the platform starts it."""
    run_operation(config, lambda operator: operator.drain(name, "restart", why, version))
    print(f"{name} is started again once it has a permit: see `pulleyroute fleet members`")


@app.command()
def undrain(name: Name, config: Config, why: Why = "", pool: Pool = "") -> None:
    """Take back what is wanted of a member or runner: it serves, or gets work, again."""
    if pool:
        run_operation(config, lambda operator: operator.undrain_runner(pool, name, why))
        return
    run_operation(config, lambda operator: operator.undrain(name, why))


@app.command()
def forget(name: Name, config: Config, why: Why = "") -> None:
    """Say that a silent member is gone for good. Say it of no process that may still run."""
    run_operation(config, lambda operator: operator.forget(name, why))


@app.command()
def history(config: Config, as_json: AsJson = False) -> None:
    """What was done, the oldest first, with author and reason. Times are UTC."""
    rows = [
        {
            "at": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(event.at / 1000)),
            "by": event.by,
            "what": event.what,
            "why": event.why,
        }
        for event in run_operation(config, lambda each: each.history())
    ]
    print_table(rows, ["at", "by", "what", "why"], as_json)
