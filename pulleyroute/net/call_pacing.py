"""Decides when to call discovery again, and how long a call may wait for its answer. No I/O, no clock.

All the time limits here share one budget: an update from discovery counts as delivered `UPDATE_DEADLINE`
after discovery was able to send it. All times are in microseconds.
"""

from __future__ import annotations

from random import Random

from pulleyroute.interface import Settings
from pulleyroute.net.backoff import Backoff
from pulleyroute.net.call_slots import CallSlots

# An update counts as delivered this long after discovery was able to send it, whether or not it arrived.
# These steps share the time: noticing that a watch is silent, the pause before the next call, its connect,
# its answer.
UPDATE_DEADLINE = 6_000_000
WATCH_TIMEOUT = 2_500_000  # a watch sends a line every 2 s, and is broken after this time without one
FIRST_PAUSE_LIMIT = 500_000  # upper limit of the pause before the first call after a watch has ended
CONNECT_TIMEOUT = 600_000
# Time limit of a call, from its connect to the response head of a watch or to the full list. Discovery works
# through its calls in order; a call abandoned before discovery has answered or rejected it is wasted work
# there and delays the other callers. A call therefore gets all that remains of `UPDATE_DEADLINE` after the
# silence and the pause before it, within these bounds.
CALL_TIMEOUT_MIN, CALL_TIMEOUT_MAX = 1_800_000, 4_000_000
# Upper limit of the pause between two calls while discovery is unavailable: as long as `UPDATE_DEADLINE`
# allows, to keep the call rate of a large fleet as low as possible when discovery returns.
PAUSE_LIMIT = 4_200_000
STABLE_WATCH = 2_000_000  # a watch that lasted this long was stable and is reopened soon, whatever the pauses
OVERLOAD_THRESHOLD = 700_000  # a call that fails only after this long was queued: discovery is overloaded
# Pauses scale with the number of dispatchers that call the same discovery. The second value is a caller's
# slot where discovery answers ten calls a second.
FIRST_PAUSE_PER_DISPATCHER, PAUSE_LIMIT_PER_DISPATCHER = 25_000, 110_000
# Processes spread their first calls over this time, which scales with the size of the fleet.
START_SPREAD, START_SPREAD_PER_DISPATCHER = 2_000_000, 50_000
PAUSE_LIMIT_MIN = 250_000  # lower bound of the pause limit in small fleets while discovery is unavailable
# The watch of a pushed list is retried within the drain grace divided by the first value, later by the
# second, so that no update in between is missed.
PUSHED_FIRST_DIVISOR, PUSHED_LIMIT_DIVISOR = 16, 2


class CallPacing:
    """Owns the pauses between this dispatcher's calls to its discovery."""

    def __init__(self, settings: Settings, epoch: int, random: Random) -> None:
        """`epoch`: Unix time when the caller's clock was at 0."""
        self._epoch, self._random = epoch, random
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Apply new settings; the pauses start over."""
        # One discovery serves all dispatchers, while an agent serves a single one.
        self._shared = settings.list_on_request
        self._start_spread = min(START_SPREAD, settings.dispatchers * START_SPREAD_PER_DISPATCHER)
        if self._shared:
            first = min(FIRST_PAUSE_LIMIT, settings.dispatchers * FIRST_PAUSE_PER_DISPATCHER)
            limit = max(PAUSE_LIMIT_MIN, min(PAUSE_LIMIT, settings.dispatchers * PAUSE_LIMIT_PER_DISPATCHER))
        else:
            grace = max(1, settings.drain_grace)
            first, limit = grace // PUSHED_FIRST_DIVISOR, grace // PUSHED_LIMIT_DIVISOR
        self._unavailable = Backoff(max(1, first), max(1, limit), self._random)
        self._slots = CallSlots(self._unavailable.cap, settings.me, settings.dispatchers)
        # Calls that waited too long cost discovery work as well, so an overloaded discovery recovers only if
        # the calls become fewer than it can process.
        first = 2 * max(PAUSE_LIMIT_MIN, self._start_spread)
        self._overloaded = Backoff(first, PAUSE_LIMIT, self._random)
        self.call_timeout = CALL_TIMEOUT_MAX  # of the next call

    def first_pause(self) -> int:
        """Return the random pause before a process's first call, whose range scales with the fleet."""
        return int(self._random.random() * self._start_spread) if self._shared else 0

    def address_changed(self) -> None:
        """Reset the pauses: the failures at the previous address say nothing about the new one."""
        self._unavailable.succeeded()
        self._overloaded.succeeded()

    def opened(self) -> None:
        """Note that a watch is open, so discovery is not overloaded."""
        self._overloaded.succeeded()

    def after_watch(self, now: int, lasted: int, timed_out: bool) -> int:
        """Return the pause after a watch that was open for `lasted`.

        `timed_out`: the watch sent no complete line for `WATCH_TIMEOUT`.
        """
        silence = WATCH_TIMEOUT if timed_out else 0
        if lasted >= min(STABLE_WATCH, self._unavailable.cap):
            # A stable watch is reopened soon, as there may be further updates. A watch that breaks as soon as
            # it opens is not, because the next one would probably break as well.
            self._unavailable.succeeded()
            if not self._shared:
                self.call_timeout = remaining_call_timeout(silence)
                return 0
        return self._pause(now, silence)

    def after_failure(self, now: int, took: int) -> int:
        """Return the pause after a call that failed after `took`; `now` is the caller's clock."""
        if self._shared and took >= OVERLOAD_THRESHOLD:
            self.call_timeout = CALL_TIMEOUT_MAX
            return self._overloaded.failed()
        return self._pause(now, 0)

    def _pause(self, now: int, silence: int) -> int:
        """Return the pause where discovery does not seem overloaded, and set the next call's time limit."""
        if self._shared and self._unavailable.failures:
            pause = self._until_slot(now)
        else:
            pause = self._unavailable.failed()
        self.call_timeout = remaining_call_timeout(silence + pause)
        return pause

    def _until_slot(self, now: int) -> int:
        unix = self._epoch + now
        return self._slots.next(unix, self._random.random()) - unix


def remaining_call_timeout(spent: int) -> int:
    """Return how long a call may take when `spent` of `UPDATE_DEADLINE` has already passed."""
    return max(CALL_TIMEOUT_MIN, min(CALL_TIMEOUT_MAX, UPDATE_DEADLINE - spent))
