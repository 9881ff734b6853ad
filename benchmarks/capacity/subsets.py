"""The table of subsets: the ring of a zone in several states, compared with random subsets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.capacity.ring import Ring, lognormal_rates, part_loads, parts_by_position, random_owner_counts
from benchmarks.capacity.scale import RACKS, REPLICAS, SUBSET, ZONE_DESTINATIONS, ZONE_DISPATCHERS

TABLE = "subsets.md"
MIN_REPLICAS = 5
SEEDS, QUICK_SEEDS = 200, 10
SIGMA = 0.5  # of the log-normal rates: one dispatcher in twenty exceeds twice the median
RING = Ring(ZONE_DISPATCHERS, REPLICAS, MIN_REPLICAS)
PART_DESTINATIONS = ZONE_DESTINATIONS / ZONE_DISPATCHERS

COLUMNS = (
    "state",
    "dispatchers a destination",
    "largest subset",
    "subsets changed of those there",
    "fullest over mean",
)

State = Callable[[Random], set[int]]


@dataclass(slots=True, frozen=True)
class Row:
    """The figures of a state over all seeds.

    `least`, `most`: the fewest and the most dispatchers of a destination; `largest`: the largest subset in
    destinations; `changed`: the most subsets that changed although their dispatcher is present; `fullest`:
    the load of the most loaded destination, relative to the mean.
    """

    state: str
    least: int
    most: int
    largest: float
    changed: int
    fullest: float


def _without(count: int) -> State:
    """Return a state in which `count` random positions are vacant."""
    return lambda random: set(range(ZONE_DISPATCHERS)) - set(random.sample(range(ZONE_DISPATCHERS), count))


def _rack(random: Random) -> set[int]:
    """Return the positions left when a rack is lost; neighbours on the ring are in different racks."""
    lost = random.randrange(RACKS)
    return {position for position in range(ZONE_DISPATCHERS) if position % RACKS != lost}


def _rack_and_some(random: Random) -> set[int]:
    return _rack(random) & _without(ZONE_DISPATCHERS // 100)(random)


STATES: dict[str, State] = {
    "all there": _without(0),
    "one out": _without(1),
    "one in a hundred out": _without(ZONE_DISPATCHERS // 100),
    "a rack lost": _rack,
    "a rack lost, and one in a hundred out": _rack_and_some,
    "a third out": _without(ZONE_DISPATCHERS // 3),
}


def row(name: str, seeds: int) -> Row:
    """Compute the row of a state over `seeds` seeds."""
    whole = parts_by_position(RING.owners(set(range(ZONE_DISPATCHERS))))
    counts: list[int] = []
    largest = changed = 0
    fullest = 0.0
    for seed in range(seeds):
        present = STATES[name](Random(seed))
        owners = RING.owners(present)
        parts = parts_by_position(owners)
        counts += [len(positions) for positions in owners]
        largest = max(largest, *(len(each) for each in parts.values()))
        changed = max(changed, sum(1 for position in present if parts[position] != whole[position]))
        shares = part_loads(owners, lognormal_rates(present, seed, SIGMA))
        fullest = max(fullest, max(shares) / (sum(shares) / len(shares)))
    return Row(name, min(counts), max(counts), largest * PART_DESTINATIONS, changed, fullest)


def report(folder: Path, seeds: int = SEEDS) -> None:
    """Write the table to the folder, and print it."""
    random_counts = random_owner_counts(ZONE_DESTINATIONS, ZONE_DISPATCHERS, SUBSET, 1)
    few, none = int((random_counts < MIN_REPLICAS).sum()), int((random_counts == 0).sum())
    lines = [
        "# Subsets of a zone",
        "",
        f"Made by `python -m benchmarks.capacity subsets`: {ZONE_DISPATCHERS} positions, {REPLICAS} a part,",
        f"{MIN_REPLICAS} at least; {seeds} seeds a state; rates of dispatchers log-normal with a "
        f"sigma of {SIGMA}.",
        "",
        "| " + " | ".join(COLUMNS) + " |",
        "|" + " --- |" * len(COLUMNS),
        *(_line(row(name, seeds)) for name in STATES),
        "",
        f"Drawn at random, {SUBSET:,} destinations each: {random_counts.min()} to {random_counts.max()}",
        f"dispatchers a destination; {none:,} of {ZONE_DESTINATIONS:,} have none, "
        f"{few:,} under {MIN_REPLICAS}.",
        "",
    ]
    print("\n".join(lines))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / TABLE).write_text("\n".join(lines))


def _line(result: Row) -> str:
    return (
        f"| {result.state} | {result.least} to {result.most} | {result.largest:,.0f} | {result.changed} | "
        f"{result.fullest:.2f} |"
    )
