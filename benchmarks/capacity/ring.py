"""Subsets of destinations by a ring of positions, beside subsets drawn at random: who keeps to what. Pure.

A zone has as many positions on a ring as it has dispatchers planned, and its destinations fall into as many
parts. The dispatcher at position p keeps to parts p to p + `replicas` - 1; where a part has fewer than
`least` of them, the dispatchers at the nearest positions before it take it too.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from random import Random

import numpy as np


@dataclass(slots=True, frozen=True)
class Ring:
    """`positions`: of a zone; `replicas`: dispatchers a part; `least`: fewer, and others take it too."""

    positions: int
    replicas: int
    min_replicas: int

    def owners(self, present: Set[int]) -> list[list[int]]:
        """For each part the positions that keep to it; `present` are those that somebody holds."""
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
    """The same the other way round: for each position its parts."""
    parts: dict[int, set[int]] = {}
    for part, positions in enumerate(owners):
        for position in positions:
            parts.setdefault(position, set()).add(part)
    return parts


def random_owner_counts(destinations: int, dispatchers: int, size: int, seed: int) -> np.ndarray:
    """How many dispatchers each destination has where each draws its subset by itself."""
    generator = np.random.default_rng(seed)
    counts = np.zeros(destinations, int)
    for _ in range(dispatchers):
        counts[generator.choice(destinations, size, replace=False)] += 1
    return counts


def part_loads(owners: list[list[int]], rates: dict[int, float]) -> list[float]:
    """What each part gets where every dispatcher spreads its rate evenly over its parts."""
    parts = parts_by_position(owners)
    return [sum(rates[position] / len(parts[position]) for position in positions) for positions in owners]


def lognormal_rates(positions: Set[int], seed: int, sigma: float) -> dict[int, float]:
    """Rates of dispatchers of a log-normal law with a median of 1."""
    random = Random(seed)
    return {position: random.lognormvariate(0.0, sigma) for position in sorted(positions)}
