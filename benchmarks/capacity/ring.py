"""Pure functions for subsets of destinations: by positions on a ring, and drawn at random.

A zone has as many positions on a ring as planned dispatchers, and its destinations are divided into as
many parts. The dispatcher at position p owns parts p to p + `replicas` - 1. If a part has fewer than
`min_replicas` owners present, the dispatchers at the nearest positions before these own it too.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from random import Random

import numpy as np


@dataclass(slots=True, frozen=True)
class Ring:
    """The ring of a zone.

    `positions`: number of positions and of parts; `replicas`: planned owners of a part; `min_replicas`: a
    part with fewer owners present gets further ones.
    """

    positions: int
    replicas: int
    min_replicas: int

    def owners(self, present: Set[int]) -> list[list[int]]:
        """Return the positions that own each part; `present` are the positions with a running dispatcher."""
        return [self._owners_of(part, present) for part in range(self.positions)]

    def _owners_of(self, part: int, present: Set[int]) -> list[int]:
        found: list[int] = []
        for back in range(self.positions):
            if back >= self.replicas and len(found) >= self.min_replicas:
                break
            position = (part - back) % self.positions
            if position in present:
                found.append(position)
        return found


def parts_by_position(owners: list[list[int]]) -> dict[int, set[int]]:
    """Invert the owners: return the parts of each position."""
    parts: dict[int, set[int]] = {}
    for part, positions in enumerate(owners):
        for position in positions:
            parts.setdefault(position, set()).add(part)
    return parts


def random_owner_counts(destinations: int, dispatchers: int, size: int, seed: int) -> np.ndarray:
    """Return the number of dispatchers of each destination if each draws its subset independently."""
    generator = np.random.default_rng(seed)
    counts = np.zeros(destinations, int)
    for _ in range(dispatchers):
        counts[generator.choice(destinations, size, replace=False)] += 1
    return counts


def part_loads(owners: list[list[int]], rates: dict[int, float]) -> list[float]:
    """Return the load of each part if every dispatcher spreads its rate evenly over its parts."""
    parts = parts_by_position(owners)
    return [sum(rates[position] / len(parts[position]) for position in positions) for positions in owners]


def lognormal_rates(positions: Set[int], seed: int, sigma: float) -> dict[int, float]:
    """Draw the rates of dispatchers from a log-normal distribution with a median of 1."""
    random = Random(seed)
    return {position: random.lognormvariate(0.0, sigma) for position in sorted(positions)}
