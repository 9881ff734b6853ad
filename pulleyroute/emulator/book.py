"""What the stand-ins saw, for a judge: it knows nothing of the dispatcher but what went over its sockets."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Run:
    """One execution that a box began. `at` in seconds of the monotonic clock."""

    request: str
    kind: str
    box: str
    at: float


@dataclass(slots=True)
class Book:
    """Shared by all stand-ins of one run; owns the record."""

    runs: list[Run] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # box: when discovery told of its drain
    answers: Counter[str] = field(default_factory=Counter)  # request: final answers that its client saw
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def began(self, request: str, kind: str, box: str) -> None:
        with self._lock:
            self.runs.append(Run(request, kind, box, time.monotonic()))

    def answered(self, request: str) -> None:
        with self._lock:
            self.answers[request] += 1

    def broken(self, unsafe: set[str], asked: set[str], grace: float = 1.55) -> list[str]:
        """Each broken rule as one line: twice run, not one answer, new work after a drain (seconds of
        grace)."""
        found: list[str] = []
        counts = Counter(run.request for run in self.runs if run.kind in unsafe)
        found += [f"{request} is of a class that must never run twice and ran {count} times"
                  for request, count in counts.items() if count > 1]
        found += [f"{request} had {self.answers[request]} final answers"
                  for request in sorted(asked) if self.answers[request] != 1]
        for run in self.runs:
            told = self.drained.get(run.box)
            if told is not None and run.at > told + grace:
                late = run.at - told
                found.append(f"{run.request} went to {run.box} {late:.2f} s after its drain was told")
        return found
