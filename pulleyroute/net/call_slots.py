"""Schedules the retries of many callers of one unavailable server: each caller has its own slot of a period.

When the server returns, the calls arrive evenly, no faster than the period requires. Random pauses cluster:
of 200 callers that draw pauses of up to 2 s, some arrive at a rate of 200 a second in the first moment. The
slots depend only on the machines' common clock and the callers' numbers, so the callers need no coordination.
Pure: no clock, no I/O.
"""

from __future__ import annotations

SLOT_USED = 0.5  # the fraction of its slot in which a caller calls, as clocks differ slightly


class CallSlots:
    """The slots of one caller. Times are whole microseconds, on any clock that the callers share."""

    __slots__ = ("_offset", "_width", "period")

    def __init__(self, period: int, number: int, callers: int) -> None:
        """`number`: this caller's index, from 0; an index from `callers` on shares another caller's slot."""
        callers = max(1, callers)
        self.period = period
        self._width = period / callers
        self._offset = int(number % callers * self._width)

    def next(self, now: int, draw: float) -> int:
        """Return the first time after `now` at which to call; `draw` is a random number from 0 to 1."""
        position = self._offset + int(draw * SLOT_USED * self._width)
        return now + ((position - now) % self.period or self.period)
