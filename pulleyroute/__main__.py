"""The main program of the dispatcher: reads the configuration, builds the parts, and serves until SIGTERM.

SIGHUP reloads the configuration.
"""

from __future__ import annotations

import gc
import os
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from pulleyroute import __version__
from pulleyroute.interface import Settings
from pulleyroute.net import log
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.config import Config, ConfigError, load_config
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.downstream import Downstream
from pulleyroute.net.handover import Handover, handover_socket_path, inherited_listener
from pulleyroute.net.host import Host
from pulleyroute.net.instance import Instances
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import Loop
from pulleyroute.net.management import ADMIN_DESCRIPTORS, AdminListener, admin_routes
from pulleyroute.net.metrics import Gauges, Metrics
from pulleyroute.net.process import catch_signals, ensure_descriptors, handle_signals, on_error

RESERVED_DESCRIPTORS = 24  # for discovery, the listener and the process itself
# Shares of all other descriptors.
CLIENT_SHARE = 0.7  # accepted connections: clients and call-backs from instances
JOB_SHARE = 0.45  # clients that wait for a response, among the accepted connections
INSTANCE_SHARE = 0.3  # connections to instances
PROGRAM_MEMORY_MB = 22  # of the process without any requests
# Of the remaining memory. Each byte of a request is held up to three times while it is parsed and forwarded.
REQUEST_MEMORY_SHARE = 1 / 3
MEGABYTE = 1024 * 1024
MIN_DESCRIPTORS = 32  # that a process may use, however many another process still holds


def request_memory_bytes(config: Config, processes: int = 1) -> int:
    """Return how many bytes of requests a dispatcher of this many processes may hold."""
    return int(max(1, (config.memory_mb - PROGRAM_MEMORY_MB * processes) * REQUEST_MEMORY_SHARE) * MEGABYTE)


@dataclass(slots=True)
class Parts:
    """The parts of a dispatcher that a reload or the admin listener changes, and the limits of each."""

    config: Config
    ledger: Ledger
    discovery: DiscoveryClient
    instances: Instances
    clients: Downstream
    host: Host
    metrics: Metrics
    # Descriptors and bytes that another process of the same dispatcher holds; None if there is no other.
    peer_usage: tuple[int, int] | None = None

    # For the admin listener

    @property
    def phase(self) -> Phase:
        """The phase of the lifecycle."""
        return self.clients.lifecycle.phase

    def classes(self) -> list[str]:
        """Return the names of the current classes."""
        return [cls.name for cls in self.clients.settings.classes]

    def gauges(self) -> Gauges:
        """Return the current values of the gauges."""
        return Gauges(self.host.open_requests, self.discovery.size, self.host.avoided)

    def standby(self) -> None:
        """Drain the clients and keep running."""
        self.clients.standby()

    def active(self) -> None:
        """End the standby."""
        self.clients.active()

    # Settings and limits

    def adopt(self, settings: Settings) -> Settings:
        """Apply settings to all parts; returns the settings as applied."""
        settings = self.discovery.adopt(settings)
        for part in (self.instances, self.host, self.clients):
            part.adopt(settings)
        return settings

    def usage(self) -> tuple[int, int]:
        """Return the descriptors and the bytes that this process holds."""
        return reserved_descriptors(self.config) + self.clients.count + self.instances.count, self.ledger.held

    def set_peer_usage(self, usage: tuple[int, int] | None) -> None:
        """Set what another process of this dispatcher holds: one limit applies to both together."""
        self.peer_usage = usage
        self.apply_limits()

    def apply_limits(self) -> None:
        """Apply the limits of the configuration, less what another process holds."""
        budget, held, processes = descriptor_budget(self.config), 0, 1
        if self.peer_usage is not None:
            peer_descriptors, held = self.peer_usage
            budget, processes = max(MIN_DESCRIPTORS, budget - peer_descriptors), 2
        self.instances.set_connection_limit(int(budget * INSTANCE_SHARE))
        self.clients.set_limits(int(budget * CLIENT_SHARE), int(budget * JOB_SHARE))
        self.ledger.limit = max(MEGABYTE, request_memory_bytes(self.config, processes) - held)


