"""What the plays of a hollow fleet measure, as it goes into the JSON file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benchmarks.capacity.hollow_traffic import Count
from benchmarks.capacity.series import Series


@dataclass(slots=True, frozen=True)
class Quantiles:
    """Times in seconds of so many members out of those that were expected."""

    count: int
    expected: int
    p50: float
    p99: float
    longest: float


@dataclass(slots=True)
class Stage:
    """One part of a play. Processor times in seconds and memory in bytes, by process.

    `complete`: whether all that was waited for came within the stage's patience. `store`, `discovery`: what
    all live members exchanged with them; each call to the store is one connection. `least_serving`,
    `most_serving`: how many serving members a live member knew of at the end. `without_record`: live
    members that did not find their own record then. `longest_turn`: the longest time, in seconds, for which
    a process of members did not come to look at them; where it is large, times are those of the machine,
    not of the fleet. `errors`: the log's warnings and errors during the stage, by text.
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
    """What rest costs, a second: for each live member, and at the store.

    Bytes are payload, both ways. `member_memory`: resident bytes of the members' processes beyond what they
    had before they built members, for each. `range_bytes`: of the answer to one reading of the whole.
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
    """One play: its size, its stages as far as they went, and why it went no further.

    `watched`: recorded members had watches at the store, of which `watches_lost` ended during the play.
    `load`: the load average of a minute at its end, of all programs on the machine; 0 where it was not noted.
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
        """Members that the store tells of."""
        return self.members + self.recorded

    @property
    def size(self) -> tuple[bool, int, int, int]:
        """What tells this play from others."""
        return self.watched, self.recorded, self.members, self.instances


@dataclass(slots=True, frozen=True)
class Ratio:
    """A hollow member's cost over a real one's, in each window, with the real ones' own spread.

    `real_least`, `real_most`: of single real members, over their mean, in all windows.
    """

    hollow: list[float]
    real: list[float]
    ratios: list[float]
    real_least: float
    real_most: float


@dataclass(slots=True)
class Comparison:
    """Hollow members beside real ones in one fleet at rest; costs a second and member, a value a window."""

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
    """The median, the 99th in a hundred, and the longest: 0 where there is none."""
    if not microseconds:
        return Quantiles(0, expected, 0.0, 0.0, 0.0)
    ordered = sorted(microseconds)

    def at(share: float) -> float:
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1e6

    return Quantiles(len(ordered), expected, at(0.5), at(0.99), ordered[-1] / 1e6)


def ratio(hollow: list[float], real: list[list[float]]) -> Ratio:
    """Compare by window: `hollow` one mean a window, `real` one value a member in each."""
    means = [sum(window) / len(window) for window in real]
    spread = [value / mean for window, mean in zip(real, means, strict=True) if mean for value in window]
    ratios = [each / mean for each, mean in zip(hollow, means, strict=True) if mean]
    return Ratio(hollow, means, ratios, min(spread, default=0.0), max(spread, default=0.0))


@dataclass(slots=True)
class Results:
    """What the file holds: one play a size, the latest, the latest comparison, and the plays' series."""

    machine: str = ""
    series: list[Series] = field(default_factory=list)
    plays: list[FleetRun] = field(default_factory=list)
    comparison: Comparison | None = None

    def add(self, run: FleetRun) -> None:
        """Put a play in the place of an earlier one of its size."""
        self.plays = [each for each in self.plays if each.size != run.size]
        self.plays.append(run)
        self.plays.sort(key=lambda each: each.size)


def read_results(path: Path) -> Results:
    """The results in a file, none where there is no file; raises ValueError where it holds something else."""
    if not path.exists():
        return Results()
    return msgspec.json.decode(path.read_bytes(), type=Results, strict=False)


def write_results(results: Results, path: Path) -> None:
    """Write the file whole, indented; a reader sees the old or the new one."""
    draft = path.with_suffix(".draft")
    draft.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    draft.replace(path)
