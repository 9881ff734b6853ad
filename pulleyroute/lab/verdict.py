"""From what stand-ins and clients wrote down to the referee's verdict."""

from __future__ import annotations

import time

from pulleyroute.emulator import EventLog
from pulleyroute.lab.referee import Answered, Asked, Breach, Event, Figures, Kind, Sent, Told, judge

# On one machine the clients' threads share its time with all the rest: theirs is a little late.
SLACK = 500_000


def verdict(book: EventLog, kinds: dict[str, Kind]) -> list[Breach]:
    """The rules broken in a run that is over. However many processes served, they are one dispatcher."""

    def micros(seconds: float) -> int:
        return int(seconds * 1e6)

    events: list[Event] = [Asked(micros(at), request, kind) for request, (kind, at) in book.requests.items()]
    events += [Sent(micros(run.at), run.request, i, run.instance) for i, run in enumerate(book.attempts)]
    events += [Told(micros(at), box, "leaving") for box, at in book.drained_at.items()]
    events += [
        Answered(micros(at), request, ending) for request, ending, at in book.answers if ending != "lost"
    ]
    longest = max(kind.give_up for kind in kinds.values())
    return judge(events, kinds, Figures(slack=SLACK), until=micros(time.monotonic()) + 2 * longest)
