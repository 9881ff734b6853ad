"""A release: waves of restarts to another version, watched, halted and taken back. Pure.

All of it stands in one record; whoever leads the group asks `step` what comes next and writes that. Times are
the leader's own monotonic clock: a new leader counts a wave's soak and patience anew, which only makes the
release slower. A release is in exactly one state:

    RUNNING ──▶ DONE
       │ ▲ resume
       ▼ │
    HALTED ──▶ BACKING ──▶ BACK      (BACKING ──▶ HALTED where it is over its patience)
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import MemberStatus, member_statuses
from pulleyroute.fleet.records import Health, MemberRequest, OperationRefused, Release, Snapshot

TOLERANCE = 0.05  # of the share served that a part may lie under the other, or under the time before
ENOUGH = 20  # jobs ended, for a part's service to be judged
UNCOUNTED, TOO_FEW = -1.0, -2.0  # in place of the share served before
COUNT_TIME = 10_000_000  # us that a release waits at its start for everybody's counts


JobCounts = tuple[int, int]  # jobs served, and ended


class State(Enum):
    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "backing"
    ROLLED_BACK = "back"
    DONE = "done"


ACTIVE_STATES = (State.RUNNING.value, State.ROLLING_BACK.value)


@dataclass(slots=True, frozen=True)
class Plan:
    """What is to be done.

    `waves`: how many have the new version after each, a number or a share of those meant; `at_once`: wishes
    out at the same time; `soak` and `patience`: microseconds for each wave.
    """

    name: str
    version: str
    waves: tuple[CountOrShare, ...]
    zones: tuple[str, ...] = ()  # empty for all
    of_version: str = ""  # only members of this version
    at_once: int = 1
    soak: int = 30_000_000
    patience: int = 300_000_000
    on_failure: str = "halt"  # or "back"


def new_release(plan: Plan, snapshot: Snapshot) -> Release:
    """The record of a release that starts now; raises `Refused`.

    Members come in the order of their names, dealt out over the zones so that each wave meets all of them.
    """
    if snapshot.release is not None and snapshot.release.state in (*ACTIVE_STATES, State.HALTED.value):
        raise OperationRefused(
            f"release {snapshot.release.name} is {snapshot.release.state}: take it back, or resume it"
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
        raise OperationRefused(f"no member stands in zone {', '.join(sorted(missing))}")
    order = [
        name
        for rank in range(max(map(len, zones.values()), default=0))
        for _, names in sorted(zones.items())
        for name in names[rank : rank + 1]
    ]
    if not order:
        raise OperationRefused("no member is meant by it")
    silent = [name for name in order if name not in snapshot.heartbeats]
    if silent:
        raise OperationRefused(f"{', '.join(silent)} can't be reached; see `pulleyroute fleet members`")
    counts: list[int] = []
    for part in plan.waves:
        count = min(len(order), max(1, part.of(len(order))))
        if counts and count < counts[-1]:
            raise OperationRefused("a wave has fewer members than the one before")
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


def _sum(health: Mapping[str, Health], names: list[str]) -> JobCounts:
    told = [health[name] for name in names if name in health]
    return sum(each.good for each in told), sum(each.ended for each in told)


@dataclass(slots=True)
class WaveProgress:
    """What a leader has seen itself of the wave in hand; lost with it. Times of its own clock."""

    wave: tuple[str, int, str] = ("", -1, "")  # release, wave and state that the rest is of
    since: int = 0
    whole: int | None = None  # since when all of the wave have the version
    base: dict[str, Health] = field(default_factory=dict)  # of those not changed, as the wave began


@dataclass(slots=True, frozen=True)
class ReleaseChange:
    """What to write: the record's new state, or wishes, or both; neither where there is only to wait."""

    release: Release | None = None
    member_requests: tuple[MemberRequest, ...] = ()
    dropped: tuple[str, ...] = ()  # members whose wish is taken back
    wait: str = ""  # what it waits for


def is_updated(name: str, version: str, snapshot: Snapshot) -> bool:
    """Whether a member serves as that version, with nothing left to do."""
    how = (
        member_statuses([snapshot.registrations[name]], snapshot.heartbeats, snapshot.permits)[name]
        if name in snapshot.registrations
        else None
    )
    return (
        how is MemberStatus.SERVING
        and snapshot.heartbeats[name].version == version
        and name not in snapshot.member_requests
    )


