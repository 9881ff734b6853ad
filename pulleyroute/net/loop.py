"""The event loop: epoll, generators as coroutines, and a heap of timers. It knows no protocol.

All times are microseconds of the monotonic clock. A coroutine yields a `Wait` and is resumed with a
`WaitResult`. Readiness is a hint: a resumed coroutine tries its socket again, and waits once more if the call
would block.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from pulleyroute.net.wakeup_pacing import WakeupPacing

T = TypeVar("T")

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
PEER_CLOSED = select.EPOLLRDHUP  # reported even while bytes from before the close are still unread
MAX_EVENTS_PER_TURN = 256
# A timer heap longer than this drops its cancelled entries once they make up more than half of it.
COMPACT_MIN_TIMERS = 256


class WaitResult(Enum):
    """How a wait ended."""

    READY = "ready"  # the descriptor may be ready
    TIMED_OUT = "timed out"  # `Wait.until` was reached
    WOKEN = "woken"  # `Task.wake` was called


@dataclass(slots=True, frozen=True)
class Wait:
    """What a coroutine waits for: a descriptor, a deadline, or `Task.wake`, whichever comes first.

    An `fd` of -1 waits for no descriptor. `until` is on the loop's clock; None sets no deadline.
    """

    fd: int = -1
    events: int = 0
    until: int | None = None


Coroutine = Generator[Wait, WaitResult, T]


class Timer:
    """A scheduled call. Cancelling takes amortized constant time and cannot be undone."""

    __slots__ = ("_loop", "action", "when")

    def __init__(self, loop: Loop, when: int, action: Callable[[], None]) -> None:
        self._loop = loop
        self.when = when
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Drop the call; does nothing if it has run or was cancelled before."""
        if self.action is not None:
            self.action = None
            self._loop.timer_cancelled()


class Task:
    """One coroutine that runs on the loop."""

    __slots__ = (
        "_started",
        "_coroutine",
        "_cancel_pending",
        "_loop",
        "_wake_pending",
        "_queued",
        "_running",
        "_timer",
        "done",
        "name",
        "wait",
    )

    def __init__(self, loop: Loop, coroutine: Coroutine[Any], name: str) -> None:
        self._loop = loop
        self._coroutine = coroutine
        self.name = name
        self.done = False
        self.wait: Wait | None = None
        self._timer: Timer | None = None
        self._started = self._running = self._queued = self._wake_pending = self._cancel_pending = False

    def start(self) -> None:
        """Run the coroutine up to its first wait."""
        self.step(WaitResult.WOKEN)

    def wake(self) -> None:
        """End the current wait, or the next one if the task is running."""
        if self.done or self._queued:
            return
        if self.wait is None:
            self._wake_pending = True
        else:
            self._queue()

    def process_pending_read(self) -> None:
        """Resume a task that waits for a descriptor now, so that it reads what has already arrived."""
        if not self.done and self.wait is not None and self.wait.fd >= 0:
            self.step(WaitResult.READY)

    def cancel(self) -> None:
        """Close the coroutine at its current wait; its `finally` blocks run."""
        if self.done:
            return
        if self._running:
            # A running generator cannot close itself; `step` closes it at the next yield.
            self._cancel_pending = True
            return
        self._finish()
        try:
            self._coroutine.close()
        except Exception as exc:
            self._loop.on_error(self.name, exc)

    def step(self, result: WaitResult) -> None:
        """Resume the coroutine and register its next wait."""
        if self.done:
            return
        self._disarm()
        self._running = True
        try:
            if self._started:
                wait = self._coroutine.send(result)
            else:
                self._started = True
                wait = next(self._coroutine)
        except StopIteration:
            self._finish()
            return
        except Exception as exc:  # an error ends this task only
            self._finish()
            self._loop.on_error(self.name, exc)
            return
        finally:
            self._running = False
        if self._cancel_pending:
            self.cancel()
            return
        self.wait = wait
        if self._wake_pending:
            self._wake_pending = False
            self._queue()
            return
        if wait.fd >= 0:
            self._loop.watch(wait.fd, wait.events, self)
        if wait.until is not None:
            self._timer = self._loop.call_at(wait.until, self._timed_out)

    def _timed_out(self) -> None:
        self._timer = None
        if not self._queued:
            self.step(WaitResult.TIMED_OUT)

    def _queue(self) -> None:
        self._disarm()
        self._queued = True
        self._loop.queue(self)

    def run_queued(self) -> None:
        """Resume a task that `wake` has queued."""
        self._queued = False
        self.step(WaitResult.WOKEN)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.wait is not None:
            if self.wait.fd >= 0:
                self._loop.unwatch(self.wait.fd, self)
            self.wait = None

    def _finish(self) -> None:
        self._disarm()
        self.done = True


