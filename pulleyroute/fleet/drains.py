"""When a member leaves service and returns: the next step, as a function of the records. No I/O.

A planned outage starts with a request by an operator or a release, needs a permit, and ends when the process
that serves again returns the permit. An outage caused from outside (SIGTERM, SIGKILL, the admin listener)
takes effect at once, without a permit, and the other members count it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pulleyroute.fleet.members import (
    Limits,
    MemberStatus,
    Registration,
    member_statuses,
    members_in_share,
    refusal,
)
from pulleyroute.fleet.records import Snapshot


class Action(Enum):
    """The next thing that a process has to do; the values appear in the log."""

    NOTHING = "nothing"
    CLAIM = "claim the seat"
    YIELD = "touch nothing: a newer process has the seat"
    ASK = "ask for a permit"
    STANDBY = "go on standby"
    LEAVE = "leave, to be started again"
    ACTIVE = "serve again"
    RETURN = "return the permit"


@dataclass(slots=True, frozen=True)
class Step:
    """The next action. `why`: the requested action or version, or what delays the request."""

    action: Action
    why: str = ""


@dataclass(slots=True, frozen=True)
class CountOrShare:
    """A limit in the configuration: a number, or a share of a total. Exactly one of the two is set."""

    count: int | None = None
    share: float | None = None

    def of(self, total: int) -> int:
        """Return the limit as a number, for this total."""
        return self.count if self.count is not None else members_in_share(self.share or 0.0, total)


@dataclass(slots=True, frozen=True)
class Bounds:
    """The configured limits on members out at the same time; None for no limit.

    `least_serving`: number of members that have to keep serving. `size`: number of members that the fleet is
    configured to have, 0 if not configured.
    """

    fleet: CountOrShare | None = None
    zone: CountOrShare | None = None
    region: CountOrShare | None = None
    least_serving: int = 0
    size: int = 0

    def unregistered(self, snapshot: Snapshot) -> int:
        """Return how many of the configured members are not registered.

        They count as out in every zone and region. Otherwise the limits would be exceeded after the store has
        lost its records, while some members have not registered again.
        """
        return max(0, self.size - len(snapshot.registrations))

    def limits(self, snapshot: Snapshot, registration: Registration) -> Limits:
        """Return the limits as numbers for a registered member, less the members that are not registered."""
        registrations = list(snapshot.registrations.values())
        unregistered = self.unregistered(snapshot)
        same_region = [each for each in registrations if each.region == registration.region]

        def remaining(limit: CountOrShare | None, total: int) -> int | None:
            return None if limit is None else limit.of(total) - unregistered

        return Limits(
            remaining(self.fleet, max(len(registrations), self.size)),
            remaining(self.zone, sum(1 for each in same_region if each.zone == registration.zone)),
            remaining(self.region, len(same_region)),
            self.least_serving,
        )


def step(
    name: str,
    token: str,
    incarnation: int | None,
    phase: str,
    planned: bool,
    snapshot: Snapshot,
    bounds: Bounds,
) -> Step:
    """Return the next step of a member's process.

    `token`: unique to the process. `incarnation`: the one that it registered with, None before. `phase`: a
    value of `net.lifecycle.Phase`. `planned`: whether it is on standby because of a request.
    """
    registration = snapshot.registrations.get(name)
    if registration is None:
        return Step(Action.CLAIM)
    if snapshot.tokens[name] != token:
        if incarnation is None or registration.incarnation < incarnation:
            return Step(Action.CLAIM)
        return Step(Action.YIELD, f"incarnation {registration.incarnation} is registered")
    heartbeat, request = snapshot.heartbeats.get(name), snapshot.member_requests.get(name)
    reported = (
        heartbeat is not None
        and heartbeat.incarnation == registration.incarnation
        and heartbeat.phase == phase
    )
    has_permit = name in snapshot.permits
    restarted = (
        request is not None and request.do == "restart" and request.incarnation < registration.incarnation
    )
    if request is None or restarted:
        if phase == "standby" and (has_permit or planned):
            # `planned` covers a store that has lost the request and the permit: the process would stay on
            # standby for ever. A process put on standby from outside has neither and stays there.
            return Step(Action.ACTIVE)
        if phase == "serving" and reported and (has_permit or restarted):
            # Its heartbeat states that it serves, so that it counts as serving as soon as the permit is gone.
            return Step(Action.RETURN)
        return Step(Action.NOTHING)
    if phase not in ("serving", "standby"):
        return Step(Action.NOTHING)
    if not has_permit:
        if phase == "serving" and not reported:
            # A process that has just returned to service counts as out until its heartbeat is written. A
            # member that is out gets a permit beyond the limits, since that changes no count; but this
            # process serves, and would be one more member out.
            return Step(Action.NOTHING)
        reason = permit_refusal(name, snapshot, bounds)
        return Step(Action.ASK, request.do) if reason is None else Step(Action.NOTHING, reason)
    if request.do == "restart":
        return Step(Action.LEAVE, request.version)
    return Step(Action.STANDBY if phase == "serving" else Action.NOTHING)


def statuses(snapshot: Snapshot) -> dict[str, MemberStatus]:
    """Return the status of every registered member by name."""
    return member_statuses(snapshot.registrations.values(), snapshot.heartbeats, snapshot.permits)


def permit_refusal(name: str, snapshot: Snapshot, bounds: Bounds) -> str | None:
    """Return why a member may not leave service now, as one line for an operator; None if it may."""
    registration = snapshot.registrations.get(name)
    if registration is None:
        return f"{name} is not registered"
    reason = refusal(
        snapshot.registrations.values(), statuses(snapshot), bounds.limits(snapshot, registration), name
    )
    if reason is not None and bounds.unregistered(snapshot):
        reason += f"; members not registered: {bounds.unregistered(snapshot)}"
    return reason


def serving_members(snapshot: Snapshot) -> list[str]:
    """Return the members that the count for a permit relies on as serving.

    Their heartbeats have to be unchanged when the permit is written.
    """
    return sorted(name for name, status in statuses(snapshot).items() if status is MemberStatus.SERVING)
