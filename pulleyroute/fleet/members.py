"""Membership of a fleet: which members exist, and which of them count as out of service. No I/O.

Two records describe a member. Its registration has no lease and stays in the store until an operator or the
member itself removes it. Its heartbeat is attached to a lease and states the phase of the process. A missing
heartbeat doesn't tell whether the process has crashed, is stalled or is cut off from the store, so a
registered member without a heartbeat counts as out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum


class MemberStatus(Enum):
    """The status of a member as derived from its records. Every status but `SERVING` counts as out."""

    SERVING = "serving"
    STARTING = "starting"
    STANDBY = "standby"
    ENDING = "ending"
    PERMITTED = "on a permit"  # may leave service at any moment, whatever phase its heartbeat states
    SILENT = "silent"  # no heartbeat: crashed, stalled or cut off
    STALE = "stale"  # the heartbeat is of an older incarnation than the registration


@dataclass(slots=True, frozen=True)
class Registration:
    """A member's entry in the fleet, stored without a lease.

    `incarnation`: number of the newest process that has registered under the name.
    """

    name: str
    incarnation: int
    zone: str
    region: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """The state that a process reports of itself, stored under its lease."""

    name: str
    incarnation: int
    phase: str  # a value of `net.lifecycle.Phase`
    version: str = ""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on members out at the same time, as numbers of members; None for no limit.

    `least_serving`: the number of members that have to keep serving.
    """

    fleet: int | None = None
    zone: int | None = None
    region: int | None = None
    least_serving: int = 0


def members_in_share(share: float, total: int) -> int:
    """Return the largest number of members that doesn't exceed a share of the total: 1 for 0.5 of 3."""
    return int(share * total + 1e-9)


def may_claim(registration: Registration | None, incarnation: int) -> bool:
    """Return whether a process may register under a name that has this registration.

    The name has to be free, the process's own, or held by an older incarnation. A process that may not
    register continues to serve, logs the conflict and writes nothing to the store.
    """
    return registration is None or incarnation >= registration.incarnation


_STATUS_BY_PHASE = {
    "serving": MemberStatus.SERVING,
    "starting": MemberStatus.STARTING,
    "standby": MemberStatus.STANDBY,
}


def member_status(registration: Registration, heartbeat: Heartbeat | None, permitted: bool) -> MemberStatus:
    """Return the status of one member. A phase that this version doesn't know counts as `ENDING`."""
    if permitted:
        # A permit counts against the limits until it is returned. Neither its holder's heartbeat nor the end
        # of the holder's lease returns it.
        return MemberStatus.PERMITTED
    if heartbeat is None:
        return MemberStatus.SILENT
    if heartbeat.incarnation != registration.incarnation:
        # The heartbeat of an old process that resumes doesn't describe the process that is registered now.
        return MemberStatus.STALE
    return _STATUS_BY_PHASE.get(heartbeat.phase, MemberStatus.ENDING)


def member_statuses(
    registrations: Iterable[Registration], heartbeats: Mapping[str, Heartbeat], permits: Iterable[str]
) -> dict[str, MemberStatus]:
    """Return the status of every registered member by name; heartbeats without a registration are ignored."""
    permitted = set(permits)
    return {
        registration.name: member_status(
            registration, heartbeats.get(registration.name), registration.name in permitted
        )
        for registration in registrations
    }


def refusal(
    registrations: Iterable[Registration], statuses: Mapping[str, MemberStatus], limits: Limits, name: str
) -> str | None:
    """Return why a member may not leave service now, as one line for an operator; None if it may.

    A member that is out already changes no count, so its permit is never refused.
    """
    by_name = {registration.name: registration for registration in registrations}
    candidate = by_name.get(name)
    if candidate is None:
        return f"{name} is not registered"
    out = [
        by_name[each]
        for each, status in statuses.items()
        if status is not MemberStatus.SERVING and each in by_name
    ]
    if candidate in out:
        return None
    rows = (
        ("the fleet", limits.fleet, len(out)),
        (
            f"zone {candidate.zone}",
            limits.zone,
            sum(1 for each in out if (each.region, each.zone) == (candidate.region, candidate.zone)),
        ),
        (
            f"region {candidate.region}",
            limits.region,
            sum(1 for each in out if each.region == candidate.region),
        ),
    )
    for scope, limit, count in rows:
        if limit is not None and count + 1 > limit:
            return f"members out in {scope}: {count}; limit: {limit}"
    serving = len(by_name) - len(out)
    if serving - 1 < limits.least_serving:
        return f"members serving: {serving}; minimum: {limits.least_serving}"
    return None