class Loop:
    """Owns the epoll set, the waits of the tasks, and the timers.

    `on_error` receives the name of the task, or `timer`, and the exception that ended it.
    """

    def __init__(self, on_error: Callable[[str, Exception], None]) -> None:
        self.on_error = on_error
        self.stopped = False
        self._poll = select.epoll()
        self._masks: dict[int, int] = {}
        self._waiting_tasks: dict[int, Task] = {}
        self._queue: deque[Task] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_count = 0
        self._cancelled_timers = 0
        self.wakeup_pacing = WakeupPacing()

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def spawn(self, coroutine: Coroutine[Any], name: str) -> Task:
        """Create a task for a coroutine and run it up to its first wait."""
        task = Task(self, coroutine, name)
        task.start()
        return task

    def call_at(self, when: int, action: Callable[[], None]) -> Timer:
        """Schedule a call for a time on the loop's clock."""
        timer = Timer(self, when, action)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, timer))
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer, and compact the heap when most of its entries are cancelled."""
        self._cancelled_timers += 1
        if len(self._timers) > COMPACT_MIN_TIMERS and self._cancelled_timers * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].action is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def queue(self, task: Task) -> None:
        """Resume a task with `WaitResult.WOKEN` at the end of the current turn, or in the next one."""
        self._queue.append(task)

    def watch(self, fd: int, mask: int, task: Task) -> None:
        """Make a task wait for events of a descriptor."""
        registered_mask = self._masks.get(fd)
        if registered_mask is None:
            self._poll.register(fd, mask)
        elif registered_mask != mask:
            self._poll.modify(fd, mask)
        self._masks[fd] = mask
        self._waiting_tasks[fd] = task

    def unwatch(self, fd: int, task: Task) -> None:
        """End a task's wait for a descriptor.

        The descriptor stays registered with epoll, since most are soon waited for again.
        """
        if self._waiting_tasks.get(fd) is task:
            del self._waiting_tasks[fd]

    def forget(self, fd: int) -> None:
        """Unregister a descriptor. Call it before closing one: the kernel may reuse its number at once."""
        self._waiting_tasks.pop(fd, None)
        if self._masks.pop(fd, None) is not None:
            self._poll.unregister(fd)

    def run(self) -> None:
        """Run turns until `stop` is called."""
        while not self.stopped:
            self.turn()

    def stop(self) -> None:
        """Make `run` return after the current turn."""
        self.stopped = True

    def turn(self, max_wait: float = 1.0) -> None:
        """Run one turn: wait at most `max_wait` seconds for events, then run ready tasks and due timers."""
        if self.wakeup_pacing.pause_us and not self._queue:
            pause = self.wakeup_pacing.next_pause(self.now())
            if pause:
                time.sleep(pause / 1e6)
        for fd, _ in self._poll.poll(0 if self._queue else self._poll_timeout(max_wait), MAX_EVENTS_PER_TURN):
            task = self._waiting_tasks.get(fd)
            if task is not None:
                task.step(WaitResult.READY)
            elif fd in self._masks:
                # Epoll reports a hang-up even if no task waits. Left registered, it would make the loop spin.
                self.forget(fd)
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            action, timer.action = timer.action, None
            if action is None:
                self._cancelled_timers = max(0, self._cancelled_timers - 1)
                continue
            try:
                action()
            except Exception as exc:
                self.on_error("timer", exc)
        for _ in range(len(self._queue)):
            self._queue.popleft().run_queued()

    def _poll_timeout(self, max_wait: float) -> float:
        if not self._timers:
            return max_wait
        return min(max_wait, max(0.0, (self._timers[0][0] - self.now()) / 1e6))
