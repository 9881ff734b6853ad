"""Proposes the view after the present one: when, which, and the two phases of the agreement. Pure: times
are given.

One proposer is preferred, the first of the members that reach each other; others step in after a longer
time, so that two seldom compete. Pauses after a proposal that failed are drawn by Full Jitter.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from pulleyroute.control.agreement import accepted_before, next_view
from pulleyroute.control.messages import Accept, Accepted, Ballot, Prepare, Promise
from pulleyroute.control.view import MemberId, View
from pulleyroute.net.backoff import Backoff

PREFERRED_DELAY_US = 300_000  # for which a reason to change the view has to last before it is proposed
OTHERS_DELAY_US = 1_500_000  # likewise, for members that are not the preferred proposer
PROMISE_GRACE_US = 200_000  # to wait for the promises of more than a majority
PROPOSAL_TIMEOUT_US = 1_000_000
FIRST_PAUSE_US, MAX_PAUSE_US = 200_000, 1_600_000
MAX_VOTERS = 9


class Phase(Enum):
    """Where a proposal is."""

    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"


@dataclass(slots=True, frozen=True)
class DesiredView:
    """What a member would propose: the members of the chain, and the voters."""

    chain: frozenset[str]
    voters: tuple[MemberId, ...]


class Proposer:
    """Owns the proposal of one member. Times are microseconds of a steady clock."""

    def __init__(self, own: str, min_chain: int, random: Random) -> None:
        """`own`: the own incarnation; `min_chain`: the least members of a chain that may acknowledge."""
        self._own = own
        self._min_chain = min_chain
        self._backoff = Backoff(FIRST_PAUSE_US, MAX_PAUSE_US, random)
        self.phase = Phase.IDLE
        self._round = 0
        self._desired: DesiredView | None = None
        self._desired_since = 0
        self._not_before = 0
        self._deadline = 0
        self._choose_at = 0
        self.ballot = Ballot(0, own)
        self.promises: dict[str, Promise] = {}
        self._members: dict[str, MemberId] = {}
        self._voters_promised: set[str] = set()
        self._voters_accepted: set[str] = set()
        self._proposed: View | None = None

    def reset(self, now: int) -> None:
        """Give up the proposal, as another view was learnt."""
        self.phase = Phase.IDLE
        self._backoff.succeeded()
        self._not_before = now

    def desire(self, view: DesiredView | None, now: int) -> None:
        """Note what the view should be, None if the present one should stay."""
        if view != self._desired:
            self._desired, self._desired_since = view, now

    def is_due(self, preferred: bool, now: int) -> bool:
        """Whether to begin a proposal now."""
        if self._desired is None or self.phase is not Phase.IDLE or now < self._not_before:
            return False
        delay = PREFERRED_DELAY_US if preferred else OTHERS_DELAY_US
        return now - self._desired_since >= delay

    def begin(self, number: int, promised: Ballot | None, now: int) -> Prepare:
        """Begin a proposal above the ballot that was promised; return the message for all voters."""
        self._round = max(self._round, promised.round if promised else 0) + 1
        self.ballot = Ballot(self._round, self._own)
        self.phase = Phase.PREPARING
        self.promises, self._members = {}, {}
        self._voters_promised, self._voters_accepted = set(), set()
        self._deadline = now + PROPOSAL_TIMEOUT_US
        self._choose_at = now + PROMISE_GRACE_US
        return Prepare(number, self.ballot)

    def rejected(self, promised: Ballot, now: int) -> None:
        """Note that a voter has promised a higher ballot to another proposer."""
        self._round = max(self._round, promised.round)
        self._fail(now)

    def check_timeout(self, now: int) -> None:
        """Give up a proposal that takes too long."""
        if self.phase is not Phase.IDLE and now >= self._deadline:
            self._fail(now)

    def _fail(self, now: int) -> None:
        if self.phase is not Phase.IDLE:
            self.phase = Phase.IDLE
            self._not_before = now + self._backoff.failed()

    def on_promise(self, voter: str, member: MemberId, promise: Promise) -> None:
        """Note a promise; `voter` is the name under which its member votes."""
        if self.phase is Phase.PREPARING and promise.ballot == self.ballot:
            self.promises[member.incarnation] = promise
            self._members[member.incarnation] = member
            self._voters_promised.add(voter)

    def propose(self, view: View, now: int) -> Accept | None:
        """Return the message for all voters once enough promises are there, None before."""
        if self.phase is not Phase.PREPARING or len(self._voters_promised) < view.majority:
            return None
        if now < self._choose_at and len(self._voters_promised) < len(view.voters):
            return None
        proposed = accepted_before(self.promises) or self._new_view(view)
        if proposed is None:
            return None
        self._proposed = proposed
        self.phase = Phase.ACCEPTING
        return Accept(self.ballot, proposed)

    def _new_view(self, view: View) -> View | None:
        if view.number == 0:
            everyone = frozenset(self._members)
            voters = tuple(sorted(self._members.values()))
            return next_view(view, self.promises, everyone, voters, self._min_chain)
        desired = self._desired or DesiredView(frozenset(view.chain), view.voters)
        return next_view(view, self.promises, desired.chain, desired.voters, self._min_chain)

    def on_accepted(self, voter: str, accepted: Accepted, majority: int) -> View | None:
        """Note an acceptance; returns the proposed view once it is chosen."""
        if self.phase is not Phase.ACCEPTING or accepted.ballot != self.ballot:
            return None
        self._voters_accepted.add(voter)
        if len(self._voters_accepted) < majority:
            return None
        self.phase = Phase.IDLE
        return self._proposed


def next_voters(
    view: View, newcomer: MemberId | None, dead: frozenset[str], all_reached: bool, least: int
) -> tuple[MemberId, ...]:
    """Return the voters of the next view: one change at most.

    A newcomer takes the place of a voter that is dead, or whose address it has, as that voter's disk is
    lost. It is added only while all voters are reached: beside a dead one it would leave a larger majority
    to lose. A dead voter leaves without a successor only where `least` remain.
    """
    if newcomer is not None:
        leaving = [voter for voter in view.voters if voter.address == newcomer.address]
        leaving += [voter for voter in view.voters if voter.incarnation in dead]
        if leaving:
            return tuple(sorted(newcomer if voter == leaving[0] else voter for voter in view.voters))
        if all_reached and len(view.voters) < MAX_VOTERS:
            return tuple(sorted((*view.voters, newcomer)))
    gone = min((voter for voter in view.voters if voter.incarnation in dead), default=None)
    if gone is not None and len(view.voters) > least:
        return tuple(voter for voter in view.voters if voter != gone)
    return view.voters
