"""`pulleyroute emulate`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Literal

import typer

HELP = ("Run a stand-in for an outside system on this machine, until SIGTERM. `store`: the fleet's common "
        "store, etcd's v3 JSON gateway. The first line printed is its address.")
EXAMPLES = "Example:\n\n`pulleyroute emulate store 127.0.0.1:2379 --log /tmp/store.log`"


def run(
    what: Annotated[Literal["store"], typer.Argument(help="What to stand in for.")],
    address: Annotated[str, typer.Argument(
        help="A loopback address, HOST:PORT; port 0 for any.")] = "127.0.0.1:0",
    log: Annotated[Path | None, typer.Option(help="Keep changes in this file, and start from it.")] = None,
    leases: Annotated[Literal["extend", "end"],
                      typer.Option(help="What becomes of the log's leases at a start.")] = "extend",
) -> None:
    from pulleyroute.config.types import At
    from pulleyroute.emulator.store import Server
    from pulleyroute.net.loop import Loop
    from pulleyroute.net.process import catch_signals, heeding, on_error

    try:
        place = At(any_port=True).read(address)
    except ValueError:
        place = "", 0
    if not place[0].startswith("127."):
        print(f"pulleyroute: {address!r} is not HOST:PORT with a loopback host", file=sys.stderr)
        raise typer.Exit(2)
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        server = Server(loop, place, log, leases)
    except (OSError, ValueError, KeyError) as exc:
        print(f"pulleyroute: the store can't start: {exc}", file=sys.stderr)
        raise typer.Exit(1) from None
    loop.spawn(heeding(source, lambda: None, loop.stop), "signals")
    print("{}:{}".format(*server.address), flush=True)
    loop.run()
    server.close()
    sink.close()
