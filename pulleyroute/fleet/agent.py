"""Joins a running service to its fleet: seat, word, permit, and what they let it do.

The one place of I/O: it keeps a mirror of the group's records, asks `drains.step` what comes next, and
carries that out. The service never waits for it. Whatever the store does, jobs go on; without it this
process neither goes out in a planned way nor changes anything.
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

WATCH_TIMEOUT_US = 10_000_000  # us after which a watch that tells nothing counts as broken
WRITE_TIME = 3_000_000  # for one change, with its tries
RACE_PAUSE, LONGEST_RACE = 20_000, 1_000_000  # after a change that somebody else's came before
LOST_PAUSE, LONGEST_LOST = 100_000, 3_000_000  # between tries to reach the store
BEATS = 3  # times that a lease is extended within its time
HISTORY = 1000  # lines that are kept
OLD_AT_ONCE = 4  # older ones that go with each new one
HEALTH_INTERVAL_US = 2_000_000  # between two words on its jobs, while a release is in hand
BUSY_LOOK = 100_000  # between two looks at what is still out at a marked runner
FRESH = 1_000_000  # a permit is acted on within this time of a reading of the store, else read anew


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """Where a process stands in its fleet, from the settings. `lease`: seconds."""

    group: str
    member: str
    zone: str = ""
    region: str = ""
    version: str = ""
    lease: int = 5
    bounds: Bounds = field(default_factory=Bounds)
    runner_bounds: RunnerBounds = field(default_factory=RunnerBounds)


class ManagedService(Protocol):
    """The service that the agent speaks for."""

    @property
    def phase(self) -> Phase: ...
    def standby(self) -> None: ...
    def active(self) -> None: ...
    def leave(self, version: str) -> None: ...
    def runners(self, pool: str) -> list[Runner] | None: ...
    def withhold(self, marked: set[records.RunnerKey]) -> None: ...
    def busy(self, pool: str, runner: str) -> bool: ...
    def jobs(self) -> tuple[int, int]: ...


class Agent:
    """Owns the mirror, the lease and the process's records."""

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
        self._beat_at = 0
        self._mirror: dict[bytes, Item] = {}
        self._heard_meanwhile: dict[bytes, Item] | None = None  # by the watch, while the whole is read
        self._read_at = 0  # the revision of the last reading of the whole
        self._fresh_at = 0  # when it was asked for
        self._snapshot: Snapshot | None = None  # of the mirror; None once that has changed
        self._unreadable: set[str] = set()
        self._watch: Task | None = None
        self._broken: Exception | None = None  # how the watch ended
        self._idle = self._changed = False
        self._planned = False  # on standby by a wish
        self._seen = release.WaveProgress()
        self._health_at = 0  # when the next word on its jobs is due
        self._marked: set[records.RunnerKey] = set()
        self._look_at = NEVER  # when to look again at what is still out at marked runners
        self._cut = False  # the store can't be reached, and the log says so
        self._count = 0
        self._race = Backoff(RACE_PAUSE, LONGEST_RACE, self._random)
        self._why = ""  # what was last told of a wish that waits
        self._task = Task(loop, self._living(), "fleet")

    def start(self) -> None:
        self._task.start()

    def on_phase_change(self) -> None:
        """The service has changed its phase."""
        self._changed = True
        if self._idle:
            # Guards calls in hand: a nudge ends whatever wait the task is in.
            self._task.wake()

    # The store, met and lost

    def _living(self) -> Coroutine[None]:
        pause = Backoff(LOST_PAUSE, LONGEST_LOST, self._random)
        watches = Backoff(LOST_PAUSE, LONGEST_LOST, self._random)
        while True:
            began = self._loop.now()
            try:
                yield from self._session(pause)
                if self._loop.now() - began < LONGEST_LOST:
                    # Guards the store: one that answers and lets no watch stand would be read without end.
                    yield Wait(until=self._loop.now() + watches.failed())
                else:
                    watches.succeeded()
            except (StoreUnavailable, StoreRejected) as exc:
                if isinstance(exc, StoreRejected):
                    self._lease = None  # a store that was started anew knows the lease no more
                if not self._cut:
                    self._cut = True
                    logger.bind(event="fleet.lost").warning(
                        "fleet: the store can't be reached, nothing planned happens meanwhile: {}", exc
                    )
                # Guards the store's return against all members at once.
                yield Wait(until=self._loop.now() + pause.failed())
            except Compacted:
                pass  # the whole is read anew
            finally:
                if self._watch is not None:
                    self._watch.cancel()
                    self._watch = None

    def _session(self, pause: Backoff) -> Coroutine[None]:
        yield from self._read()
        pause.succeeded()
        if self._cut:
            self._cut = False
            logger.bind(event="fleet.back").info("fleet: the store is back")
        self._broken = None
        self._watch = self._loop.spawn(self._watching(self._read_at + 1), "fleet watch")
        while self._broken is None:
            self._changed = False
            yield from self._keep()
            yield from self._act()
            yield from self._drain_runners()
            yield from self._release()
            if not self._changed and self._broken is None:
                self._idle = True
                yield Wait(until=min(self._beat_at, self._look_at))
                self._idle = False
        if isinstance(self._broken, Compacted):
            raise self._broken

    def _read(self) -> Coroutine[None]:
        """The whole, as it stands."""
        asked = self._loop.now()
        heard = self._heard_meanwhile = {}
        try:
            revision, items = yield from self.client.range(self._keys.prefix, self._keys.end)
        finally:
            self._heard_meanwhile = None
        regressed = revision < self._read_at
        if regressed:
            logger.bind(event="fleet.regressed", revision=revision).warning(
                "fleet: the store went back from revision {} to {}", self._read_at, revision
            )
        self._mirror = {item.key: item for item in items}
        if not regressed:
            # The watch may be ahead of the answer, and what it told meanwhile comes no second time.
            self._mirror.update({key: item for key, item in heard.items() if item.mod_revision > revision})
        self._read_at, self._fresh_at, self._snapshot = revision, asked, None

    def _watching(self, start: int) -> Coroutine[None]:
        try:
            yield from self.client.watch(
                self._keys.prefix, self._keys.end, start, self._heard, WATCH_TIMEOUT_US
            )
        except (StoreUnavailable, Compacted) as exc:
            self._broken = exc
            self.on_phase_change()

    def _heard(self, items: list[Item], revision: int) -> None:
        for item in items:
            # The last reading has what came before it.
            if item.mod_revision > self._read_at:
                self._mirror[item.key] = item
                self._snapshot = None
                if self._heard_meanwhile is not None:
                    self._heard_meanwhile[item.key] = item
        if self._snapshot is None:
            self.on_phase_change()

    # What is kept

    @property
    def snapshot(self) -> Snapshot:
        """What the mirror says."""
        if self._snapshot is None:
            self._snapshot = records.parse_snapshot(
                self._keys, ((item.key, item.value) for item in self._mirror.values())
            )
            for key in self._snapshot.unreadable:
                if key not in self._unreadable:
                    self._unreadable.add(key)
                    logger.bind(event="fleet.spoilt", key=key).warning(
                        "fleet: the record {} can't be read and is passed over", key
                    )
        return self._snapshot

    def _item(self, kind: str, *names: str) -> Item:
        return item_at(self._mirror, self._keys.of(kind, *names))

    def _seated(self) -> bool:
        """Whether this process has its seat, as far as it knows."""
        return (
            self._incarnation is not None and self.snapshot.tokens.get(self._settings.member) == self._token
        )

    def _own(self) -> list[Json]:
        """Guards everybody: a process whose seat is a newer one's changes nothing, however late it wakes."""
        return [compare_unchanged(self._item("seat", self._settings.member))]

    def _keep(self) -> Coroutine[None]:
        """The lease, and the word under it."""
        now = self._loop.now()
        if self._lease is not None and now >= self._beat_at:
            self._lease = yield from self.client.extend(self._lease)
            self._beat_at = now + self._settings.lease * 1_000_000 // BEATS
        if self._lease is None or not self._lease.is_valid(self._loop.now()):
            self._lease = yield from self.client.grant(self._settings.lease)
            self._beat_at = now + self._settings.lease * 1_000_000 // BEATS
        snapshot, me = self.snapshot, self._settings.member
        if snapshot.tokens.get(me) != self._token:
            return
        # From the record, not from the answer: that of the claim may have been lost.
        self._incarnation = snapshot.registrations[me].incarnation
        heartbeat, item = snapshot.heartbeats.get(me), self._item("word", me)
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
                self._own(),
                lease=self._lease.id,
            )

    def _value(self, **values: object) -> bytes:
        """A record unlike any other: the store's client settles lost answers by it."""
        self._count += 1
        return records.encode(mark=f"{self._token}-{self._count}", **values)

    def _write(
        self,
        item: Item,
        value: bytes | None,
        compares: list[Json],
        extra_operations: list[Json] | None = None,
        lease: int = 0,
    ) -> Coroutine[bool]:
        """One change, whole or not at all, and the whole read anew; False where somebody's came before."""
        other = yield from self.client.commit(
            item, value, self._loop.now() + WRITE_TIME, lease, compares, extra_operations
        )
        yield from self._read()
        self._changed = True
        if other is None:
            self._race.succeeded()
            return True
        # Twelve that want the last permit ask again one after another, not all at once.
        yield Wait(until=self._loop.now() + self._race.failed())
        return False

    # What is done

    def _act(self) -> Coroutine[None]:
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
        if step.action in (Action.STANDBY, Action.LEAVE) and not self._may_go():
            # Guards the limits against a process that stood still: what it knew may have passed meanwhile.
            yield from self._read()
            self._changed = True
            return
        if step.why != self._why:
            self._why = step.why
            if step.why:
                logger.bind(event="fleet.step", act=step.action.name.lower()).info(
                    "fleet: {}: {}", step.action.value, step.why
                )
        yield from self._carry_out(step)

    def _may_go(self) -> bool:
        now = self._loop.now()
        return self._lease is not None and self._lease.is_valid(now) and now - self._fresh_at < FRESH

    def _carry_out(self, step: Step) -> Coroutine[None]:
        me = self._settings.member
        if step.action is Action.CLAIM:
            yield from self._claim()
        elif step.action is Action.ASK:
            assert self._incarnation is not None
            snapshot = self.snapshot
            compares = [
                *self._own(),
                compare_unchanged(item_at(self._mirror, self._keys.generation)),
                compare_unchanged(self._item("wish", me)),
            ]
            # The count is of one moment: whoever it rests on has to serve still when the permit is written.
            compares += [
                compare_unchanged(self._item("word", name)) for name in drains.serving_members(snapshot)
            ]
            if (
                yield from self._write(
                    self._item("permit", me),
                    self._value(incarnation=self._incarnation),
                    compares,
                    self._told("out", snapshot.member_requests[me].why, self._keys.generation),
                )
            ):
                logger.bind(event="fleet.permit").info("fleet: has a permit to be out")
        elif step.action is Action.RETURN:
            permit, request = self._item("permit", me), self._item("wish", me)
            extra_operations = self._told("back", "", self._keys.generation)
            if permit.value is not None and request.value is not None:
                extra_operations.append(delete(request.key))
            first = permit if permit.value is not None else request
            if (
                yield from self._write(
                    first, None, [*self._own(), compare_unchanged(request)], extra_operations
                )
            ):
                logger.bind(event="fleet.returned").info("fleet: serves again, and has returned its permit")
        elif step.action is Action.STANDBY:
            self._planned = True
            self._service.standby()
        elif step.action is Action.ACTIVE:
            self._planned = False
            self._service.active()
        elif step.action is Action.LEAVE:
            self._service.leave(step.why)

    def _drain_runners(self) -> Coroutine[None]:
        """Give marked runners nothing new, say when nothing is there, and mark what is wanted."""
        snapshot, me = self.snapshot, self._settings.member
        if set(snapshot.runner_drains) != self._marked:
            self._marked = set(snapshot.runner_drains)
            self._service.withhold(self._marked)
        self._look_at = NEVER
        if not self._seated():
            return
        for (pool, runner), mark in sorted(snapshot.runner_drains.items()):
            if runners.acknowledged(snapshot, pool, runner, me) or self._lease is None:
                continue
            if self._service.busy(pool, runner):
                # Guards the drain: said before its last job has ended, somebody would stop a busy machine.
                self._look_at = self._loop.now() + BUSY_LOOK
                continue
            yield from self._write(
                self._item("ack", pool, runner, me),
                self._value(incarnation=self._incarnation, of=mark.token),
                [*self._own(), compare_unchanged(self._item("mark", pool, runner))],
                lease=self._lease.id,
            )
            return
        if runners.coordinator(snapshot) != me:
            return
        for pool, runner in sorted(set(snapshot.runner_requests) - set(snapshot.runner_drains)):
            there = self._service.runners(pool)
            marked = {name for each, name in snapshot.runner_drains if each == pool}
            if (
                there is None
                or runners.refusal(runner, there, marked, self._settings.runner_bounds) is not None
            ):
                continue
            want = snapshot.runner_requests[pool, runner]
            roll = self._keys.runner_generation
            yield from self._write(
                self._item("mark", pool, runner),
                self._value(by=want.by, why=want.why),
                [
                    *self._own(),
                    compare_unchanged(item_at(self._mirror, roll)),
                    compare_unchanged(self._item("want", pool, runner)),
                ],
                self._told(f"drain {pool}/{runner}", want.why, roll),
            )
            return

    def _release(self) -> Coroutine[None]:
        """While a release is in hand: tell how one's jobs went, and lead it where nobody else does."""
        snapshot, me, now = self.snapshot, self._settings.member, self._loop.now()
        if (
            snapshot.release is None
            or snapshot.release.state not in release.ACTIVE_STATES
            or self._lease is None
            or not self._seated()
        ):
            return
        if now >= self._health_at:
            self._health_at = now + HEALTH_INTERVAL_US
            good, ended = self._service.jobs()
            yield from self._write(
                self._item("health", me),
                self._value(incarnation=self._incarnation, good=good, ended=ended),
                self._own(),
                lease=self._lease.id,
            )
            return
        self._look_at = min(self._look_at, self._health_at)
        lead = item_at(self._mirror, self._keys.leader)
        if lead.value is None:
            yield from self._write(lead, self._value(token=self._token), self._own(), lease=self._lease.id)
            return
        if snapshot.leader_token != self._token or lead.lease != self._lease.id:
            return
        move = release.step(snapshot, self._seen, now)
        yield from self._lead(move, [compare_created(lead.key, lead.create_revision), *self._own()])

    def _lead(self, move: release.ReleaseChange, compares: list[Json]) -> Coroutine[None]:
        """Write what comes next. The guards hold it to this leader: one that was paused changes nothing."""
        keys = self._keys
        record = item_at(self._mirror, keys.release)
        member_requests = {
            request.name: self._value(**request.record_values()) for request in move.member_requests
        }
        # As they were read: an operator's wish that came meanwhile is not written over.
        compares = [
            *compares,
            *(compare_unchanged(self._item("wish", name)) for name in (*member_requests, *move.dropped)),
        ]
        extra_operations = [put(keys.of("wish", name), value) for name, value in member_requests.items()]
        extra_operations += [delete(keys.of("wish", name)) for name in move.dropped]
        if move.release is not None:
            what = f"release {move.release.name}: {move.release.state}, wave {move.release.wave + 1}"
            logger.bind(event="fleet.release", state=move.release.state).info("fleet: {}", what)
            yield from self._write(
                record,
                self._value(**records.release_values(move.release)),
                compares,
                [*extra_operations, *self._told(what, move.release.why, keys.generation)],
            )
        elif extra_operations:
            first = next(iter((*member_requests, *move.dropped)))
            yield from self._write(
                self._item("wish", first),
                member_requests.get(first),
                [*compares, compare_unchanged(record)],
                extra_operations[1:],
            )

    def _claim(self) -> Coroutine[None]:
        settings = self._settings
        registration = self.snapshot.registrations.get(settings.member)
        number = max(registration.incarnation + 1 if registration is not None else 1, self._incarnation or 0)
        value = self._value(incarnation=number, token=self._token, zone=settings.zone, region=settings.region)
        if (
            yield from self._write(
                self._item("seat", settings.member), value, [], [put(self._keys.generation, self._value())]
            )
        ):
            logger.bind(event="fleet.joined", incarnation=number).info(
                "fleet: {} has the seat {} as incarnation {}", settings.group, settings.member, number
            )

    def _told(self, what: str, why: str, roll: bytes) -> list[Json]:
        """What goes with every change of permits or marks: their roll, and a line of the history."""
        keys = self._keys
        old = sorted(
            key
            for key, item in self._mirror.items()
            if item.value is not None and key.startswith(keys.of("history", ""))
        )[:-HISTORY]
        return [
            put(roll, self._value()),
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
            *(delete(key) for key in old[:OLD_AT_ONCE]),
        ]
