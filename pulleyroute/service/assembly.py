"""Builds and connects the parts of a service, and applies another configuration to a running one.

A configuration takes effect completely or not at all.
"""

from __future__ import annotations

import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from pulleyroute.config import Config, Listener, Pool, pool_settings
from pulleyroute.config.build import static_instance_list
from pulleyroute.config.types import ListenerLimits
from pulleyroute.fleet.runners import Runner
from pulleyroute.grpc import Front, FrontLimits, GrpcTransport, Match, Routes
from pulleyroute.grpc.front import Target
from pulleyroute.grpc.health import Health
from pulleyroute.interface import Settings, WorkerId
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.downstream import Downstream
from pulleyroute.net.http2 import Limits
from pulleyroute.net.instance import Instances
from pulleyroute.net.lifecycle import Lifecycle, Phase
from pulleyroute.net.loop import Loop
from pulleyroute.net.management import ADMIN_DESCRIPTORS, AdminListener, admin_routes
from pulleyroute.net.metrics import Gauges, JobOutcome, Metrics
from pulleyroute.net.process import ensure_descriptors
from pulleyroute.net.tls import CertificateFiles, client_context, server_context
from pulleyroute.service.changes import ChangePlan, plan_changes
from pulleyroute.service.withheld import FleetHost, WithheldInstances

UNUSED_ADDRESS = ("127.0.0.1", 1)  # the discovery address of a pool with a fixed list, never contacted
RESERVED_DESCRIPTORS = 32  # for the listeners and the process itself
INSTANCE_CONNECTIONS_SHARE = 0.3  # of the descriptors, for connections to the instances of a pool of jobs
OPEN_JOBS_SHARE = 0.45  # of the descriptors, as the most open jobs of a listener
REQUEST_MEMORY_SHARE = 1 / 3  # of the memory limit, for the request bytes of jobs
POLL_INTERVAL_US = 200_000  # between two checks of whether replaced parts have finished


class CannotServe(Exception):
    """Raised for a valid configuration that cannot be applied; the text is one line."""


@dataclass(slots=True)
class PoolRuntime:
    """A pool with the objects that run it."""

    pool: Pool
    settings: Settings
    discovery: DiscoveryClient
    host: FleetHost
    transport: GrpcTransport | Instances
    withheld: WithheldInstances
    revision: int = 1


