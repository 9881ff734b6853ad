"""The list of instances in discovery's form: read, checked, and kept with its version. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from pulleyroute.interface import Entry, ListKind, Settings, WorkerId, WorkerList, WorkerState
from pulleyroute.net.http import parse_address

_PHASES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


@dataclass(slots=True)
class Member:
    """One instance in the list."""

    address: tuple[str, int]
    active: bool
    listed: bool = True  # not one that left
    started: int = 0  # the loop's clock at its last start
    entry: dict[str, Any] | None = None  # as discovery told it


class InstanceList:
    """Owns the instances by name, the list's version, and the numbers of zones and kinds.

    Raises ValueError for what is not in discovery's form; then nothing has changed.
    """

    def __init__(self, settings: Settings, epoch: int) -> None:
        """`epoch`: Unix time in microseconds when the loop's clock was at 0."""
        self.version = 0
        self._epoch = epoch
        self._members: dict[WorkerId, Member] = {}  # with those that left: an instance stays known
        self._zones = {name: i for i, name in enumerate(settings.zones)}
        self._kinds = {name: i for i, name in enumerate(settings.kinds)}

    def get(self, instance: WorkerId) -> Member | None:
        """What the list says of an instance, one that has left included."""
        return self._members.get(instance)

    def incarnation(self, instance: WorkerId) -> int:
        """When the listed process of it started, as the loop's clock; 0 for long ago."""
        member = self._members.get(instance)
        return 0 if member is None else member.started

    def entries(self) -> list[dict[str, Any]]:
        """The list in discovery's form."""
        return [member.entry for member in self._listed() if member.entry]

    @property
    def size(self) -> int:
        """How many instances the list names."""
        return sum(1 for _ in self._listed())

    def _listed(self) -> Iterable[Member]:
        return (member for member in self._members.values() if member.listed)

    def renumber(self, settings: Settings) -> Settings:
        """Other settings, with their zones and kinds in this list's numbers: a name keeps its number.

        What the decisions know of an instance says by number where it stands and what it is.
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
        """Check one object whole, then make it part of the list."""
        if not isinstance(data, dict) or not isinstance(data.get("members"), list):
            raise ValueError("not an object with members")
        version, complete = data.get("revision"), data.get("complete")
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(complete, bool):
            raise ValueError("revision or complete is missing")
        read = [self._entry(item) for item in data["members"]]
        kind = ListKind.CACHED if cached else ListKind.FULL if complete else ListKind.DELTA
        if kind is not ListKind.DELTA:
            for member in self._members.values():
                member.active = member.listed = False
        for (entry, address), item in zip(read, data["members"], strict=True):
            active, listed = entry.state is WorkerState.READY, entry.state is not WorkerState.GONE
            self._members[entry.worker] = Member(address, active, listed, entry.started, item)
        self.version = version
        entries = [entry for entry, _ in read]
        _log_change(version, kind, entries)
        return WorkerList(version, kind, entries)

    def departures(self, data: Any) -> Any:
        """What an older list tells that holds whatever came after it: who leaves, of the listed processes.

        What is written counts as told, and versions that began anew look older.
        """
        members = data.get("members")
        if isinstance(members, list):
            members = [item for item in members if self._departs(item)]
        return {"revision": self.version, "complete": False, "members": members}

    def _departs(self, item: Any) -> bool:
        entry, _ = self._entry(item)
        return entry.state is not WorkerState.READY and entry.started == self.incarnation(entry.worker)

    def _entry(self, item: Any) -> tuple[Entry, tuple[str, int]]:
        if not isinstance(item, dict):
            raise ValueError("a member is not an object")
        name, phase = item.get("id"), item.get("phase")
        # A phase that is a list or an object can't be looked up: the TypeError would end the watch for good.
        if not isinstance(name, str) or not name or not isinstance(phase, str) or phase not in _PHASES:
            raise ValueError(f"member {name!r} with phase {phase!r}")
        size, started, cell = item.get("size", 1.0), item.get("up_since_ms", 0), item.get("cell", 0)
        for value in (size, started, cell):
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
                raise ValueError(f"member {name!r} with {value!r} for a number")
        entry = Entry(
            name.encode(),
            _PHASES[phase],
            started=self._started(started),
            size=float(size),
            cell=int(cell),
            kind=_number(self._kinds, item.get("flavor")),
            zone=_number(self._zones, item.get("locality")),
        )
        return entry, parse_address(str(item.get("host_port")))

    def _started(self, unix_ms: float) -> int:
        """The loop's clock at that Unix time. 0 means long ago and stays 0, and nothing else becomes 0."""
        return (int(unix_ms * 1000) - self._epoch or 1) if unix_ms else 0


def _number(names: dict[str, int], name: object) -> int:
    """The place of a name in the settings; names that they do not have get places after them."""
    return names.setdefault(str(name), len(names))


def _log_change(version: int, kind: ListKind, entries: list[Entry]) -> None:
    changes = ", ".join(f"{e.worker.decode()} {e.state.name.lower()}" for e in entries[:8])
    logger.bind(event="discovery.changed", version=version).info(
        "discovery: version {} {}, {} entries: {}", version, kind.name.lower(), len(entries), changes
    )
