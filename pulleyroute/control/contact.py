"""Contact with a majority of the voters before any answer. Pure: times are given.

An answer is held back until, in a round that began after the answer was worked out, a majority of the
voters has said that the view is the newest they know and is not sealed. Then no newer view had been chosen
when it was worked out. Nothing rests on time: a process that was frozen answers only after a round that its
thawed self has begun.
"""

from __future__ import annotations

from collections.abc import Callable

RETRY_US = 250_000

Release = Callable[[], None]  # gives the answers that waited for a round


class ContactRounds:
    """Owns the answers that wait, and the round under way. Times are microseconds of a steady clock."""

    def __init__(self) -> None:
        self._nonce = 0
        self._waiting: list[Release] = []  # for the next round
        self._in_round: list[Release] = []
        self._confirmed: set[str] = set()
        self._majority = 0
        self._send_again_at = 0

    def add(self, release: Release) -> None:
        """Hold an answer back until a round that begins from now on is complete."""
        self._waiting.append(release)

    def clear(self) -> None:
        """Forget all answers, as after a change of the view; their callers get none from here."""
        self._waiting.clear()
        self._in_round.clear()
        self._nonce += 1

    def begin(self, majority: int, now: int) -> int | None:
        """Begin a round if answers wait and none is under way; return the nonce to ask the voters with."""
        if self._in_round or not self._waiting:
            return None
        self._in_round, self._waiting = self._waiting, []
        self._confirmed = set()
        self._majority = majority
        self._nonce += 1
        self._send_again_at = now + RETRY_US
        return self._nonce

    def retry(self, now: int) -> int | None:
        """Return the nonce to ask again with, if the round under way is due for it."""
        if not self._in_round or now < self._send_again_at:
            return None
        self._send_again_at = now + RETRY_US
        return self._nonce

    def confirmed(self, voter: str, nonce: int) -> None:
        """Note a voter's confirmation; gives the answers of the round once a majority has confirmed."""
        if not self._in_round or nonce != self._nonce:
            return
        self._confirmed.add(voter)
        if len(self._confirmed) >= self._majority:
            released, self._in_round = self._in_round, []
            for release in released:
                release()
