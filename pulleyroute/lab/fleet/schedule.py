"""Schedules of what is done to a fleet and when, drawn from a seed so that a run can be repeated. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

SECOND = 1_000_000  # in microseconds, the unit of all times here
ONCE_OUT = "once out"  # the operation waits until its member is not ready
ONCE_DRAINED = "once drained"  # the operation waits until an operator has seen its runner as drained
# Operations that only wait, for at most `duration`: until `target` members are not ready, or have restarted.
AWAIT_OUT, AWAIT_RESTARTS = "await-out", "await-restarts"
WAITS = (AWAIT_OUT, AWAIT_RESTARTS)


@dataclass(slots=True, frozen=True)
class FleetSpec:
    """The fleet of a run, its limits and its load; times in microseconds."""

    members: int = 6
    zones: int = 3
    runners: int = 3
    max_out: int = 2  # members that may be out at once
    max_out_per_zone: int = 1
    min_serving: int = 3
    lease: int = 2 * SECOND
    duration: int = 12 * SECOND
    rate: float = 30.0  # jobs per second
    mean_job_ms: int = 30  # mean running time of a job
    give_up: int = 5 * SECOND  # the time limit of a job, of every class
    wave_timeout: int = 15 * SECOND  # for the members of a wave of a release to restart

    def zone(self, member: int) -> str:
        """Return the zone of a member."""
        return f"z{member % self.zones}"


@dataclass(slots=True, frozen=True, order=True)
class Operation:
    """One operation at a time of the run.

    `target`: the number of a member or runner, or a count for an operation that waits; -1 if there is none.
    `duration`: how long a fault lasts; 0 for an instant fault and for one that a later operation ends.
    `argument`: the requested state, the version of a release, the direction of a cut, or the condition that
    the operation waits for (`ONCE_OUT` or `ONCE_DRAINED`).
    """

    at: int
    kind: str
    target: int = -1
    duration: int = 0
    argument: str = ""

    def __str__(self) -> str:
        target = f" {self.target}" if self.target >= 0 else ""
        duration = f" for {self.duration / SECOND:.2f} s" if self.duration else ""
        return (
            f"{self.at / SECOND:7.3f} s  {self.kind}{target}{duration}"
            f"{' ' + self.argument if self.argument else ''}"
        )


REQUESTED_STATES = ("standby", "restart")
# The kinds of operations that are not faults: operators' calls, the end of a stop, and waits.
NON_FAULTS = (
    "wish",
    "undrain",
    "box-drain",
    "box-undrain",
    "release",
    "release-halt",
    "release-resume",
    "release-back",
    "go-on",
    *WAITS,
)
MEMBER_FAULTS = (
    "kill",
    "stop",
    "term",
    "store-cut",
    "store-cut",
    "store-delay",
    "runner-cut",
    "client-reset",
)
LEADER_FAULTS = ("kill-leader", "stop-leader")
INSTANT_FAULTS = ("kill", "term", "client-reset", "kill-leader")  # faults without a duration
STORE_FAULTS = (
    "store-kill",
    "store-stop",
    "store-leaderless",
    "store-lose",
    "store-lose",
    "store-silent",
    "store-slow",
)
STORE_GATHER = "store-gather"  # the store delays requests for permits until every member has sent one


@dataclass(slots=True, frozen=True)
class Schedule:
    """A run: its seed, its fleet and its operations in the order of their times.

    `retry_lost_calls`: operators repeat a call whose answer is lost, for runs whose verdict depends on the
    call's effect.
    """

    seed: int
    spec: FleetSpec
    operations: list[Operation] = field(default_factory=list)
    retry_lost_calls: bool = False

    @property
    def faults(self) -> int:
        """Return the number of operations that are faults."""
        return sum(1 for operation in self.operations if operation.kind not in NON_FAULTS)


# Suffixes of the names of bad versions: jobs fail, the process does not start, or it crashes when ready.
BAD_VERSIONS = ("errs", "never", "crashes")


def draw_release(seed: int, spec: FleetSpec | None = None) -> Schedule:
    """Draw a release of a good or bad version, and faults.

    In some runs an operator halts and resumes the release, or takes it back.
    """
    spec, random = spec or FleetSpec(duration=20 * SECOND), Random(seed)
    version = f"v2-{random.choice(BAD_VERSIONS)}" if random.random() < 0.5 else "v2"
    operations = [Operation(SECOND, "release", -1, 0, version)]
    if random.random() < 0.3:
        at = random.randint(3, 9) * SECOND
        operations += [
            Operation(at, "release-halt"),
            Operation(at + random.randint(1, 3) * SECOND, "release-resume"),
        ]
    elif random.random() < 0.2:
        operations.append(Operation(random.randint(4, 12) * SECOND, "release-back"))
    for _ in range(random.randint(2, 6)):
        at = random.randrange(2 * SECOND, spec.duration)
        kind = random.choice((*MEMBER_FAULTS, *LEADER_FAULTS, *STORE_FAULTS))
        target = -1 if kind in (*STORE_FAULTS, *LEADER_FAULTS) else random.randrange(spec.members)
        duration = (
            0 if kind in INSTANT_FAULTS or kind == "store-lose" else random.randint(10, 50) * SECOND // 10
        )
        operations.append(Operation(at, kind, target, duration, "both" if kind == "store-cut" else ""))
    return Schedule(seed, spec, sorted(operations))


def draw_drains(seed: int, spec: FleetSpec | None = None) -> Schedule:
    """Draw drains, restarts and faults. In some runs an operator requests all members at the same moment."""
    spec, random = spec or FleetSpec(), Random(seed)
    operations: list[Operation] = []

    def time_between(low: int, high: int) -> int:
        """Return a time between so many seconds, in microseconds."""
        return random.randint(low * 10, high * 10) * SECOND // 10

    if random.random() < 0.3:
        at = time_between(1, 4)
        operations += [
            Operation(at, "wish", target, 0, random.choice(REQUESTED_STATES))
            for target in range(spec.members)
        ]
    for _ in range(random.randint(5, 9)):
        target, at = random.randrange(spec.members), random.randrange(spec.duration)
        operations.append(Operation(at, "wish", target, 0, random.choice(REQUESTED_STATES)))
        if random.random() < 0.7:
            operations.append(Operation(at + time_between(1, 5), "undrain", target))
    for _ in range(random.randint(0, 3)):
        runner, at = random.randrange(spec.runners), random.randrange(spec.duration * 2 // 3)
        operations += [
            Operation(at, "box-drain", runner),
            Operation(at + time_between(2, 6), "box-undrain", runner),
        ]
    for _ in range(random.randint(4, 9)):
        at = random.randrange(spec.duration)
        if random.random() < 0.65:
            kind, target = random.choice(MEMBER_FAULTS), random.randrange(spec.members)
            direction = random.choice(("both", "both", "up", "down")) if kind == "store-cut" else ""
            operations.append(
                Operation(at, kind, target, 0 if kind in INSTANT_FAULTS else time_between(1, 6), direction)
            )
        else:
            kind = random.choice(STORE_FAULTS)
            operations.append(Operation(at, kind, -1, 0 if kind == "store-lose" else time_between(1, 4)))
    return Schedule(seed, spec, sorted(operations))


GENERATORS = {"drains": draw_drains, "releases": draw_release}  # by the name of the campaign
