"""The runs of hollow fleets as series of cost by size, for the fits and charts of `docs/CAPACITY.md`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from benchmarks.capacity.hollow_fleet import ZONES
from benchmarks.capacity.hollow_results import FleetRun, RestCost, Stage
from benchmarks.capacity.series import Point, Series

COMMAND = "python -m benchmarks.capacity.hollow --out docs/measured/capacity/hollow.json"
MEMBERS = "members"  # the size unit in the charts
INSTANCES = 90  # in the list, in the runs that make up a series
# Limits of the control cost of one dispatcher in the users' target: bytes per second, share of a core, bytes.
BYTES_LIMIT, CORE_LIMIT, MEMORY_LIMIT = 11_000.0, 0.011, 32e6


@dataclass(slots=True, frozen=True)
class _Cost:
    """One cost; `read` returns its value in a run, or None if the run did not measure it."""

    name: str
    title: str
    unit: str
    read: Callable[[FleetRun], float | None]
    limit: float | None = None
    note: str = ""


def series(plays: Iterable[FleetRun], machine: str) -> list[Series]:
    """Return the series of all costs that at least one run measured.

    Runs with another number of instances, with watches of recorded members, or with fewer live members than
    zones are left out.
    """
    selected = [
        run
        for run in plays
        if run.instances == INSTANCES and not run.watched and run.members >= min(ZONES, run.fleet)
    ]
    all_series = [_series(cost, selected, machine) for cost in COSTS]
    return [each for each in all_series if each.points]


def _series(cost: _Cost, plays: list[FleetRun], machine: str) -> Series:
    points = tuple(Point(run.fleet, value) for run in plays if (value := cost.read(run)) is not None)
    return Series(
        f"hollow.{cost.name}", cost.title, cost.unit, MEMBERS, COMMAND, points, cost.limit, machine, cost.note
    )


def _rest(read: Callable[[RestCost], float], alive: bool | None = None) -> Callable[[FleetRun], float | None]:
    """Read the cost at rest; `alive`: only with all members live (True), or with some recorded (False)."""

    def value(run: FleetRun) -> float | None:
        wanted = alive is None or alive == (run.recorded == 0)
        return read(run.rest) if run.rest is not None and wanted else None

    return value


def _stage(
    name: str, read: Callable[[Stage], float], alive: bool = False
) -> Callable[[FleetRun], float | None]:
    """Read a value of one stage, if it completed; `alive`: only of runs with all members live."""

    def value(run: FleetRun) -> float | None:
        stage = next((each for each in run.stages if each.name == name and each.complete), None)
        return None if stage is None or (alive and run.recorded) else read(stage)

    return value


def _store_bytes(stage: Stage) -> float:
    return (stage.store.sent + stage.store.received) / stage.members


REST_INCLUDED = "what the members exchange at rest in that time is a part of it"
RECORDED = "beyond 200 members nine live and the others are records in the store"
ALIVE = "all members live, on shared cores"
COSTS = (
    _Cost("calls", "Calls of a member to the store at rest", "calls/s", _rest(lambda rest: rest.calls)),
    _Cost(
        "store_bytes",
        "Bytes between a member and the store at rest",
        "bytes/s",
        _rest(lambda rest: rest.store_bytes),
        BYTES_LIMIT,
        RECORDED,
    ),
    _Cost(
        "cpu",
        "Processor time of a member at rest",
        "share of a core",
        _rest(lambda rest: rest.member_cpu),
        CORE_LIMIT,
        RECORDED,
    ),
    _Cost(
        "memory",
        "Memory of a member beyond its process's",
        "bytes",
        _rest(lambda rest: rest.member_memory, alive=False),
        MEMORY_LIMIT,
        "nine members live, the others are records in the store",
    ),
    _Cost(
        "range_bytes",
        "Answer to one reading of the whole",
        "bytes",
        _rest(lambda rest: float(rest.range_bytes)),
        float(4 * 1024 * 1024),
        "the limit is MAX_ANSWER_BYTES of pulleyroute/fleet/store.py",
    ),
    _Cost(
        "store_cpu",
        "Processor time of the store's stand-in at rest",
        "share of a core",
        _rest(lambda rest: rest.store_cpu, alive=True),
        1.0,
        ALIVE,
    ),
    _Cost(
        "registered_p99",
        "Registration of all started at once, p99",
        "s",
        _stage("start", lambda stage: stage.times["registered"].p99, alive=True),
        None,
        ALIVE,
    ),
    _Cost(
        "zone_lost_bytes",
        "A zone lost: bytes between the store and a member until all know",
        "bytes",
        _stage("zone lost", _store_bytes),
        None,
        REST_INCLUDED,
    ),
    _Cost(
        "zone_back_bytes",
        "A zone back: bytes between the store and a member until all know",
        "bytes",
        _stage("zone back", _store_bytes),
        None,
        REST_INCLUDED,
    ),
    _Cost(
        "zone_lost_known",
        "A zone lost: until all members know",
        "s",
        _stage("zone lost", lambda stage: stage.times["fleet_known"].longest),
        None,
        "the lease of 5 s is a part of it",
    ),
    _Cost(
        "zone_back_known",
        "A zone back: until all members know",
        "s",
        _stage("zone back", lambda stage: stage.times["fleet_known"].longest),
    ),
)
