"""`pulleyroute serve`."""

from __future__ import annotations

import gc
import sys
from pathlib import Path
from typing import Annotated, Literal

import typer
from loguru import logger

from pulleyroute import __version__
from pulleyroute.config import Config, InvalidConfig, load
from pulleyroute.net import log
from pulleyroute.net.loop import Loop
from pulleyroute.net.process import catch_signals, handle_signals, on_error
from pulleyroute.service import CannotServe, Service

HELP = (
    "Serve what a configuration says, in the foreground, until SIGTERM. SIGHUP reads it again: "
    "listeners, routes, pools and certificates follow; connections and calls stay."
)
EXAMPLES = (
    "Examples:\n\n`pulleyroute serve --config site.hcl`\n\n"
    "`pulleyroute serve --config site.hcl --log-format json --log-level debug`"
)


def run(
    config: Annotated[Path, typer.Option("--config", "-c", help="The configuration, in HCL.")],
    log_format: Annotated[Literal["text", "json"] | None, typer.Option(help="Goes before the file.")] = None,
    log_level: Annotated[
        str | None, typer.Option(help="debug, info, warning or error; before the file.")
    ] = None,
) -> None:
    try:
        made = load(config)
    except InvalidConfig as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from None
    level = log_level or (made.log.level if made.log is not None else "info")
    if level not in ("debug", "info", "warning", "error"):
        print(
            f"pulleyroute: --log-level: expected debug, info, warning or error, found {level!r}",
            file=sys.stderr,
        )
        raise typer.Exit(2)
    shape = log_format or (made.log.format if made.log is not None else "text")
    log.set_up(level, structured=shape == "json")
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        service = Service(loop, made)
    except CannotServe as exc:
        print(f"{config}: {exc}", file=sys.stderr)
        raise typer.Exit(2) from None
    loop.spawn(handle_signals(source, lambda: reload(service, config), service.stop), "signals")
    gc.freeze()
    gc.set_threshold(
        5_000, 5, 5
    )  # an ended call is a cycle of some objects: guards against many waiting long
    _told(service, made)
    if made.fleet is not None:
        from pulleyroute.service.joining import join

        join(loop, service, made)
    loop.run()
    sink.close()
    if service.exit_status:
        raise typer.Exit(service.exit_status)


def _told(service: Service, config: Config) -> None:
    for name, front in service.grpc_listeners.items():
        logger.bind(event="listening", listener=name, protocol="grpc").info(
            "listener {}: grpc on {}:{}", name, *front.address
        )
    for name, clients in service.job_listeners.items():
        logger.bind(event="listening", listener=name, protocol="jobs").info(
            "listener {}: jobs on {}:{}", name, *clients.address
        )
    logger.bind(event="started").info("pulleyroute {} as {}", __version__, config.name)


def reload(service: Service, path: Path) -> None:
    """SIGHUP: move to what the file says now, or stay as it was with the mistakes in the log."""
    try:
        config = load(path)
        made = service.apply(config)
    except (InvalidConfig, CannotServe) as exc:
        service.metrics.conf_invalid += 1
        for line in str(exc).splitlines():
            logger.bind(event="config.refused").error("configuration not read again: {}", line)
        return
    service.metrics.conf_loaded += 1
    for key in made.needs_restart:
        logger.bind(event="config.restart", key=key).warning("a change of {} needs a restart", key)
    logger.bind(event="config.reloaded").info(
        "configuration read again: pools new {}, gone {}; listeners new {}, gone {}",
        *(
            ", ".join(names) or "none"
            for names in (made.new_pools, made.removed_pools, made.new_listeners, made.removed_listeners)
        ),
    )
