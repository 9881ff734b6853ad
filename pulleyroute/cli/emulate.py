"""The `pulleyroute emulate` commands."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal

import typer

if TYPE_CHECKING:
    from pulleyroute.net.loop import Loop

HELP = "Run a stand-in for an external system on this machine, until SIGTERM."
app = typer.Typer(help=HELP, no_args_is_help=True)


def _parse_loopback_address(address: str) -> tuple[str, int]:
    from pulleyroute.config.types import AddressParser

    try:
        parsed = AddressParser(any_port=True).parse(address)
    except ValueError:
        parsed = "", 0
    if not parsed[0].startswith("127."):
        print(f"pulleyroute: {address!r} is not HOST:PORT with a loopback host", file=sys.stderr)
        raise typer.Exit(2)
    return parsed


def _create_loop() -> Loop:
    from pulleyroute.net.loop import Loop
    from pulleyroute.net.process import on_error, raise_descriptor_limit

    # A fleet of 1,024 members opens as many connections to this process. The soft limit that shells commonly
    # set is lower, and reaching it would end the process.
    raise_descriptor_limit()
    return Loop(on_error)


def _run_until_stopped(loop: Loop, ready_line: str) -> None:
    """Print the line that reports readiness, and run until SIGTERM."""
    from pulleyroute.net.process import catch_signals, handle_signals

    source, sink = catch_signals()
    loop.spawn(handle_signals(source, lambda: None, loop.stop), "signals")
    print(ready_line, flush=True)
    loop.run()
    sink.close()


@app.command(epilog="Example:\n\n`pulleyroute emulate store 127.0.0.1:2379 --log /tmp/store.log`")
def store(
    address: Annotated[
        str, typer.Argument(help="A loopback address, HOST:PORT; port 0 for any free port.")
    ] = "127.0.0.1:0",
    log: Annotated[
        Path | None, typer.Option(help="Log changes to this file, and start from its content.")
    ] = None,
    leases: Annotated[
        Literal["extend", "end"], typer.Option(help="What happens to the leases in the log at the start.")
    ] = "extend",
) -> None:
    """The common store of a fleet, with etcd's v3 JSON gateway. The first line printed is its address."""
    from pulleyroute.emulator.store import Server

    parsed = _parse_loopback_address(address)
    loop = _create_loop()
    try:
        server = Server(loop, parsed, log, leases)
    except (OSError, ValueError, KeyError) as exc:
        print(f"pulleyroute: cannot start the store: {exc}", file=sys.stderr)
        raise typer.Exit(1) from None
    _run_until_stopped(loop, "{}:{}".format(*server.address))
    server.close()


@app.command(epilog="Example:\n\n`pulleyroute emulate runner box-1 --callback 127.0.0.1:8080`")
def runner(
    name: Annotated[str, typer.Argument(help="Name in the list of instances.")],
    callback: Annotated[
        list[str], typer.Option(help="Callback address of a dispatcher; repeat for each one.")
    ],
    slots: Annotated[int, typer.Option(min=1, max=1000, help="Jobs that run at the same time.")] = 4,
    mean_ms: Annotated[int, typer.Option(min=1, max=60_000, help="Mean running time of a job.")] = 30,
    seed: Annotated[int, typer.Option(min=0, help="Seed of the running times.")] = 0,
    book: Annotated[Path | None, typer.Option(help="Write the starts and ends of jobs to this file.")] = None,
) -> None:
    """A runner of jobs. Prints its addresses, one for each dispatcher, as one JSON list."""
    from pulleyroute.emulator.runner import Runner

    callbacks = [_parse_loopback_address(each) for each in callback]
    loop = _create_loop()
    box = Runner(loop, name, callbacks, slots, mean_ms * 1000, seed, book)
    _run_until_stopped(loop, json.dumps(box.addresses))
