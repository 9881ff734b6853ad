"""Which runners may be drained, and when a drain is confirmed. Pure.

A runner that an operator wants drained is marked once the limits allow it; every member then gives it nothing
new, and says so once nothing of its own is there. Whoever is silent may still send, and keeps the drain
unconfirmed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.records import Snapshot


@dataclass(slots=True, frozen=True)
class Runner:
    """A runner as discovery tells of it. `active`: it wants new work."""

    name: str
    hall: str
    kind: str
    active: bool


@dataclass(slots=True, frozen=True)
class RunnerBounds:
    """How many of a pool's runners may be out at once; None for no limit. Leaving and gone ones count."""

    pool: CountOrShare | None = None
    hall: CountOrShare | None = None
    kind: CountOrShare | None = None


def refusal(name: str, runners: Iterable[Runner], marked: set[str], bounds: RunnerBounds) -> str | None:
    """Why a runner may not be drained now, as a line for an operator; None if it may."""
    there = {runner.name: runner for runner in runners}
    wanted = there.get(name)
    if wanted is None:
        return f"{name} is not in the list"
    out = [runner for runner in there.values() if not runner.active or runner.name in marked]
    if wanted in out:
        return None  # it changes no count
    if len(out) + 1 >= len(there):
        return f"{name} is the last one that takes work: every class of the pool would be stranded"
    for where, part, near in (
        ("the pool", bounds.pool, lambda each: True),
        (f"hall {wanted.hall}", bounds.hall, lambda each: each.hall == wanted.hall),
        (f"kind {wanted.kind}", bounds.kind, lambda each: each.kind == wanted.kind),
    ):
        if part is not None:
            count = sum(1 for each in out if near(each))
            most = part.of(sum(1 for each in there.values() if near(each)))
            if count + 1 > most:
                return f"{count} of {where} are out, and {most} may be"
    return None


def coordinator(snapshot: Snapshot) -> str | None:
    """Whose turn it is to mark what is wanted: the first of those that have spoken within their lease.

    It spares the others the race; a mark's own guards keep it safe, whoever writes it.
    """
    return min(snapshot.heartbeats, default=None)


def acknowledged(snapshot: Snapshot, pool: str, runner: str, member: str) -> bool:
    """Whether a member has said that it has nothing there, as the process that it is now."""
    mark, registration, heartbeat = (
        snapshot.runner_drains.get((pool, runner)),
        snapshot.registrations.get(member),
        snapshot.heartbeats.get(member),
    )
    if (
        mark is None
        or registration is None
        or heartbeat is None
        or heartbeat.incarnation != registration.incarnation
    ):
        # Guards against a member that was cut off after it had said so: started anew, it may not know.
        return False
    return snapshot.acks.get((pool, runner, member)) == (registration.incarnation, mark.token)


def unconfirmed(snapshot: Snapshot, pool: str, runner: str) -> list[str]:
    """The members that may still send there; none if the drain is confirmed."""
    return [name for name in sorted(snapshot.registrations) if not acknowledged(snapshot, pool, runner, name)]
