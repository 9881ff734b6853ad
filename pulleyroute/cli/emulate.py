"""`pulleyroute emulate`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal

import typer

if TYPE_CHECKING:
    from pulleyroute.net.loop import Loop

HELP = "Run a stand-in for an outside system on this machine, until SIGTERM."
app = typer.Typer(help=HELP, no_args_is_help=True)


def _loopback(address: str) -> tuple[str, int]:
    from pulleyroute.config.types import AddressParser

    try:
        place = AddressParser(any_port=True).parse(address)
    except ValueError:
        place = "", 0
    if not place[0].startswith("127."):
        print(f"pulleyroute: {address!r} is not HOST:PORT with a loopback host", file=sys.stderr)
        raise typer.Exit(2)
    return place


def _loop() -> Loop:
    from pulleyroute.net.loop import Loop
    from pulleyroute.net.process import on_error, raise_descriptor_limit

    # A fleet of 1,024 has as many connections here; the limit that shells set would else end the process.
    raise_descriptor_limit()
    return Loop(on_error)


def _run(loop: Loop, line: str) -> None:
    """Say that it is there, and run until SIGTERM."""
    from pulleyroute.net.process import catch_signals, handle_signals

    source, sink = catch_signals()
    loop.spawn(handle_signals(source, lambda: None, loop.stop), "signals")
    print(line, flush=True)
    loop.run()
    sink.close()


@app.command(epilog="Example:\n\n`pulleyroute emulate store 127.0.0.1:2379 --log /tmp/store.log`")
def store(
    address: Annotated[
        str, typer.Argument(help="A loopback address, HOST:PORT; port 0 for any.")
    ] = "127.0.0.1:0",
    log: Annotated[Path | None, typer.Option(help="Keep changes in this file, and start from it.")] = None,
    leases: Annotated[
        Literal["extend", "end"], typer.Option(help="What becomes of the log's leases at a start.")
    ] = "extend",
) -> None:
    """The fleet's common store: etcd's v3 JSON gateway. The first line printed is its address."""
    from pulleyroute.emulator.store import Server

    place = _loopback(address)
    loop = _loop()
    try:
        server = Server(loop, place, log, leases)
    except (OSError, ValueError, KeyError) as exc:
        print(f"pulleyroute: the store can't start: {exc}", file=sys.stderr)
        raise typer.Exit(1) from None
    _run(loop, "{}:{}".format(*server.address))
    server.close()


@app.command(epilog="Example:\n\n`pulleyroute emulate runner box-1 --callback 127.0.0.1:8080`")
def runner(
    name: Annotated[str, typer.Argument(help="Its name in the list of instances.")],
    callback: Annotated[list[str], typer.Option(help="Where a dispatcher wants call-backs; once for each.")],
    slots: Annotated[int, typer.Option(min=1, max=1000, help="Jobs that run at once.")] = 4,
    mean_ms: Annotated[int, typer.Option(min=1, max=60_000, help="Mean running time.")] = 30,
    seed: Annotated[int, typer.Option(min=0, help="Of the running times.")] = 0,
    book: Annotated[Path | None, typer.Option(help="Write starts and ends of jobs into this file.")] = None,
) -> None:
    """A job box. Prints its addresses, one for each call-back's dispatcher, as one JSON list."""
    from pulleyroute.emulator.runner import Runner

    places = [_loopback(each) for each in callback]
    loop = _loop()
    box = Runner(loop, name, places, slots, mean_ms * 1000, seed, book)
    _run(loop, json.dumps(box.addresses))
