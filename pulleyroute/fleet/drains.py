"""When a dispatcher goes out and comes back. Pure: what is known in, the one next step out.

A planned way out begins with a wish (an operator's, a release's), needs a permit, and ends with the permit's
return by the process that serves again. A way out from outside (SIGTERM, SIGKILL, the admin listener) is
obeyed at once by whoever gets it, and counted by everybody else.
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
    """The one thing to do next."""

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
    action: Action
    why: str = ""  # what keeps a wish from being carried out, or the wish


@dataclass(slots=True, frozen=True)
class CountOrShare:
    """A limit as the settings give it: a number, or a share of those that there are."""

    count: int | None = None
    share: float | None = None

    def of(self, there: int) -> int:
        """The limit among so many."""
        return self.count if self.count is not None else members_in_share(self.share or 0.0, there)


@dataclass(slots=True, frozen=True)
class Bounds:
    """The limits in the settings; None for no limit. `size`: members that there are, 0 if not told."""

    fleet: CountOrShare | None = None
    zone: CountOrShare | None = None
    region: CountOrShare | None = None
    least_serving: int = 0
    size: int = 0

    def unregistered(self, snapshot: Snapshot) -> int:
        """How many members have no seat.

        Guards the limits against a store that has lost its records: whoever has not come back to it yet
        counts as out, wherever it stands.
        """
        return max(0, self.size - len(snapshot.registrations))

    def limits(self, snapshot: Snapshot, registration: Registration) -> Limits:
        """As numbers, for one that asks from this seat, less the unseen."""
        registrations = list(snapshot.registrations.values())
        unregistered = self.unregistered(snapshot)
        near = [each for each in registrations if each.region == registration.region]

        def of(part: CountOrShare | None, there: int) -> int | None:
            return None if part is None else part.of(there) - unregistered

        return Limits(
            of(self.fleet, max(len(registrations), self.size)),
            of(self.zone, sum(1 for each in near if each.zone == registration.zone)),
            of(self.region, len(near)),
            self.least_serving,
        )


def step(
    me: str,
    token: str,
    incarnation: int | None,
    phase: str,
    planned: bool,
    snapshot: Snapshot,
    bounds: Bounds,
) -> Step:
    """What a process does next.

    `token`: unlike any other process's; `incarnation`: that it claimed its seat with, None before; `phase`:
    of `net/lifecycle.py`; `planned`: whether it is on standby by a wish.
    """
    registration = snapshot.registrations.get(me)
    if registration is None:
        return Step(Action.CLAIM)
    if snapshot.tokens[me] != token:
        if incarnation is None or registration.incarnation < incarnation:
            return Step(Action.CLAIM)
        return Step(Action.YIELD, f"incarnation {registration.incarnation} has the seat")
    heartbeat, request = snapshot.heartbeats.get(me), snapshot.member_requests.get(me)
    told = (
        heartbeat is not None
        and heartbeat.incarnation == registration.incarnation
        and heartbeat.phase == phase
    )
    permit = me in snapshot.permits
    gone = request is not None and request.do == "restart" and request.incarnation < registration.incarnation
    if request is None or gone:
        if phase == "standby" and (permit or planned):
            # Guards against being out for ever: the store may have lost the wish, and the permit with it. Who
            # was put on standby from outside has neither, and stays.
            return Step(Action.ACTIVE)
        if phase == "serving" and told and (permit or gone):
            # With its word there it counts as serving from this write on, and not a moment before.
            return Step(Action.RETURN)
        return Step(Action.NOTHING)
    if phase not in ("serving", "standby"):
        return Step(Action.NOTHING)
    if not permit:
        if phase == "serving" and not told:
            # Guards the limits against a process that has just come back and counts as out until it has said
            # so: a permit for one who is out changes no count, but this one serves.
            return Step(Action.NOTHING)
        why = permit_refusal(me, snapshot, bounds)
        return Step(Action.ASK, request.do) if why is None else Step(Action.NOTHING, why)
    if request.do == "restart":
        return Step(Action.LEAVE, request.version)
    return Step(Action.STANDBY if phase == "serving" else Action.NOTHING)


def statuses(snapshot: Snapshot) -> dict[str, MemberStatus]:
    """What is known of every member."""
    return member_statuses(snapshot.registrations.values(), snapshot.heartbeats, snapshot.permits)


def permit_refusal(me: str, snapshot: Snapshot, bounds: Bounds) -> str | None:
    """Why a member may not go out now; None if it may."""
    registration = snapshot.registrations.get(me)
    if registration is None:
        return f"{me} has no seat"
    why = refusal(
        snapshot.registrations.values(), statuses(snapshot), bounds.limits(snapshot, registration), me
    )
    if why is not None and bounds.unregistered(snapshot):
        why += f"; {bounds.unregistered(snapshot)} have not come to the store"
    return why


def serving_members(snapshot: Snapshot) -> list[str]:
    """Those whose word a permit's count rests on: their words have to stand unchanged when it is written."""
    return sorted(name for name, how in statuses(snapshot).items() if how is MemberStatus.SERVING)
