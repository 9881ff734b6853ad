"""One delay law for everything in `net/` that tries again: Full Jitter, as in the AWS article on exponential
back-off. Pure: no clock, no I/O."""

from __future__ import annotations

from random import Random


class Backoff:
    """How long to wait before the next try: random(0, min(cap, base * 2 ** n)) after n tries that failed.

    Times are whole microseconds. The draws are the given generator's, so that a run replays from its seed.
    """

    __slots__ = ("_base", "_random", "cap", "failures")

    def __init__(self, base: int, cap: int, random: Random) -> None:
        self._base, self.cap, self._random = base, cap, random
        self.failures = 0  # since the last success

    def failed(self) -> int:
        """A try has failed: the time to let pass before the next."""
        limit = min(self.cap, self._base * 2 ** min(self.failures, 40))
        self.failures += 1
        return int(self._random.random() * limit)

    def succeeded(self) -> None:
        """A try has gone well: the next failure is a first one again."""
        self.failures = 0
