"""The `pulleyroute serve` command."""

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
    "Run the dispatcher with a configuration, in the foreground, until SIGTERM. SIGHUP reloads the "
    "configuration: listeners, routes, pools and certificates are updated; connections and calls stay open."
)
EXAMPLES = (
    "Examples:\n\n`pulleyroute serve --config site.hcl`\n\n"
    "`pulleyroute serve --config site.hcl --log-format json --log-level debug`"
)


def run(
    config: Annotated[Path, typer.Option("--config", "-c", help="The configuration, in HCL.")],
    log_format: Annotated[
        Literal["text", "json"] | None, typer.Option(help="Overrides the configuration file.")
    ] = None,
    log_level: Annotated[
        str | None, typer.Option(help="debug, info, warning or error; overrides the configuration file.")
    ] = None,
) -> None:
    """Serve until SIGTERM; exits with status 2 if the configuration cannot be used."""
    try:
        loaded = load(config)
    except InvalidConfig as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from None
    level = log_level or (loaded.log.level if loaded.log is not None else "info")
    if level not in ("debug", "info", "warning", "error"):
        print(
            f"pulleyroute: --log-level: expected debug, info, warning or error, found {level!r}",
            file=sys.stderr,
        )
        raise typer.Exit(2)
    output_format = log_format or (loaded.log.format if loaded.log is not None else "text")
    log.set_up(level, structured=output_format == "json")
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        service = Service(loop, loaded)
    except CannotServe as exc:
        print(f"{config}: {exc}", file=sys.stderr)
        raise typer.Exit(2) from None
    loop.spawn(handle_signals(source, lambda: reload(service, config), service.stop), "signals")
    gc.freeze()
    # An ended call leaves a reference cycle of several objects. With these thresholds, few of them stay in
    # memory for long.
    gc.set_threshold(5_000, 5, 5)
    _log_listeners(service, loaded)
    if loaded.fleet is not None:
        from pulleyroute.service.joining import join

        join(loop, service, loaded)
    loop.run()
    sink.close()
    if service.exit_status:
        raise typer.Exit(service.exit_status)


def _log_listeners(service: Service, config: Config) -> None:
    """Log the address of each listener, and that the process has started."""
    for name, front in service.grpc_listeners.items():
        logger.bind(event="listening", listener=name, protocol="grpc").info(
            "listener {}: grpc on {}:{}", name, *front.address
        )
    for name, downstream in service.job_listeners.items():
        logger.bind(event="listening", listener=name, protocol="jobs").info(
            "listener {}: jobs on {}:{}", name, *downstream.address
        )
    logger.bind(event="started").info("pulleyroute {} as {}", __version__, config.name)


def reload(service: Service, path: Path) -> None:
    """Apply the current content of the file, as on SIGHUP.

    If it cannot be used, the mistakes are logged and the previous configuration stays in effect.
    """
    try:
        config = load(path)
        changes = service.apply(config)
    except (InvalidConfig, CannotServe) as exc:
        service.metrics.conf_invalid += 1
        for line in str(exc).splitlines():
            logger.bind(event="config.refused").error("configuration not read again: {}", line)
        return
    service.metrics.conf_loaded += 1
    for key in changes.needs_restart:
        logger.bind(event="config.restart", key=key).warning("a change of {} needs a restart", key)
    logger.bind(event="config.reloaded").info(
        "configuration read again: pools added {}, removed {}; listeners added {}, removed {}",
        *(
            ", ".join(names) or "none"
            for names in (
                changes.new_pools,
                changes.removed_pools,
                changes.new_listeners,
                changes.removed_listeners,
            )
        ),
    )
