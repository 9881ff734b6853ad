"""When the bytes of a stream arrived: the time of a pipelined request counts from its own bytes. Pure."""

from __future__ import annotations

from collections import deque

RESOLUTION_US = 10_000  # bytes that arrive within this time of each other count as arriving together


class ArrivalTimes:
    """The arrival times of the bytes that were received and not parsed yet. Times are microseconds."""

    __slots__ = ("_ends", "_received")

    def __init__(self) -> None:
        self._received = 0
        # Of each group of bytes: how many had arrived up to its end, and when it arrived.
        self._ends: deque[tuple[int, int]] = deque()

    def received(self, count: int, now: int) -> None:
        """Note that `count` bytes have arrived."""
        self._received += count
        if self._ends and now - self._ends[-1][1] < RESOLUTION_US:
            now = self._ends.pop()[1]
        self._ends.append((self._received, now))

    def last_parsed(self, unparsed: int) -> int | None:
        """Return when the last byte before the unparsed ones arrived; None if that is not known."""
        return self._time_of(self._received - unparsed)

    def first_unparsed(self, unparsed: int) -> int | None:
        """Return when the first of the unparsed bytes arrived; None if there is none."""
        return self._time_of(self._received - unparsed + 1)

    def _time_of(self, number: int) -> int | None:
        """Return when a byte arrived, counted from 1, and forget those before it."""
        while self._ends and self._ends[0][0] < number:
            self._ends.popleft()
        return self._ends[0][1] if self._ends else None
