"""The sizes and rates that the target is worked out from, and the look-up of measured costs.

Whatever is not measured is a constant here with its reason: the target as the users state it, what is
assumed, what today's code does, and what the chosen design sets. `docs/CAPACITY.md` explains them.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.fit import FitError, fit
from benchmarks.capacity.series import Series, SeriesError
from benchmarks.capacity.tables import all_series

# The target, as issue 33 states it.
DISPATCHERS, DESTINATIONS, EVENTS_PER_S = 5_700, 1_700_000, 750_000
REGIONS, ZONES, MACHINES = 3, 9, 11
ZONE_DISPATCHERS, ZONE_DESTINATIONS = 633, 189_000
MAX_BACKLOG_EVENTS = 21e9  # events that wait, at most
EVENT_RATE = EVENTS_PER_S / DISPATCHERS  # events a second of one dispatcher
DESTINATIONS_DOWN = 0.011 * DESTINATIONS
CONFIG_CHANGES_PER_S = 17_000 / 86_400  # changes a second
RESTARTS_PER_S = 606 / 86_400  # dispatchers a second, machines that fail among them
CORE_LIMIT, MEMORY_LIMIT, NETWORK_LIMIT = (
    0.011,
    32e6,
    11e3,
)  # limits of one dispatcher: of a core, bytes, bytes a second

# Assumed, as nobody states it.
MEAN_DOWNTIME_S = 300.0  # seconds that a destination is down
CLASSES = 300  # records of a configuration
RECORD_BYTES = 300.0  # of one changed record of a configuration, or of the summary of a zone
RACKS = 16  # in a zone, dispatchers and destinations spread over them evenly
EVENT_BYTES = 1_000.0  # of an event in a backlog

# Today's design, from the code.
TICKS_PER_S = 2.0  # turns a second: `Dispatcher.tick` with a shortest give-up time of 5 s
REREAD_INTERVAL_S = (
    10.0  # seconds between two readings of a group in which nothing changes: `agent.WATCH_TIMEOUT_US`
)
KEEPALIVES_PER_S = 0.6  # a second: a lease of 5 s, extended three times within it
RECORD_CHANGES_PER_RESTART = 6  # changes of a member's records: word, permit, roll, word, word, permit
# Counts of jobs that a member writes a second while a release is in hand: `agent.HEALTH_INTERVAL_US`.
HEALTH_WRITES_PER_S = 0.5
CURRENT_MAX_SUBSET = 24  # instances that a dispatcher keeps to: three times `rules.MIN_SUBSET_SIZE`

# The chosen design.
REPLICAS = 8  # dispatchers that keep to a destination
SUBSET = REPLICAS * DESTINATIONS // DISPATCHERS
REMOTE_DESTINATIONS = (
    SUBSET // 8
)  # of a subset, spread over the other zones; the rest is of the dispatcher's own
LOST_REMOTE_DESTINATIONS = REMOTE_DESTINATIONS / (ZONES - 1)  # of a subset, where another zone is lost
SUMMARIES_PER_S = ZONES / 5.0  # summaries of zones heard a second: each zone's every 5 s
MEMBER_RECORDS = 8  # records of the fleet that a member reads: its own, its zone's part of each budget
LEASE_CALLS_PER_S = 0.2  # a second: a lease of 15 s, extended three times within it
REPROBE_INTERVAL_S = 5.0  # seconds between two probes of a destination that is down, by its owner
LIST_CHANGES_PER_S = (
    2 * DESTINATIONS_DOWN / MEAN_DOWNTIME_S
)  # of the list a second: one goes down, one comes back


@dataclass(slots=True, frozen=True)
class Row:
    """One cost at the target, in `unit`, by today's design and by the chosen one; `source`: the series."""

    part: str
    unit: str
    today: float
    chosen: float
    source: str


class FittedCosts:
    """The fits by their series' names."""

    def __init__(self, folder: Path) -> None:
        self._series = {series.name: series for series in all_series(folder)}

    def cost_at(self, name: str, size: float) -> float:
        """The cost at a size by the series' law, never below the least measured; raises SeriesError."""
        series = self._series_named(name)
        try:
            law = fit(series).law
        except FitError as exc:
            raise SeriesError(f"{name}: {exc}") from None
        return max(law.predict(size), min(point.value for point in series.points))

    def unit_cost(self, name: str) -> float:
        """The slope alone: the cost of one more."""
        return fit(self._series_named(name)).line.slope

    def extrapolation_factor(self, name: str, size: float) -> float:
        """How many times the largest size measured that is."""
        return size / self._series_named(name).sizes[-1]

    def _series_named(self, name: str) -> Series:
        if name not in self._series:
            raise SeriesError(f"no series {name}; measure it first")
        return self._series[name]
