"""When a dispatcher goes out and comes back. Pure: what is known in, the one next step out.

A planned way out begins with a wish (an operator's, a release's), needs a permit, and ends with the permit's
return by the process that serves again. A way out from outside (SIGTERM, SIGKILL, the admin listener) is
obeyed at once by whoever gets it, and counted by everybody else.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pulleyroute.fleet.members import Limits, Seat, Standing, picture, refusal, share
from pulleyroute.fleet.records import Known


class Act(Enum):
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
    act: Act
    why: str = ""  # what keeps a wish from being carried out, or the wish


@dataclass(slots=True, frozen=True)
class Part:
    """A limit as the settings give it: a number, or a share of those that there are."""

    count: int | None = None
    share: float | None = None

    def of(self, there: int) -> int:
        """The limit among so many."""
        return self.count if self.count is not None else share(self.share or 0.0, there)


@dataclass(slots=True, frozen=True)
class Bounds:
    """The limits in the settings; None for no limit. `size`: members that there are, 0 if not told."""

    fleet: Part | None = None
    zone: Part | None = None
    region: Part | None = None
    least_serving: int = 0
    size: int = 0

    def unseen(self, known: Known) -> int:
        """How many members have no seat.

        Guards the limits against a store that has lost its records: whoever has not come back to it yet
        counts as out, wherever it stands.
        """
        return max(0, self.size - len(known.seats))

    def limits(self, known: Known, seat: Seat) -> Limits:
        """As numbers, for one that asks from this seat, less the unseen."""
        seats = list(known.seats.values())
        unseen = self.unseen(known)
        near = [each for each in seats if each.region == seat.region]

        def of(part: Part | None, there: int) -> int | None:
            return None if part is None else part.of(there) - unseen

        return Limits(
            of(self.fleet, max(len(seats), self.size)),
            of(self.zone, sum(1 for each in near if each.zone == seat.zone)),
            of(self.region, len(near)),
            self.least_serving,
        )


def step(
    me: str, token: str, incarnation: int | None, phase: str, planned: bool, known: Known, bounds: Bounds
) -> Step:
    """What a process does next.

    `token`: unlike any other process's; `incarnation`: that it claimed its seat with, None before; `phase`:
    of `net/lifecycle.py`; `planned`: whether it is on standby by a wish.
    """
    seat = known.seats.get(me)
    if seat is None:
        return Step(Act.CLAIM)
    if known.tokens[me] != token:
        if incarnation is None or seat.incarnation < incarnation:
            return Step(Act.CLAIM)
        return Step(Act.YIELD, f"incarnation {seat.incarnation} has the seat")
    word, wish = known.words.get(me), known.wishes.get(me)
    told = word is not None and word.incarnation == seat.incarnation and word.phase == phase
    permit = me in known.permits
    gone = wish is not None and wish.do == "restart" and wish.incarnation < seat.incarnation
    if wish is None or gone:
        if phase == "standby" and (permit or planned):
            # Guards against being out for ever: the store may have lost the wish, and the permit with it. Who
            # was put on standby from outside has neither, and stays.
            return Step(Act.ACTIVE)
        if phase == "serving" and told and (permit or gone):
            # With its word there it counts as serving from this write on, and not a moment before.
            return Step(Act.RETURN)
        return Step(Act.NOTHING)
    if phase not in ("serving", "standby"):
        return Step(Act.NOTHING)
    if not permit:
        if phase == "serving" and not told:
            # Guards the limits against a process that has just come back and counts as out until it has said
            # so: a permit for one who is out changes no count, but this one serves.
            return Step(Act.NOTHING)
        why = refused(me, known, bounds)
        return Step(Act.ASK, wish.do) if why is None else Step(Act.NOTHING, why)
    if wish.do == "restart":
        return Step(Act.LEAVE, wish.version)
    return Step(Act.STANDBY if phase == "serving" else Act.NOTHING)


def standings(known: Known) -> dict[str, Standing]:
    """What is known of every member."""
    return picture(known.seats.values(), known.words, known.permits)


def refused(me: str, known: Known, bounds: Bounds) -> str | None:
    """Why a member may not go out now; None if it may."""
    seat = known.seats.get(me)
    if seat is None:
        return f"{me} has no seat"
    why = refusal(known.seats.values(), standings(known), bounds.limits(known, seat), me)
    if why is not None and bounds.unseen(known):
        why += f"; {bounds.unseen(known)} have not come to the store"
    return why


def counted(known: Known) -> list[str]:
    """Those whose word a permit's count rests on: their words have to stand unchanged when it is written."""
    return sorted(name for name, how in standings(known).items() if how is Standing.SERVING)
