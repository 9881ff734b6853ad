"""Which runners may be drained, and when a drain is confirmed. No I/O.

A runner whose drain an operator has requested is marked as drained once the limits allow it. Every member
then gives it no new work, and acknowledges the drain once none of its own jobs is left there. A member
without a heartbeat may still send work, so its acknowledgement doesn't count and the drain stays unconfirmed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.records import Snapshot


@dataclass(slots=True, frozen=True)
class Runner:
    """A runner as reported by discovery. `active`: it accepts new work."""

    name: str
    hall: str
    kind: str
    active: bool


@dataclass(slots=True, frozen=True)
class RunnerBounds:
    """Limits on a pool's runners out at the same time; None for no limit.

    Runners that are leaving or gone by discovery count as out, like those that are drained.
    """

    pool: CountOrShare | None = None
    hall: CountOrShare | None = None
    kind: CountOrShare | None = None


def refusal(name: str, runners: Iterable[Runner], drained: set[str], bounds: RunnerBounds) -> str | None:
    """Return why a runner may not be drained now, as one line for an operator; None if it may."""
    by_name = {runner.name: runner for runner in runners}
    candidate = by_name.get(name)
    if candidate is None:
        return f"{name} is not in the list of discovery"
    out = [runner for runner in by_name.values() if not runner.active or runner.name in drained]
    if candidate in out:
        return None  # the runner is out already: its drain changes no count
    if len(out) + 1 >= len(by_name):
        return f"{name} is the last runner that accepts work: no class of the pool could be served"
    for scope, limit, in_scope in (
        ("the pool", bounds.pool, lambda each: True),
        (f"hall {candidate.hall}", bounds.hall, lambda each: each.hall == candidate.hall),
        (f"kind {candidate.kind}", bounds.kind, lambda each: each.kind == candidate.kind),
    ):
        if limit is not None:
            count = sum(1 for each in out if in_scope(each))
            most = limit.of(sum(1 for each in by_name.values() if in_scope(each)))
            if count + 1 > most:
                return f"runners out in {scope}: {count}; limit: {most}"
    return None


def coordinator(snapshot: Snapshot) -> str | None:
    """Return the member that marks runners as drained: the first by name of those with a heartbeat.

    This only avoids contention between the members: the comparisons in the transaction keep the limits,
    whichever member writes.
    """
    return min(snapshot.heartbeats, default=None)


def acknowledged(snapshot: Snapshot, pool: str, runner: str, member: str) -> bool:
    """Return whether the process that is now registered as the member has acknowledged a runner's drain."""
    drain, registration, heartbeat = (
        snapshot.runner_drains.get((pool, runner)),
        snapshot.registrations.get(member),
        snapshot.heartbeats.get(member),
    )
    if (
        drain is None
        or registration is None
        or heartbeat is None
        or heartbeat.incarnation != registration.incarnation
    ):
        # A member that was cut off after its acknowledgement, and then restarted, may not know of the drain.
        return False
    return snapshot.acks.get((pool, runner, member)) == (registration.incarnation, drain.token)


def unconfirmed(snapshot: Snapshot, pool: str, runner: str) -> list[str]:
    """Return the members that may still send work to a drained runner; empty if the drain is confirmed."""
    return [name for name in sorted(snapshot.registrations) if not acknowledged(snapshot, pool, runner, name)]
