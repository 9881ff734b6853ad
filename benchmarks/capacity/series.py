"""The common form of a measurement: series of (size, value) points, kept as JSON.

A file holds `{"series": [...]}`; each series is one cost against one kind of size, every repetition a point
of its own. The form says what was run and on what, so that a table needs nothing beside it.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

FOLDER = Path("docs/measured/capacity")


class SeriesError(ValueError):
    """A file does not hold series; the text is one plain line that names it."""


@dataclass(slots=True, frozen=True)
class Point:
    """One repetition. `size`: the count that was varied; `value`: the cost, in its series' unit."""

    size: int
    value: float


@dataclass(slots=True, frozen=True)
class Series:
    """One cost against one size.

    `name`: unlike any other's, in the form `module.cost`; `unit`: of the values ("us", "bytes", "calls/s");
    `size_unit`: what `size` counts ("list entries", "members"); `command`: that made it, typed at the root;
    `limit`: the bound that the cost is held to, in `unit`, None for none; `machine`: what it ran on, with
    "machine shared" where other programs ran beside it; `note`: what a reader has to know, such as the first
    thing that broke.
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
        """The sizes measured, ascending, each once."""
        return sorted({point.size for point in self.points})

    def values(self, size: int) -> list[float]:
        """The repetitions at one size."""
        return [point.value for point in self.points if point.size == size]


def write(path: Path, series: Iterable[Series]) -> None:
    """Write a file of series; its folder is made where it is missing."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps({"series": [asdict(each) for each in series]}, indent=1)
    path.write_text(text + "\n")


def read(path: Path) -> list[Series]:
    """The series of a file; raises SeriesError where it can't be read or is not in form."""
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
