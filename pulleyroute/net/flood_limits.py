"""Rate limits against HTTP/2 frame floods. Pure: no I/O and no clock.

Each connection has a token bucket for each kind of frame that costs its sender next to nothing. They cover
rapid reset (CVE-2023-44487), PING, SETTINGS and empty-DATA floods (CVE-2019-9512, -9515, -9518), and windows
that are opened one byte at a time (CVE-2019-9517). CONTINUATION floods are bounded by the framing layer,
which accepts 64 such frames for one header block.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Allowance:
    """A token bucket: `rate` is in frames a second, `burst` in frames."""

    rate: float
    burst: float


ALLOWED = {
    # Only resets of streams that had no answer yet: to cancel an answer that has begun costs the sender.
    "reset": Allowance(200, 1000),
    "ping": Allowance(10, 100),
    "settings": Allowance(5, 50),
    "priority": Allowance(200, 2000),
    "empty": Allowance(50, 500),  # DATA frames without bytes that do not end their stream
    "window": Allowance(5000, 50000),
    "small": Allowance(5000, 50000),  # DATA frames of less than 16 bytes
}


class FloodLimits:
    """The token buckets of one connection. Times are microseconds of the caller's clock."""

    __slots__ = ("_allowed", "_left")

    def __init__(self, allowed: dict[str, Allowance] | None = None) -> None:
        self._allowed = ALLOWED if allowed is None else allowed
        self._left: dict[str, tuple[float, int]] = {}

    def take(self, kind: str, now: int) -> bool:
        """Take a token for one frame; False if there is none left, and the connection should be closed.

        A kind without an allowance is not limited.
        """
        allowance = self._allowed.get(kind)
        if allowance is None:
            return True
        left, at = self._left.get(kind, (allowance.burst, now))
        left = min(allowance.burst, left + (now - at) * allowance.rate / 1e6) - 1
        self._left[kind] = left, now
        return left >= 0
