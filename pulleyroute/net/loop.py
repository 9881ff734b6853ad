"""The event loop: epoll, generators as coroutines, and a timer heap in monotonic microseconds. No protocol.

A coroutine yields a `Wait` and is resumed with how that wait ended. Readiness is a hint, never a promise:
whoever is resumed tries its socket again and waits once more if nothing is there.
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
PEER_CLOSED = select.EPOLLRDHUP  # by the peer, whether or not all bytes before that are read
MAX_EVENTS_PER_TURN = 256
COMPACT_MIN_TIMERS = 256  # a heap this long is cleared of its cancelled timers once they are most of it


class WaitResult(Enum):
    """How a wait ended."""

    READY = "ready"  # the socket may have something
    TIMED_OUT = "timed out"  # its time is over
    WOKEN = "woken"  # somebody called `Task.wake`


@dataclass(slots=True, frozen=True)
class Wait:
    """For a descriptor, a time, a nudge, or whichever comes first."""

    fd: int = -1
    events: int = 0
    until: int | None = None


Coroutine = Generator[Wait, WaitResult, T]


class Timer:
    """A call to come; cancelling is free and final."""

    __slots__ = ("_loop", "action", "when")

    def __init__(self, loop: Loop, when: int, action: Callable[[], None]) -> None:
        self._loop = loop
        self.when = when
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        if self.action is not None:
            self.action = None
            self._loop.timer_cancelled()


class Task:
    """One coroutine on the loop."""

    __slots__ = (
        "_begun",
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
        self._begun = self._running = self._queued = self._wake_pending = self._cancel_pending = False

    def start(self) -> None:
        """Run up to the first wait."""
        self.step(WaitResult.WOKEN)

    def wake(self) -> None:
        """End the wait that the task is in, or else its next one."""
        if self.done or self._queued:
            return
        if self.wait is None:
            self._wake_pending = True
        else:
            self._queue()

    def process_pending_read(self) -> None:
        """If it waits for a descriptor, let it take what is there now, before the loop's next turn."""
        if not self.done and self.wait is not None and self.wait.fd >= 0:
            self.step(WaitResult.READY)

    def cancel(self) -> None:
        """Close the coroutine where it stands; its `finally` blocks run."""
        if self.done:
            return
        if self._running:
            self._cancel_pending = True  # a generator cannot close itself: done once it yields
            return
        self._finish()
        try:
            self._coroutine.close()
        except Exception as exc:
            self._loop.on_error(self.name, exc)

    def step(self, woken: WaitResult) -> None:
        """Resume the coroutine and take its next wait."""
        if self.done:
            return
        self._disarm()
        self._running = True
        try:
            if self._begun:
                wait = self._coroutine.send(woken)
            else:
                self._begun = True
                wait = next(self._coroutine)
        except StopIteration:
            self._finish()
            return
        except Exception as exc:  # ends this task alone
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
            self._timer = self._loop.call_at(wait.until, self._late)

    def _late(self) -> None:
        self._timer = None
        if not self._queued:
            self.step(WaitResult.TIMED_OUT)

    def _queue(self) -> None:
        self._disarm()
        self._queued = True
        self._loop.queue(self)

    def run_queued(self) -> None:
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
    """Owns the epoll set, the tasks' waits and the timers."""

    def __init__(self, on_error: Callable[[str, Exception], None]) -> None:
        self.on_error = on_error
        self.stopped = False
        self._poll = select.epoll()
        self._masks: dict[int, int] = {}
        self._watchers: dict[int, Task] = {}
        self._queue: deque[Task] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_count = 0
        self._cancelled = 0
        self.wakeup_pacing = WakeupPacing()

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def spawn(self, coroutine: Coroutine[Any], name: str) -> Task:
        """Start a coroutine; it runs at once up to its first wait."""
        task = Task(self, coroutine, name)
        task.start()
        return task

    def call_at(self, when: int, action: Callable[[], None]) -> Timer:
        timer = Timer(self, when, action)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, timer))
        return timer

    def timer_cancelled(self) -> None:
        self._cancelled += 1
        if len(self._timers) > COMPACT_MIN_TIMERS and self._cancelled * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].action is not None]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def queue(self, task: Task) -> None:
        self._queue.append(task)

    def watch(self, fd: int, mask: int, task: Task) -> None:
        have = self._masks.get(fd)
        if have is None:
            self._poll.register(fd, mask)
        elif have != mask:
            self._poll.modify(fd, mask)
        self._masks[fd] = mask
        self._watchers[fd] = task

    def unwatch(self, fd: int, task: Task) -> None:
        """The task waits for it no more; it stays registered, as most are soon waited for again."""
        if self._watchers.get(fd) is task:
            del self._watchers[fd]

    def forget(self, fd: int) -> None:
        """To be called before a descriptor closes: its number may come back at once."""
        self._watchers.pop(fd, None)
        if self._masks.pop(fd, None) is not None:
            self._poll.unregister(fd)

    def run(self) -> None:
        """Turn until `stop`."""
        while not self.stopped:
            self.turn()

    def stop(self) -> None:
        self.stopped = True

    def turn(self, longest: float = 1.0) -> None:
        """Run what is due, waiting at most `longest` seconds for something to come."""
        if self.wakeup_pacing.pause_us and not self._queue:
            pause = self.wakeup_pacing.next_pause(self.now())
            if pause:
                time.sleep(pause / 1e6)
        for fd, _ in self._poll.poll(0 if self._queue else self._span(longest), MAX_EVENTS_PER_TURN):
            task = self._watchers.get(fd)
            if task is not None:
                task.step(WaitResult.READY)
            elif fd in self._masks:
                self.forget(fd)  # guards against spinning: hang-ups are told of though nobody waits
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            action, timer.action = timer.action, None
            if action is None:
                self._cancelled = max(0, self._cancelled - 1)
                continue
            try:
                action()
            except Exception as exc:
                self.on_error("timer", exc)
        for _ in range(len(self._queue)):
            self._queue.popleft().run_queued()

    def _span(self, longest: float) -> float:
        if not self._timers:
            return longest
        return min(longest, max(0.0, (self._timers[0][0] - self.now()) / 1e6))