def step(snapshot: Snapshot, seen: WaveProgress, now: int) -> ReleaseChange:
    """What the leader does next; `seen` is brought up to date."""
    release = snapshot.release
    if release is None or release.state not in ACTIVE_STATES:
        return ReleaseChange()
    key = (release.name, release.wave, release.state)
    if seen.wave != key:
        seen.wave, seen.since, seen.whole = key, now, None
        seen.base = {}
    for name, health in snapshot.health.items():
        seen.base.setdefault(name, health)  # as the wave began, or as it first told of itself
    if release.state == State.ROLLING_BACK.value:
        return _backing(release, snapshot, seen, now)
    if release.before == UNCOUNTED:
        # Counts are told while a release is in hand alone: what was served before is of all processes' lives.
        if not set(snapshot.heartbeats) <= set(snapshot.health) and now - seen.since < COUNT_TIME:
            return ReleaseChange(wait="waits for the counts of jobs")
        good, ended = _sum(snapshot.health, list(snapshot.health))
        return ReleaseChange(replace(release, before=good / ended if ended >= ENOUGH else TOO_FEW))
    target = release.members[: release.counts[release.wave]]
    parts = _parts(release, snapshot, seen)
    bad = _blamed(release, *parts)
    if bad is not None:
        return _fail(release, snapshot, bad)
    waiting = [name for name in target if not is_updated(name, release.version, snapshot)]
    if waiting:
        seen.whole = None
        if now - seen.since > release.patience:
            return _fail(
                release,
                snapshot,
                f"wave {release.wave + 1} is over its patience: "
                f"{', '.join(waiting)} did not come back as {release.version}",
            )
        return _wish(release, snapshot, [(name, release.version) for name in waiting])
    if seen.whole is None:
        seen.whole = now
    if now - seen.whole < release.soak:
        return ReleaseChange(wait="soaking")
    if _slow(release, *parts):
        # A slowdown that all share is not the release's; but nothing is started on top of it.
        return ReleaseChange(wait="service is low everywhere")
    if release.wave + 1 < len(release.counts):
        return ReleaseChange(replace(release, wave=release.wave + 1))
    return ReleaseChange(replace(release, state=State.DONE.value))


def _wish(release: Release, snapshot: Snapshot, meant: list[tuple[str, str]]) -> ReleaseChange:
    """Want the next ones started again, so many at once."""
    by = request_author(release)
    out = [name for name, _ in meant if name in snapshot.member_requests]
    room = release.at_once - len(out)
    new = [
        MemberRequest(name, "restart", snapshot.registrations[name].incarnation, version, by, by)
        for name, version in meant
        if name in snapshot.heartbeats
        and name not in snapshot.member_requests
        and name not in snapshot.permits
    ][: max(0, room)]
    return ReleaseChange(
        member_requests=tuple(new), wait="" if new else f"waits for {', '.join(name for name, _ in meant)}"
    )


def request_author(release: Release) -> str:
    """By whom its wishes are."""
    return f"release {release.name}"


def requests_without_permit(release: Release, snapshot: Snapshot) -> tuple[str, ...]:
    """Members with a wish of this release that have no permit yet: it can be taken back."""
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


def _backing(release: Release, snapshot: Snapshot, seen: WaveProgress, now: int) -> ReleaseChange:
    was = dict(zip(release.members, release.previous, strict=True))
    waiting = [name for name in reversed(release.members) if not is_updated(name, was[name], snapshot)]
    if not waiting:
        return ReleaseChange(replace(release, state=State.ROLLED_BACK.value))
    if now - seen.since > release.patience:
        versions = {name: heartbeat.version for name, heartbeat in snapshot.heartbeats.items()}
        stand = ", ".join(f"{name} as {versions.get(name, 'nobody knows what')}" for name in waiting)
        why = f"the way back is over its patience: {stand}"
        return ReleaseChange(
            replace(release, state=State.HALTED.value, why=why),
            dropped=requests_without_permit(release, snapshot),
        )
    wrong = [
        name
        for name in waiting
        if name in snapshot.member_requests
        and name not in snapshot.permits
        and snapshot.member_requests[name].version != was[name]
    ]
    if wrong:
        return ReleaseChange(dropped=tuple(wrong))
    return _wish(release, snapshot, [(name, was[name]) for name in waiting])


def _parts(release: Release, snapshot: Snapshot, seen: WaveProgress) -> tuple[JobCounts, JobCounts]:
    """Jobs served and ended: by those that have the version, and by the others since the wave began."""
    target = set(release.members[: release.counts[release.wave]])
    new = [
        name
        for name, heartbeat in snapshot.heartbeats.items()
        if heartbeat.version == release.version and name in target and _present(name, snapshot)
    ]
    old = [
        name
        for name in snapshot.registrations
        if name not in target
        and name in snapshot.health
        and name in seen.base
        and snapshot.health[name].incarnation == seen.base[name].incarnation
    ]
    good = sum(snapshot.health[name].good - seen.base[name].good for name in old)
    ended = sum(snapshot.health[name].ended - seen.base[name].ended for name in old)
    return _sum(snapshot.health, new), (good, ended)


def _present(name: str, snapshot: Snapshot) -> bool:
    """Guards against the counts of the process before: they are of the old version."""
    health, heartbeat = snapshot.health.get(name), snapshot.heartbeats.get(name)
    return health is not None and heartbeat is not None and health.incarnation == heartbeat.incarnation


def _blamed(release: Release, new: JobCounts, others: JobCounts) -> str | None:
    """Why the new version is to blame: its part serves less than before, and less than the others do now."""
    (good, ended), (other_good, other_ended) = new, others
    if ended < ENOUGH:
        return None
    share = good / ended
    bounds = [release.before] if release.before >= 0 else []
    if other_ended >= ENOUGH:
        # Guards against blame for a slowdown that all share.
        bounds.append(other_good / other_ended)
    if not bounds or share >= min(bounds) - TOLERANCE:
        return None
    return f"{release.version} serves {share:.2f} of its jobs, where {min(bounds):.2f} were served without it"


def _slow(release: Release, new: JobCounts, others: JobCounts) -> bool:
    good, ended = new[0] + others[0], new[1] + others[1]
    return release.before >= 0 and ended >= ENOUGH and good / ended < release.before - TOLERANCE
