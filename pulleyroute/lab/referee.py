"""The four rules, judged from what clients, boxes and the list saw. Pure, and written apart from the
dispatcher.

A driver of whatever kind (stand-ins on sockets, simulated time) feeds events in the order of their times; the
referee keeps what each request went through and tells every broken rule with that history. It never looks at
the dispatcher. Times are microseconds of one clock; work is microseconds of running on a core of speed 1.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

ENDINGS = {200: "served", 429: "refused", 503: "refused"}  # by the HTTP status; all others are "failed"
SLACK = 50_000  # on sockets each time limit is longer by this


class Rule(Enum):
    """Which rule; the texts are what a report says."""

    ONE_ANSWER = "one final answer, before the client gives up"
    NO_REPEAT = "what may have run goes out again only where its class allows"
    DRAIN = "nothing new to a draining or gone box after the grace"
    COLD = "no cold box pushed over"


@dataclass(slots=True, frozen=True)
class Kind:
    """A class as the rules see it. `effect`: "safe", "keyed" or "unsafe"; a keyed repeat is dropped by the
    boxes of the same `scope` ("all", "zone" or "cell") for `window`."""

    effect: str
    give_up: int
    scope: str = "all"
    window: int = 0


@dataclass(slots=True, frozen=True)
class Place:
    """Where a box stands, for keyed repeats."""

    zone: str = ""
    cell: int = 0


@dataclass(slots=True, frozen=True)
class Asked:
    at: int
    request: str
    kind: str


@dataclass(slots=True, frozen=True)
class Sent:
    """An attempt's last byte reached a box. `work` counts against a cold one."""

    at: int
    request: str
    attempt: int
    box: str
    work: int = 0


@dataclass(slots=True, frozen=True)
class Proved:
    """The dispatcher has been told that an attempt never ran."""

    at: int
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Answered:
    """A client has its answer: "served", "refused" or "failed"."""

    at: int
    request: str
    ending: str


@dataclass(slots=True, frozen=True)
class Told:
    """The list has told the dispatcher of a box: "active", "leaving" or "left"."""

    at: int
    box: str
    phase: str


@dataclass(slots=True, frozen=True)
class Booted:
    """A box has started cold. `capacity`: work it can do in a microsecond once it is warm."""

    at: int
    box: str
    capacity: float


Event = Asked | Sent | Proved | Answered | Told | Booted


@dataclass(slots=True, frozen=True)
class Breach:
    rule: Rule
    at: int
    text: str
    history: str


@dataclass(slots=True, frozen=True)
class Figures:
    """The rules' figures: the grace of a drain; a box starts at `cold_share` of its capacity, is warm after
    `ramp`, and falls at `multiple` times what it can do, kept up for `window`."""

    grace: int = 1_500_000
    cold_share: float = 1.0
    ramp: int = 0
    multiple: float = 4.0
    window: int = 3_000_000
    slack: int = SLACK


@dataclass(slots=True)
class _Request:
    kind: Kind
    asked: int
    events: list[Event] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    proved: set[int] = field(default_factory=set)
    answers: list[Answered] = field(default_factory=list)


