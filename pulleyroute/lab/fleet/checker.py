"""Checks a run against what clients, runners and the platform observed. No I/O.

Nothing that a dispatcher reports about itself is used, and no code of `fleet/` is shared. Times are
microseconds of the machine's monotonic clock. What the observations leave open is taken in favour of the
program, so that a slow machine causes no violation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# The longest time between two probes with the same result for which that result also holds between them.
MAX_PROBE_GAP_US = 500_000
# The time that the store may need beyond a lease to end it, and a member to leave once it has its permit.
SLACK_US = 3_000_000


@dataclass(slots=True, frozen=True)
class ReadinessProbe:
    """The result of a probe of a member: its readiness at some moment between `sent_at` and `answered_at`."""

    sent_at: int
    answered_at: int
    ready: bool


@dataclass(slots=True, frozen=True)
class Outage:
    """A time during which a member certainly was not ready. `planned`: no injected fault caused it."""

    member: int
    start: int
    end: int
    planned: bool


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A client's request. `ending`: served, refused, failed, turned (never taken) or lost (no answer)."""

    txn: str
    kind: str
    member: int
    sent_at: int
    ended_at: int
    ending: str


@dataclass(slots=True)
class Observations:
    """All that was observed from outside the dispatchers. Members are keyed by their numbers."""

    probes: dict[int, list[ReadinessProbe]] = field(default_factory=dict)
    # By member: the times at which its process was killed, terminated, started, stopped or continued.
    disturbed: dict[int, list[int]] = field(default_factory=dict)
    stopped: dict[int, list[tuple[int, int]]] = field(default_factory=dict)  # from SIGSTOP to SIGCONT
    cut: dict[int, list[tuple[int, int]]] = field(
        default_factory=dict
    )  # faults of clients' or runners' links
    store_faults: list[tuple[int, int]] = field(default_factory=list)  # from the injection to the end
    exits: list[tuple[int, int, bool]] = field(default_factory=list)  # member, status, whether after a fault
    requests: list[ClientRequest] = field(default_factory=list)
    starts: list[tuple[int, str, str, str]] = field(default_factory=list)  # time, txn, kind, runner
    ran: list[tuple[str, int, int, str]] = field(default_factory=list)  # runner, start, end, txn
    drained: list[tuple[str, int, int]] = field(default_factory=list)  # runner, while reported as drained
    process_starts: list[int] = field(default_factory=list)  # of members
    released: str = ""  # the version of a release that was started
    ended: str = ""  # the last known state of the release
    versions: list[str] = field(default_factory=list)  # of the members at the end of the run
    left_out: list[int] = field(default_factory=list)  # members that did not return after the last fault


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits that a run is checked against. `lease` in microseconds."""

    max_out: int
    max_out_per_zone: int
    zones: Mapping[int, str]  # by member
    lease: int
    restart_status: int  # the exit status of a planned restart


def member_outages(
    member: int, probes: Iterable[ReadinessProbe], disturbed: list[int], stopped: list[tuple[int, int]]
) -> list[Outage]:
    """Return the outages of a member. The time before it is ready for the first time is not an outage."""
    found: list[Outage] = []
    ready: ReadinessProbe | None = None
    first: ReadinessProbe | None = None
    last: ReadinessProbe | None = None

    def end_outage() -> None:
        if first is not None and last is not None and last.sent_at > first.answered_at and ready is not None:
            caused = any(ready.sent_at <= at <= first.answered_at for at in disturbed)
            found.append(Outage(member, first.answered_at, last.sent_at, not caused))

    for probe in probes:
        if probe.ready:
            end_outage()
            ready, first, last = probe, None, None
        elif ready is not None:
            if last is not None and probe.sent_at - last.answered_at > MAX_PROBE_GAP_US:
                end_outage()
                # The member may have been ready during the gap. What ended that is unknown, so the next
                # outage is not counted as planned.
                disturbed = [*disturbed, last.answered_at]
                ready, first = ReadinessProbe(last.answered_at, last.answered_at, True), None
            first, last = first or probe, probe
    end_outage()
    found += [Outage(member, start, end, False) for start, end in stopped]
    return found


def all_outages(observed: Observations) -> list[Outage]:
    """Return the outages of all members."""
    return [
        outage
        for member, probes in observed.probes.items()
        for outage in member_outages(
            member, probes, observed.disturbed.get(member, []), observed.stopped.get(member, [])
        )
    ]


def check_limits(observed: Observations, limits: Limits) -> list[str]:
    """Return each planned outage that exceeded the limit of the fleet or of its zone."""
    outages = all_outages(observed)
    violations = []
    for outage in outages:
        if not outage.planned:
            continue
        at = outage.start
        others = {
            other.member
            for other in outages
            if other.member != outage.member and _counts(other, at, observed, limits)
        }
        if any(
            other.member == outage.member and not other.planned and _counts(other, at, observed, limits)
            for other in outages
        ):
            continue  # the member already counted as out, so this outage changes no count
        own_zone = limits.zones[outage.member]
        in_zone = {other for other in others if limits.zones[other] == own_zone}
        for scope, out, limit in (
            ("the fleet", others, limits.max_out),
            (own_zone, in_zone, limits.max_out_per_zone),
        ):
            if len(out) + 1 > limit:
                violations.append(
                    f"at {at}: member {outage.member} went out while {sorted(out)} were out in {scope}, "
                    f"whose limit is {limit}"
                )
    return violations


def _counts(outage: Outage, at: int, observed: Observations, limits: Limits) -> bool:
    """Return whether an outage had to be known and counted at a time."""
    if not outage.start <= at <= outage.end:
        return False
    if outage.planned:
        return True
    # A failed member counts as serving until its lease ends. A store that is down, stopped or slow may delay
    # that.
    known = outage.start + limits.lease + SLACK_US
    for start, end in observed.store_faults:
        if start <= known and end >= outage.start:
            known = max(known, end + limits.lease + SLACK_US)
    return at >= known


def check_jobs(observed: Observations, unsafe: set[str]) -> list[str]:
    """Return the jobs of the `unsafe` classes that ran twice, and the lost jobs that no fault explains."""
    violations = []
    count = Counter(txn for _, txn, kind, _ in observed.starts if kind in unsafe)
    for txn, times in count.items():
        if times > 1:
            where = [f"{runner} at {at}" for at, each, _, runner in observed.starts if each == txn]
            violations.append(f"{txn} ran {times} times: {', '.join(where)}")
    for request in observed.requests:
        if request.ending != "lost":
            continue
        disturbed = any(
            request.sent_at - MAX_PROBE_GAP_US <= at <= request.ended_at
            for at in observed.disturbed.get(request.member, [])
        )
        unreachable = any(
            start <= request.ended_at and end >= request.sent_at
            for start, end in (
                *observed.stopped.get(request.member, []),
                *observed.cut.get(request.member, []),
            )
        )
        if not disturbed and not unreachable:
            violations.append(
                f"{request.txn} to member {request.member} at {request.sent_at} had no answer "
                f"by {request.ended_at}"
            )
    return violations


def check_drained_runners(observed: Observations, lease: int) -> list[str]:
    """Return the jobs that ran at a runner while an operator saw it as drained.

    A dispatcher that has just started may serve before it has read that the runner is drained. Jobs that
    start while the record of that process may still be missing from the store are therefore excused.
    """
    violations = []
    for runner, start, end in observed.drained:
        for where, since, until, txn in observed.ran:
            if where != runner or since >= end or until <= start:
                continue
            if any(at - lease <= since <= at + lease + SLACK_US for at in observed.process_starts):
                continue
            violations.append(
                f"{txn} ran at {runner} from {since} to {until}, "
                f"which was reported as drained from {start} to {end}"
            )
    return violations


def check_release(observed: Observations) -> list[str]:
    """Return a release that has not ended, or whose outcome differs from the versions that run."""
    if not observed.released:
        return []  # none was started
    if observed.ended not in ("done", "back"):
        return [f"the release of {observed.released} has not ended: state {observed.ended or 'unknown'}"]
    others = [
        version
        for version in observed.versions
        if (version == observed.released) is not (observed.ended == "done")
    ]
    return (
        [f"the release of {observed.released} ended as {observed.ended}, but {observed.versions} run"]
        if others
        else []
    )


def check(observed: Observations, limits: Limits, unsafe: set[str]) -> list[str]:
    """Return every violation of a run, one line each."""
    violations = (
        check_limits(observed, limits)
        + check_jobs(observed, unsafe)
        + check_drained_runners(observed, limits.lease)
    )
    violations += check_release(observed)
    violations += [
        f"member {member} ended with status {status}"
        for member, status, after_fault in observed.exits
        if not after_fault and status != limits.restart_status
    ]
    violations += [f"member {member} did not return after the last fault" for member in observed.left_out]
    return violations
