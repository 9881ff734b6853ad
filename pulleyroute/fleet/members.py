"""Who is in the fleet, and who counts as out. Pure: what is known in, what follows out.

Two records tell of a member. Its *seat* stays in the store until an operator or the member itself takes it
away; its *word* stands under a lease and says what it does. Absence is not evidence: a seat without a word is
out, and nobody can tell from it whether its process has crashed, stands still or is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum


class MemberStatus(Enum):
    """What is known of a member. Only `SERVING` is not out."""

    SERVING = "serving"
    STARTING = "starting"
    STANDBY = "standby"
    ENDING = "ending"
    PERMITTED = "on a permit"  # it may go at any moment, whatever it says of itself
    SILENT = "silent"  # crashed, stalled or cut off: no word under a lease
    STALE = "stale"  # its word is of an older incarnation than its seat


@dataclass(slots=True, frozen=True)
class Registration:
    """A place in the fleet, kept without a lease. `incarnation`: of the newest process that took it."""

    name: str
    incarnation: int
    zone: str
    region: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """What a process says of itself, under its lease."""

    name: str
    incarnation: int
    phase: str  # of `net/lifecycle.py`
    version: str = ""


@dataclass(slots=True, frozen=True)
class Limits:
    """How many may be out at once. A number of members each; None for no limit."""

    fleet: int | None = None
    zone: int | None = None
    region: int | None = None
    least_serving: int = 0


def members_in_share(most: float, of: int) -> int:
    """The number that a share of so many allows: never more than the share, so that 0.5 of 3 is one."""
    return int(most * of + 1e-9)


def may_claim(registration: Registration | None, incarnation: int) -> bool:
    """Whether a process may take a seat: it is free, its own, or of an older incarnation.

    The other one that claims the same name goes on serving, says so, and touches nothing shared.
    """
    return registration is None or incarnation >= registration.incarnation


_PHASES = {
    "serving": MemberStatus.SERVING,
    "starting": MemberStatus.STARTING,
    "standby": MemberStatus.STANDBY,
}


def member_status(registration: Registration, heartbeat: Heartbeat | None, permitted: bool) -> MemberStatus:
    """What is known of one member. A phase that is not known here counts as out, as `ENDING`."""
    if permitted:
        # Guards the limits: a permit that somebody holds is used up until it is returned, and neither its
        # holder's word nor the end of its lease returns it.
        return MemberStatus.PERMITTED
    if heartbeat is None:
        return MemberStatus.SILENT
    if heartbeat.incarnation != registration.incarnation:
        # Guards against an old process that wakes: its word is not the one that has the seat.
        return MemberStatus.STALE
    return _PHASES.get(heartbeat.phase, MemberStatus.ENDING)


def member_statuses(
    registrations: Iterable[Registration], heartbeats: Mapping[str, Heartbeat], permits: Iterable[str]
) -> dict[str, MemberStatus]:
    """The standing of every member that has a seat; a word without a seat is nobody's."""
    held = set(permits)
    return {
        registration.name: member_status(
            registration, heartbeats.get(registration.name), registration.name in held
        )
        for registration in registrations
    }


def refusal(
    registrations: Iterable[Registration], snapshot: Mapping[str, MemberStatus], limits: Limits, name: str
) -> str | None:
    """Why a member may not go out now, as a line for an operator; None if it may.

    One that is out already changes no count, and so may always have its permit.
    """
    places = {registration.name: registration for registration in registrations}
    asker = places.get(name)
    if asker is None:
        return f"{name} has no seat"
    gone = [
        places[each] for each, how in snapshot.items() if how is not MemberStatus.SERVING and each in places
    ]
    if asker in gone:
        return None
    rows = (
        ("the fleet", limits.fleet, len(gone)),
        (
            f"zone {asker.zone}",
            limits.zone,
            sum(1 for each in gone if (each.region, each.zone) == (asker.region, asker.zone)),
        ),
        (f"region {asker.region}", limits.region, sum(1 for each in gone if each.region == asker.region)),
    )
    for where, most, out in rows:
        if most is not None and out + 1 > most:
            return f"{out} of {where} are out, and {most} may be"
    serving = len(places) - len(gone)
    if serving - 1 < limits.least_serving:
        return f"{serving} serve, and {limits.least_serving} have to"
    return None