def build(config: Config, loop: Loop, listener: socket.socket | None = None) -> Parts:
    """Build the parts of a dispatcher and open its listeners; raises ConfigError.

    If `listener` was inherited, another process may still serve on it. Clients are then accepted once that
    process has handed over, or does not answer.
    """
    pool, ledger = BufferPool(), Ledger(request_memory_bytes(config))
    epoch = time.time_ns() // 1000 - loop.now()
    discovery = DiscoveryClient(loop, pool, config.discovery, config.settings, epoch, config.seed + 1)
    metrics = Metrics()
    budget = descriptor_budget(config)
    instances = Instances(
        loop, pool, discovery, config.settings, int(budget * INSTANCE_SHARE), metrics, config.seed + 2
    )
    host = Host(loop, config.settings, config.seed, discovery, instances)
    if config.known is not None:
        try:
            discovery.load_known(config.known)
        except ValueError as exc:
            raise ConfigError(f"known: {exc}") from None
    clients = Downstream(
        loop,
        pool,
        ledger,
        host,
        config.settings,
        int(budget * CLIENT_SHARE),
        int(budget * JOB_SHARE),
        metrics,
    )
    parts = Parts(config, ledger, discovery, instances, clients, host, metrics)
    discovery.begin()
    if listener is None:
        # The listener opens at once, for `/-/ready` and call-backs. The process is ready once the list of
        # instances may be used.
        open_listener(config.listen, clients.listener.listen)
        discovery.freshness.when_usable(clients.lifecycle.serve)
    if config.management is not None:
        open_listener(config.management, AdminListener(loop, pool, admin_routes(parts)).listen)
    if listener is not None:
        handover_path = handover_socket_path(os.environ.get("TMPDIR") or "/tmp", listener)
        handover = Handover(loop, handover_path, clients, host, discovery, parts)
        loop.spawn(handover.take_over(listener), "hand-over start")
    return parts


def open_listener(address: tuple[str, int], listen: Callable[[tuple[str, int]], None]) -> None:
    """Open a listener; raises ConfigError if its address is not available."""
    try:
        listen(address)
    except OSError as exc:
        raise ConfigError(f"cannot listen on {address[0]}:{address[1]}: {exc.strerror}") from None


def reserved_descriptors(config: Config) -> int:
    """Return how many descriptors the process itself and the admin listener need."""
    return RESERVED_DESCRIPTORS + (ADMIN_DESCRIPTORS if config.management is not None else 0)


def descriptor_budget(config: Config) -> int:
    """Return how many descriptors there are for clients and instances."""
    return ensure_descriptors(config.sockets) - reserved_descriptors(config)


def reload(parts: Parts) -> None:
    """Reload the configuration on SIGHUP: apply all of it between two events, or nothing if it is invalid.

    Jobs, connections and the listed instances stay; an open job keeps the class that it was accepted with.
    """
    try:
        config = load_config(os.environ, parts.config)
    except ConfigError as exc:
        parts.metrics.conf_invalid += 1
        # An invalid file must not stop the service: the previous configuration stays.
        logger.bind(event="config.refused").error("configuration not read again: {}", exc)
        return
    old = parts.config
    logger.bind(event="config.reloaded").info(
        "configuration read again: discovery {}:{}, limits.sockets {}, limits.memory_mb {}, classes {}",
        *config.discovery,
        config.sockets,
        config.memory_mb,
        ", ".join(cls.name for cls in config.settings.classes),
    )
    for name in ("name", "listen", "management"):
        if getattr(config, name) != getattr(old, name):
            logger.warning("a change of {} needs a restart", name)
    parts.metrics.conf_loaded += 1
    parts.discovery.set_address(config.discovery)
    old.settings = parts.adopt(config.settings)
    old.discovery, old.sockets, old.memory_mb = config.discovery, config.sockets, config.memory_mb
    old.shape = config.shape
    parts.apply_limits()


def main() -> int:
    """Run the dispatcher; returns the exit status."""
    log.set_up(os.environ.get("PULLEYROUTE_LOG", "INFO"))
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        config = load_config(os.environ)
        inherited = os.environ.get("PROXY_FD")
        parts = build(config, loop, inherited_listener(inherited) if inherited else None)
    except (ConfigError, ValueError) as exc:
        print(f"pulleyroute: {exc}", file=sys.stderr)
        return 2
    loop.spawn(handle_signals(source, lambda: reload(parts), parts.clients.stop), "signals")
    gc.freeze()
    logger.bind(event="started").info(
        "pulleyroute {} as {} on {}:{}", __version__, config.name, *config.listen
    )
    loop.run()
    sink.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
