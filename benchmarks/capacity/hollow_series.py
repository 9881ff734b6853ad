"""The plays of hollow fleets as series of size against cost, for fits and charts of `docs/CAPACITY.md`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from benchmarks.capacity.hollow_fleet import ZONES
from benchmarks.capacity.hollow_results import Play, RestCost, Stage
from benchmarks.capacity.series import Point, Series

COMMAND = "python -m benchmarks.capacity.hollow --out docs/measured/capacity/hollow.json"
MEMBERS = "members"  # as the charts name the size
INSTANCES = 90  # of the list in the plays that make up a series
# What a dispatcher may spend on control, from the users' target: bytes a second, share of a core, bytes.
BYTES_LIMIT, CORE_LIMIT, MEMORY_LIMIT = 11_000.0, 0.011, 32e6


@dataclass(slots=True, frozen=True)
class _Cost:
    """One cost: how it is read from a play, None where the play does not say it."""

    name: str
    title: str
    unit: str
    read: Callable[[Play], float | None]
    limit: float | None = None
    note: str = ""


def series(plays: Iterable[Play], machine: str) -> list[Series]:
    """All costs that at least one play says.

    Plays of other lists, of bare watches and of fleets with fewer live members than zones are left out.
    """
    kept = [
        play
        for play in plays
        if play.instances == INSTANCES and not play.watched and play.members >= min(ZONES, play.fleet)
    ]
    made = [_series(cost, kept, machine) for cost in COSTS]
    return [each for each in made if each.points]


def _series(cost: _Cost, plays: list[Play], machine: str) -> Series:
    points = tuple(Point(play.fleet, value) for play in plays if (value := cost.read(play)) is not None)
    return Series(
        f"hollow.{cost.name}", cost.title, cost.unit, MEMBERS, COMMAND, points, cost.limit, machine, cost.note
    )


def _rest(read: Callable[[RestCost], float], alive: bool | None = None) -> Callable[[Play], float | None]:
    """From the cost at rest; `alive`: only where all members live (True), or only where some do (False)."""

    def value(play: Play) -> float | None:
        wanted = alive is None or alive == (play.recorded == 0)
        return read(play.rest) if play.rest is not None and wanted else None

    return value


def _stage(name: str, read: Callable[[Stage], float], alive: bool = False) -> Callable[[Play], float | None]:
    """From one stage that came to its end."""

    def value(play: Play) -> float | None:
        stage = next((each for each in play.stages if each.name == name and each.complete), None)
        return None if stage is None or (alive and play.recorded) else read(stage)

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
        "the limit is LARGEST of pulleyroute/fleet/store.py",
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
