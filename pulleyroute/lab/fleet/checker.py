"""Judges a run by what clients, runners and the platform saw, never by what the program says of itself. Pure.

Written apart from `fleet/`. Times are microseconds of the machine's monotonic clock. What an observation
leaves open is taken in the program's favour, so that a slow machine breaks nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

GAP = 500_000  # between two looks at most, for what was so at both to have been so between them
SLACK = 3_000_000  # that a store may need beyond a lease, and a member to go once it has its permit


@dataclass(slots=True, frozen=True)
class Look:
    """The platform asked a member whether it wants clients: some moment between `asked` and `answered`."""

    asked: int
    answered: int
    ready: bool


@dataclass(slots=True, frozen=True)
class Outage:
    """A member surely was out from `start` to `end`. `planned`: nobody outside had caused it."""

    member: int
    start: int
    end: int
    planned: bool


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's request. `ending`: served, refused, failed or lost (no whole answer); "" while it is out."""

    txn: str
    kind: str
    member: int
    at: int
    answered: int
    ending: str


@dataclass(slots=True)
class Saw:
    """All that was seen from outside."""

    looks: dict[int, list[Look]] = field(default_factory=dict)
    # Per member: when it was killed, told to end, stopped or started, and what a stop's end was.
    hurt: dict[int, list[int]] = field(default_factory=dict)
    stopped: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    cut: dict[int, list[tuple[int, int]]] = field(default_factory=dict)  # clients' or runners' links, hurt
    store: list[tuple[int, int]] = field(default_factory=list)  # while it was not quite itself
    exits: list[tuple[int, int, bool]] = field(default_factory=list)  # member, status, whether hurt before
    requests: list[Asked] = field(default_factory=list)
    starts: list[tuple[int, str, str, str]] = field(default_factory=list)  # at, txn, kind, runner
    ran: list[tuple[str, int, int, str]] = field(default_factory=list)  # runner, from, to, txn
    drained: list[tuple[str, int, int]] = field(default_factory=list)  # runner, while an operator was told so
    born: list[int] = field(default_factory=list)  # when processes of members were started
    released: str = ""  # the version of a release that was started
    ended: str = ""  # how it ended
    versions: list[str] = field(default_factory=list)  # that the platform runs at the end
    left_out: list[int] = field(default_factory=list)  # members that never came back after the last fault


@dataclass(slots=True, frozen=True)
class Limits:
    fleet: int
    zone: int
    zones: Mapping[int, str]
    lease: int
    restart_status: int


def outages(
    member: int, looks: Iterable[Look], hurt: list[int], stopped: list[tuple[int, int]]
) -> list[Outage]:
    """When a member surely was out. Before it was ready for the first time it is nobody's loss."""
    found: list[Outage] = []
    ready: Look | None = None
    first: Look | None = None
    last: Look | None = None

    def over() -> None:
        if first is not None and last is not None and last.asked > first.answered and ready is not None:
            cause = any(ready.asked <= at <= first.answered for at in hurt)
            found.append(Outage(member, first.answered, last.asked, not cause))

    for look in looks:
        if look.ready:
            over()
            ready, first, last = look, None, None
        elif ready is not None:
            if last is not None and look.asked - last.answered > GAP:
                over()
                # Guards the verdict: it may have been back meanwhile, and what ended that is not known.
                hurt = [*hurt, last.answered]
                ready, first = Look(last.answered, last.answered, True), None
            first, last = first or look, look
    over()
    found += [Outage(member, start, end, False) for start, end in stopped]
    return found


def every_outage(saw: Saw) -> list[Outage]:
    """Of all members."""
    return [
        outage
        for member, looks in saw.looks.items()
        for outage in outages(member, looks, saw.hurt.get(member, []), saw.stopped.get(member, []))
    ]


def over_limit(saw: Saw, limits: Limits) -> list[str]:
    """Each planned way out that passed a limit."""
    every = every_outage(saw)
    broken = []
    for gone in every:
        if not gone.planned:
            continue
        at = gone.start
        others = {
            other.member for other in every if other.member != gone.member and _counts(other, at, saw, limits)
        }
        if any(
            other.member == gone.member and not other.planned and _counts(other, at, saw, limits)
            for other in every
        ):
            continue  # it was out already, and its going changes no count
        home = limits.zones[gone.member]
        zone = {other for other in others if limits.zones[other] == home}
        for where, out, most in (("the fleet", others, limits.fleet), (home, zone, limits.zone)):
            if len(out) + 1 > most:
                broken.append(
                    f"at {at}: member {gone.member} went out beside {sorted(out)} in {where}, "
                    f"where {most} may be"
                )
    return broken


def _counts(other: Outage, at: int, saw: Saw, limits: Limits) -> bool:
    """Whether an outage had to be known of and counted at a time."""
    if not other.start <= at <= other.end:
        return False
    if other.planned:
        return True
    # Its word stands until its lease is over, which a store that was down, stopped or slow may put off.
    known = other.start + limits.lease + SLACK
    for start, end in saw.store:
        if start <= known and end >= other.start:
            known = max(known, end + limits.lease + SLACK)
    return at >= known


def jobs(saw: Saw, unsafe: set[str]) -> list[str]:
    """Jobs that ran twice against their class, and those lost where nothing outside explains it."""
    broken = []
    count = Counter(txn for _, txn, kind, _ in saw.starts if kind in unsafe)
    for txn, times in count.items():
        if times > 1:
            where = [f"{runner} at {at}" for at, each, _, runner in saw.starts if each == txn]
            broken.append(f"{txn} ran {times} times: {', '.join(where)}")
    for each in saw.requests:
        if each.ending != "lost":
            continue
        hurt = any(each.at - GAP <= at <= each.answered for at in saw.hurt.get(each.member, []))
        away = any(
            start <= each.answered and end >= each.at
            for start, end in (*saw.stopped.get(each.member, []), *saw.cut.get(each.member, []))
        )
        if not hurt and not away:
            broken.append(f"{each.txn} to member {each.member} at {each.at} had no answer by {each.answered}")
    return broken


def drained(saw: Saw, lease: int) -> list[str]:
    """What ran at a runner while an operator was told that it is drained.

    A process that is started meanwhile may not have heard of it before it serves: for so long as its own word
    may be missing nothing is held against it.
    """
    broken = []
    for box, start, end in saw.drained:
        for where, since, until, txn in saw.ran:
            if where != box or since >= end or until <= start:
                continue
            if any(born - lease <= since <= born + lease + SLACK for born in saw.born):
                continue
            broken.append(
                f"{txn} ran at {box} from {since} to {until}, " f"told as drained from {start} to {end}"
            )
    return broken


def releases(saw: Saw) -> list[str]:
    """A release that has not ended, or whose end is not what the platform runs."""
    if not saw.released:
        return []  # none was started
    if saw.ended not in ("done", "back"):
        return [f"the release of {saw.released} has not ended: {saw.ended or 'nobody knows how'}"]
    others = [version for version in saw.versions if (version == saw.released) is not (saw.ended == "done")]
    return [f"the release of {saw.released} is told as {saw.ended}, and {saw.versions} run"] if others else []


def judge(saw: Saw, limits: Limits, unsafe: set[str]) -> list[str]:
    """Every broken promise, as a line each."""
    broken = over_limit(saw, limits) + jobs(saw, unsafe) + drained(saw, limits.lease)
    broken += releases(saw)
    broken += [
        f"member {member} ended with status {status}"
        for member, status, hurt in saw.exits
        if not hurt and status != limits.restart_status
    ]
    broken += [f"member {member} was left out for ever" for member in saw.left_out]
    return broken