class Service:
    """Owns the pools and listeners of one process, and replaced ones until their open requests have ended."""

    def __init__(self, loop: Loop, config: Config) -> None:
        self._loop = loop
        self._buffers = BufferPool()
        self._clock_offset = time.time_ns() // 1000 - loop.now()
        self._random = random.Random(config.seed)
        self.config: Config | None = None
        self.pools: dict[str, PoolRuntime] = {}
        self.grpc_listeners: dict[str, Front] = {}
        self.job_listeners: dict[str, Downstream] = {}
        self._retired_pools: list[PoolRuntime] = []
        self._stopping_fronts: list[Front] = []
        self._routes: Routes[Target] = Routes([])
        self.health = Health(lambda service: self._routes.serves(service.encode()))
        self._drained_job_listeners: set[str] = set()
        self._withheld_runners: set[tuple[str, str]] = set()
        limits = config.limits
        sockets, memory = (limits.sockets, limits.memory) if limits is not None else (1024, 256 * 1024**2)
        self._descriptor_budget = (
            ensure_descriptors(sockets)
            - RESERVED_DESCRIPTORS
            - (ADMIN_DESCRIPTORS if config.management is not None else 0)
        )
        self.metrics = Metrics()
        self._lifecycle = Lifecycle()
        self.exit_status = 0  # the exit status of the process once the loop has stopped
        self.on_phase_change: Callable[[], None] = lambda: None  # called after each change of phase
        loop.wakeup_pacing.pause_us = limits.rest if limits is not None else 50
        self._ledger = Ledger(int(memory * REQUEST_MEMORY_SHARE))
        self.apply(config)
        if config.management is not None:
            try:
                AdminListener(loop, self._buffers, admin_routes(self)).listen(config.management)
            except OSError as exc:
                raise CannotServe(
                    "management: cannot listen on {}:{}: {}".format(*config.management, exc.strerror)
                ) from None
        self._lifecycle.serve()

    # For the admin listener

    @property
    def phase(self) -> Phase:
        """What the service does for its clients."""
        return self._lifecycle.phase

    def classes(self) -> list[str]:
        """Return the names of the classes of the current configuration."""
        return list(self.config.job_class) if self.config is not None else []

    def gauges(self) -> Gauges:
        """Return the current values of the gauges, summed over all pools."""
        pools = list(self.pools.values())
        return Gauges(
            sum(each.host.open_requests for each in pools + self._retired_pools),
            sum(each.discovery.size for each in pools),
            sum(each.host.avoided for each in pools),
        )

    def standby(self) -> None:
        """Drain, but keep the process running.

        The job listeners report not ready and close their connections; gRPC health checks report not serving.
        """
        if self._lifecycle.standby(self._loop.now()):
            self.health.set_serving(False)
            for each in self.job_listeners.values():
                each.standby()
            self.on_phase_change()

    def active(self) -> None:
        """Return from standby to service."""
        if self._lifecycle.active():
            self.health.set_serving(True)
            for each in self.job_listeners.values():
                each.active()
            self.on_phase_change()

    def leave(self, version: str) -> None:
        """Stop with the exit status that asks the supervisor for a restart; does nothing outside a fleet.

        A version that is not empty is written to the version file for the supervisor to start.
        """
        fleet = self.config.fleet if self.config is not None else None
        if fleet is None:
            return
        if version and fleet.version_file:
            try:
                Path(fleet.version_file).write_text(version + "\n")
            except OSError as exc:
                logger.bind(event="fleet.version_file").error(
                    "cannot write {}, so the same version will be started again: {}",
                    fleet.version_file,
                    exc.strerror,
                )
        self.exit_status = fleet.restart_status
        self.stop()

    # For the fleet

    def runners(self, pool: str) -> list[Runner] | None:
        """Return the instances in the list of a pool; None if there is no such pool."""
        running = self.pools.get(pool)
        if running is None:
            return None
        return [
            Runner(
                str(entry["id"]),
                str(entry.get("locality", "")),
                str(entry.get("flavor", "")),
                entry.get("phase") == "active",
            )
            for entry in running.discovery.entries()
        ]

    def withhold(self, marked: set[tuple[str, str]]) -> None:
        """Send no new work to these instances, given as pairs of pool and name. Replaces the previous set."""
        self._withheld_runners = marked
        for name, running in self.pools.items():
            running.withheld.withhold(
                frozenset(WorkerId(each.encode()) for pool, each in marked if pool == name)
            )

    def busy(self, pool: str, runner: str) -> bool:
        """Whether this process has an open attempt at an instance, including those of replaced pools."""
        instance = WorkerId(runner.encode())
        return any(
            running.host.open_attempts_at(instance)
            for running in (
                *([self.pools[pool]] if pool in self.pools else []),
                *(each for each in self._retired_pools if each.pool.name == pool),
            )
        )

    def jobs(self) -> tuple[int, int]:
        """Return how many jobs were served since the process started, and how many have ended in any way."""
        counts = [self.metrics.outcome_counts(name) for name in self.classes()]
        return sum(each[JobOutcome.ANSWERED] for each in counts), sum(sum(each.values()) for each in counts)

    # Configurations

    def apply(self, config: Config) -> ChangePlan:
        """Apply a configuration and return what changed.

        Raises `CannotServe` if that is not possible; the previous configuration then stays in effect.
        """
        changes = plan_changes(self.config, config)
        server, client = self._tls_contexts(config)
        pools = {name: self.pools[name] for name in changes.kept_pools}
        for name in changes.new_pools:
            pools[name] = self._build_pool(config, config.pool[name], client.get(name))
        routes = self._build_routes(config, pools)
        new_fronts: dict[str, Front] = {}
        new_downstreams: dict[str, Downstream] = {}
        try:
            for name in changes.new_listeners:
                self._open_listener(
                    name, config.listener[name], pools, routes, server.get(name), new_fronts, new_downstreams
                )
        except OSError as exc:
            for front in new_fronts.values():
                front.stop()
            for downstream in new_downstreams.values():
                downstream.stop()
            raise CannotServe(
                f"listener {name}: cannot listen on {config.listener[name].address[0]}:"
                f"{config.listener[name].address[1]}: {exc.strerror}"
            ) from None
        # Nothing below can fail, so the whole change takes effect between two events of the loop.
        for name in changes.kept_pools:
            self._update_pool(self.pools[name], config.pool[name], client.get(name))
        for name in changes.removed_pools:
            old = self.pools[name]
            old.host.retired = True
            self._retired_pools.append(old)
        for name in changes.removed_listeners:
            self._stop_listener(name)
        self._routes = routes
        for name in changes.kept_listeners:
            if name in self.grpc_listeners:
                self.grpc_listeners[name].apply(routes, front_limits(config.listener[name]), server.get(name))
        self.pools = pools
        self.withhold(self._withheld_runners)
        self.grpc_listeners.update(new_fronts)
        self.job_listeners.update(new_downstreams)
        self.config = config
        if self._retired_pools or self._stopping_fronts:
            self._loop.call_at(self._loop.now() + POLL_INTERVAL_US, self._remove_finished)
        return changes

    def _tls_contexts(self, config: Config) -> tuple[dict[str, ssl.SSLContext], dict[str, ssl.SSLContext]]:
        server, client = {}, {}
        try:
            for name, listener in config.listener.items():
                if listener.tls is not None:
                    tls = listener.tls
                    server[name] = server_context(CertificateFiles(tls.certificate, tls.key, tls.clients))
            for name, pool in config.pool.items():
                if pool.tls is not None:
                    client[name] = client_context(pool.tls.ca)
        except ValueError as exc:
            raise CannotServe(str(exc)) from None
        return server, client

    def _build_pool(self, config: Config, pool: Pool, context: ssl.SSLContext | None) -> PoolRuntime:
        settings = pool_settings(config, pool)
        discovery = DiscoveryClient(
            self._loop,
            self._buffers,
            pool.discovery or UNUSED_ADDRESS,
            settings,
            self._clock_offset,
            self._random.getrandbits(64),
        )
        transport: GrpcTransport | Instances
        if pool.protocol == "grpc":
            limits = Limits(
                window=pool.window, ping_after=pool.ping_after, ping_timeout=pool.ping_patience, idle=0
            )
            transport = GrpcTransport(
                self._loop,
                self._buffers,
                discovery,
                settings,
                limits,
                pool.slots,
                pool.message,
                context,
                pool.tls.server_name if pool.tls is not None else "",
                self.metrics,
            )
        else:
            transport = Instances(
                self._loop,
                self._buffers,
                discovery,
                settings,
                int(self._descriptor_budget * INSTANCE_CONNECTIONS_SHARE),
                self.metrics,
            )
        host = FleetHost(self._loop, settings, self._random.getrandbits(64), discovery, transport)
        if isinstance(transport, GrpcTransport):
            transport.host = host
        withheld = WithheldInstances(host.post)
        discovery.on_update = withheld.on_list_update
        running = PoolRuntime(pool, settings, discovery, host, transport, withheld)
        if pool.instance:
            discovery.load_known(static_instance_list(pool, running.revision))
        else:
            discovery.load_known({"revision": 0, "complete": True, "members": []})
            # The watch is opened immediately. The decision module would ask for the list within 2.5 s, a
            # delay that spreads the requests of many processes that start together, and until the list
            # arrives no instance is known that could take a job.
            discovery.watch(True)
        return running

    def _update_pool(self, running: PoolRuntime, pool: Pool, context: ssl.SSLContext | None) -> None:
        """Update the instances, the discovery address and the certificates of a pool that is kept."""
        if pool.instance and pool.instance != running.pool.instance:
            running.revision += 1
            running.discovery.load_known(static_instance_list(pool, running.revision))
        if pool.discovery is not None and pool.discovery != running.pool.discovery:
            running.discovery.set_address(pool.discovery)
        if isinstance(running.transport, GrpcTransport):
            running.transport.context = context
            running.transport.server_name = pool.tls.server_name if pool.tls is not None else ""
        running.pool = pool

    def _build_routes(self, config: Config, pools: dict[str, PoolRuntime]) -> Routes[Target]:
        numbers = {name: number for number, name in enumerate(config.job_class)}
        return Routes(
            [
                (
                    Match(route.service, route.method, route.prefix),
                    Target(
                        pools[route.pool].host,
                        numbers[route.job_class],
                        config.job_class[route.job_class].give_up,
                        name,
                        route.job_class,
                    ),
                )
                for name, route in config.route.items()
            ]
        )

    def _open_listener(
        self,
        name: str,
        listener: Listener,
        pools: dict[str, PoolRuntime],
        routes: Routes[Target],
        context: ssl.SSLContext | None,
        new_fronts: dict[str, Front],
        new_downstreams: dict[str, Downstream],
    ) -> None:
        if listener.protocol == "grpc":
            front = Front(
                self._loop,
                self._buffers,
                routes,
                front_limits(listener),
                self.health,
                context,
                name,
                self.metrics,
            )
            front.listen(listener.address)
            new_fronts[name] = front
            return
        running = pools[listener.pool]
        limits = listener.limits or ListenerLimits()
        max_connections = min(
            limits.connections, int(self._descriptor_budget * (1 - INSTANCE_CONNECTIONS_SHARE))
        )
        downstream = Downstream(
            self._loop,
            self._buffers,
            self._ledger,
            running.host,
            running.settings,
            max_connections,
            min(limits.calls, int(self._descriptor_budget * OPEN_JOBS_SHARE)),
            self.metrics,
        )
        downstream.on_drained = lambda: self._drained_job_listeners.add(name)
        downstream.listen(listener.address)
        if self.phase is Phase.STANDBY:
            downstream.standby()
        new_downstreams[name] = downstream

    def _stop_listener(self, name: str) -> None:
        front = self.grpc_listeners.pop(name, None)
        if front is not None:
            front.stop()
            self._stopping_fronts.append(front)
        downstream = self.job_listeners.pop(name, None)
        if downstream is not None:
            downstream.on_drained = downstream.listener.close
            downstream.stop()

    def _remove_finished(self) -> None:
        """Drop replaced pools and listeners that have finished."""
        for running in list(self._retired_pools):
            if not running.host.tracked_requests:
                if isinstance(running.transport, GrpcTransport):
                    running.transport.close()
                running.discovery.watch(False)
                self._retired_pools.remove(running)
        self._stopping_fronts = [front for front in self._stopping_fronts if not front.idle]
        if self._retired_pools or self._stopping_fronts:
            self._loop.call_at(self._loop.now() + POLL_INTERVAL_US, self._remove_finished)

    # Stopping

    def stop(self) -> None:
        """Accept nothing new, finish open requests within each listener's drain time, then stop the loop."""
        if not self._lifecycle.end(self._loop.now(), 0):
            return
        self.health.set_serving(False)
        self.on_phase_change()
        for front in self.grpc_listeners.values():
            front.stop()
        for each in self.job_listeners.values():
            each.stop()
        self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        if all(front.idle for front in self.grpc_listeners.values()) and self._drained_job_listeners >= set(
            self.job_listeners
        ):
            logger.bind(event="stopped").info("all requests are answered, stopping")
            self._loop.stop()
        else:
            self._loop.call_at(self._loop.now() + POLL_INTERVAL_US // 4, self._stop_when_idle)


def front_limits(listener: Listener) -> FrontLimits:
    """Convert the limits of a gRPC listener to those of its `Front`."""
    limits = listener.limits or ListenerLimits()
    return FrontLimits(
        limits.connections,
        limits.calls,
        limits.message,
        limits.replay,
        limits.memory,
        limits.drain,
        Limits(streams=limits.streams, window=limits.window, header_bytes=limits.header, idle=limits.idle),
    )
