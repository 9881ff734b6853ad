"""A checker of the dispatcher's four rules, based on what clients, instances and discovery observed.

It shares no code with the dispatcher and reads neither clock nor sockets. A driver (stand-ins on sockets, or
a simulation) passes it events in the order of their times; the checker keeps the history of each request and
reports every broken rule with that history. Times are in microseconds of one clock; work is in microseconds
of running time on a core of speed 1.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

ENDINGS = {200: "served", 429: "refused", 503: "refused"}  # by HTTP status; any other status is "failed"
SLACK_US = 50_000  # tolerance on each time limit, for delays of sockets


class Rule(Enum):
    """The rules. The values are the texts in reports."""

    ONE_ANSWER = "one final answer, before the client gives up"
    NO_REPEAT = "what may have run goes out again only where its class allows"
    DRAIN = "nothing new to a draining or gone box after the grace"
    COLD = "no cold box pushed over"


@dataclass(slots=True, frozen=True)
class ClassRules:
    """What the rules say about one class of requests.

    `effect` is "safe", "keyed" or "unsafe". Instances in the same `scope` ("all", "zone" or "cell") discard a
    repeat of a keyed request for `window`. `give_up` and `window` are in microseconds.
    """

    effect: str
    give_up: int
    scope: str = "all"
    window: int = 0


@dataclass(slots=True, frozen=True)
class Location:
    """Zone and cell of an instance, which decide about repeats of keyed requests."""

    zone: str = ""
    cell: int = 0


@dataclass(slots=True, frozen=True)
class RequestSent:
    """A client has sent a request."""

    at: int
    request: str
    kind: str


@dataclass(slots=True, frozen=True)
class AttemptSent:
    """The last byte of an attempt has reached an instance. `work` counts against an instance that is cold."""

    at: int
    request: str
    attempt: int
    instance: str
    work: int = 0


@dataclass(slots=True, frozen=True)
class ProvedNotRun:
    """The dispatcher has received proof that an attempt did not run."""

    at: int
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class RequestAnswered:
    """A client has received its answer: "served", "refused" or "failed"."""

    at: int
    request: str
    ending: str


@dataclass(slots=True, frozen=True)
class PhaseReported:
    """Discovery has reported the phase of an instance: "active", "leaving" or "left"."""

    at: int
    instance: str
    phase: str


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance has started cold. `capacity` is the work that it does in a microsecond once it is warm."""

    at: int
    instance: str
    capacity: float


