"""The real dispatcher: reads its configuration, sets up the parts, serves until SIGTERM.

SIGHUP reads the configuration again.
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
from pulleyroute.net.management import DESCRIPTORS, Management, verbs
from pulleyroute.net.metrics import Gauges, Metrics
from pulleyroute.net.process import catch_signals, descriptors, heeding, on_error

# How the descriptors are shared out. What is left is for discovery, the listener and the process itself.
RESERVED_DESCRIPTORS = 24
CLIENT_SHARE = 0.7  # accepted connections: clients and the instances' calls
JOB_SHARE = 0.45  # of all: clients that wait for an answer
INSTANCE_SHARE = 0.3
# Of the memory, what the program takes by itself; of the rest this share may be requests as they were read,
# since a byte of them is held up to three times over while it is parsed and sent on.
PROGRAM_MEMORY_MB = 22
REQUEST_MEMORY_SHARE = 1 / 3
MEGABYTE = 1024 * 1024
MIN_DESCRIPTORS = 32  # descriptors that a process may use, whatever another one still holds


def request_memory_bytes(config: Config, processes: int = 1) -> int:
    """How many bytes of requests may be held, where so many processes are one dispatcher."""
    return int(max(1, (config.memory_mb - PROGRAM_MEMORY_MB * processes) * REQUEST_MEMORY_SHARE) * MEGABYTE)


@dataclass(slots=True)
class Parts:
    """A dispatcher's parts that a signal concerns, and what each of them may hold."""

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
        """What it is doing for its clients."""
        return self.clients.lifecycle.phase

    def classes(self) -> list[str]:
        """The names of the classes in force."""
        return [cls.name for cls in self.clients.settings.classes]

    def gauges(self) -> Gauges:
        """What is so at the moment."""
        return Gauges(self.host.open, self.discovery.size, self.host.avoided)

    def standby(self) -> None:
        """Drain, and stay."""
        self.clients.standby()

    def active(self) -> None:
        """Back to work."""
        self.clients.active()

    # What is in force

    def adopt(self, settings: Settings) -> Settings:
        """Other settings, in all the parts at once: as they are in force."""
        settings = self.discovery.adopt(settings)
        for part in (self.instances, self.host, self.clients):
            part.adopt(settings)
        return settings

    def usage(self) -> tuple[int, int]:
        """Descriptors and bytes that this process holds."""
        return reserved_descriptors(self.config) + self.clients.count + self.instances.count, self.ledger.held

    def set_peer_usage(self, usage: tuple[int, int] | None) -> None:
        """Another process of this dispatcher holds so much: all that both hold is within one limit."""
        self.peer_usage = usage
        self.apply_limits()

    def apply_limits(self) -> None:
        """Put the limits of the configuration in force."""
        budget, held, processes = descriptor_budget(self.config), 0, 1
        if self.peer_usage is not None:
            theirs, held = self.peer_usage
            budget, processes = max(MIN_DESCRIPTORS, budget - theirs), 2
        self.instances.allow(int(budget * INSTANCE_SHARE))
        self.clients.allow(int(budget * CLIENT_SHARE), int(budget * JOB_SHARE))
        self.ledger.most = max(MEGABYTE, request_memory_bytes(self.config, processes) - held)


def build(config: Config, loop: Loop, listener: socket.socket | None = None) -> Parts:
    """The parts of a dispatcher, wired and listening.

    With a listener from outside there may be another process that serves there: clients are taken once that
    has handed over, or does not answer.
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
        # Open from the start, for `/-/ready` and call-backs; clients are wanted once the list may be used.
        open_listener(config.listen, clients.listener.listen)
        discovery.freshness.when_usable(clients.lifecycle.serve)
    if config.management is not None:
        open_listener(config.management, Management(loop, pool, verbs(parts)).listen)
    if listener is not None:
        meeting = handover_socket_path(os.environ.get("TMPDIR") or "/tmp", listener)
        handover = Handover(loop, meeting, clients, host, discovery, parts)
        loop.spawn(handover.take_over(listener), "hand-over start")
    return parts


def open_listener(address: tuple[str, int], listen: Callable[[tuple[str, int]], None]) -> None:
    """Open a listener; raises ConfigError where its address can't be had."""
    try:
        listen(address)
    except OSError as exc:
        raise ConfigError(f"cannot listen on {address[0]}:{address[1]}: {exc.strerror}") from None


def reserved_descriptors(config: Config) -> int:
    """How many descriptors are for the process itself and the admin listener."""
    return RESERVED_DESCRIPTORS + (DESCRIPTORS if config.management is not None else 0)


def descriptor_budget(config: Config) -> int:
    """How many descriptors are for clients and instances."""
    return descriptors(config.sockets) - reserved_descriptors(config)


def reload(parts: Parts) -> None:
    """SIGHUP: move to what the file says now, all of it between two events, or stay as it was.

    Jobs, connections and the listed instances stay; an open job keeps the class it was taken under.
    """
    try:
        config = load_config(os.environ, parts.config)
    except ConfigError as exc:
        parts.metrics.conf_invalid += 1
        # Guards the service against a file that can't be used: what is in force goes on.
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
    parts.discovery.move(config.discovery)
    old.settings = parts.adopt(config.settings)
    old.discovery, old.sockets, old.memory_mb = config.discovery, config.sockets, config.memory_mb
    old.shape = config.shape
    parts.apply_limits()


def main() -> int:
    log.set_up(os.environ.get("PULLEYROUTE_LOG", "INFO"))
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        config = load_config(os.environ)
        given = os.environ.get("PROXY_FD")
        parts = build(config, loop, inherited_listener(given) if given else None)
    except (ConfigError, ValueError) as exc:
        print(f"pulleyroute: {exc}", file=sys.stderr)
        return 2
    loop.spawn(heeding(source, lambda: reload(parts), parts.clients.stop), "signals")
    gc.freeze()
    logger.bind(event="started").info(
        "pulleyroute {} as {} on {}:{}", __version__, config.name, *config.listen
    )
    loop.run()
    sink.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
