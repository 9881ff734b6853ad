"""The common format of measurements: series of (size, value) points, stored as JSON.

A file contains `{"series": [...]}`. Each series is one cost by one kind of size, with a point for every
repetition. It also names its command and machine, so that a table can be made from the file alone.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

FOLDER = Path("docs/measured/capacity")


class SeriesError(ValueError):
    """A file, or a folder, has no usable series; the text is one line that names what is missing."""


@dataclass(slots=True, frozen=True)
class Point:
    """One repetition. `size`: the count that is varied; `value`: the cost in the unit of the series."""

    size: int
    value: float


@dataclass(slots=True, frozen=True)
class Series:
    """One cost by size.

    `name`: unique, in the form `module.cost`; `unit`: of the values ("us", "bytes", "calls/s");
    `size_unit`: what `size` counts ("list entries", "members"); `command`: reproduces the series when run
    in the root of the repository; `limit`: the upper bound of the cost, in `unit`, or None; `machine`: where
    it ran, with "machine shared" if other programs ran at the same time; `note`: what a reader has to know,
    such as the first failure.
    """

    name: str
    title: str
    unit: str
    size_unit: str
    command: str
    points: tuple[Point, ...]
    limit: float | None = None
    machine: str = ""
    note: str = ""

    @property
    def sizes(self) -> list[int]:
        """The distinct sizes, in ascending order."""
        return sorted({point.size for point in self.points})

    def values(self, size: int) -> list[float]:
        """Return the values of all repetitions at one size."""
        return [point.value for point in self.points if point.size == size]


def write(path: Path, series: Iterable[Series]) -> None:
    """Write a file of series; create its folder if it is missing."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps({"series": [asdict(each) for each in series]}, indent=1)
    path.write_text(text + "\n")


def read(path: Path) -> list[Series]:
    """Read the series of a file; raises SeriesError if the file cannot be read or is malformed."""
    try:
        data = json.loads(path.read_text())
        return [_series(each) for each in data["series"]]
    except OSError as exc:
        raise SeriesError(f"{path}: {exc.strerror}") from None
    except (ValueError, KeyError, TypeError) as exc:
        raise SeriesError(f"{path}: not a file of series: {exc!r}") from None


def _series(values: dict[str, Any]) -> Series:
    points = tuple(Point(int(each["size"]), float(each["value"])) for each in values["points"])
    return Series(**{**values, "points": points})
