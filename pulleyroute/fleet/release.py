"""A release: restarts of the members to another version in waves; it can be halted and rolled back. No I/O.

The state of a release is one record. The process that leads the group calls `step` for the next change and
writes it. Times are the leader's own monotonic clock: a new leader counts a wave's soak and patience from its
own start, which only makes the release slower. A release is in exactly one state:

    RUNNING ──▶ DONE
       │ ▲ resume
       ▼ │
    HALTED ──▶ ROLLING_BACK ──▶ ROLLED_BACK      (ROLLING_BACK ──▶ HALTED when it exceeds its patience)
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import MemberStatus, member_statuses
from pulleyroute.fleet.records import Health, MemberRequest, OperationRefused, Release, Snapshot

SERVED_SHARE_TOLERANCE = 0.05  # by which a share of jobs served may be below the one it is compared with
MIN_JOBS_ENDED = 20  # below which no share of jobs served is compared
UNCOUNTED, TOO_FEW = -1.0, -2.0  # values of `Release.before` without a share
COUNT_TIMEOUT_US = 10_000_000  # that a release waits at its start for the job counts of all members


JobCounts = tuple[int, int]  # jobs served, jobs ended


class State(Enum):
    """The state of a release; the values are stored."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "backing"
    ROLLED_BACK = "back"
    DONE = "done"


ACTIVE_STATES = (State.RUNNING.value, State.ROLLING_BACK.value)


@dataclass(slots=True, frozen=True)
class Plan:
    """A release as requested by an operator.

    `waves`: how many members have the new version after each wave, as a number or a share of those selected.
    `at_once`: requests pending at the same time. `soak`: microseconds for which a complete wave is observed.
    `patience`: microseconds that a wave may take to complete.
    """

    name: str
    version: str
    waves: tuple[CountOrShare, ...]
    zones: tuple[str, ...] = ()  # select members of these zones; empty for all
    of_version: str = ""  # select members of this version; empty for all
    at_once: int = 1
    soak: int = 30_000_000
    patience: int = 300_000_000
    on_failure: str = "halt"  # or "back"


def new_release(plan: Plan, snapshot: Snapshot) -> Release:
    """Return the record of a release that starts now; raises `OperationRefused`.

    Members are taken in turn from each zone, by name within a zone, so that a wave is spread over the zones.
    """
    if snapshot.release is not None and snapshot.release.state in (*ACTIVE_STATES, State.HALTED.value):
        raise OperationRefused(
            f"release {snapshot.release.name} is {snapshot.release.state}: roll it back, or resume it"
        )
    zones: dict[str, list[str]] = {}
    for name, registration in sorted(snapshot.registrations.items()):
        heartbeat = snapshot.heartbeats.get(name)
        version = heartbeat.version if heartbeat is not None else ""
        if (plan.zones and registration.zone not in plan.zones) or (
            plan.of_version and version != plan.of_version
        ):
            continue
        zones.setdefault(registration.zone, []).append(name)
    missing = set(plan.zones) - {registration.zone for registration in snapshot.registrations.values()}
    if missing:
        raise OperationRefused(f"no member is in zone {', '.join(sorted(missing))}")
    order = [
        name
        for rank in range(max(map(len, zones.values()), default=0))
        for _, names in sorted(zones.items())
        for name in names[rank : rank + 1]
    ]
    if not order:
        raise OperationRefused("the plan selects no member")
    silent = [name for name in order if name not in snapshot.heartbeats]
    if silent:
        raise OperationRefused(f"no heartbeat from {', '.join(silent)}; see `pulleyroute fleet members`")
    counts: list[int] = []
    for wave in plan.waves:
        count = min(len(order), max(1, wave.of(len(order))))
        if counts and count < counts[-1]:
            raise OperationRefused("a wave has fewer members than the previous one")
        if not counts or count > counts[-1]:
            counts.append(count)
    if not counts or counts[-1] < len(order):
        counts.append(len(order))
    return Release(
        plan.name,
        plan.version,
        State.RUNNING.value,
        "",
        0,
        tuple(counts),
        tuple(order),
        tuple(snapshot.heartbeats[name].version for name in order),
        plan.at_once,
        plan.soak,
        plan.patience,
        plan.on_failure,
        UNCOUNTED,
    )


