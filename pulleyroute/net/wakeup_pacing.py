"""When a loop that carries streams of small messages rests for a moment, so that more come at once. Pure.

What a message costs is mostly being woken for it. As network cards do ("interrupt moderation"), the loop
rests once wake-ups for nothing but stream data come fast, one after another. Whoever sends one message and
waits for its answer is never held up: its wake-ups are too far apart. Heads and endings, so all unary calls,
end the rests.
"""

from __future__ import annotations

BURST_GAP_US = 250  # microseconds between two wake-ups that count as one after another
BURST_WAKEUPS = 16  # so many of them before the first rest


class WakeupPacing:
    """One loop's. `pause_us`: microseconds of a rest; 0 for never."""

    __slots__ = ("_last", "_other", "_plain", "_row", "pause_us")

    def __init__(self, pause_us: int = 0) -> None:
        self.pause_us = pause_us
        self._plain = self._other = False
        self._last = self._row = 0

    def record_read(self, only_stream_data: bool) -> None:
        """A connection has read: nothing but a little stream data, or something else."""
        if only_stream_data:
            self._plain = True
        else:
            self._other = True

    def next_pause(self, now: int) -> int:
        """How many microseconds to rest before the next look; `now` in the same."""
        if not self.pause_us or not (self._plain or self._other):
            return 0
        busy = self._plain and not self._other
        self._plain = self._other = False
        self._row = self._row + 1 if busy and now - self._last < BURST_GAP_US else 0
        self._last = now
        if self._row < BURST_WAKEUPS:
            return 0
        self._last += self.pause_us
        return self.pause_us
