"""Hand-made settings and events for tests."""

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
    return Entry(name, WorkerState.READY, **fields)


class Bench:
    """A dispatcher with a clock that fires its timers, for one test."""

    def __init__(
        self, entries: list[Entry], seed: int = 1, kind: ListKind = ListKind.FULL, **changes: Any
    ) -> None:
        self.now = 1_000 * SECOND
        self.dispatcher = Dispatcher(replace(SETTINGS, **changes), seed, self.now)
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_job = 1
        self.tell(WorkerList(1, kind, entries))

    def tell(self, event: Event) -> list[Action]:
        actions = self.dispatcher.handle(self.now, event)
        self.log += actions
        self.timers += [(self.now + a.after, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def run(self, span: int) -> list[Action]:
        """Let time pass, firing timers in order."""
        end, seen = self.now + span, len(self.log)
        while due := [t for t in self.timers if t[0] <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.tell(TimerFired(timer[1]))
        self.now = end
        return self.log[seen:]

    def job(self, job_class: int = SAFE, **fields: Any) -> tuple[int, list[Action]]:
        job = self.next_job
        self.next_job += 1
        fields.setdefault("time_left", CLASSES[job_class].give_up)
        return job, self.tell(JobArrived(job, job_class, **fields))


def of(kind: type, actions: list[Action]) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]


def pushed(actions: list[Action]) -> Any:
    """The worker of the one push among the actions."""
    (push,) = of(Push, actions)
    return push.worker
