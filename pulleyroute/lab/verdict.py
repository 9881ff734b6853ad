"""Checks the event log of stand-ins and clients against the dispatcher's rules."""

from __future__ import annotations

import time

from pulleyroute.emulator import EventLog
from pulleyroute.lab.referee import (
    AttemptSent,
    ClassRules,
    Event,
    PhaseReported,
    RequestAnswered,
    RequestSent,
    RuleLimits,
    Violation,
    check_events,
)

# The clients' threads share the machine with all other processes and record their times a little late.
SLACK_US = 500_000


def find_violations(event_log: EventLog, kinds: dict[str, ClassRules]) -> list[Violation]:
    """Return the violations in the log of a finished run.

    All processes that served during the run count as one dispatcher.
    """

    def to_micros(seconds: float) -> int:
        return int(seconds * 1e6)

    events: list[Event] = [
        RequestSent(to_micros(at), request, kind) for request, (kind, at) in event_log.requests.items()
    ]
    events += [
        AttemptSent(to_micros(attempt.at), attempt.request, i, attempt.instance)
        for i, attempt in enumerate(event_log.attempts)
    ]
    events += [
        PhaseReported(to_micros(at), instance, "leaving") for instance, at in event_log.drained_at.items()
    ]
    events += [
        RequestAnswered(to_micros(at), request, ending)
        for request, ending, at in event_log.answers
        if ending != "lost"
    ]
    longest = max(kind.give_up for kind in kinds.values())
    return check_events(
        events, kinds, RuleLimits(slack=SLACK_US), until=to_micros(time.monotonic()) + 2 * longest
    )
