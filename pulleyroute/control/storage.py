"""Keeps a record in a folder, one file for each version: written aside, synced, renamed, the folder synced.

After a loss of power a file whose name was not synced may be there or not, each independently of the
others, and bytes that were not synced may be missing or torn. The newest file that is whole is the record;
an older one stays until the folder of the next was synced.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

import msgspec

from pulleyroute.control.errors import StorageError
from pulleyroute.control.record import Record

PREFIX, SUFFIX = "record-", ".json"
TEMPORARY_NAME = "record.new"
CHECKSUM_BYTES = 16


class Folder(Protocol):
    """A data folder. Each method raises OSError."""

    def names(self) -> list[str]:
        """Return the names of its files."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def write_synced(self, name: str, data: bytes) -> None:
        """Write a file and sync its contents."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing another one of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Sync the names of the files."""


class DiskFolder:
    """A folder of the file system."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of its files."""
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self._path / name).read_bytes()

    def write_synced(self, name: str, data: bytes) -> None:
        """Write a file and sync its contents."""
        with open(self._path / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing another one of the new name."""
        os.replace(self._path / name, self._path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.remove(self._path / name)

    def sync_names(self) -> None:
        """Sync the names of the files."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class RecordStorage:
    """Owns the files of one member's record."""

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._version = 0

    def load(self) -> Record | None:
        """Return the newest whole record, None if there is none (an empty folder); raises StorageError."""
        try:
            versions = sorted(self._versions(), reverse=True)
            self._version = versions[0] if versions else 0
            for version in versions:
                record = _decode(self._folder.read(_file_name(version)))
                if record is not None:
                    return record
        except OSError as exc:
            raise StorageError(f"the record can't be read: {exc}") from None
        return None

    def save(self, record: Record) -> None:
        """Store a record; it lasts once this returns. Raises StorageError: the record may last or not."""
        version = self._version + 1
        try:
            self._folder.write_synced(TEMPORARY_NAME, _encode(record))
            self._folder.rename(TEMPORARY_NAME, _file_name(version))
            self._folder.sync_names()
        except OSError as exc:
            raise StorageError(f"the record can't be stored: {exc}") from None
        self._version = version
        self._remove_older(version)

    def _versions(self) -> list[int]:
        names = self._folder.names()
        numbers = [
            name.removeprefix(PREFIX).removesuffix(SUFFIX) for name in names if name.startswith(PREFIX)
        ]
        return [int(number) for number in numbers if number.isdigit()]

    def _remove_older(self, version: int) -> None:
        with contextlib.suppress(OSError):  # they do no harm, and the next save tries again
            for older in self._versions():
                if older < version:
                    self._folder.remove(_file_name(older))


def _file_name(version: int) -> str:
    return f"{PREFIX}{version:010d}{SUFFIX}"


def _checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest().encode()


def _encode(record: Record) -> bytes:
    body = msgspec.json.encode(record)
    return _checksum(body) + b"\n" + body


def _decode(data: bytes) -> Record | None:
    """Return the record in a file's contents; None if it is not whole."""
    checksum, _, body = data.partition(b"\n")
    if checksum != _checksum(body):
        return None
    try:
        return msgspec.json.decode(body, type=Record)
    except msgspec.MsgspecError:
        return None
