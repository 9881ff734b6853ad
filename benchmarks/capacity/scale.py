"""The sizes and rates of the target, and the look-up of measured costs.

The constants are grouped by origin: the target as the users state it, assumptions, parameters of today's
code, and parameters of the chosen design. `docs/CAPACITY.md` explains them.
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
MAX_BACKLOG_EVENTS = 21e9  # waiting events
EVENT_RATE = EVENTS_PER_S / DISPATCHERS  # events per second and dispatcher
DESTINATIONS_DOWN = 0.011 * DESTINATIONS  # at any time
CONFIG_CHANGES_PER_S = 17_000 / 86_400
RESTARTS_PER_S = 606 / 86_400  # of dispatchers, including those of failed machines
# Limits for control of one dispatcher: share of a core, bytes, bytes per second.
CORE_LIMIT, MEMORY_LIMIT, NETWORK_LIMIT = 0.011, 32e6, 11e3

# Assumptions, where the target states no figure.
MEAN_DOWNTIME_S = 300.0  # of a destination
CLASSES = 300  # records in a configuration
RECORD_BYTES = 300.0  # size of a changed configuration record, or of a zone summary
RACKS = 16  # per zone; dispatchers and destinations are spread over them evenly
EVENT_BYTES = 1_000.0  # size of an event in a backlog

# Today's design, as in the code.
TICKS_PER_S = 2.0  # of `Dispatcher.tick`, for a shortest give-up time of 5 s
# Between two reads of a group without changes: `agent.WATCH_TIMEOUT_US`.
REREAD_INTERVAL_S = 10.0
KEEPALIVES_PER_S = 0.6  # a lease of 5 s is extended three times within its duration
# Of a member's records: heartbeat, permit, generation, heartbeat, heartbeat, permit.
RECORD_CHANGES_PER_RESTART = 6
# Job counts that a member writes during a release: `agent.HEALTH_INTERVAL_US`.
HEALTH_WRITES_PER_S = 0.5
CURRENT_MAX_SUBSET = 24  # instances in a dispatcher's subset: three times `rules.MIN_SUBSET_SIZE`

# The chosen design.
REPLICAS = 8  # dispatchers that have a destination in their subset
SUBSET = REPLICAS * DESTINATIONS // DISPATCHERS  # destinations per dispatcher
# Of a subset, spread over the other zones; the remainder is in the dispatcher's own zone.
REMOTE_DESTINATIONS = SUBSET // 8
LOST_REMOTE_DESTINATIONS = REMOTE_DESTINATIONS / (ZONES - 1)  # of a subset, if another zone is lost
SUMMARIES_PER_S = ZONES / 5.0  # of zones, received by a dispatcher: each zone's every 5 s
MEMBER_RECORDS = 8  # fleet records that a member reads: its own, and its zone's part of each budget
LEASE_CALLS_PER_S = 0.2  # a lease of 15 s is extended three times within its duration
REPROBE_INTERVAL_S = 5.0  # between probes of a destination that is down, by its owner
# Each failure changes the list twice: once when the destination goes down, once when it returns.
LIST_CHANGES_PER_S = 2 * DESTINATIONS_DOWN / MEAN_DOWNTIME_S


@dataclass(slots=True, frozen=True)
class Row:
    """One cost at the target, in `unit`, of today's design and of the chosen one, and its `source` series."""

    part: str
    unit: str
    today: float
    chosen: float
    source: str


class FittedCosts:
    """Costs from the fits of the series in a folder, by series name."""

    def __init__(self, folder: Path) -> None:
        self._series = {series.name: series for series in all_series(folder)}

    def cost_at(self, name: str, size: float) -> float:
        """Return the fitted cost at a size, at least the lowest one measured; raises SeriesError."""
        series = self._series_named(name)
        try:
            law = fit(series).law
        except FitError as exc:
            raise SeriesError(f"{name}: {exc}") from None
        return max(law.predict(size), min(point.value for point in series.points))

    def unit_cost(self, name: str) -> float:
        """Return the slope of the fitted line: the cost of one more unit of size."""
        return fit(self._series_named(name)).line.slope

    def extrapolation_factor(self, name: str, size: float) -> float:
        """Return the ratio of a size to the largest one measured."""
        return size / self._series_named(name).sizes[-1]

    def _series_named(self, name: str) -> Series:
        if name not in self._series:
            raise SeriesError(f"no series {name}; measure it first")
        return self._series[name]
