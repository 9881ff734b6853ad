"""Settings, and a harness for one dispatcher, for tests of the decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pulleyroute.interface import (
    Action,
    Effect,
    Entry,
    Event,
    JobArrived,
    JobClass,
    ListKind,
    Push,
    Scope,
    SetTimer,
    Settings,
    TimerFired,
    WorkerList,
    WorkerState,
)
from pulleyroute.rules import Dispatcher

SECOND = 1_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2
CLASSES = [
    JobClass("safe", Effect.SAFE, aim=SECOND, give_up=10 * SECOND, worth=1.0, stretch=2.0),
    JobClass(
        "keyed",
        Effect.KEYED,
        aim=SECOND,
        give_up=10 * SECOND,
        worth=1.0,
        scope=Scope.ZONE,
        repeat_window=4 * SECOND,
        stretch=2.0,
    ),
    JobClass("unsafe", Effect.UNSAFE, aim=SECOND, give_up=10 * SECOND, worth=1.0, stretch=2.0),
]
SETTINGS = Settings(
    classes=CLASSES,
    dispatchers=2,
    me=0,
    max_attempts=4,
    cancels=True,
    second_copies=True,
    progress=SECOND,
    tells_start=True,
    drain_grace=SECOND // 4,
    tip_multiple=3.0,
    tip_window=SECOND,
    cold_share=0.2,
    ramp_time=20 * SECOND,
)


def ready(name: bytes, **fields: Any) -> Entry:
    """Return the list entry of a ready worker."""
    return Entry(name, WorkerState.READY, **fields)


class Harness:
    """A dispatcher with a simulated clock that fires its timers."""

    def __init__(
        self, entries: list[Entry], seed: int = 1, kind: ListKind = ListKind.FULL, **changes: Any
    ) -> None:
        self.now = 1_000 * SECOND
        self.dispatcher = Dispatcher(replace(SETTINGS, **changes), seed, self.now)
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_job = 1
        self.handle(WorkerList(1, kind, entries))

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the dispatcher, and keep its actions and timers."""
        actions = self.dispatcher.handle(self.now, event)
        self.actions += actions
        self.timers += [(self.now + a.after, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def advance(self, span: int) -> list[Action]:
        """Advance the clock by microseconds, firing timers in order; return the actions that followed."""
        end, seen = self.now + span, len(self.actions)
        while due := [t for t in self.timers if t[0] <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.handle(TimerFired(timer[1]))
        self.now = end
        return self.actions[seen:]

    def submit(self, job_class: int = SAFE, **fields: Any) -> tuple[int, list[Action]]:
        """Submit a job; return its id and the actions that followed."""
        job = self.next_job
        self.next_job += 1
        fields.setdefault("time_left", CLASSES[job_class].give_up)
        return job, self.handle(JobArrived(job, job_class, **fields))


def of_type(kind: type, actions: list[Action]) -> list[Any]:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


def pushed_worker(actions: list[Action]) -> Any:
    """Return the worker of the only push among the actions."""
    (push,) = of_type(Push, actions)
    return push.worker
