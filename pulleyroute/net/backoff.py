"""Exponential back-off with full jitter, used by everything in `net/` that retries.

The formula is "Full Jitter" of the AWS article on exponential back-off. Pure: no clock, no I/O.
"""

from __future__ import annotations

from random import Random


class Backoff:
    """Computes the delay before the next try: random(0, min(cap, base * 2 ** n)) after n failures in a row.

    Times are whole microseconds. Random numbers come from the given generator, so a run can be replayed from
    its seed.
    """

    __slots__ = ("_base", "_random", "cap", "failures")

    def __init__(self, base: int, cap: int, random: Random) -> None:
        self._base, self.cap, self._random = base, cap, random
        self.failures = 0  # in a row, since the last success

    def failed(self) -> int:
        """Record a failed try and return the delay before the next one, in microseconds."""
        limit = min(self.cap, self._base * 2 ** min(self.failures, 40))
        self.failures += 1
        return int(self._random.random() * limit)

    def succeeded(self) -> None:
        """Record a successful try: the delays start from the base again."""
        self.failures = 0