class Referee:
    """Hears a whole run. `broken` is what it found, in the order it was found."""

    def __init__(
        self, kinds: dict[str, Kind], figures: Figures | None = None, places: dict[str, Place] | None = None
    ) -> None:
        self._kinds, self._figures = kinds, figures or Figures()
        self._places = places or {}
        self._requests: dict[str, _Request] = {}
        self._told: dict[str, Told] = {}  # boxes that are not to get anything new
        self._booted: dict[str, Booted] = {}
        self._recent: dict[str, deque[Sent]] = defaultdict(deque)
        self._now = 0
        self.broken: list[Breach] = []

    def hear(self, event: Event) -> None:
        """One event; raises ValueError if it is out of order or of a request that nobody asked for."""
        if event.at < self._now:
            raise ValueError(f"{event} comes after {self._now}")
        self._now = event.at
        if isinstance(event, Told):
            if event.phase == "active":
                self._told.pop(event.box, None)
            else:
                self._told.setdefault(event.box, event)
            return
        if isinstance(event, Booted):
            self._booted[event.box] = event
            self._recent[event.box].clear()
            return
        if isinstance(event, Asked):
            if event.request in self._requests:
                raise ValueError(f"{event.request} was asked for twice")
            self._requests[event.request] = _Request(self._kinds[event.kind], event.at, [event])
            return
        request = self._requests.get(event.request)
        if request is None:
            raise ValueError(f"nobody asked for {event.request}")
        request.events.append(event)
        if isinstance(event, Proved):
            request.proved.add(event.attempt)
        elif isinstance(event, Answered):
            self._answer(request, event)
        else:
            self._send(request, event)

    def finish(self, at: int) -> list[Breach]:
        """The run is over: who has no answer by now has none."""
        for name, request in self._requests.items():
            if not request.answers and at > request.asked + request.kind.give_up + self._figures.slack:
                self._tell(Rule.ONE_ANSWER, at, f"{name} had no answer", request)
        return self.broken

    def _tell(self, rule: Rule, at: int, text: str, request: _Request | None) -> None:
        history = self.history(request) if request is not None else ""
        self.broken.append(Breach(rule, at, text, history))

    @staticmethod
    def history(request: _Request) -> str:
        """All that a request went through, in one line; times from its asking, in seconds."""
        return "; ".join(f"{(event.at - request.asked) / 1e6:+.3f} {event}" for event in request.events)

    def _answer(self, request: _Request, event: Answered) -> None:
        request.answers.append(event)
        if len(request.answers) > 1:
            self._tell(
                Rule.ONE_ANSWER, event.at, f"{event.request} had {len(request.answers)} answers", request
            )
        if event.at > request.asked + request.kind.give_up + self._figures.slack:
            self._tell(
                Rule.ONE_ANSWER, event.at, f"{event.request} was answered after its give-up time", request
            )
        if event.ending == "refused" and request.kind.effect == "unsafe":
            ran = [each for each in request.sent if each.attempt not in request.proved]
            if ran:
                # A refusal promises that a repeat is harmless.
                self._tell(
                    Rule.NO_REPEAT,
                    event.at,
                    f"{event.request} was refused and may have run at {ran[0].box}",
                    request,
                )

    def _send(self, request: _Request, event: Sent) -> None:
        told = self._told.get(event.box)
        if told is not None and event.at > told.at + self._figures.grace + self._figures.slack:
            late = (event.at - told.at) / 1e6
            self._tell(
                Rule.DRAIN,
                event.at,
                f"{event.request} went to {event.box} {late:.2f} s after it was told " f"{told.phase}",
                request,
            )
        earlier = [each for each in request.sent if each.attempt not in request.proved]
        request.sent.append(event)
        for each in earlier:
            if not self._may_repeat(request.kind, each, event):
                self._tell(
                    Rule.NO_REPEAT,
                    event.at,
                    f"{event.request} may have run at {each.box} and went to " f"{event.box}",
                    request,
                )
                break
        self._warm(request, event)

    def _may_repeat(self, kind: Kind, first: Sent, again: Sent) -> bool:
        if kind.effect == "safe":
            return True
        if kind.effect == "unsafe":
            return False
        if again.at > first.at + kind.window + self._figures.slack:
            return False
        here, there = (self._places.get(each.box, Place()) for each in (first, again))
        if kind.scope == "all":
            return True
        return here.zone == there.zone and (kind.scope == "zone" or here.cell == there.cell)

    def _warm(self, request: _Request, event: Sent) -> None:
        booted, figures = self._booted.get(event.box), self._figures
        if booted is None or not figures.ramp:
            return
        age = event.at - booted.at
        if age >= figures.ramp:
            del self._booted[event.box]
            return
        recent = self._recent[event.box]
        recent.append(event)
        while recent[0].at < event.at - figures.window:
            recent.popleft()
        share = figures.cold_share + (1 - figures.cold_share) * age / figures.ramp
        budget = figures.multiple * share * booted.capacity * figures.window
        work = sum(each.work for each in recent)
        if work > budget:
            self._tell(
                Rule.COLD,
                event.at,
                f"{event.box}, {age / 1e6:.2f} s old, was sent {work / budget:.2f} times "
                f"the work that it falls at",
                request,
            )
            recent.clear()  # told once a window


def judge(
    events: list[Event],
    kinds: dict[str, Kind],
    figures: Figures | None = None,
    places: dict[str, Place] | None = None,
    until: int | None = None,
) -> list[Breach]:
    """A whole run at once, its events in any order; `until`: when it was over, the last event without it."""
    ordered = sorted(events, key=lambda event: (event.at, _ORDER[type(event)]))
    referee = Referee(kinds, figures, places)
    for event in ordered:
        referee.hear(event)
    return referee.finish(until if until is not None else ordered[-1].at if ordered else 0)


# Of events at one moment: what is told comes before what is done.
_ORDER: dict[type, int] = {Booted: 0, Told: 1, Asked: 2, Proved: 3, Sent: 4, Answered: 5}
