"""What the stand-ins saw, for a judge: it knows nothing of the dispatcher but what went over its sockets."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class RecordedAttempt:
    """One attempt that a box began. `at` in seconds of the monotonic clock."""

    request: str
    kind: str
    box: str
    at: float


@dataclass(slots=True)
class EventLog:
    """Shared by all stand-ins of one run; owns the record. Times in seconds of the monotonic clock."""

    runs: list[RecordedAttempt] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # box: when discovery told of its drain
    asked: dict[str, tuple[str, float]] = field(default_factory=dict)  # request: its kind, and when
    answers: list[tuple[str, str, float]] = field(
        default_factory=list
    )  # request, ending, when its client had it
    heard: set[str] = field(default_factory=set)  # requests whose end a dispatcher has said to have heard
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def began(self, request: str, kind: str, box: str) -> None:
        with self._lock:
            self.runs.append(RecordedAttempt(request, kind, box, time.monotonic()))

    def hear(self, request: str) -> None:
        with self._lock:
            self.heard.add(request)

    def ask(self, request: str, kind: str) -> None:
        with self._lock:
            self.asked[request] = kind, time.monotonic()

    def answered(self, request: str, ending: str) -> None:
        with self._lock:
            self.answers.append((request, ending, time.monotonic()))
