"""The measurements of hollow fleets, in the form of the JSON file. Field names are keys of the file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benchmarks.capacity.hollow_traffic import Count
from benchmarks.capacity.series import Series


@dataclass(slots=True, frozen=True)
class Quantiles:
    """Quantiles, in seconds, of the times of `count` members out of `expected`."""

    count: int
    expected: int
    p50: float
    p99: float
    longest: float


@dataclass(slots=True)
class Stage:
    """One stage of a run. Processor times in seconds and memory in bytes, by process.

    `complete`: whether the expected state was reached within the stage's time-out. `store`, `discovery`: the
    traffic of all live members with them; each call to the store is one connection. `least_serving`,
    `most_serving`: the fewest and the most serving members that a live member knew of at the end.
    `without_record`: live members whose snapshot did not contain their own record at the end.
    `longest_turn`: the longest time in seconds between two checks of the members by their process; where it
    is large, the times show the limits of the machine and not of the fleet. `errors`: the number of warnings
    and errors logged during the stage, by text.
    """

    name: str
    complete: bool
    seconds: float
    members: int
    calls: int
    store: Count
    discovery: Count
    cpu: dict[str, float]
    memory: dict[str, int]
    times: dict[str, Quantiles]
    least_serving: int
    most_serving: int
    without_record: int
    longest_turn: float
    errors: dict[str, int]


@dataclass(slots=True)
class RestCost:
    """Costs per second at rest: for each live member, and at the store.

    Bytes are payload in both directions. `member_memory`: growth of the resident memory of the members'
    processes since before they built their members, in bytes per member. `range_bytes`: size of the answer
    to a read of the whole group.
    """

    window: float
    calls: float
    store_bytes: float
    discovery_bytes: float
    member_cpu: float
    member_memory: float
    store_calls: float
    store_total_bytes: float
    store_cpu: float
    store_memory: int
    range_bytes: int


@dataclass(slots=True)
class FleetRun:
    """One run: its size, the stages that were reached, and the reason if it ended early.

    `watched`: recorded members had watches at the store, of which `watches_lost` ended during the run.
    `load`: the machine's one-minute load average at the end of the run; 0 if it was not recorded.
    """

    members: int
    recorded: int
    instances: int
    watched: bool = False
    watches_lost: int = 0
    load: float = 0.0
    stages: list[Stage] = field(default_factory=list)
    rest: RestCost | None = None
    not_run: list[str] = field(default_factory=list)
    ended_by: str = ""

    @property
    def fleet(self) -> int:
        """Members of which the store has records."""
        return self.members + self.recorded

    @property
    def size(self) -> tuple[bool, int, int, int]:
        """The key of this run: runs of equal size replace each other."""
        return self.watched, self.recorded, self.members, self.instances


@dataclass(slots=True, frozen=True)
class Ratio:
    """The ratio of a hollow member's cost to a real one's in each window, with the spread of the real ones.

    `real_least`, `real_most`: the least and the greatest cost of a single real member, relative to the mean
    of its window, over all windows.
    """

    hollow: list[float]
    real: list[float]
    ratios: list[float]
    real_least: float
    real_most: float


@dataclass(slots=True)
class Comparison:
    """Hollow and real members in one fleet at rest: costs per second and member, one value per window."""

    hollow: int
    real: int
    window: float
    cpu: Ratio
    calls: Ratio
    store_bytes: Ratio
    discovery_bytes: Ratio
    hollow_memory: float
    real_memory: float


def quantiles(microseconds: list[int], expected: int) -> Quantiles:
    """Return the median, the 99th percentile and the maximum; all are 0 if there are no times."""
    if not microseconds:
        return Quantiles(0, expected, 0.0, 0.0, 0.0)
    ordered = sorted(microseconds)

    def at(share: float) -> float:
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1e6

    return Quantiles(len(ordered), expected, at(0.5), at(0.99), ordered[-1] / 1e6)


def ratio(hollow: list[float], real: list[list[float]]) -> Ratio:
    """Compare window by window: `hollow` has one mean per window, `real` one value per member."""
    means = [sum(window) / len(window) for window in real]
    spread = [value / mean for window, mean in zip(real, means, strict=True) if mean for value in window]
    ratios = [each / mean for each, mean in zip(hollow, means, strict=True) if mean]
    return Ratio(hollow, means, ratios, min(spread, default=0.0), max(spread, default=0.0))


@dataclass(slots=True)
class Results:
    """The contents of the file: the latest run of each size, the latest comparison, and the runs' series."""

    machine: str = ""
    series: list[Series] = field(default_factory=list)
    plays: list[FleetRun] = field(default_factory=list)
    comparison: Comparison | None = None

    def add(self, run: FleetRun) -> None:
        """Add a run; it replaces an earlier one of the same size."""
        self.plays = [each for each in self.plays if each.size != run.size]
        self.plays.append(run)
        self.plays.sort(key=lambda each: each.size)


def read_results(path: Path) -> Results:
    """Read the results of a file, empty ones if there is no file; raises ValueError if it is malformed."""
    if not path.exists():
        return Results()
    return msgspec.json.decode(path.read_bytes(), type=Results, strict=False)


def write_results(results: Results, path: Path) -> None:
    """Write the file, indented, and replace the old one atomically."""
    draft = path.with_suffix(".draft")
    draft.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    draft.replace(path)
