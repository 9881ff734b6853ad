"""The event log that stand-ins and clients write and a rule checker reads.

It holds only what went over the sockets of the stand-ins and clients, nothing from inside the dispatcher.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class RecordedAttempt:
    """One attempt that an instance started. `at` is in seconds of the monotonic clock."""

    request: str
    kind: str
    instance: str
    at: float


@dataclass(slots=True)
class EventLog:
    """Events of one run, written by all of its stand-ins and clients from their threads.

    Times are in seconds of the monotonic clock.
    """

    attempts: list[RecordedAttempt] = field(default_factory=list)
    # Instance name: when discovery published that it drains.
    drained_at: dict[str, float] = field(default_factory=dict)
    # Request id: its kind and when its client sent it.
    requests: dict[str, tuple[str, float]] = field(default_factory=dict)
    # Request id, ending and when the client had the answer.
    answers: list[tuple[str, str, float]] = field(default_factory=list)
    # Ids of requests whose call-back a dispatcher has acknowledged.
    acknowledged: set[str] = field(default_factory=set)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_attempt(self, request: str, kind: str, instance: str) -> None:
        """Record that an instance starts an attempt now."""
        with self._lock:
            self.attempts.append(RecordedAttempt(request, kind, instance, time.monotonic()))

    def record_acknowledgement(self, request: str) -> None:
        """Record that a dispatcher acknowledged the call-back of a request."""
        with self._lock:
            self.acknowledged.add(request)

    def record_request(self, request: str, kind: str) -> None:
        """Record that a client sends a request now."""
        with self._lock:
            self.requests[request] = kind, time.monotonic()

    def record_answer(self, request: str, ending: str) -> None:
        """Record how a request ended for its client, now."""
        with self._lock:
            self.answers.append((request, ending, time.monotonic()))
