"""The operators' metrics: counts kept where things happen, and their rendering as statsd lines.

Counts begin at 0 with the process and never fall. A class that a new configuration drops keeps its counts.
What is a state is not kept here but asked of its owner at each rendering, as a `Gauges`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "app."
REJECTION_STATUSES = (429, 503)
# Guards the form: a class may be named by what ends a name, a value or a line.
_UNFIT = re.compile(r"[^A-Za-z0-9_-]")


class JobOutcome(Enum):
    """How a job ended for its client, by the status that was sent."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


def outcome_of_status(status: int) -> JobOutcome:
    """What a final answer of this HTTP status counts as."""
    if status == 200:
        return JobOutcome.ANSWERED
    return JobOutcome.DEFERRED if status in REJECTION_STATUSES else JobOutcome.ERRORED


@dataclass(slots=True, frozen=True)
class Gauges:
    """What is so at the moment: jobs taken and not ended, instances listed, those of them now avoided."""

    current: int
    cluster_size: int
    cluster_unhealthy: int


class Metrics:
    """Owns the counts."""

    def __init__(self) -> None:
        self._ended: dict[str, dict[JobOutcome, int]] = {}
        self.sends = 0  # attempts whose last byte is with the kernel
        self.conf_loaded = 0  # files taken at a reload
        self.conf_invalid = 0  # and files turned down

    def job_ended(self, job_class: str, how: JobOutcome) -> None:
        """A job's final answer has left, its last byte included."""
        self.outcome_counts(job_class)[how] += 1

    def outcome_counts(self, job_class: str) -> dict[JobOutcome, int]:
        """The counts of a class, by how its jobs ended."""
        return self._ended.setdefault(job_class, dict.fromkeys(JobOutcome, 0))

    def render(self, classes: Iterable[str], gauges: Gauges) -> bytes:
        """All of them, one a line; the classes in force come though none of their jobs has ended yet."""
        for name in classes:
            self.outcome_counts(name)
        lines = [
            f"{how.value}.{_UNFIT.sub('_', name)}:{count}|c"
            for name, counts in self._ended.items()
            for how, count in counts.items()
        ]
        lines += [f"{name}:{getattr(self, name)}|c" for name in ("sends", "conf_loaded", "conf_invalid")]
        lines += [f"{name}:{getattr(gauges, name)}|g" for name in Gauges.__slots__]
        return "".join(f"{PREFIX}{line}\n" for line in lines).encode()
