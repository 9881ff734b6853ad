"""Whether the list of instances may be used: has discovery spoken for it in the life of this process?

A list that a process was handed (by its configuration, or by the process before it) says who may exist, not
who may get work: an instance in it may have begun to leave since. Discovery's protocol holds every dispatcher
to a change 6 s after it, a new process from its first moment. So a new process uses no such list before the
first message of discovery, unless discovery can't be reached. No I/O, no clock: times are microseconds of the
caller's clock.

    GIVEN ──begin──▶ UNCONFIRMED ──confirm──▶ CONFIRMED
    UNCONFIRMED ──call_failed, once the patience is over──▶ ASSUMED ──confirm──▶ CONFIRMED
    CONFIRMED, ASSUMED ──replace──▶ UNCONFIRMED
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# A new process waits for discovery so long before its last call. That call ends within another 4 s
# (`CONNECT_TIME + ANSWER` of the discovery client): a process is ready within the 10 s that it is given.
START_PATIENCE = 5_500_000
# Processes that start together make their last calls within this span, the later end being the patience's.
LAST_CALL_SPREAD = 300_000


class ListStatus(Enum):
    """What the list rests on."""

    GIVEN = "given"  # nothing else is to be asked, as where a configuration spells the list out
    UNCONFIRMED = "unconfirmed"  # handed over from elsewhere: not to be used yet
    CONFIRMED = "confirmed"  # discovery has spoken in the life of this process, or of the one before it
    ASSUMED = "assumed"  # handed over, and used since discovery can't be reached


class ListFreshness:
    """Owns the standing of the list, and who waits for it to become usable."""

    def __init__(self) -> None:
        self.status = ListStatus.GIVEN
        self._last_call_at = 0  # the last call before the list is used unconfirmed begins by then
        self._waiting: list[Callable[[], None]] = []

    @property
    def usable(self) -> bool:
        """Whether work may be sent by this list."""
        return self.status is not ListStatus.UNCONFIRMED

    def begin(self, now: int, draw: float) -> None:
        """A process begins, and asks discovery from now on; `draw` is a random number from 0 to 1."""
        self.status = ListStatus.UNCONFIRMED
        self._last_call_at = now + START_PATIENCE - int(draw * LAST_CALL_SPREAD)

    def confirm(self) -> None:
        """Discovery has spoken: the list is what it says."""
        if self.status is not ListStatus.GIVEN:
            self._change(ListStatus.CONFIRMED)

    def replace(self) -> None:
        """Another list from elsewhere is in the place of the one before."""
        if self.status is not ListStatus.GIVEN:
            self.status = ListStatus.UNCONFIRMED

    def call_failed(self, now: int) -> bool:
        """A call to discovery has failed; whether the list is used unconfirmed from now on."""
        if self.usable or now < self._last_call_at:
            return False
        self._change(ListStatus.ASSUMED)
        return True

    def next_call(self, planned: int) -> int:
        """When the next call is to begin, planned for that time: the last one has to begin in time."""
        return planned if self.usable else min(planned, self._last_call_at)

    def when_usable(self, callback: Callable[[], None]) -> None:
        """Call back once the list may be used: at once if it may be already."""
        if self.usable:
            callback()
        else:
            self._waiting.append(callback)

    def _change(self, status: ListStatus) -> None:
        self.status = status
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
