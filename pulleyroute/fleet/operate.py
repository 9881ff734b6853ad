"""Operators' commands to a fleet: each is one transaction on the store, and may be given on any machine.

Of several commands the last one by revision takes effect. Author, time and reason are written to the history.
All are coroutines of the loop; they raise `store.StoreUnavailable` or `store.StoreRejected`, and
`OperationRefused` for a command that can't be carried out.
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

COMMIT_TIMEOUT_US = 5_000_000  # for one transaction with its retries
MAX_ATTEMPTS = 20  # at a change, each after a concurrent change

# A key as it was read, its new value or None, comparisons, and further operations of the transaction.
Change = tuple[Item, bytes | None, list[Json], list[Json]]


class Operator:
    """Gives commands to a group on behalf of a person or program. `by`: the author named in the history."""

    def __init__(self, loop: Loop, client: Client, group: str, by: str, seed: int) -> None:
        self._loop, self._client, self._by = loop, client, by
        self._keys = Keys(group)
        self._random = Random(seed)

    def read_snapshot(self) -> Coroutine[tuple[Snapshot, dict[bytes, Item]]]:
        """Read the group's records, parsed and as items by key."""
        _, items = yield from self._client.range(self._keys.prefix, self._keys.end)
        return (
            records.parse_snapshot(self._keys, ((item.key, item.value) for item in items)),
            {item.key: item for item in items},
        )

    def members(self) -> Coroutine[list[dict[str, Any]]]:
        """Return a row for each member, by name."""
        snapshot, _ = yield from self.read_snapshot()
        status_of = statuses(snapshot)
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
                    "standing": status_of[name].value,
                    "phase": heartbeat.phase if heartbeat is not None else "",
                    "out": status_of[name] is not MemberStatus.SERVING,
                    "permit": name in snapshot.permits,
                    "wish": request.do if request is not None else "",
                    "why": request.why if request is not None else "",
                }
            )
        return rows

    def history(self) -> Coroutine[list[Event]]:
        """Return the history, oldest entry first."""
        snapshot, _ = yield from self.read_snapshot()
        return snapshot.history

    def drain(self, name: str, action: RequestedAction, why: str, version: str = "") -> Coroutine[None]:
        """Request standby or a restart of a member, which complies once it has a permit."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            registration = snapshot.registrations.get(name)
            if registration is None:
                members = ", ".join(sorted(snapshot.registrations)) or "none"
                raise OperationRefused(f"{name} is not a member of this fleet; members: {members}")
            request = MemberRequest(name, action, registration.incarnation, version, self._by, why)
            value = self._value(**request.record_values())
            return (
                self._item(items, "wish", name),
                value,
                [compare_unchanged(self._item(items, "seat", name))],
                [],
            )

        yield from self._change(f"{action} {name}", why, change)

    def undrain(self, name: str, why: str) -> Coroutine[None]:
        """Withdraw the request to a member; raises `OperationRefused` if there is none."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if name not in snapshot.member_requests:
                raise OperationRefused(f"no standby or restart of {name} is requested")
            return self._item(items, "wish", name), None, [], []

        yield from self._change(f"undrain {name}", why, change)

    def forget(self, name: str, why: str) -> Coroutine[None]:
        """Remove a member that is gone for good: its registration, its permit and the request to it.

        Nothing protects the limits here: if the process still runs, one member more than allowed may be out.
        """

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if name not in snapshot.registrations:
                raise OperationRefused(f"{name} is not a member of this fleet")
            if name in snapshot.heartbeats:
                raise OperationRefused(f"{name} is running: its process has a current heartbeat")
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
        """Return a row for each runner that is drained or whose drain is requested."""
        snapshot, _ = yield from self.read_snapshot()
        rows = []
        for pool, runner in sorted(set(snapshot.runner_requests) | set(snapshot.runner_drains)):
            in_effect = (pool, runner) in snapshot.runner_drains
            waits = unconfirmed(snapshot, pool, runner) if in_effect else []
            rows.append(
                {
                    "pool": pool,
                    "name": runner,
                    "by": snapshot.runner_requests.get((pool, runner), RunnerDrain("")).by,
                    "why": snapshot.runner_requests.get((pool, runner), RunnerDrain("")).why,
                    "state": "wanted" if not in_effect else "draining" if waits else "drained",
                    "waits": waits,
                }
            )
        return rows

    def drain_runner(self, pool: str, runner: str, why: str) -> Coroutine[None]:
        """Request the drain of a runner, which takes effect once the limits allow it."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            if not snapshot.registrations:
                raise OperationRefused("this fleet has no members")
            return self._item(items, "want", pool, runner), self._value(by=self._by, why=why), [], []

        yield from self._change(f"want {pool}/{runner} drained", why, change)

    def undrain_runner(self, pool: str, runner: str, why: str) -> Coroutine[None]:
        """End the drain of a runner, or withdraw the request for it."""

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            drain, request = self._item(items, "mark", pool, runner), self._item(items, "want", pool, runner)
            if drain.value is None and request.value is None:
                raise OperationRefused(f"no drain of {runner} of pool {pool} is requested")
            # A range, and not one operation a member: the store rejects transactions of over 128 operations.
            acks = delete(*self._keys.below("ack", pool, runner))
            extra_operations = [put(self._keys.runner_generation, self._value()), acks]
            # The comparison fails if the runner is marked as drained meanwhile. Such a drain would remain
            # without a request.
            return request, None, [compare_unchanged(drain)], [*extra_operations, delete(drain.key)]

        yield from self._change(f"undrain {pool}/{runner}", why, change)

    # Releases

    def start_release(self, plan: release.Plan) -> Coroutine[Release]:
        """Start a release and return its record; raises `OperationRefused` if it can't be carried out."""
        started: list[Release] = []

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            started[:] = [release.new_release(plan, snapshot)]
            return (
                item_at(items, self._keys.release),
                self._value(**records.release_values(started[0])),
                [],
                [],
            )

        yield from self._change(f"release {plan.name}: start", plan.version, change)
        return started[0]

    def change_release_state(self, to: release.State, why: str) -> Coroutine[None]:
        """Halt, resume or roll back the current release; the last command takes effect."""
        allowed_from = {
            release.State.HALTED: ("running", "backing"),
            release.State.RUNNING: ("halted",),
            release.State.ROLLING_BACK: ("running", "halted", "done"),
        }[to]

        def change(snapshot: Snapshot, items: dict[bytes, Item]) -> Change:
            current = snapshot.release
            if current is None or current.state not in allowed_from:
                raise OperationRefused(
                    "there is no release" if current is None else f"release {current.name} is {current.state}"
                )
            # Requests of the release that have no permit yet are withdrawn.
            dropped = release.requests_without_permit(current, snapshot)
            value = self._value(**records.release_values(replace(current, state=to.value, why=why)))
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
        for _ in range(MAX_ATTEMPTS):
            snapshot, items = yield from self.read_snapshot()
            item, value, compares, extra_operations = change(snapshot, items)
            at = time.time_ns() // 1_000_000
            entry = records.history_entry(self._keys, at, self._by, what, why, self._random.getrandbits(32))
            other = yield from self._client.commit(
                item,
                value,
                self._loop.now() + COMMIT_TIMEOUT_US,
                compares=compares,
                extra_operations=[*extra_operations, put(*entry)],
            )
            if other is None:
                return
        raise OperationRefused("too many concurrent changes of the records; nothing was done")
