"""Parses, validates and stores the list of instances in discovery's form, with its version. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from pulleyroute.interface import Entry, ListKind, Scope, Settings, WorkerId, WorkerList, WorkerState
from pulleyroute.net.http import parse_address

_PHASES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


@dataclass(slots=True, frozen=True)
class InstanceGroup:
    """The groups that an instance belongs to, whose members drop repeats of each other's keyed jobs."""

    cell: int
    zone: str


def share_group(first: InstanceGroup | None, second: InstanceGroup | None, scope: Scope) -> bool:
    """Whether instances of the two groups drop repeats of each other's jobs; None: an unknown group."""
    if scope is Scope.ALL:
        return True
    if first is None or second is None:
        return False
    return first.zone == second.zone if scope is Scope.ZONE else first.cell == second.cell


@dataclass(slots=True)
class Member:
    """The list's entry for one instance."""

    address: tuple[str, int]
    active: bool
    listed: bool = True  # false once the instance has left
    started: int = 0  # its last start, on the loop's clock
    entry: dict[str, Any] | None = None  # as received from discovery


class InstanceList:
    """Owns the instances by name, the list's version, and the numbering of zones and kinds.

    Input that is not in discovery's form raises ValueError and changes no entry and no version.
    """

    def __init__(self, settings: Settings, epoch: int) -> None:
        """`epoch`: Unix time in microseconds when the loop's clock was at 0."""
        self.version = 0
        self._epoch = epoch
        self._members: dict[WorkerId, Member] = {}  # including those that left, so that they stay known
        self._zones = {name: i for i, name in enumerate(settings.zones)}
        self._kinds = {name: i for i, name in enumerate(settings.kinds)}

    def get(self, instance: WorkerId) -> Member | None:
        """Return the entry of an instance, even one that has left, or None."""
        return self._members.get(instance)

    def incarnation(self, instance: WorkerId) -> int:
        """Return the start time of the listed process, on the loop's clock; 0 for long ago or unknown."""
        member = self._members.get(instance)
        return 0 if member is None else member.started

    def group(self, instance: WorkerId) -> InstanceGroup | None:
        """Return the cell and the zone of an instance, None if the list has never named it."""
        member = self._members.get(instance)
        if member is None or member.entry is None:
            return None
        return InstanceGroup(int(member.entry.get("cell", 0)), str(member.entry.get("locality")))

    def zone_number(self, zone: str) -> int:
        """Return the number by which the decisions know a zone."""
        return _number(self._zones, zone)

    def entries(self) -> list[dict[str, Any]]:
        """Return the list in discovery's form."""
        return [member.entry for member in self._listed() if member.entry]

    @property
    def size(self) -> int:
        """The number of instances in the list."""
        return sum(1 for _ in self._listed())

    def _listed(self) -> Iterable[Member]:
        return (member for member in self._members.values() if member.listed)

    def renumber(self, settings: Settings) -> Settings:
        """Return the settings with zones and kinds replaced by this list's numbers.

        A name keeps its number, because the decision logic stores each instance's zone and kind by number.
        """
        zone, kinds = settings.zone, settings.kinds
        if zone < len(settings.zones):
            zone = _number(self._zones, settings.zones[zone])
        classes = [
            replace(cls, kind=_number(self._kinds, kinds[cls.kind])) if 0 <= cls.kind < len(kinds) else cls
            for cls in settings.classes
        ]
        return replace(settings, zone=zone, classes=classes)

    def apply(self, data: Any, cached: bool) -> WorkerList:
        """Validate an update as a whole, then apply it to the list."""
        if not isinstance(data, dict) or not isinstance(data.get("members"), list):
            raise ValueError("the list is not an object with an array of members")
        version, complete = data.get("revision"), data.get("complete")
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(complete, bool):
            raise ValueError("revision is not an integer or complete is not a boolean")
        parsed = [self._parse_entry(item) for item in data["members"]]
        kind = ListKind.CACHED if cached else ListKind.FULL if complete else ListKind.DELTA
        if kind is not ListKind.DELTA:
            for member in self._members.values():
                member.active = member.listed = False
        for (entry, address), item in zip(parsed, data["members"], strict=True):
            active, listed = entry.state is WorkerState.READY, entry.state is not WorkerState.GONE
            self._members[entry.worker] = Member(address, active, listed, entry.started, item)
        self.version = version
        entries = [entry for entry, _ in parsed]
        _log_change(version, kind, entries)
        return WorkerList(version, kind, entries)

    def departures(self, data: Any) -> Any:
        """Return the part of an older list that is still valid: which of the listed processes are leaving.

        A departure that discovery has sent counts as delivered, and a list with restarted version numbers
        looks older than it is.
        """
        members = data.get("members")
        if isinstance(members, list):
            members = [item for item in members if self._is_departure(item)]
        return {"revision": self.version, "complete": False, "members": members}

    def _is_departure(self, item: Any) -> bool:
        entry, _ = self._parse_entry(item)
        return entry.state is not WorkerState.READY and entry.started == self.incarnation(entry.worker)

    def _parse_entry(self, item: Any) -> tuple[Entry, tuple[str, int]]:
        if not isinstance(item, dict):
            raise ValueError("a member of the list is not an object")
        name, phase = item.get("id"), item.get("phase")
        # A lookup of a phase that is a list or an object would raise TypeError, which would end the watch for
        # good.
        if not isinstance(name, str) or not name or not isinstance(phase, str) or phase not in _PHASES:
            raise ValueError(f"member {name!r} has an invalid name or the unknown phase {phase!r}")
        size, started, cell = item.get("size", 1.0), item.get("up_since_ms", 0), item.get("cell", 0)
        for value in (size, started, cell):
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
                raise ValueError(f"member {name!r} has {value!r} where a finite number is required")
        entry = Entry(
            name.encode(),
            _PHASES[phase],
            started=self._to_loop_clock(started),
            size=float(size),
            cell=int(cell),
            kind=_number(self._kinds, item.get("flavor")),
            zone=_number(self._zones, item.get("locality")),
        )
        return entry, parse_address(str(item.get("host_port")))

    def _to_loop_clock(self, unix_ms: float) -> int:
        """Convert Unix milliseconds to the loop's clock; 0 (long ago) stays 0, no other time becomes 0."""
        return (int(unix_ms * 1000) - self._epoch or 1) if unix_ms else 0


def _number(names: dict[str, int], name: object) -> int:
    """Return the number of a name; names missing from the settings get the next free numbers."""
    return names.setdefault(str(name), len(names))


def _log_change(version: int, kind: ListKind, entries: list[Entry]) -> None:
    changes = ", ".join(f"{e.worker.decode()} {e.state.name.lower()}" for e in entries[:8])
    logger.bind(event="discovery.changed", version=version).info(
        "discovery: version {} {}, {} entries: {}", version, kind.name.lower(), len(entries), changes
    )
