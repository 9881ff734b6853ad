"""A view: which members vote, and the chain of members that replicates the configuration. Pure.

Views are numbered. View n+1 is chosen by the voters of view n (`agreement.py`), so that two views of one
number never exist. View 0 has no chain; its voters are the seeds, known by their addresses, and it only
chooses view 1.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import combinations

import msgspec


class MemberId(msgspec.Struct, frozen=True, order=True):
    """A member: the incarnation of its data folder, and the address at which other members reach it."""

    incarnation: str
    address: str


class View(msgspec.Struct, frozen=True):
    """One view. `chain`: incarnations of voters in order, the head first."""

    number: int
    voters: tuple[MemberId, ...]
    chain: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """The number of voters that is more than half."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> str | None:
        """The member that orders changes; None in view 0."""
        return self.chain[0] if self.chain else None

    @property
    def tail(self) -> str | None:
        """The member at which a change is on all disks of the chain; None in view 0."""
        return self.chain[-1] if self.chain else None

    def successor(self, incarnation: str) -> str | None:
        """Return the next member of the chain; None for the tail and for members outside the chain."""
        if incarnation not in self.chain or incarnation == self.tail:
            return None
        return self.chain[self.chain.index(incarnation) + 1]

    def voter_id(self, member: MemberId) -> str | None:
        """Return the name under which a member votes in this view; None if it has no vote."""
        for voter in self.voters:
            if self.number == 0 and voter.address == member.address:
                return member.address
            if self.number > 0 and voter.incarnation == member.incarnation:
                return member.incarnation
        return None

    def address(self, incarnation: str) -> str | None:
        """Return the address of a voter; None if there is no such voter."""
        return next((voter.address for voter in self.voters if voter.incarnation == incarnation), None)


def genesis(seeds: Iterable[str]) -> View:
    """Return view 0, in which the members at the seeds' addresses vote."""
    return View(0, tuple(MemberId("", address) for address in sorted(set(seeds))))


def connected_members(reachable: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Return the largest set of members that all reach each other; of equal ones the first in order.

    `reachable`: by member, those to and from which it had answers lately. Sizes are those of a core, nine
    at most.
    """
    members = sorted(reachable)
    for size in range(len(members), 1, -1):
        for group in combinations(members, size):
            if all(b in reachable[a] and a in reachable[b] for a, b in combinations(group, 2)):
                return frozenset(group)
    return frozenset(members[:1])
