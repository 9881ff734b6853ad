"""Which members reach each other, by probes and their acknowledgements. Pure: times are given.

It only leads to proposals of views; no safety rests on it.
"""

from __future__ import annotations

from pulleyroute.control.view import connected_members

PROBE_INTERVAL_US = 200_000
SUSPICION_US = 900_000  # without an acknowledgement


class FailureDetector:
    """Owns what is known of other members' reachability. Times are microseconds of a steady clock."""

    def __init__(self, own: str) -> None:
        """`own`: the own incarnation."""
        self._own = own
        self._acknowledged_at: dict[str, int] = {}
        self._reported: dict[str, tuple[int, frozenset[str]]] = {}
        self._next_probe_at = 0
        self._nonce = 0

    def probe_due(self, now: int) -> int | None:
        """Return the nonce of the next round of probes if it is due."""
        if now < self._next_probe_at:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_US
        self._nonce += 1
        return self._nonce

    def acknowledged(self, member: str, now: int) -> None:
        """Note that a member has answered a probe."""
        self._acknowledged_at[member] = now

    def reported(self, member: str, reachable: tuple[str, ...], now: int) -> None:
        """Note which members another one says it reaches."""
        self._reported[member] = (now, frozenset(reachable))

    def reaches(self, member: str, now: int) -> bool:
        """Whether a member has acknowledged a probe lately; always so for oneself."""
        at = self._acknowledged_at.get(member)
        return member == self._own or (at is not None and now - at < SUSPICION_US)

    def unheard_for(self, member: str, now: int, since: int) -> int:
        """Return for how long a member has acknowledged nothing; `since`: when it became of interest."""
        return now - max(since, self._acknowledged_at.get(member, 0))

    def reachable(self, now: int) -> tuple[str, ...]:
        """Return the members that have acknowledged a probe lately."""
        return tuple(sorted(m for m in self._acknowledged_at if self.reaches(m, now)))

    def connected(self, members: list[str], now: int) -> frozenset[str]:
        """Return the largest set of members that all reach each other, as far as they have reported."""
        reachable = {self._own: frozenset(self.reachable(now))} if self._own in members else {}
        for member in members:
            at, reported = self._reported.get(member, (0, frozenset()))
            if member != self._own and self.reaches(member, now) and now - at < SUSPICION_US:
                reachable[member] = reported
        return connected_members(reachable)
