"""An event loop on simulated time: the clock stops while I/O is pending, then jumps to the next timer.

The sockets are real ones on loopback. Minutes of deadlines and drains take seconds, and the course of a run
depends on its seed and not on the speed of the machine.
"""

from __future__ import annotations

from collections.abc import Callable

from pulleyroute.net.loop import Loop

IDLE_POLLS = 3  # polls in a row without I/O before the clock advances


class VirtualLoop(Loop):
    """A loop with a simulated clock, in microseconds from an arbitrary start.

    Collects the exceptions of tasks in `errors`, each with the name of its task.
    """

    def __init__(self) -> None:
        self.errors: list[tuple[str, Exception]] = []
        super().__init__(lambda name, exc: self.errors.append((name, exc)))
        self.time = 1_000_000_000

    def now(self) -> int:
        """Return the simulated time in microseconds."""
        return self.time

    def run_until(self, condition: Callable[[], bool], longest: int) -> bool:
        """Run until the condition holds. Return False if `longest` microseconds pass first."""
        end = self.time + longest
        idle_polls = 0
        while not condition():
            if self._queue or self._poll.poll(0, 1):
                idle_polls = 0
                self.turn(0)
                continue
            idle_polls += 1
            if idle_polls < IDLE_POLLS:
                continue
            idle_polls = 0
            if not self._timers or self._timers[0][0] > end:
                self.time = end
                return condition()
            self.time = max(self.time, self._timers[0][0])
            self.turn(0)
        return True
