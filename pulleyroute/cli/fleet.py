"""The commands `pulleyroute fleet`: members, their requests, and drains of runners."""

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

HELP = "Show the fleet's members, put members on standby, restart them, or drain runners."
app = typer.Typer(help=HELP, no_args_is_help=True)
T = TypeVar("T")
Config = Annotated[Path, typer.Option("--config", "-c", help="A configuration with a fleet block.")]
Why = Annotated[str, typer.Option("--why", help="Reason, for the history.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Pool = Annotated[str, typer.Option("--pool", help="Act on a runner of this pool instead of a member.")]
Name = Annotated[str, typer.Argument(help="Name of the member or runner.")]


def run_operation(path: Path, operation: Callable[[Operator], Coroutine[T]]) -> T:
    """Run one operation on the store that the configuration names and return its result.

    A failure is printed as one line on standard error and raises `typer.Exit`, with status 2 for an invalid
    configuration and 1 otherwise.
    """
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
    errors: list[Exception] = []
    loop = Loop(lambda _, exc: errors.append(exc))
    seed = random.SystemRandom().getrandbits(64)
    client = Client(loop, BufferPool(), config.fleet.store, seed)
    operator = Operator(loop, client, config.fleet.group, _user_name(), seed)
    results: list[T] = []

    def run() -> Coroutine[None]:
        try:
            results.append((yield from operation(operator)))
        finally:
            loop.stop()

    loop.spawn(run(), "command")
    loop.run()
    if results:
        return results[0]
    error = errors[0] if errors else None
    if isinstance(error, StoreUnavailable):
        effect = "the command may have taken effect" if error.maybe_applied else "nothing was done"
        print(f"pulleyroute: store unavailable ({error}); {effect}", file=sys.stderr)
    elif isinstance(error, StoreRejected | OperationRefused):
        print(f"pulleyroute: {error}", file=sys.stderr)
    elif error is not None:
        raise error
    raise typer.Exit(1)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "somebody"


def print_table(rows: list[dict[str, Any]], columns: list[str], as_json: bool) -> None:
    """Print rows as a table with these columns, or all their values as JSON."""
    if as_json:
        print(json.dumps(rows))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_cell(row[column]) for column in columns))
    Console().print(table)


def _cell(value: object) -> str:
    return ("yes" if value else "") if isinstance(value, bool) else str(value)


@app.command()
def members(config: Config, as_json: AsJson = False) -> None:
    """Show the members, which of them count as out, and what is requested of them."""
    print_table(
        run_operation(config, lambda operator: operator.members()),
        ["name", "zone", "region", "version", "standing", "out", "permit", "wish", "why"],
        as_json,
    )


@app.command()
def runners(config: Config, as_json: AsJson = False) -> None:
    """Show runners that are drained or to be drained, and the members that may still send work to them."""
    rows = run_operation(config, lambda operator: operator.runners())
    if not as_json:
        rows = [{**row, "waits": ", ".join(row["waits"])} for row in rows]
    print_table(rows, ["pool", "name", "state", "waits", "by", "why"], as_json)


@app.command()
def drain(name: Name, config: Config, why: Why = "", pool: Pool = "") -> None:
    """Put a member on standby, or drain a runner, once the limits allow it and until `undrain`."""
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
    version: Annotated[str, typer.Option(help="The version to start; the current one by default.")] = "",
) -> None:
    """Restart a member. Its process ends once the limits allow it, and the platform starts it again."""
    run_operation(config, lambda operator: operator.drain(name, "restart", why, version))
    print(f"{name} is started again once it has a permit: see `pulleyroute fleet members`")


@app.command()
def undrain(name: Name, config: Config, why: Why = "", pool: Pool = "") -> None:
    """Withdraw the request to a member or the drain of a runner, which then serves or gets work again."""
    if pool:
        run_operation(config, lambda operator: operator.undrain_runner(pool, name, why))
        return
    run_operation(config, lambda operator: operator.undrain(name, why))


@app.command()
def forget(name: Name, config: Config, why: Why = "") -> None:
    """Remove a silent member that is gone for good. Not for a member whose process may still run."""
    run_operation(config, lambda operator: operator.forget(name, why))


@app.command()
def history(config: Config, as_json: AsJson = False) -> None:
    """Show what was done, by whom and why, oldest entry first. Times are UTC."""
    rows = [
        {
            "at": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(event.at / 1000)),
            "by": event.by,
            "what": event.what,
            "why": event.why,
        }
        for event in run_operation(config, lambda operator: operator.history())
    ]
    print_table(rows, ["at", "by", "what", "why"], as_json)
