"""Builds the parts of a service, wires them, and moves a running one to another configuration, whole or not
at all."""

from __future__ import annotations

import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from pulleyroute.config import Config, Listener, Pool, pool_settings
from pulleyroute.config.build import known_list
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
from pulleyroute.service.changes import Plan, plan
from pulleyroute.service.withheld import FleetHost, Withheld

NOWHERE = ("127.0.0.1", 1)  # a static pool asks no discovery
RESERVE = 32  # descriptors for the listeners and the process itself
INSTANCE_SHARE = 0.3
JOB_SHARE = 0.45
READ_SHARE = 1 / 3
LOOK = 200_000  # between two looks at what is to end


class CannotServe(Exception):
    """The configuration is in form, but can't be put in force; the text is one plain line."""


@dataclass(slots=True)
class Running:
    """A pool in force."""

    pool: Pool
    settings: Settings
    discovery: DiscoveryClient
    host: FleetHost
    back: GrpcTransport | Instances
    withheld: Withheld
    revision: int = 1


class Service:
    """Owns the pools and listeners of one process, and what replaced ones still finish."""

    def __init__(self, loop: Loop, config: Config) -> None:
        self._loop = loop
        self._buffers = BufferPool()
        self._epoch = time.time_ns() // 1000 - loop.now()
        self._random = random.Random(config.seed)
        self.config: Config | None = None
        self.pools: dict[str, Running] = {}
        self.fronts: dict[str, Front] = {}
        self.clients: dict[str, Downstream] = {}
        self._retired: list[Running] = []
        self._leaving: list[Front] = []
        self._routes: Routes[Target] = Routes([])
        self.health = Health(lambda service: self._routes.serves(service.encode()))
        self._left: set[str] = set()
        self._marked: set[tuple[str, str]] = set()
        limits = config.limits
        sockets, memory = (limits.sockets, limits.memory) if limits is not None else (1024, 256 * 1024**2)
        self._budget = (
            ensure_descriptors(sockets)
            - RESERVE
            - (ADMIN_DESCRIPTORS if config.management is not None else 0)
        )
        self.metrics = Metrics()
        self._lifecycle = Lifecycle()
        self.status = 0  # that the process is to end with
        self.moved: Callable[[], None] = lambda: None  # hears of each change of phase
        loop.wakeup_pacing.pause_us = limits.rest if limits is not None else 50
        self._ledger = Ledger(int(memory * READ_SHARE))
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
        """What it is doing for its clients."""
        return self._lifecycle.phase

    def classes(self) -> list[str]:
        """The names of the classes in force."""
        return list(self.config.job_class) if self.config is not None else []

    def gauges(self) -> Gauges:
        """What is so at the moment, over all pools."""
        pools = list(self.pools.values())
        return Gauges(
            sum(each.host.open_requests for each in pools + self._retired),
            sum(each.discovery.size for each in pools),
            sum(each.host.avoided for each in pools),
        )

    def standby(self) -> None:
        """Drain, and stay: jobs' clients are sent elsewhere, and health says that nothing is served."""
        if self._lifecycle.standby(self._loop.now()):
            self.health.set_serving(False)
            for each in self.clients.values():
                each.standby()
            self.moved()

    def active(self) -> None:
        """Back to work."""
        if self._lifecycle.active():
            self.health.set_serving(True)
            for each in self.clients.values():
                each.active()
            self.moved()

    def leave(self, version: str) -> None:
        """End as `stop` does, to be started again by whoever runs it, as that version where one is named."""
        fleet = self.config.fleet if self.config is not None else None
        if fleet is None:
            return
        if version and fleet.version_file:
            try:
                Path(fleet.version_file).write_text(version + "\n")
            except OSError as exc:
                logger.bind(event="fleet.version_file").error(
                    "{} can't be written, the same version will come: {}", fleet.version_file, exc.strerror
                )
        self.status = fleet.restart_status
        self.stop()

    # For the fleet

    def runners(self, pool: str) -> list[Runner] | None:
        """The instances that discovery tells of in a pool; None where there is no such pool."""
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
        """Give these instances, each of a pool, nothing new from now on, and no others."""
        self._marked = marked
        for name, running in self.pools.items():
            running.withheld.set(frozenset(WorkerId(each.encode()) for pool, each in marked if pool == name))

    def busy(self, pool: str, runner: str) -> bool:
        """Whether anything of this process is out there, also of a pool that a reload has replaced."""
        instance = WorkerId(runner.encode())
        return any(
            running.host.out_at(instance)
            for running in (
                *([self.pools[pool]] if pool in self.pools else []),
                *(each for each in self._retired if each.pool.name == pool),
            )
        )

    def jobs(self) -> tuple[int, int]:
        """How many jobs were served, and how many have ended, since the start."""
        counts = [self.metrics.outcome_counts(name) for name in self.classes()]
        return sum(each[JobOutcome.ANSWERED] for each in counts), sum(sum(each.values()) for each in counts)

    # Configurations

    def apply(self, config: Config) -> Plan:
        """Put a configuration in force; raises `CannotServe`, and then the one before goes on untouched."""
        made = plan(self.config, config)
        server, client = self._contexts(config)
        pools = {name: self.pools[name] for name in made.kept_pools}
        for name in made.new_pools:
            pools[name] = self._pool(config, config.pool[name], client.get(name))
        routes = self._route(config, pools)
        fronts: dict[str, Front] = {}
        clients: dict[str, Downstream] = {}
        try:
            for name in made.new_listeners:
                self._listen(name, config.listener[name], pools, routes, server.get(name), fronts, clients)
        except OSError as exc:
            for front in fronts.values():
                front.stop()
            for each in clients.values():
                each.stop()
            raise CannotServe(
                f"listener {name}: cannot listen on {config.listener[name].address[0]}:"
                f"{config.listener[name].address[1]}: {exc.strerror}"
            ) from None
        # From here on nothing fails: the change takes effect between two events of the loop, all of it.
        for name in made.kept_pools:
            self._renew(self.pools[name], config.pool[name], client.get(name))
        for name in made.gone_pools:
            old = self.pools[name]
            old.host.retired = True
            self._retired.append(old)
        for name in made.gone_listeners:
            self._let_go(name)
        self._routes = routes
        for name in made.kept_listeners:
            if name in self.fronts:
                self.fronts[name].apply(routes, front_limits(config.listener[name]), server.get(name))
        self.pools = pools
        self.withhold(self._marked)
        self.fronts.update(fronts)
        self.clients.update(clients)
        self.config = config
        if self._retired or self._leaving:
            self._loop.call_at(self._loop.now() + LOOK, self._clear)
        return made

    def _contexts(self, config: Config) -> tuple[dict[str, ssl.SSLContext], dict[str, ssl.SSLContext]]:
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

    def _pool(self, config: Config, pool: Pool, context: ssl.SSLContext | None) -> Running:
        settings = pool_settings(config, pool)
        discovery = DiscoveryClient(
            self._loop,
            self._buffers,
            pool.discovery or NOWHERE,
            settings,
            self._epoch,
            self._random.getrandbits(64),
        )
        back: GrpcTransport | Instances
        if pool.protocol == "grpc":
            limits = Limits(
                window=pool.window, ping_after=pool.ping_after, ping_timeout=pool.ping_patience, idle=0
            )
            back = GrpcTransport(
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
            back = Instances(
                self._loop,
                self._buffers,
                discovery,
                settings,
                int(self._budget * INSTANCE_SHARE),
                self.metrics,
            )
        host = FleetHost(self._loop, settings, self._random.getrandbits(64), discovery, back)
        if isinstance(back, GrpcTransport):
            back.host = host
        withheld = Withheld(host.post)
        discovery.on_update = withheld.hear
        running = Running(pool, settings, discovery, host, back, withheld)
        if pool.instance:
            discovery.load_known(known_list(pool, running.revision))
        else:
            discovery.load_known({"revision": 0, "complete": True, "members": []})
            # At once: the decisions would ask within 2.5 s, spread for the sake of many that start together,
            # and until then there is nobody to take a job.
            discovery.watch(True)
        return running

    def _renew(self, running: Running, pool: Pool, context: ssl.SSLContext | None) -> None:
        """A pool that stays: its instances, its discovery, its certificates."""
        if pool.instance and pool.instance != running.pool.instance:
            running.revision += 1
            running.discovery.load_known(known_list(pool, running.revision))
        if pool.discovery is not None and pool.discovery != running.pool.discovery:
            running.discovery.set_address(pool.discovery)
        if isinstance(running.back, GrpcTransport):
            running.back.context = context
            running.back.server_name = pool.tls.server_name if pool.tls is not None else ""
        running.pool = pool

    def _route(self, config: Config, pools: dict[str, Running]) -> Routes[Target]:
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

    def _listen(
        self,
        name: str,
        listener: Listener,
        pools: dict[str, Running],
        routes: Routes[Target],
        context: ssl.SSLContext | None,
        fronts: dict[str, Front],
        clients: dict[str, Downstream],
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
            fronts[name] = front
            return
        running = pools[listener.pool]
        limits = listener.limits or ListenerLimits()
        most = min(limits.connections, int(self._budget * (1 - INSTANCE_SHARE)))
        each = Downstream(
            self._loop,
            self._buffers,
            self._ledger,
            running.host,
            running.settings,
            most,
            min(limits.calls, int(self._budget * JOB_SHARE)),
            self.metrics,
        )
        each.on_drained = lambda: self._left.add(name)
        each.listen(listener.address)
        if self.phase is Phase.STANDBY:
            each.standby()
        clients[name] = each

    def _let_go(self, name: str) -> None:
        front = self.fronts.pop(name, None)
        if front is not None:
            front.stop()
            self._leaving.append(front)
        jobs = self.clients.pop(name, None)
        if jobs is not None:
            jobs.on_drained = jobs.listener.close
            jobs.stop()

    def _clear(self) -> None:
        """Forget replaced parts once they have finished."""
        for running in list(self._retired):
            if not running.host.tracked_requests:
                if isinstance(running.back, GrpcTransport):
                    running.back.close()
                running.discovery.watch(False)
                self._retired.remove(running)
        self._leaving = [front for front in self._leaving if not front.idle]
        if self._retired or self._leaving:
            self._loop.call_at(self._loop.now() + LOOK, self._clear)

    # Stopping

    def stop(self) -> None:
        """Nothing new; what is out finishes, bounded by each listener's drain; then the loop stops."""
        if not self._lifecycle.end(self._loop.now(), 0):
            return
        self.health.set_serving(False)
        self.moved()
        for front in self.fronts.values():
            front.stop()
        for each in self.clients.values():
            each.stop()
        self._leave()

    def _leave(self) -> None:
        if all(front.idle for front in self.fronts.values()) and self._left >= set(self.clients):
            logger.bind(event="stopped").info("all is answered, leaving")
            self._loop.stop()
        else:
            self._loop.call_at(self._loop.now() + LOOK // 4, self._leave)


def front_limits(listener: Listener) -> FrontLimits:
    """A listener's limits as its front takes them."""
    each = listener.limits or ListenerLimits()
    return FrontLimits(
        each.connections,
        each.calls,
        each.message,
        each.replay,
        each.memory,
        each.drain,
        Limits(streams=each.streams, window=each.window, header_bytes=each.header, idle=each.idle),
    )
