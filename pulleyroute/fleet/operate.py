"""What an operator does to a fleet: each a transaction on the store, from any machine.

The last word wins by revision; who said it, when and why goes into the history. Coroutines of the loop that
raise `store.Lost` or `store.Turned`, and `Refused` for what can't be done.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from pulleyroute.fleet import records, release
from pulleyroute.fleet.drains import statuses
from pulleyroute.fleet.members import MemberStatus
from pulleyroute.fleet.records import (
    Event,
    Keys,
    MemberRequest,
    OperationRefused,
    Release,
    RequestedAction,
    RunnerDrain,
    Snapshot,
)
from pulleyroute.fleet.runners import unconfirmed
from pulleyroute.fleet.store import Client, Item, Json, compare_unchanged, delete, item_at, put
from pulleyroute.net.loop import Coroutine, Loop

WRITE_TIME = 5_000_000  # us for one change, with its tries
TRIES = 20  # after somebody else's change came before


Change = tuple[Item, bytes | None, list[Json], list[Json]]  # a key, its new value, guards, what goes with it


class Operator:
    """One person's or program's hand at a group. `by`: the name that the history gets."""

    def __init__(self, loop: Loop, client: Client, group: str, by: str, seed: int) -> None:
        self._loop, self._client, self._by = loop, client, by
        self._keys = Keys(group)
        self._random = Random(seed)

    def read_snapshot(self) -> Coroutine[tuple[Snapshot, dict[bytes, Item]]]:
        """What stands in the store now."""
        _, items = yield from self._client.range(self._keys.prefix, self._keys.end)
        return (
            records.parse_snapshot(self._keys, ((item.key, item.value) for item in items)),
            {item.key: item for item in items},
        )

    def members(self) -> Coroutine[list[dict[str, Any]]]:
        """A row for each member, in the order of their names."""
        snapshot, _ = yield from self.read_snapshot()
        known_as = statuses(snapshot)
        rows = []
        for name, registration in sorted(snapshot.registrations.items()):
            heartbeat, request = snapshot.heartbeats.get(name), snapshot.member_requests.get(name)
            rows.append(
                {
                    "name": name,
                    "zone": registration.zone,
                    "region": registration.region,
                    "incarnation": registration.incarnation,
                    "version": heartbeat.version if heartbeat is not None else "",
                    "standing": known_as[name].value,
                    "phase": heartbeat.phase if heartbeat is not None else "",
                    "out": known_as[name] is not MemberStatus.SERVING,
                    "permit": name in snapshot.permits,
                    "wish": request.do if request is not None else "",
                    "why": request.why if request is not None else "",
                }
            )
        return rows

    def history(self) -> Coroutine[list[Event]]:
        """What was done, the oldest first."""
        snapshot, _ = yield from self.read_snapshot()
        return snapshot.history

    def drain(self, name: str, do: RequestedAction, why: str, version: str = "") -> Coroutine[None]:
        """Want a member on standby, or started again; it goes once it has its permit."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            registration = snapshot.registrations.get(name)
            if registration is None:
                there = ", ".join(sorted(snapshot.registrations)) or "nobody is"
                raise OperationRefused(f"{name} is not in this fleet: {there}")
            request = MemberRequest(name, do, registration.incarnation, version, self._by, why)
            value = self._value(**request.record_values())
            return (
                self._item(items, "wish", name),
                value,
                [compare_unchanged(self._item(items, "seat", name))],
                [],
            )

        yield from self._change(f"{do} {name}", why, change)

    def undrain(self, name: str, why: str) -> Coroutine[None]:
        """Want it back; nothing is left to do where nobody wanted it out."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if name not in snapshot.member_requests:
                raise OperationRefused(f"nobody wants {name} out")
            return self._item(items, "wish", name), None, [], []

        yield from self._change(f"undrain {name}", why, change)

    def forget(self, name: str, why: str) -> Coroutine[None]:
        """Say that a member is gone for good: its seat, its permit and what was wanted of it go.

        Guards nothing: whoever says it of a process that still runs breaks the limits by one.
        """

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if name not in snapshot.registrations:
                raise OperationRefused(f"{name} is not in this fleet")
            if name in snapshot.heartbeats:
                raise OperationRefused(f"{name} is there: its process has spoken within its lease")
            return (
                self._item(items, "seat", name),
                None,
                [],
                [
                    delete(self._keys.of("permit", name)),
                    delete(self._keys.of("wish", name)),
                    put(self._keys.generation, self._value()),
                ],
            )

        yield from self._change(f"forget {name}", why, change)

    # Runners

    def runners(self) -> Coroutine[list[dict[str, Any]]]:
        """A row for each runner that is drained or wanted so."""
        snapshot, _ = yield from self.read_snapshot()
        rows = []
        for pool, runner in sorted(set(snapshot.runner_requests) | set(snapshot.runner_drains)):
            marked = (pool, runner) in snapshot.runner_drains
            waits = unconfirmed(snapshot, pool, runner) if marked else []
            rows.append(
                {
                    "pool": pool,
                    "name": runner,
                    "by": snapshot.runner_requests.get((pool, runner), RunnerDrain("")).by,
                    "why": snapshot.runner_requests.get((pool, runner), RunnerDrain("")).why,
                    "state": "wanted" if not marked else "draining" if waits else "drained",
                    "waits": waits,
                }
            )
        return rows

    def drain_runner(self, pool: str, runner: str, why: str) -> Coroutine[None]:
        """Want a runner drained; it is marked once the limits allow it."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if not snapshot.registrations:
                raise OperationRefused("nobody is in this fleet")
            return self._item(items, "want", pool, runner), self._value(by=self._by, why=why), [], []

        yield from self._change(f"want {pool}/{runner} drained", why, change)

    def undrain_runner(self, pool: str, runner: str, why: str) -> Coroutine[None]:
        """Give it work again."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            mark, want = self._item(items, "mark", pool, runner), self._item(items, "want", pool, runner)
            if mark.value is None and want.value is None:
                raise OperationRefused(f"nobody wants {runner} of pool {pool} drained")
            # One operation for all members: the store turns down a transaction of more than 128 of them.
            acks = delete(*self._keys.below("ack", pool, runner))
            extra_operations = [put(self._keys.runner_generation, self._value()), acks]
            # Guards against a mark that is made meanwhile: it would be left without anybody who wants it.
            return want, None, [compare_unchanged(mark)], [*extra_operations, delete(mark.key)]

        yield from self._change(f"undrain {pool}/{runner}", why, change)

    # Releases

    def start_release(self, plan: release.Plan) -> Coroutine[Release]:
        """Start a release; raises `Refused` where it can't be carried out."""
        told: list[Release] = []

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            told[:] = [release.new_release(plan, snapshot)]
            return item_at(items, self._keys.release), self._value(**records.release_values(told[0])), [], []

        yield from self._change(f"release {plan.name}: start", plan.version, change)
        return told[0]

    def change_release_state(self, to: release.State, why: str) -> Coroutine[None]:
        """Halt, resume or take back the release in hand; the last word wins."""
        come_from = {
            release.State.HALTED: ("running", "backing"),
            release.State.RUNNING: ("halted",),
            release.State.ROLLING_BACK: ("running", "halted", "done"),
        }[to]

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            now = snapshot.release
            if now is None or now.state not in come_from:
                raise OperationRefused(
                    "no release is in hand" if now is None else f"release {now.name} is {now.state}"
                )
            # Wishes that have no permit yet are not carried out any more.
            dropped = release.requests_without_permit(now, snapshot)
            value = self._value(**records.release_values(replace(now, state=to.value, why=why)))
            return (
                item_at(items, self._keys.release),
                value,
                [compare_unchanged(self._item(items, "wish", name)) for name in dropped],
                [delete(self._keys.of("wish", name)) for name in dropped],
            )

        yield from self._change(f"release: {to.value}", why, change)

    def _item(self, items: dict[bytes, Item], kind: str, *names: str) -> Item:
        return item_at(items, self._keys.of(kind, *names))

    def _value(self, **values: object) -> bytes:
        return records.encode(mark=f"{self._random.getrandbits(64):016x}", **values)

    def _change(
        self, what: str, why: str, change: Callable[[Snapshot, dict[bytes, Item]], Change]
    ) -> Coroutine[None]:
        for _ in range(TRIES):
            snapshot, items = yield from self.read_snapshot()
            item, value, compares, extra_operations = change(snapshot, items)
            at = time.time_ns() // 1_000_000
            line = records.history_entry(self._keys, at, self._by, what, why, self._random.getrandbits(32))
            other = yield from self._client.commit(
                item,
                value,
                self._loop.now() + WRITE_TIME,
                compares=compares,
                extra_operations=[*extra_operations, put(*line)],
            )
            if other is None:
                return
        raise OperationRefused("the records change too fast; nothing was done")
