"""What all dispatchers together send to one cold worker: simulated, with traffic that is very uneven.

Nobody speaks to anybody. The settings allow N mean jobs in their window at that moment; 2 x root of N + 2
more are put down to chance.
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

ALLOWED = {  # by the settings of three deployments: slots, mean work, reports, and the obligations
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
    """Dispatchers, eleven warm workers and from `start` on a cold one, in simulated time."""

    def __init__(self, seed: int, dispatchers: int, site: str, burst: float, restarts: bool) -> None:
        self.slots, self.work, source, self.duties = ALLOWED[site]
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
                **self.duties,
            )
            for me in range(dispatchers)
        ]
        self.start = 1_015 * SECOND
        self.each = [Dispatcher(s, seed * 1000 + s.me, 1_000 * SECOND) for s in self.site_settings]
        weights = [self.rng.lognormvariate(0, 1) for _ in self.each]
        rate = 0.7 * 11 * self.slots / self.work
        self.rates = [rate * weight / sum(weights) for weight in weights]
        self.entries = [ready(b"w%d" % i) for i in range(11)]
        self.busy = {name: 0 for name in [*(e.worker for e in self.entries), b"cold"]}
        self.queues = {name: [] for name in self.busy}
        self.sent, self.heap, self.number, self.job, self.burst = [], [], count(), count(1), burst
        for i in range(dispatchers):
            self.tell(1_000 * SECOND, i, WorkerList(1, ListKind.FULL, self.entries))
            self.at(1_000 * SECOND, self.arrive, i)
            cold = WorkerList(2, ListKind.DELTA, [ready(b"cold", started=self.start)])
            self.at(self.start + self.rng.randrange(SECOND // 10), self.tell, i, cold)
            if restarts:
                self.at(self.start + self.rng.randrange(SECOND, 2 * SECOND), self.restart, i)

    def at(self, when, what, *args):
        heapq.heappush(self.heap, (int(when), next(self.number), what, args))

    def run(self, span):
        while self.heap and self.heap[0][0] <= self.start + span:
            now, _, what, args = heapq.heappop(self.heap)
            what(now, *args)

    def tell(self, now, i, event):
        for action in self.each[i].handle(now, event):
            if isinstance(action, SetTimer):
                self.at(now + action.after, self.tell, i, TimerFired(action.token))
            elif isinstance(action, Push):
                if action.worker == b"cold":
                    self.sent.append(now)
                self.queues[action.worker].append((i, action.job))
                self.at(now, self.serve, action.worker)
            elif isinstance(action, Probe):
                self.at(now, self.probe, i, action.worker)

    def restart(self, now, i):
        """All that it knew of what it had sent is gone."""
        self.each[i] = Dispatcher(self.site_settings[i], now + i, now)
        cold = ready(b"cold", started=self.start)
        self.tell(now, i, WorkerList(3, ListKind.FULL, [*self.entries, cold]))

    def arrive(self, now, i):
        many = self.burst if 0 <= now - self.start - 2 * SECOND < 3 * SECOND else 1.0
        self.at(now + self.rng.expovariate(self.rates[i] * many) * SECOND, self.arrive, i)
        self.tell(now, i, JobArrived(next(self.job), 0, 10 * SECOND))

    def report(self, name):
        queued = len(self.queues[name])
        return LoadReport(
            free_slots=max(0, self.slots - self.busy[name]), queued=queued, in_hand=self.busy[name] + queued
        )

    def probe(self, now, i, name):
        self.tell(now, i, ProbeEnded(name, Outcome.OK, 0, self.report(name)))

    def share(self, age):
        cold = self.duties["cold_share"]
        return min(1.0, cold + (1 - cold) * age / self.duties["ramp_time"])

    def serve(self, now, name):
        while self.queues[name] and self.busy[name] < self.slots:
            i, job = self.queues[name].pop(0)
            self.busy[name] += 1
            speed = self.share(now - self.start) if name == b"cold" else 1.0
            if job in self.each[i].jobs:
                self.tell(now, i, AttemptStarted(job, len(self.each[i].jobs[job].attempts) - 1, name))
            self.at(now + self.rng.expovariate(speed / self.work) * SECOND, self.end, i, job, name)

    def end(self, now, i, job, name):
        self.busy[name] -= 1
        self.at(now, self.serve, name)
        if job in self.each[i].jobs:
            source = self.site_settings[i].report_source
            report = self.report(name) if source is ReportSource.ANSWERS else None
            last = len(self.each[i].jobs[job].attempts) - 1
            self.tell(now, i, AttemptEnded(job, last, name, Outcome.OK, True, 0, report))

    def excess(self):
        """The most that any window got over what was allowed at its beginning: as a part of what is put down
        to chance, and in jobs."""
        window, worst = self.duties["tip_window"], (-1e9, -1e9)
        for first in self.sent:
            n = (
                self.duties["tip_multiple"]
                * self.share(first - self.start)
                * self.slots
                * window
                / SECOND
                / self.work
            )
            over = sum(1 for at in self.sent if first <= at < first + window) - n
            worst = max(worst, (over / (2 * sqrt(n) + 2), over))
        return worst


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("burst", [1.0, 4.0])
@pytest.mark.parametrize("site", list(ALLOWED))
@pytest.mark.parametrize("dispatchers", [20, 30])
def test_all_together_stay_within_what_a_cold_worker_bears(dispatchers, site, burst, restarts):
    # Guards a cold worker against the sum: each dispatcher alone keeps to a part of what the settings allow.
    for seed in range(SEEDS):
        fleet = Fleet(seed, dispatchers, site, burst, restarts)
        fleet.run(8 * SECOND)
        assert fleet.excess()[0] <= 1.0, (seed, fleet.excess())


SEEDS = 2
