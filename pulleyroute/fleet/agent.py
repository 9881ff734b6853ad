"""Joins a running service to its fleet: registration, heartbeats, and requests carried out under a permit.

The agent mirrors the group's records, gets its next step from `drains.step` and carries it out; all decisions
are made by code without I/O. The service never waits for the agent and goes on with its jobs whatever happens
to the store. Without the store the process neither leaves service on request nor writes any record.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from loguru import logger

from pulleyroute.fleet import drains, records, release, runners
from pulleyroute.fleet.drains import Action, Bounds, Step
from pulleyroute.fleet.records import Keys, Snapshot
from pulleyroute.fleet.runners import Runner, RunnerBounds
from pulleyroute.fleet.store import (
    Client,
    Compacted,
    Item,
    Json,
    Lease,
    StoreRejected,
    StoreUnavailable,
    compare_created,
    compare_unchanged,
    delete,
    item_at,
    put,
)
from pulleyroute.net.backoff import Backoff
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.lifecycle import NEVER, Phase
from pulleyroute.net.loop import Coroutine, Loop, Task, Wait

WATCH_TIMEOUT_US = 10_000_000  # after which a watch without messages counts as broken
COMMIT_TIMEOUT_US = 3_000_000  # for one transaction with its retries
MIN_CONFLICT_PAUSE_US, MAX_CONFLICT_PAUSE_US = 20_000, 1_000_000  # after a conflict with another change
MIN_RECONNECT_PAUSE_US, MAX_RECONNECT_PAUSE_US = 100_000, 3_000_000  # between attempts to reach the store
EXTENSIONS_PER_LEASE = 3  # a lease is extended each time this part of it has passed
HISTORY_ENTRIES = 1000  # that are kept
HISTORY_ENTRIES_DELETED = 4  # at most, with each new one
HEALTH_INTERVAL_US = 2_000_000  # between reports of job counts during a release
BUSY_CHECK_INTERVAL_US = 100_000  # between checks for work left at a drained runner
MAX_SNAPSHOT_AGE_US = 1_000_000  # of the records on which a process leaves service; older ones are read again


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """A process's place in its fleet and the limits, from the configuration. `lease`: seconds."""

    group: str
    member: str
    zone: str = ""
    region: str = ""
    version: str = ""
    lease: int = 5
    bounds: Bounds = field(default_factory=Bounds)
    runner_bounds: RunnerBounds = field(default_factory=RunnerBounds)


class ManagedService(Protocol):
    """The service that the agent represents in the fleet.

    `standby` and `active` change its phase; `leave` ends the process, so that the platform starts it with the
    version. `runners` returns a pool's runners as reported by discovery, None for an unknown pool. `withhold`
    replaces the set of runners that get no new work. `busy` returns whether work is left at a runner. `jobs`
    returns how many jobs were served and how many have ended since the start.
    """

    @property
    def phase(self) -> Phase: ...
    def standby(self) -> None: ...
    def active(self) -> None: ...
    def leave(self, version: str) -> None: ...
    def runners(self, pool: str) -> list[Runner] | None: ...
    def withhold(self, drained: set[records.RunnerKey]) -> None: ...
    def busy(self, pool: str, runner: str) -> bool: ...
    def jobs(self) -> tuple[int, int]: ...


