"""Which frames of a connection are too many: pure, no I/O and no clock.

A token bucket for each kind of frame that costs its sender nothing: rapid reset (CVE-2023-44487), PING,
SETTINGS and empty-DATA floods (CVE-2019-9512, -9515, -9518), and windows opened by a byte at a time
(CVE-2019-9517). CONTINUATION floods are bounded by the framing layer, which takes 64 of them for one head.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Allowance:
    """Frames a second in the long run, and at once."""

    rate: float
    burst: float


ALLOWED = {
    "reset": Allowance(
        200, 1000
    ),  # of streams that had no answer yet: to cancel what has begun costs its sender
    "ping": Allowance(10, 100),
    "settings": Allowance(5, 50),
    "priority": Allowance(200, 2000),
    "empty": Allowance(50, 500),  # DATA without bytes that does not end its stream
    "window": Allowance(5000, 50000),
    "small": Allowance(5000, 50000),  # frames of under 16 bytes of DATA
}


class FloodLimits:
    """One connection's buckets. Times are microseconds of the caller's clock."""

    __slots__ = ("_allowed", "_left")

    def __init__(self, allowed: dict[str, Allowance] | None = None) -> None:
        self._allowed = ALLOWED if allowed is None else allowed
        self._left: dict[str, tuple[float, int]] = {}

    def take(self, kind: str, now: int) -> bool:
        """Count one frame; False once they are too many, and the connection should end."""
        allowance = self._allowed.get(kind)
        if allowance is None:
            return True
        left, at = self._left.get(kind, (allowance.burst, now))
        left = min(allowance.burst, left + (now - at) * allowance.rate / 1e6) - 1
        self._left[kind] = left, now
        return left >= 0
