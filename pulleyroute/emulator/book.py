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

    attempts: list[RecordedAttempt] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)  # box: when discovery told of its drain
    requests: dict[str, tuple[str, float]] = field(default_factory=dict)  # request: its kind, and when
    answers: list[tuple[str, str, float]] = field(
        default_factory=list
    )  # request, ending, when its client had it
    acknowledged: set[str] = field(
        default_factory=set
    )  # requests whose end a dispatcher has said to have heard
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_attempt(self, request: str, kind: str, box: str) -> None:
        with self._lock:
            self.attempts.append(RecordedAttempt(request, kind, box, time.monotonic()))

    def record_acknowledgement(self, request: str) -> None:
        with self._lock:
            self.acknowledged.add(request)

    def record_request(self, request: str, kind: str) -> None:
        with self._lock:
            self.requests[request] = kind, time.monotonic()

    def record_answer(self, request: str, ending: str) -> None:
        with self._lock:
            self.answers.append((request, ending, time.monotonic()))
