"""What is done to a fleet and when: drawn from a seed, so that a run can be played again. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

SECOND = 1_000_000
ONCE_OUT = "once out"  # a deed waits until its member wants no clients
ONCE_DRAINED = "once drained"  # a deed waits until an operator was told that its runner is drained
# Deeds that do nothing but wait, for `span` at most: until `who` members want no clients, or have restarted.
AWAIT_OUT, AWAIT_RESTARTS = "await-out", "await-restarts"
WAITS = (AWAIT_OUT, AWAIT_RESTARTS)


@dataclass(slots=True, frozen=True)
class FleetSpec:
    """The fleet of a run. `out`, `out_zone`, `least`: its limits; times in microseconds."""

    members: int = 6
    zones: int = 3
    runners: int = 3
    max_out: int = 2
    max_out_per_zone: int = 1
    min_serving: int = 3
    lease: int = 2 * SECOND
    duration: int = 12 * SECOND
    rate: float = 30.0  # jobs a second
    mean_job_ms: int = 30  # that a job runs
    give_up: int = 5 * SECOND  # of every class
    wave_timeout: int = 15 * SECOND  # of a release, for the members of a wave

    def zone(self, member: int) -> str:
        return f"z{member % self.zones}"


@dataclass(slots=True, frozen=True, order=True)
class Operation:
    """One thing done at a time of the run. `who`: a member's or runner's number; `span`: how long it lasts.

    `more`: of a wish what is wanted, of a cut which way; `ONCE_OUT` and `ONCE_DRAINED` are what it waits for.
    """

    at: int
    what: str
    who: int = -1
    span: int = 0
    more: str = ""

    def __str__(self) -> str:
        who = f" {self.who}" if self.who >= 0 else ""
        span = f" for {self.span / SECOND:.2f} s" if self.span else ""
        return f"{self.at / SECOND:7.3f} s  {self.what}{who}{span}{' ' + self.more if self.more else ''}"


WISHES = ("standby", "restart")
WISHED = (
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
)  # no faults
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
AT_ONCE = ("kill", "term", "client-reset", "kill-leader")
STORE_FAULTS = (
    "store-kill",
    "store-stop",
    "store-leaderless",
    "store-lose",
    "store-lose",
    "store-silent",
    "store-slow",
)
GATHER = "store-gather"  # requests for permits are held until every member's is there


@dataclass(slots=True, frozen=True)
class Schedule:
    """A run: its seed, its fleet and its deeds in the order of their times.

    `insists`: operators repeat a call that is lost, where the verdict needs that the call took effect.
    """

    seed: int
    spec: FleetSpec
    operations: list[Operation] = field(default_factory=list)
    insists: bool = False

    @property
    def faults(self) -> int:
        return sum(1 for deed in self.operations if deed.what not in WISHED)


BAD = ("errs", "never", "crashes")  # what is wrong with a version; its name says so


def draw_release(seed: int, spec: FleetSpec | None = None) -> Schedule:
    """A release, good or bad, among faults; now and then halted and resumed, or taken back, by hand."""
    spec, random = spec or FleetSpec(duration=20 * SECOND), Random(seed)
    version = f"v2-{random.choice(BAD)}" if random.random() < 0.5 else "v2"
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
        what = random.choice((*MEMBER_FAULTS, *LEADER_FAULTS, *STORE_FAULTS))
        who = -1 if what in (*STORE_FAULTS, *LEADER_FAULTS) else random.randrange(spec.members)
        span = 0 if what in AT_ONCE or what == "store-lose" else random.randint(10, 50) * SECOND // 10
        operations.append(Operation(at, what, who, span, "both" if what == "store-cut" else ""))
    return Schedule(seed, spec, sorted(operations))


def draw(seed: int, spec: FleetSpec | None = None) -> Schedule:
    """A schedule of wishes and faults. Some runs have all members wish at the same moment."""
    spec, random = spec or FleetSpec(), Random(seed)
    operations: list[Operation] = []

    def some(least: int, most: int) -> int:
        return random.randint(least * 10, most * 10) * SECOND // 10

    if random.random() < 0.3:
        at = some(1, 4)
        operations += [Operation(at, "wish", who, 0, random.choice(WISHES)) for who in range(spec.members)]
    for _ in range(random.randint(5, 9)):
        who, at = random.randrange(spec.members), random.randrange(spec.duration)
        operations.append(Operation(at, "wish", who, 0, random.choice(WISHES)))
        if random.random() < 0.7:
            operations.append(Operation(at + some(1, 5), "undrain", who))
    for _ in range(random.randint(0, 3)):
        box, at = random.randrange(spec.runners), random.randrange(spec.duration * 2 // 3)
        operations += [Operation(at, "box-drain", box), Operation(at + some(2, 6), "box-undrain", box)]
    for _ in range(random.randint(4, 9)):
        at = random.randrange(spec.duration)
        if random.random() < 0.65:
            what, who = random.choice(MEMBER_FAULTS), random.randrange(spec.members)
            more = random.choice(("both", "both", "up", "down")) if what == "store-cut" else ""
            operations.append(Operation(at, what, who, 0 if what in AT_ONCE else some(1, 6), more))
        else:
            what = random.choice(STORE_FAULTS)
            operations.append(Operation(at, what, -1, 0 if what == "store-lose" else some(1, 4)))
    return Schedule(seed, spec, sorted(operations))


GENERATORS = {"drains": draw, "releases": draw_release}  # by the campaign's name