def _sum_counts(health: Mapping[str, Health], names: list[str]) -> JobCounts:
    reported = [health[name] for name in names if name in health]
    return sum(each.good for each in reported), sum(each.ended for each in reported)


@dataclass(slots=True)
class WaveProgress:
    """What the leader has observed of the current wave. Kept in memory only; times of its clock (us).

    `wave`: release, wave and state that the observations belong to. `since`: when the leader first saw it.
    `complete_since`: since when all members of the wave have the version. `baseline`: each member's job
    counts when the wave started, or when the member first reported them.
    """

    wave: tuple[str, int, str] = ("", -1, "")
    since: int = 0
    complete_since: int | None = None
    baseline: dict[str, Health] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReleaseChange:
    """What the leader has to write: the release's new record, requests to members, both, or nothing.

    `dropped`: members whose request is withdrawn. `wait`: what the release is waiting for.
    """

    release: Release | None = None
    member_requests: tuple[MemberRequest, ...] = ()
    dropped: tuple[str, ...] = ()
    wait: str = ""


def serves_version(name: str, version: str, snapshot: Snapshot) -> bool:
    """Return whether a member serves with that version and has no pending request."""
    status = (
        member_statuses([snapshot.registrations[name]], snapshot.heartbeats, snapshot.permits)[name]
        if name in snapshot.registrations
        else None
    )
    return (
        status is MemberStatus.SERVING
        and snapshot.heartbeats[name].version == version
        and name not in snapshot.member_requests
    )


def step(snapshot: Snapshot, progress: WaveProgress, now: int) -> ReleaseChange:
    """Return what the leader has to write next, and update `progress`."""
    release = snapshot.release
    if release is None or release.state not in ACTIVE_STATES:
        return ReleaseChange()
    key = (release.name, release.wave, release.state)
    if progress.wave != key:
        progress.wave, progress.since, progress.complete_since = key, now, None
        progress.baseline = {}
    for name, health in snapshot.health.items():
        progress.baseline.setdefault(name, health)
    if release.state == State.ROLLING_BACK.value:
        return _roll_back(release, snapshot, progress, now)
    if release.before == UNCOUNTED:
        # Members report job counts only during a release, so that the share served before the release covers
        # the lifetime of every process.
        if not set(snapshot.heartbeats) <= set(snapshot.health) and now - progress.since < COUNT_TIMEOUT_US:
            return ReleaseChange(wait="waiting for job counts")
        good, ended = _sum_counts(snapshot.health, list(snapshot.health))
        return ReleaseChange(replace(release, before=good / ended if ended >= MIN_JOBS_ENDED else TOO_FEW))
    target = release.members[: release.counts[release.wave]]
    counts = _counts_by_version(release, snapshot, progress)
    regression = _regression(release, *counts)
    if regression is not None:
        return _fail(release, snapshot, regression)
    waiting = [name for name in target if not serves_version(name, release.version, snapshot)]
    if waiting:
        progress.complete_since = None
        if now - progress.since > release.patience:
            return _fail(
                release,
                snapshot,
                f"wave {release.wave + 1} is over its patience: "
                f"{', '.join(waiting)} did not come back as {release.version}",
            )
        return _request_restarts(release, snapshot, [(name, release.version) for name in waiting])
    if progress.complete_since is None:
        progress.complete_since = now
    if now - progress.complete_since < release.soak:
        return ReleaseChange(wait="soaking")
    if _is_degraded(release, *counts):
        # A degradation on both versions isn't attributed to the release, but no wave is started during it.
        return ReleaseChange(wait="share of jobs served is low on both versions")
    if release.wave + 1 < len(release.counts):
        return ReleaseChange(replace(release, wave=release.wave + 1))
    return ReleaseChange(replace(release, state=State.DONE.value))


def _request_restarts(release: Release, snapshot: Snapshot, targets: list[tuple[str, str]]) -> ReleaseChange:
    """Request the restart of the next members, given as (name, version), up to `at_once` at the same time."""
    by = request_author(release)
    pending = [name for name, _ in targets if name in snapshot.member_requests]
    remaining = release.at_once - len(pending)
    new = [
        MemberRequest(name, "restart", snapshot.registrations[name].incarnation, version, by, by)
        for name, version in targets
        if name in snapshot.heartbeats
        and name not in snapshot.member_requests
        and name not in snapshot.permits
    ][: max(0, remaining)]
    return ReleaseChange(
        member_requests=tuple(new),
        wait="" if new else f"waiting for {', '.join(name for name, _ in targets)}",
    )