class Agent:
    """Owns the mirror of the group's records, the lease and the process's own records."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        store: list[tuple[str, int]],
        settings: MemberSettings,
        service: ManagedService,
        seed: int,
    ) -> None:
        self._loop, self._settings, self._service = loop, settings, service
        self._random = Random(seed)
        self.client = Client(loop, pool, store, self._random.getrandbits(64))
        self._keys = Keys(settings.group)
        self._token = f"{self._random.getrandbits(64):016x}"
        self._incarnation: int | None = None
        self._lease: Lease | None = None
        self._extend_at = 0  # when the lease is to be extended
        self._mirror: dict[bytes, Item] = {}
        self._updates_during_read: dict[bytes, Item] | None = None  # of the watch; None outside of a read
        self._read_revision = 0  # of the last read of all records
        self._read_requested_at = 0  # time of its request
        self._snapshot: Snapshot | None = None  # of the mirror; None if that has changed since
        self._unreadable: set[str] = set()  # keys that were logged as unreadable
        self._watch: Task | None = None
        self._watch_error: Exception | None = None  # that ended the watch
        self._idle = self._changed = False
        self._planned = False  # on standby because of a request
        self._wave_progress = release.WaveProgress()
        self._health_at = 0  # when job counts are to be reported next
        self._withheld: set[records.RunnerKey] = set()
        self._check_at = NEVER  # when drained runners or the release are to be checked again
        self._disconnected = False  # the store can't be reached, and this has been logged
        self._values_written = 0
        self._conflicts = Backoff(MIN_CONFLICT_PAUSE_US, MAX_CONFLICT_PAUSE_US, self._random)
        self._logged_reason = ""  # of the last step
        self._task = Task(loop, self._run(), "fleet")

    def start(self) -> None:
        """Start the agent's task."""
        self._task.start()

    def on_phase_change(self) -> None:
        """Report the service's new phase; to be called after each change of it."""
        self._changed = True
        if self._idle:
            # Waking the task ends whatever wait it is in, and during a call that would abort the call.
            self._task.wake()

    # Connection to the store

    def _run(self) -> Coroutine[None]:
        pause = Backoff(MIN_RECONNECT_PAUSE_US, MAX_RECONNECT_PAUSE_US, self._random)
        short_sessions = Backoff(MIN_RECONNECT_PAUSE_US, MAX_RECONNECT_PAUSE_US, self._random)
        while True:
            started_at = self._loop.now()
            try:
                yield from self._session(pause)
                if self._loop.now() - started_at < MAX_RECONNECT_PAUSE_US:
                    # A store that answers but ends every watch would otherwise be read without a pause.
                    yield Wait(until=self._loop.now() + short_sessions.failed())
                else:
                    short_sessions.succeeded()
            except (StoreUnavailable, StoreRejected) as exc:
                if isinstance(exc, StoreRejected):
                    self._lease = None  # a store that lost its data doesn't know the lease
                if not self._disconnected:
                    self._disconnected = True
                    logger.bind(event="fleet.lost").warning(
                        "fleet: store unavailable, requests are not carried out until it returns: {}", exc
                    )
                # The random pause keeps the members from reconnecting all at once.
                yield Wait(until=self._loop.now() + pause.failed())
            except Compacted:
                pass  # the next session reads all records again
            finally:
                if self._watch is not None:
                    self._watch.cancel()
                    self._watch = None

    def _session(self, pause: Backoff) -> Coroutine[None]:
        yield from self._read_all()
        pause.succeeded()
        if self._disconnected:
            self._disconnected = False
            logger.bind(event="fleet.back").info("fleet: store available again")
        self._watch_error = None
        self._watch = self._loop.spawn(self._run_watch(self._read_revision + 1), "fleet watch")
        while self._watch_error is None:
            self._changed = False
            yield from self._send_heartbeat()
            yield from self._take_step()
            yield from self._drain_runners()
            yield from self._run_release()
            if not self._changed and self._watch_error is None:
                self._idle = True
                yield Wait(until=min(self._extend_at, self._check_at))
                self._idle = False
        if isinstance(self._watch_error, Compacted):
            raise self._watch_error

    def _read_all(self) -> Coroutine[None]:
        """Read all records of the group into the mirror."""
        requested_at = self._loop.now()
        updates = self._updates_during_read = {}
        try:
            revision, items = yield from self.client.range(self._keys.prefix, self._keys.end)
        finally:
            self._updates_during_read = None
        regressed = revision < self._read_revision
        if regressed:
            logger.bind(event="fleet.regressed", revision=revision).warning(
                "fleet: the store's revision decreased from {} to {}", self._read_revision, revision
            )
        self._mirror = {item.key: item for item in items}
        if not regressed:
            # The watch may be ahead of the answer, and doesn't repeat the updates that it has delivered.
            self._mirror.update({key: item for key, item in updates.items() if item.mod_revision > revision})
        self._read_revision, self._read_requested_at, self._snapshot = revision, requested_at, None

    def _run_watch(self, start: int) -> Coroutine[None]:
        try:
            yield from self.client.watch(
                self._keys.prefix, self._keys.end, start, self._on_update, WATCH_TIMEOUT_US
            )
        except (StoreUnavailable, Compacted) as exc:
            self._watch_error = exc
            self.on_phase_change()

    def _on_update(self, items: list[Item], revision: int) -> None:
        for item in items:
            # Updates up to its revision are contained in the last read.
            if item.mod_revision > self._read_revision:
                self._mirror[item.key] = item
                self._snapshot = None
                if self._updates_during_read is not None:
                    self._updates_during_read[item.key] = item
        if self._snapshot is None:
            self.on_phase_change()

    # Records

    @property
    def snapshot(self) -> Snapshot:
        """The parsed mirror."""
        if self._snapshot is None:
            self._snapshot = records.parse_snapshot(
                self._keys, ((item.key, item.value) for item in self._mirror.values())
            )
            for key in self._snapshot.unreadable:
                if key not in self._unreadable:
                    self._unreadable.add(key)
                    logger.bind(event="fleet.spoilt", key=key).warning(
                        "fleet: unreadable record {} is ignored", key
                    )
        return self._snapshot

    def _item(self, kind: str, *names: str) -> Item:
        return item_at(self._mirror, self._keys.of(kind, *names))

    def _is_registered(self) -> bool:
        """Return whether this process is the registered one, according to the mirror."""
        return (
            self._incarnation is not None and self.snapshot.tokens.get(self._settings.member) == self._token
        )

    def _registration_unchanged(self) -> list[Json]:
        """Return the comparison that goes with every write but the registration itself.

        It keeps a process that was stalled, and replaced by a newer one meanwhile, from changing any record.
        """
        return [compare_unchanged(self._item("seat", self._settings.member))]

    def _send_heartbeat(self) -> Coroutine[None]:
        """Obtain or extend the lease, and write the heartbeat if it is missing or outdated."""
        now = self._loop.now()
        if self._lease is not None and now >= self._extend_at:
            self._lease = yield from self.client.extend(self._lease)
            self._extend_at = now + self._settings.lease * 1_000_000 // EXTENSIONS_PER_LEASE
        if self._lease is None or not self._lease.is_valid(self._loop.now()):
            self._lease = yield from self.client.grant(self._settings.lease)
            self._extend_at = now + self._settings.lease * 1_000_000 // EXTENSIONS_PER_LEASE
        snapshot, member = self.snapshot, self._settings.member
        if snapshot.tokens.get(member) != self._token:
            return
        # Taken from the record, since the answer to the registration may have been lost.
        self._incarnation = snapshot.registrations[member].incarnation
        heartbeat, item = snapshot.heartbeats.get(member), self._item("word", member)
        if (
            heartbeat is None
            or (heartbeat.incarnation, heartbeat.phase) != (self._incarnation, self._service.phase.value)
            or item.lease != self._lease.id
        ):
            yield from self._write(
                item,
                self._value(
                    incarnation=self._incarnation,
                    phase=self._service.phase.value,
                    version=self._settings.version,
                ),
                self._registration_unchanged(),
                lease=self._lease.id,
            )

    def _value(self, **values: object) -> bytes:
        """Return a record's value that differs from all others, as `Client.commit` requires."""
        self._values_written += 1
        return records.encode(mark=f"{self._token}-{self._values_written}", **values)

    def _write(
        self,
        item: Item,
        value: bytes | None,
        compares: list[Json],
        extra_operations: list[Json] | None = None,
        lease: int = 0,
    ) -> Coroutine[bool]:
        """Commit a transaction and read all records again; returns False if it lost to another change."""
        current = yield from self.client.commit(
            item, value, self._loop.now() + COMMIT_TIMEOUT_US, lease, compares, extra_operations
        )
        yield from self._read_all()
        self._changed = True
        if current is None:
            self._conflicts.succeeded()
            return True
        # The random pause spreads the next attempts of, say, twelve members that compete for the last permit.
        yield Wait(until=self._loop.now() + self._conflicts.failed())
        return False

    # Steps

    def _take_step(self) -> Coroutine[None]:
        settings = self._settings
        step = drains.step(
            settings.member,
            self._token,
            self._incarnation,
            self._service.phase.value,
            self._planned,
            self.snapshot,
            settings.bounds,
        )
        if step.action in (Action.STANDBY, Action.LEAVE) and not self._may_leave_service():
            # The mirror of a process that was stalled may be out of date: its permit may have been removed,
            # and another member may have got one. If it left service then, the limits would be exceeded.
            yield from self._read_all()
            self._changed = True
            return
        if step.why != self._logged_reason:
            self._logged_reason = step.why
            if step.why:
                logger.bind(event="fleet.step", act=step.action.name.lower()).info(
                    "fleet: {}: {}", step.action.value, step.why
                )
        yield from self._carry_out(step)

    def _may_leave_service(self) -> bool:
        now = self._loop.now()
        return (
            self._lease is not None
            and self._lease.is_valid(now)
            and now - self._read_requested_at < MAX_SNAPSHOT_AGE_US
        )

    def _carry_out(self, step: Step) -> Coroutine[None]:
        member = self._settings.member
        if step.action is Action.CLAIM:
            yield from self._register()
        elif step.action is Action.ASK:
            assert self._incarnation is not None
            snapshot = self.snapshot
            compares = [
                *self._registration_unchanged(),
                compare_unchanged(item_at(self._mirror, self._keys.generation)),
                compare_unchanged(self._item("wish", member)),
            ]
            # The members that are counted as serving have to serve still when the permit is written.
            compares += [
                compare_unchanged(self._item("word", name)) for name in drains.serving_members(snapshot)
            ]
            if (
                yield from self._write(
                    self._item("permit", member),
                    self._value(incarnation=self._incarnation),
                    compares,
                    self._accompanying_operations(
                        "out", snapshot.member_requests[member].why, self._keys.generation
                    ),
                )
            ):
                logger.bind(event="fleet.permit").info("fleet: got a permit to leave service")
        elif step.action is Action.RETURN:
            permit, request = self._item("permit", member), self._item("wish", member)
            extra_operations = self._accompanying_operations("back", "", self._keys.generation)
            if permit.value is not None and request.value is not None:
                extra_operations.append(delete(request.key))
            first = permit if permit.value is not None else request
            if (
                yield from self._write(
                    first,
                    None,
                    [*self._registration_unchanged(), compare_unchanged(request)],
                    extra_operations,
                )
            ):
                logger.bind(event="fleet.returned").info("fleet: serving again, permit returned")
        elif step.action is Action.STANDBY:
            self._planned = True
            self._service.standby()
        elif step.action is Action.ACTIVE:
            self._planned = False
            self._service.active()
        elif step.action is Action.LEAVE:
            self._service.leave(step.why)

    def _drain_runners(self) -> Coroutine[None]:
        """Withhold new work from drained runners, acknowledge their drain, and drain those requested."""
        snapshot, member = self.snapshot, self._settings.member
        if set(snapshot.runner_drains) != self._withheld:
            self._withheld = set(snapshot.runner_drains)
            self._service.withhold(self._withheld)
        self._check_at = NEVER
        if not self._is_registered():
            return
        for (pool, runner), drain in sorted(snapshot.runner_drains.items()):
            if runners.acknowledged(snapshot, pool, runner, member) or self._lease is None:
                continue
            if self._service.busy(pool, runner):
                # If the drain were acknowledged before the last job has ended, an operator could stop a busy
                # runner.
                self._check_at = self._loop.now() + BUSY_CHECK_INTERVAL_US
                continue
            yield from self._write(
                self._item("ack", pool, runner, member),
                self._value(incarnation=self._incarnation, of=drain.token),
                [*self._registration_unchanged(), compare_unchanged(self._item("mark", pool, runner))],
                lease=self._lease.id,
            )
            return
        if runners.coordinator(snapshot) != member:
            return
        for pool, runner in sorted(set(snapshot.runner_requests) - set(snapshot.runner_drains)):
            listed = self._service.runners(pool)
            drained = {name for each, name in snapshot.runner_drains if each == pool}
            if (
                listed is None
                or runners.refusal(runner, listed, drained, self._settings.runner_bounds) is not None
            ):
                continue
            request = snapshot.runner_requests[pool, runner]
            generation = self._keys.runner_generation
            yield from self._write(
                self._item("mark", pool, runner),
                self._value(by=request.by, why=request.why),
                [
                    *self._registration_unchanged(),
                    compare_unchanged(item_at(self._mirror, generation)),
                    compare_unchanged(self._item("want", pool, runner)),
                ],
                self._accompanying_operations(f"drain {pool}/{runner}", request.why, generation),
            )
            return

    def _run_release(self) -> Coroutine[None]:
        """During a release, report job counts, and lead the release if no other process does."""
        snapshot, member, now = self.snapshot, self._settings.member, self._loop.now()
        if (
            snapshot.release is None
            or snapshot.release.state not in release.ACTIVE_STATES
            or self._lease is None
            or not self._is_registered()
        ):
            return
        if now >= self._health_at:
            self._health_at = now + HEALTH_INTERVAL_US
            good, ended = self._service.jobs()
            yield from self._write(
                self._item("health", member),
                self._value(incarnation=self._incarnation, good=good, ended=ended),
                self._registration_unchanged(),
                lease=self._lease.id,
            )
            return
        self._check_at = min(self._check_at, self._health_at)
        leader = item_at(self._mirror, self._keys.leader)
        if leader.value is None:
            yield from self._write(
                leader, self._value(token=self._token), self._registration_unchanged(), lease=self._lease.id
            )
            return
        if snapshot.leader_token != self._token or leader.lease != self._lease.id:
            return
        change = release.step(snapshot, self._wave_progress, now)
        yield from self._write_release(
            change, [compare_created(leader.key, leader.create_revision), *self._registration_unchanged()]
        )

    def _write_release(self, change: release.ReleaseChange, compares: list[Json]) -> Coroutine[None]:
        """Write the release's next step.

        `compares` fail if another process leads or is registered, so that a leader that was paused changes
        nothing.
        """
        keys = self._keys
        record = item_at(self._mirror, keys.release)
        member_requests = {
            request.name: self._value(**request.record_values()) for request in change.member_requests
        }
        # The comparisons keep a request that an operator has made meanwhile from being overwritten.
        compares = [
            *compares,
            *(compare_unchanged(self._item("wish", name)) for name in (*member_requests, *change.dropped)),
        ]
        extra_operations = [put(keys.of("wish", name), value) for name, value in member_requests.items()]
        extra_operations += [delete(keys.of("wish", name)) for name in change.dropped]
        if change.release is not None:
            what = f"release {change.release.name}: {change.release.state}, wave {change.release.wave + 1}"
            logger.bind(event="fleet.release", state=change.release.state).info("fleet: {}", what)
            yield from self._write(
                record,
                self._value(**records.release_values(change.release)),
                compares,
                [
                    *extra_operations,
                    *self._accompanying_operations(what, change.release.why, keys.generation),
                ],
            )
        elif extra_operations:
            first = next(iter((*member_requests, *change.dropped)))
            yield from self._write(
                self._item("wish", first),
                member_requests.get(first),
                [*compares, compare_unchanged(record)],
                extra_operations[1:],
            )

    def _register(self) -> Coroutine[None]:
        settings = self._settings
        registration = self.snapshot.registrations.get(settings.member)
        incarnation = max(
            registration.incarnation + 1 if registration is not None else 1, self._incarnation or 0
        )
        value = self._value(
            incarnation=incarnation, token=self._token, zone=settings.zone, region=settings.region
        )
        if (
            yield from self._write(
                self._item("seat", settings.member), value, [], [put(self._keys.generation, self._value())]
            )
        ):
            logger.bind(event="fleet.joined", incarnation=incarnation).info(
                "fleet: joined group {} as member {}, incarnation {}",
                settings.group,
                settings.member,
                incarnation,
            )

    def _accompanying_operations(self, what: str, why: str, generation: bytes) -> list[Json]:
        """Return the operations that go with each change of permits or drains.

        They are a put of the generation key, a new entry of the history, and deletions of old entries.
        """
        keys = self._keys
        old = sorted(
            key
            for key, item in self._mirror.items()
            if item.value is not None and key.startswith(keys.of("history", ""))
        )[:-HISTORY_ENTRIES]
        return [
            put(generation, self._value()),
            put(
                *records.history_entry(
                    keys,
                    time.time_ns() // 1_000_000,
                    self._settings.member,
                    what,
                    why,
                    self._random.getrandbits(32),
                )
            ),
            *(delete(key) for key in old[:HISTORY_ENTRIES_DELETED]),
        ]
