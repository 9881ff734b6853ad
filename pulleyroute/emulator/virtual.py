"""A loop whose clock stands still while anything is on its way, and then jumps to the next timer.

Real sockets on loopback, simulated time: minutes of deadlines and drains pass in seconds, and a run's course
hangs on its seed, not on the machine's speed.
"""

from __future__ import annotations

from collections.abc import Callable

from pulleyroute.net.loop import Loop

QUIET = 3  # looks that find nothing before time moves


class VirtualLoop(Loop):
    """Starts at an arbitrary moment; times in microseconds. Collects errors of tasks in `errors`."""

    def __init__(self) -> None:
        self.errors: list[tuple[str, Exception]] = []
        super().__init__(lambda name, exc: self.errors.append((name, exc)))
        self.time = 1_000_000_000

    def now(self) -> int:
        return self.time

    def run_until(self, condition: Callable[[], bool], longest: int) -> bool:
        """Turn until the condition holds; False if so many microseconds pass first."""
        end = self.time + longest
        quiet = 0
        while not condition():
            if self._queue or self._poll.poll(0, 1):
                quiet = 0
                self.turn(0)
                continue
            quiet += 1
            if quiet < QUIET:
                continue
            quiet = 0
            if not self._timers or self._timers[0][0] > end:
                self.time = end
                return condition()
            self.time = max(self.time, self._timers[0][0])
            self.turn(0)
        return True
