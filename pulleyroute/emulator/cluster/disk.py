"""A simulated data folder: names that were not synced may be kept or lost when power is."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from random import Random


@dataclass(slots=True, frozen=True)
class _Rename:
    name: str
    new_name: str


@dataclass(slots=True, frozen=True)
class _Remove:
    name: str


class SimulatedFolder:
    """Files whose contents last once written and synced, and whose names last once those are synced."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._files: dict[str, bytes] = {}
        self._durable: dict[str, bytes] = {}
        self._unsynced: list[_Rename | _Remove] = []
        self.full = False

    def names(self) -> list[str]:
        """Return the names of the files."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return self._files[name]

    def write_synced(self, name: str, data: bytes) -> None:
        """Write a file and sync its contents."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")
        self._files[name] = data
        self._durable[name] = data

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file."""
        self._files[new_name] = self._files.pop(name)
        self._unsynced.append(_Rename(name, new_name))

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._files[name]
        self._unsynced.append(_Remove(name))

    def sync_names(self) -> None:
        """Sync the names of the files."""
        self._durable = dict(self._files)
        self._unsynced = []

    def lose_power(self) -> None:
        """Keep what was synced, and each change of a name since then or not."""
        for change in self._unsynced:
            if self._random.random() < 0.5:
                continue
            if isinstance(change, _Rename) and change.name in self._durable:
                self._durable[change.new_name] = self._durable.pop(change.name)
            elif isinstance(change, _Remove):
                self._durable.pop(change.name, None)
        self._files = dict(self._durable)
        self._unsynced = []

    def tear(self, name: str, data: bytes) -> None:
        """Leave a write torn that power was lost in."""
        kept = data[: self._random.randrange(len(data) + 1)]
        self._files[name] = self._durable[name] = kept
