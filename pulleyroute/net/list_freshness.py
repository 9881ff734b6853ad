"""Tracks whether the list of instances may be used, that is, whether discovery has confirmed it.

A list that a process receives from its configuration or from the previous process names instances that may
exist, not instances that may receive work: one of them may have started to leave in the meantime. Discovery's
protocol requires every dispatcher to follow a change within 6 s, a new process from its first moment on. A
new process therefore does not use such a list before the first message of discovery, unless discovery is
unreachable. No I/O, no clock: times are microseconds of the caller's clock.

    GIVEN ──begin──▶ UNCONFIRMED ──confirm──▶ CONFIRMED
    UNCONFIRMED ──call_failed, after the start timeout──▶ ASSUMED ──confirm──▶ CONFIRMED
    CONFIRMED, ASSUMED ──replace──▶ UNCONFIRMED
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# How long a new process waits for discovery until its last call. That call ends within another 4 s
# (`CALL_TIMEOUT_MAX` of `call_pacing`), so a process is ready within its limit of 10 s.
START_TIMEOUT = 5_500_000
# Processes that start together spread their last calls over this time, which ends at the start timeout.
LAST_CALL_SPREAD = 300_000


class ListStatus(Enum):
    """What the list is based on."""

    GIVEN = "given"  # there is no other source to ask, as with a list spelled out in the configuration
    UNCONFIRMED = "unconfirmed"  # received from another source than discovery: not to be used yet
    CONFIRMED = "confirmed"  # discovery has answered this process, or the previous process
    ASSUMED = "assumed"  # received from another source, and used because discovery is unreachable


class ListFreshness:
    """Owns the status of the list, and the callbacks that wait until the list is usable."""

    def __init__(self) -> None:
        self.status = ListStatus.GIVEN
        self._last_call_at = 0  # latest start of the last call before the list is used unconfirmed
        self._waiting: list[Callable[[], None]] = []

    @property
    def usable(self) -> bool:
        """Whether work may be sent according to this list."""
        return self.status is not ListStatus.UNCONFIRMED

    def begin(self, now: int, draw: float) -> None:
        """Start a process that asks discovery from now on; `draw` is a random number from 0 to 1."""
        self.status = ListStatus.UNCONFIRMED
        self._last_call_at = now + START_TIMEOUT - int(draw * LAST_CALL_SPREAD)

    def confirm(self) -> None:
        """Note that discovery has answered, so the list is current."""
        if self.status is not ListStatus.GIVEN:
            self._change(ListStatus.CONFIRMED)

    def replace(self) -> None:
        """Note that a list from another source than discovery has replaced the current one."""
        if self.status is not ListStatus.GIVEN:
            self.status = ListStatus.UNCONFIRMED

    def call_failed(self, now: int) -> bool:
        """Note a failed call to discovery; return whether the list is used unconfirmed from now on."""
        if self.usable or now < self._last_call_at:
            return False
        self._change(ListStatus.ASSUMED)
        return True

    def next_call(self, planned: int) -> int:
        """Return when the next call starts: as planned, or earlier to be in time for the start timeout."""
        return planned if self.usable else min(planned, self._last_call_at)

    def when_usable(self, callback: Callable[[], None]) -> None:
        """Run the callback once the list is usable, immediately if it already is."""
        if self.usable:
            callback()
        else:
            self._waiting.append(callback)

    def _change(self, status: ListStatus) -> None:
        self.status = status
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
