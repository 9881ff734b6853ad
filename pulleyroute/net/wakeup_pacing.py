"""Decides when the event loop pauses briefly, so that it reads several small stream messages at once. Pure.

Most of the cost of a small message is the wake-up of the process. Like the interrupt moderation of network
cards, the loop pauses before it polls again once wake-ups that bring nothing but stream data follow one
another closely. A peer that sends one message and waits for the answer is not delayed, because its wake-ups
are too far apart. Header frames and the ends of streams, and so all unary calls, end the pauses.
"""

from __future__ import annotations

BURST_GAP_US = 250  # wake-ups closer together than this belong to one burst
BURST_WAKEUPS = 16  # length of a burst before the first pause


class WakeupPacing:
    """The pacing of one loop. `pause_us` is the length of a pause in microseconds; 0 disables pauses."""

    __slots__ = ("_last_wakeup", "_saw_other", "_saw_stream_data", "_burst_length", "pause_us")

    def __init__(self, pause_us: int = 0) -> None:
        self.pause_us = pause_us
        self._saw_stream_data = self._saw_other = False
        self._last_wakeup = self._burst_length = 0

    def record_read(self, only_stream_data: bool) -> None:
        """Record what a connection has read: nothing but a little stream data, or anything else."""
        if only_stream_data:
            self._saw_stream_data = True
        else:
            self._saw_other = True

    def next_pause(self, now: int) -> int:
        """Return how many microseconds to pause before the next poll; `now` is in microseconds too."""
        if not self.pause_us or not (self._saw_stream_data or self._saw_other):
            return 0
        burst = self._saw_stream_data and not self._saw_other
        self._saw_stream_data = self._saw_other = False
        self._burst_length = self._burst_length + 1 if burst and now - self._last_wakeup < BURST_GAP_US else 0
        self._last_wakeup = now
        if self._burst_length < BURST_WAKEUPS:
            return 0
        self._last_wakeup += self.pause_us
        return self.pause_us