def request_author(release: Release) -> str:
    """Return the author of the requests that a release makes."""
    return f"release {release.name}"


def requests_without_permit(release: Release, snapshot: Snapshot) -> tuple[str, ...]:
    """Return the members whose request by this release has no permit yet, so that it can be withdrawn."""
    return tuple(
        name
        for name, request in snapshot.member_requests.items()
        if request.by == request_author(release) and name not in snapshot.permits
    )


def _fail(release: Release, snapshot: Snapshot, why: str) -> ReleaseChange:
    state = State.ROLLING_BACK if release.on_failure == "back" else State.HALTED
    return ReleaseChange(
        replace(release, state=state.value, why=why), dropped=requests_without_permit(release, snapshot)
    )


def _roll_back(release: Release, snapshot: Snapshot, progress: WaveProgress, now: int) -> ReleaseChange:
    previous = dict(zip(release.members, release.previous, strict=True))
    waiting = [
        name for name in reversed(release.members) if not serves_version(name, previous[name], snapshot)
    ]
    if not waiting:
        return ReleaseChange(replace(release, state=State.ROLLED_BACK.value))
    if now - progress.since > release.patience:
        versions = {name: heartbeat.version for name, heartbeat in snapshot.heartbeats.items()}
        running = ", ".join(f"{name} as {versions.get(name, 'nobody knows what')}" for name in waiting)
        why = f"the way back is over its patience: {running}"
        return ReleaseChange(
            replace(release, state=State.HALTED.value, why=why),
            dropped=requests_without_permit(release, snapshot),
        )
    outdated = [
        name
        for name in waiting
        if name in snapshot.member_requests
        and name not in snapshot.permits
        and snapshot.member_requests[name].version != previous[name]
    ]
    if outdated:
        return ReleaseChange(dropped=tuple(outdated))
    return _request_restarts(release, snapshot, [(name, previous[name]) for name in waiting])


def _counts_by_version(
    release: Release, snapshot: Snapshot, progress: WaveProgress
) -> tuple[JobCounts, JobCounts]:
    """Return the job counts of updated members, and those of the others since the wave started."""
    target = set(release.members[: release.counts[release.wave]])
    new = [
        name
        for name, heartbeat in snapshot.heartbeats.items()
        if heartbeat.version == release.version and name in target and _counts_are_current(name, snapshot)
    ]
    old = [
        name
        for name in snapshot.registrations
        if name not in target
        and name in snapshot.health
        and name in progress.baseline
        and snapshot.health[name].incarnation == progress.baseline[name].incarnation
    ]
    good = sum(snapshot.health[name].good - progress.baseline[name].good for name in old)
    ended = sum(snapshot.health[name].ended - progress.baseline[name].ended for name in old)
    return _sum_counts(snapshot.health, new), (good, ended)


def _counts_are_current(name: str, snapshot: Snapshot) -> bool:
    """Return whether a member's counts are of its current process: an earlier one had the old version."""
    health, heartbeat = snapshot.health.get(name), snapshot.heartbeats.get(name)
    return health is not None and heartbeat is not None and health.incarnation == heartbeat.incarnation


def _regression(release: Release, new: JobCounts, others: JobCounts) -> str | None:
    """Return why the new version counts as failing; None if it doesn't.

    It does if its share of jobs served is below that before the release and below that of the others now.
    """
    (good, ended), (other_good, other_ended) = new, others
    if ended < MIN_JOBS_ENDED:
        return None
    share = good / ended
    expected = [release.before] if release.before >= 0 else []
    if other_ended >= MIN_JOBS_ENDED:
        # A degradation that affects both versions isn't caused by the new one.
        expected.append(other_good / other_ended)
    if not expected or share >= min(expected) - SERVED_SHARE_TOLERANCE:
        return None
    return (
        f"{release.version} serves {share:.2f} of its jobs, where {min(expected):.2f} were served without it"
    )


def _is_degraded(release: Release, new: JobCounts, others: JobCounts) -> bool:
    """Return whether all members together serve a lower share of jobs than before the release."""
    good, ended = new[0] + others[0], new[1] + others[1]
    return (
        release.before >= 0
        and ended >= MIN_JOBS_ENDED
        and good / ended < release.before - SERVED_SHARE_TOLERANCE
    )
