"""When one of many callers of the same server calls while that server is away: in its own slot of a period.

At the server's return the calls then come evenly, no faster than the period needs. Random pauses bunch: of
200 callers that draw up to 2 s, some 200 a second come in the first moment. The slots hang on the machines'
common clock and the callers' numbers alone, so that nobody has to talk. Pure: no clock, no I/O.
"""

from __future__ import annotations

SLOT_USED = 0.5  # the share of its slot in which a caller calls: clocks differ a little


class CallSlots:
    """The slots of one caller. Times are whole microseconds, of any clock that the callers share."""

    __slots__ = ("_begin", "_width", "period")

    def __init__(self, period: int, number: int, callers: int) -> None:
        """`number`: this caller's among all, from 0; one beyond `callers` shares another's slot."""
        callers = max(1, callers)
        self.period = period
        self._width = period / callers
        self._begin = int(number % callers * self._width)

    def next(self, now: int, draw: float) -> int:
        """The first time after `now` to call at; `draw` is a random number from 0 to 1."""
        place = self._begin + int(draw * SLOT_USED * self._width)
        return now + ((place - now) % self.period or self.period)
