"""When to call discovery again, and how long a call may take for its answer. No I/O, no clock.

Every bound is a part of one budget: what discovery has to tell counts as told `TOLD` after it could tell it.
All times are microseconds.
"""

from __future__ import annotations

from random import Random

from pulleyroute.interface import Settings
from pulleyroute.net.backoff import Backoff
from pulleyroute.net.call_slots import CallSlots

# What discovery has to tell counts as told so long after it could tell it, whether it came or not. Each bound
# on the way is a part of this: a watch falls silent, the pause before the next call, its connect, its answer.
UPDATE_DEADLINE = 6_000_000
WATCH_TIMEOUT = 2_500_000  # a watch says something every 2 s; this long without a whole line and it is broken
FIRST_PAUSE_LIMIT = 500_000  # before the first call after a watch has ended, at most
CONNECT_TIMEOUT = 600_000
# To the head of a watch, or the whole list: discovery works through its calls in turn, and one that is given
# up before it is answered or turned away is work for nobody, and keeps others waiting. A call has what is
# left of `TOLD` after the silence and the pause before it, from LEAST_ANSWER to ANSWER.
ANSWER_TIMEOUT_MIN, ANSWER_TIMEOUT_MAX = 1_200_000, 3_400_000
# Between two calls while discovery is away: as long as `TOLD` allows, so that the calls of a large fleet come
# no faster at its return than they must.
PAUSE_LIMIT = 4_200_000
STABLE_WATCH = 2_000_000  # a watch that lasted so long stood, however long the pauses: it is opened anew soon
OVERLOAD_THRESHOLD = (
    700_000  # a call that fails after so long has waited for its turn: discovery has too many callers
)
# Of the pauses, for each dispatcher that calls the same discovery. The longest: the slots of a fleet whose
# discovery answers ten calls a second.
FIRST_PAUSE_PER_DISPATCHER, PAUSE_LIMIT_PER_DISPATCHER = 25_000, 110_000
# The first calls of processes are spread over so long, by the fleet's size.
START_SPREAD, START_SPREAD_PER_DISPATCHER = 2_000_000, 50_000
PAUSE_LIMIT_MIN = 250_000  # for a discovery that is away, however small the fleet
# A pushed list's watch is tried again within this part of the drain grace at first, and of it later: what was
# told in between is not to be missed.
PUSHED_FIRST_DIVISOR, PUSHED_LIMIT_DIVISOR = 16, 2


class CallPacing:
    """Owns the pauses between this dispatcher's calls to its discovery."""

    def __init__(self, settings: Settings, epoch: int, random: Random) -> None:
        """`epoch`: Unix time when the caller's clock was at 0."""
        self._epoch, self._random = epoch, random
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Other settings: the pauses begin anew."""
        self._shared = settings.list_on_request  # one discovery serves all; an agent serves one process alone
        self._start_spread = min(START_SPREAD, settings.dispatchers * START_SPREAD_PER_DISPATCHER)
        if self._shared:
            first = min(FIRST_PAUSE_LIMIT, settings.dispatchers * FIRST_PAUSE_PER_DISPATCHER)
            longest = max(
                PAUSE_LIMIT_MIN, min(PAUSE_LIMIT, settings.dispatchers * PAUSE_LIMIT_PER_DISPATCHER)
            )
        else:
            grace = max(1, settings.drain_grace)
            first, longest = grace // PUSHED_FIRST_DIVISOR, grace // PUSHED_LIMIT_DIVISOR
        self._away = Backoff(max(1, first), max(1, longest), self._random)
        self._slots = CallSlots(self._away.cap, settings.me, settings.dispatchers)
        # What waited too long is work as well, so that calls have to become fewer than discovery can work
        # through, or it stays crowded. The settings say how long not asking is excused.
        first = 2 * max(PAUSE_LIMIT_MIN, self._start_spread)
        self._crowded = Backoff(first, max(self._away.cap, settings.ask_every), self._random)
        self.answer_timeout = ANSWER_TIMEOUT_MAX  # that the next call may take to its answer

    def first_pause(self) -> int:
        """Before the first call of a process: a fleet that starts together calls spread by its size."""
        return int(self._random.random() * self._start_spread) if self._shared else 0

    def moved(self) -> None:
        """Discovery is at another address: what the one before was like says nothing."""
        self._away.succeeded()
        self._crowded.succeeded()

    def opened(self) -> None:
        """A watch is open: discovery has time for its callers."""
        self._crowded.succeeded()

    def after_watch(self, now: int, lasted: int, silent: bool) -> int:
        """The pause after a watch that was open for so long; `silent`: nothing came in `SILENCE`."""
        silence = WATCH_TIMEOUT if silent else 0
        if lasted >= min(STABLE_WATCH, self._away.cap):
            # Opened anew soon, as there may be more to tell. One that breaks as soon as it is open is not, as
            # it would be so again.
            self._away.succeeded()
            if not self._shared:
                self.answer_timeout = answer_timeout(silence)
                return 0
        return self._pause(now, silence)

    def after_failure(self, now: int, took: int) -> int:
        """The pause after a call that failed and took so long; `now` is the caller's clock."""
        if self._shared and took >= OVERLOAD_THRESHOLD:
            self.answer_timeout = ANSWER_TIMEOUT_MAX
            return self._crowded.failed()
        return self._pause(now, 0)

    def _pause(self, now: int, silence: int) -> int:
        """The pause where discovery does not seem crowded, and the time that the next call may take."""
        if self._shared and self._away.failures:
            pause = self._until_slot(now)
        else:
            pause = self._away.failed()
        self.answer_timeout = answer_timeout(silence + pause)
        return pause

    def _until_slot(self, now: int) -> int:
        unix = self._epoch + now
        return self._slots.next(unix, self._random.random()) - unix


def answer_timeout(spent: int) -> int:
    """How long a call may take for its answer, where so much of `TOLD` has gone before it."""
    return max(ANSWER_TIMEOUT_MIN, min(ANSWER_TIMEOUT_MAX, UPDATE_DEADLINE - spent - CONNECT_TIMEOUT))
