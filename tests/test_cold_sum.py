"""The sum of what many dispatchers push to one cold worker, simulated with very uneven load.

The dispatchers don't communicate. The settings allow N mean jobs within a window, by the worker's capacity at
the beginning of the window; 2 * sqrt(N) + 2 jobs more are attributed to chance.
"""

import heapq
from itertools import count
from math import sqrt
from random import Random

import pytest

from pulleyroute.interface import (
    AttemptEnded,
    AttemptStarted,
    Effect,
    JobArrived,
    JobClass,
    ListKind,
    LoadReport,
    Outcome,
    Probe,
    ProbeEnded,
    Push,
    ReportSource,
    SetTimer,
    Settings,
    TimerFired,
    WorkerList,
)
from pulleyroute.rules import Dispatcher
from tests.helpers import SECOND, ready

SITES = {  # three deployments: slots, mean work in seconds, source of reports, slow-start settings
    "probed": (
        2,
        0.8,
        ReportSource.PROBES,
        {"tip_multiple": 4.0, "tip_window": 3 * SECOND, "cold_share": 0.34, "ramp_time": 8 * SECOND},
    ),
    "answers": (
        4,
        0.4,
        ReportSource.ANSWERS,
        {"tip_multiple": 3.0, "tip_window": SECOND * 3 // 2, "cold_share": 0.13, "ramp_time": 24 * SECOND},
    ),
    "unreported": (
        4,
        0.5,
        ReportSource.NONE,
        {"tip_multiple": 3.0, "tip_window": SECOND, "cold_share": 0.14, "ramp_time": 20 * SECOND},
    ),
}


class Fleet:
    """Dispatchers, eleven warm workers and, from `start` on, a cold one, in simulated time."""

    def __init__(self, seed: int, dispatchers: int, site: str, burst: float, restarts: bool) -> None:
        self.slots, self.mean_work, source, self.slow_start = SITES[site]
        self.rng = Random(seed)
        cls = JobClass("a", Effect.SAFE, aim=SECOND // 2, give_up=10 * SECOND, worth=1.0, stretch=1.75)
        self.site_settings = [
            Settings(
                classes=[cls],
                dispatchers=dispatchers,
                me=me,
                max_attempts=4,
                cancels=True,
                second_copies=True,
                tells_start=True,
                report_source=source,
                probes=source is not ReportSource.NONE,
                **self.slow_start,
            )
            for me in range(dispatchers)
        ]
        self.start = 1_015 * SECOND
        self.dispatchers = [Dispatcher(s, seed * 1000 + s.me, 1_000 * SECOND) for s in self.site_settings]
        weights = [self.rng.lognormvariate(0, 1) for _ in self.dispatchers]
        rate = 0.7 * 11 * self.slots / self.mean_work
        self.rates = [rate * weight / sum(weights) for weight in weights]
        self.entries = [ready(b"w%d" % i) for i in range(11)]
        self.running = {name: 0 for name in [*(e.worker for e in self.entries), b"cold"]}
        self.queues = {name: [] for name in self.running}
        self.cold_pushes, self.burst = [], burst
        self.events, self.event_numbers, self.job_numbers = [], count(), count(1)
        for i in range(dispatchers):
            self.handle(1_000 * SECOND, i, WorkerList(1, ListKind.FULL, self.entries))
            self.schedule(1_000 * SECOND, self.arrive, i)
            cold = WorkerList(2, ListKind.DELTA, [ready(b"cold", started=self.start)])
            self.schedule(self.start + self.rng.randrange(SECOND // 10), self.handle, i, cold)
            if restarts:
                self.schedule(self.start + self.rng.randrange(SECOND, 2 * SECOND), self.restart, i)

    def schedule(self, when, what, *args):
        heapq.heappush(self.events, (int(when), next(self.event_numbers), what, args))

    def run(self, span):
        while self.events and self.events[0][0] <= self.start + span:
            now, _, what, args = heapq.heappop(self.events)
            what(now, *args)

    def handle(self, now, i, event):
        for action in self.dispatchers[i].handle(now, event):
            if isinstance(action, SetTimer):
                self.schedule(now + action.after, self.handle, i, TimerFired(action.token))
            elif isinstance(action, Push):
                if action.worker == b"cold":
                    self.cold_pushes.append(now)
                self.queues[action.worker].append((i, action.job))
                self.schedule(now, self.start_jobs, action.worker)
            elif isinstance(action, Probe):
                self.schedule(now, self.probe, i, action.worker)

    def restart(self, now, i):
        """Replace a dispatcher by a new one, which knows nothing of the pushes so far."""
        self.dispatchers[i] = Dispatcher(self.site_settings[i], now + i, now)
        cold = ready(b"cold", started=self.start)
        self.handle(now, i, WorkerList(3, ListKind.FULL, [*self.entries, cold]))

    def arrive(self, now, i):
        factor = self.burst if 0 <= now - self.start - 2 * SECOND < 3 * SECOND else 1.0
        self.schedule(now + self.rng.expovariate(self.rates[i] * factor) * SECOND, self.arrive, i)
        self.handle(now, i, JobArrived(next(self.job_numbers), 0, 10 * SECOND))

    def report(self, name):
        queued = len(self.queues[name])
        return LoadReport(
            free_slots=max(0, self.slots - self.running[name]),
            queued=queued,
            in_hand=self.running[name] + queued,
        )

    def probe(self, now, i, name):
        self.handle(now, i, ProbeEnded(name, Outcome.OK, 0, self.report(name)))

    def capacity_share(self, age):
        cold = self.slow_start["cold_share"]
        return min(1.0, cold + (1 - cold) * age / self.slow_start["ramp_time"])

    def start_jobs(self, now, name):
        while self.queues[name] and self.running[name] < self.slots:
            i, job = self.queues[name].pop(0)
            self.running[name] += 1
            speed = self.capacity_share(now - self.start) if name == b"cold" else 1.0
            if job in self.dispatchers[i].jobs:
                self.handle(
                    now, i, AttemptStarted(job, len(self.dispatchers[i].jobs[job].attempts) - 1, name)
                )
            self.schedule(
                now + self.rng.expovariate(speed / self.mean_work) * SECOND, self.end_job, i, job, name
            )

    def end_job(self, now, i, job, name):
        self.running[name] -= 1
        self.schedule(now, self.start_jobs, name)
        if job in self.dispatchers[i].jobs:
            source = self.site_settings[i].report_source
            report = self.report(name) if source is ReportSource.ANSWERS else None
            last = len(self.dispatchers[i].jobs[job].attempts) - 1
            self.handle(now, i, AttemptEnded(job, last, name, Outcome.OK, True, 0, report))

    def excess(self):
        """Return the largest excess of any window over what its beginning allowed.

        The first number is in units of what is attributed to chance, the second in jobs.
        """
        window, worst = self.slow_start["tip_window"], (-1e9, -1e9)
        for first in self.cold_pushes:
            allowed = (
                self.slow_start["tip_multiple"]
                * self.capacity_share(first - self.start)
                * self.slots
                * window
                / SECOND
                / self.mean_work
            )
            over = sum(1 for at in self.cold_pushes if first <= at < first + window) - allowed
            worst = max(worst, (over / (2 * sqrt(allowed) + 2), over))
        return worst


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("burst", [1.0, 4.0])
@pytest.mark.parametrize("site", list(SITES))
@pytest.mark.parametrize("dispatchers", [20, 30])
def test_all_dispatchers_together_stay_within_what_a_cold_worker_bears(dispatchers, site, burst, restarts):
    # Each dispatcher keeps to its part of what the settings allow; the sum could still overload the worker.
    for seed in range(SEEDS):
        fleet = Fleet(seed, dispatchers, site, burst, restarts)
        fleet.run(8 * SECOND)
        assert fleet.excess()[0] <= 1.0, (seed, fleet.excess())


SEEDS = 2
