"""Metrics for operators: counters, and their rendering with the gauges as statsd lines.

Counters start at 0 with the process and never decrease. A class that a new configuration removes keeps its
counters. Gauges are not stored here: each rendering takes a `Gauges` with the current values of their owners.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "app."
REJECTION_STATUSES = (429, 503)
# Class names may contain characters that end a name, a value or a line of statsd; these are replaced.
_INVALID_IN_NAME = re.compile(r"[^A-Za-z0-9_-]")


class JobOutcome(Enum):
    """The outcome of a job for its client, by the status of its answer; the values are statsd names."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


def outcome_of_status(status: int) -> JobOutcome:
    """Return the outcome that a final answer with this HTTP status counts as."""
    if status == 200:
        return JobOutcome.ANSWERED
    return JobOutcome.DEFERRED if status in REJECTION_STATUSES else JobOutcome.ERRORED


@dataclass(slots=True, frozen=True)
class Gauges:
    """Current values: open jobs, listed instances, and the listed instances that are avoided.

    The names of the fields are statsd names.
    """

    current: int
    cluster_size: int
    cluster_unhealthy: int


class Metrics:
    """Owns the counters. `sends`, `conf_loaded` and `conf_invalid` are statsd names."""

    def __init__(self) -> None:
        self._outcome_counts: dict[str, dict[JobOutcome, int]] = {}
        self.sends = 0  # attempts whose last byte the kernel has accepted
        self.conf_loaded = 0  # configuration files applied at a reload
        self.conf_invalid = 0  # configuration files rejected at a reload

    def job_ended(self, job_class: str, outcome: JobOutcome) -> None:
        """Count a job whose final answer has been sent completely."""
        self.outcome_counts(job_class)[outcome] += 1

    def outcome_counts(self, job_class: str) -> dict[JobOutcome, int]:
        """Return the counters of a class, by the outcome of its jobs."""
        return self._outcome_counts.setdefault(job_class, dict.fromkeys(JobOutcome, 0))

    def render(self, classes: Iterable[str], gauges: Gauges) -> bytes:
        """Return all metrics, one per line, including `classes` that have not had a job end yet."""
        for name in classes:
            self.outcome_counts(name)
        lines = [
            f"{outcome.value}.{_INVALID_IN_NAME.sub('_', name)}:{count}|c"
            for name, counts in self._outcome_counts.items()
            for outcome, count in counts.items()
        ]
        lines += [f"{name}:{getattr(self, name)}|c" for name in ("sends", "conf_loaded", "conf_invalid")]
        lines += [f"{name}:{getattr(gauges, name)}|g" for name in Gauges.__slots__]
        return "".join(f"{PREFIX}{line}\n" for line in lines).encode()