Event = RequestSent | AttemptSent | ProvedNotRun | RequestAnswered | PhaseReported | InstanceStarted


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken rule, with the history of the request that broke it."""

    rule: Rule
    at: int
    text: str
    history: str


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """Parameters of the rules; times are in microseconds.

    `grace` is the time after a drain in which new attempts are allowed. An instance starts with `cold_share`
    of its capacity, is warm after `ramp`, and is overloaded by `multiple` times its current capacity if that
    is sustained for `window`. `slack` is the tolerance on time limits.
    """

    grace: int = 1_500_000
    cold_share: float = 1.0
    ramp: int = 0
    multiple: float = 4.0
    window: int = 3_000_000
    slack: int = SLACK_US


@dataclass(slots=True)
class _Request:
    kind: ClassRules
    sent_at: int
    events: list[Event] = field(default_factory=list)
    attempts: list[AttemptSent] = field(default_factory=list)
    proved_not_run: set[int] = field(default_factory=set)
    answers: list[RequestAnswered] = field(default_factory=list)


class RuleChecker:
    """Checks the events of one run. `broken` lists the violations in the order in which they were found."""

    def __init__(
        self,
        kinds: dict[str, ClassRules],
        limits: RuleLimits | None = None,
        locations: dict[str, Location] | None = None,
    ) -> None:
        self._kinds, self._limits = kinds, limits or RuleLimits()
        self._locations = locations or {}
        self._requests: dict[str, _Request] = {}
        self._draining: dict[str, PhaseReported] = {}  # by name of the instance that drains or has left
        self._started: dict[str, InstanceStarted] = {}
        self._recent_attempts: dict[str, deque[AttemptSent]] = defaultdict(deque)
        self._now = 0
        self.broken: list[Violation] = []

    def process(self, event: Event) -> None:
        """Check one event. Raises ValueError if it is out of order or belongs to no known request."""
        if event.at < self._now:
            raise ValueError(f"{event} is earlier than the event before it, at {self._now}")
        self._now = event.at
        if isinstance(event, PhaseReported):
            if event.phase == "active":
                self._draining.pop(event.instance, None)
            else:
                self._draining.setdefault(event.instance, event)
            return
        if isinstance(event, InstanceStarted):
            self._started[event.instance] = event
            self._recent_attempts[event.instance].clear()
            return
        if isinstance(event, RequestSent):
            if event.request in self._requests:
                raise ValueError(f"request {event.request} was sent twice by its client")
            self._requests[event.request] = _Request(self._kinds[event.kind], event.at, [event])
            return
        request = self._requests.get(event.request)
        if request is None:
            raise ValueError(f"no client has sent request {event.request}")
        request.events.append(event)
        if isinstance(event, ProvedNotRun):
            request.proved_not_run.add(event.attempt)
        elif isinstance(event, RequestAnswered):
            self._on_answer(request, event)
        else:
            self._on_attempt(request, event)

    def finish(self, at: int) -> list[Violation]:
        """End the run at a time, and report the requests that have had no answer."""
        for name, request in self._requests.items():
            if not request.answers and at > request.sent_at + request.kind.give_up + self._limits.slack:
                self._report(Rule.ONE_ANSWER, at, f"{name} had no answer", request)
        return self.broken

    def _report(self, rule: Rule, at: int, text: str, request: _Request | None) -> None:
        history = self.history(request) if request is not None else ""
        self.broken.append(Violation(rule, at, text, history))

    @staticmethod
    def history(request: _Request) -> str:
        """Describe the events of a request in one line, with seconds since it was sent."""
        return "; ".join(f"{(event.at - request.sent_at) / 1e6:+.3f} {event}" for event in request.events)

    def _on_answer(self, request: _Request, event: RequestAnswered) -> None:
        request.answers.append(event)
        if len(request.answers) > 1:
            self._report(
                Rule.ONE_ANSWER, event.at, f"{event.request} had {len(request.answers)} answers", request
            )
        if event.at > request.sent_at + request.kind.give_up + self._limits.slack:
            self._report(
                Rule.ONE_ANSWER, event.at, f"{event.request} was answered after its give-up time", request
            )
        if event.ending == "refused" and request.kind.effect == "unsafe":
            ran = [each for each in request.attempts if each.attempt not in request.proved_not_run]
            if ran:
                # A refusal promises that a repeat is harmless.
                self._report(
                    Rule.NO_REPEAT,
                    event.at,
                    f"{event.request} was refused and may have run at {ran[0].instance}",
                    request,
                )

    def _on_attempt(self, request: _Request, event: AttemptSent) -> None:
        draining = self._draining.get(event.instance)
        if draining is not None and event.at > draining.at + self._limits.grace + self._limits.slack:
            late = (event.at - draining.at) / 1e6
            self._report(
                Rule.DRAIN,
                event.at,
                f"{event.request} went to {event.instance} {late:.2f} s after it was told "
                f"{draining.phase}",
                request,
            )
        earlier = [each for each in request.attempts if each.attempt not in request.proved_not_run]
        request.attempts.append(event)
        for each in earlier:
            if not self._may_repeat(request.kind, each, event):
                self._report(
                    Rule.NO_REPEAT,
                    event.at,
                    f"{event.request} may have run at {each.instance} and went to " f"{event.instance}",
                    request,
                )
                break
        self._check_cold_start(request, event)

    def _may_repeat(self, kind: ClassRules, first: AttemptSent, again: AttemptSent) -> bool:
        if kind.effect == "safe":
            return True
        if kind.effect == "unsafe":
            return False
        if again.at > first.at + kind.window + self._limits.slack:
            return False
        first_location, second_location = (
            self._locations.get(each.instance, Location()) for each in (first, again)
        )
        if kind.scope == "all":
            return True
        return first_location.zone == second_location.zone and (
            kind.scope == "zone" or first_location.cell == second_location.cell
        )

    def _check_cold_start(self, request: _Request, event: AttemptSent) -> None:
        started, limits = self._started.get(event.instance), self._limits
        if started is None or not limits.ramp:
            return
        age = event.at - started.at
        if age >= limits.ramp:
            del self._started[event.instance]
            return
        recent_attempts = self._recent_attempts[event.instance]
        recent_attempts.append(event)
        while recent_attempts[0].at < event.at - limits.window:
            recent_attempts.popleft()
        share = limits.cold_share + (1 - limits.cold_share) * age / limits.ramp
        budget = limits.multiple * share * started.capacity * limits.window
        work = sum(each.work for each in recent_attempts)
        if work > budget:
            self._report(
                Rule.COLD,
                event.at,
                f"{event.instance}, {age / 1e6:.2f} s old, was sent {work / budget:.2f} times "
                f"the work that it falls at",
                request,
            )
            recent_attempts.clear()  # one report for each window


def check_events(
    events: list[Event],
    kinds: dict[str, ClassRules],
    limits: RuleLimits | None = None,
    locations: dict[str, Location] | None = None,
    until: int | None = None,
) -> list[Violation]:
    """Check all events of a run, which may be in any order.

    `until` is the time at which the run ended; without it, that is the time of the last event.
    """
    ordered = sorted(events, key=lambda event: (event.at, _EVENT_ORDER[type(event)]))
    checker = RuleChecker(kinds, limits, locations)
    for event in ordered:
        checker.process(event)
    return checker.finish(until if until is not None else ordered[-1].at if ordered else 0)


# Order of events at the same time: reports come before the actions that depend on them.
_EVENT_ORDER: dict[type, int] = {
    InstanceStarted: 0,
    PhaseReported: 1,
    RequestSent: 2,
    ProvedNotRun: 3,
    AttemptSent: 4,
    RequestAnswered: 5,
}
