"""Slopes, which measure costs by size: each repetition runs in a new process, one at a time."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.series import Point, Series

ROOT = Path(__file__).parent.parent.parent
POINT_TIMEOUT_S = 170  # of one process
REPEATS, QUICK_REPEATS = 3, 1
MAX_ATTEMPTS = 3  # per point: a process may fail to keep up with its slope on a busy machine

Measured = Mapping[str, float]


class SlopeError(Exception):
    """A point could not be measured; the text is one line."""


@dataclass(slots=True, frozen=True)
class Cost:
    """One of the costs that a slope measures. `limit`: its upper bound, in `unit`."""

    title: str
    unit: str
    limit: float | None = None


@dataclass(slots=True, frozen=True)
class Slope:
    """A measurement by size. `measure` returns each cost at a size, and is called once per process."""

    name: str
    size_unit: str
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    costs: Mapping[str, Cost]
    measure: Callable[[int], Measured]
    largest: int = 100_000  # the maximum for --size
    note: str = ""


@dataclass(slots=True)
class Run:
    """Options of a run. `sizes` replace those of a slope; `on_progress` gets a line for each point."""

    quick: bool = False
    sizes: tuple[int, ...] = ()
    repeats: int = 0
    on_progress: Callable[[str], None] = field(default=lambda line: None)

    def series(self, slope: Slope) -> list[Series]:
        """Measure a slope; raises SlopeError."""
        if any(size > slope.largest for size in self.sizes):
            raise SlopeError(f"{slope.name}: a size is over {slope.largest}, the largest that it is run at")
        sizes = self.sizes or (slope.quick_sizes if self.quick else slope.sizes)
        repeats = self.repeats or (QUICK_REPEATS if self.quick else REPEATS)
        points: dict[str, list[Point]] = {name: [] for name in slope.costs}
        for _ in range(repeats):
            for size in sizes:
                measured = self._point(slope.name, size)
                for name, value in measured.items():
                    points[name].append(Point(size, value))
                self.on_progress(
                    f"{slope.name} {size}: " + ", ".join(f"{k} {v:.4g}" for k, v in measured.items())
                )
        return [
            Series(
                f"{slope.name}.{name}",
                cost.title,
                cost.unit,
                slope.size_unit,
                f"python -m benchmarks.capacity {slope.name}",
                tuple(points[name]),
                cost.limit,
                machine(),
                slope.note,
            )
            for name, cost in slope.costs.items()
        ]

    def _point(self, name: str, size: int) -> dict[str, float]:
        """Measure a point, with retries that are passed to `on_progress`; raises SlopeError."""
        for _ in range(MAX_ATTEMPTS - 1):
            try:
                return measure_in_process(name, size)
            except SlopeError as exc:
                self.on_progress(f"{exc}; measured again")
        return measure_in_process(name, size)


def measure_in_process(name: str, size: int) -> dict[str, float]:
    """Measure one point of a slope in a separate process; raises SlopeError."""
    command = [sys.executable, "-m", "benchmarks.capacity.point", name, str(size)]
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=POINT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        raise SlopeError(f"{name} at {size}: no result within {POINT_TIMEOUT_S} s") from None
    if done.returncode != 0:
        last = done.stderr.strip().splitlines()[-1:] or ["no message"]
        raise SlopeError(f"{name} at {size}: {last[0]}")
    values: dict[str, float] = json.loads(done.stdout)
    return values


def machine() -> str:
    """Describe the machine of a measurement, without its name."""
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    model = next(
        (line.split(":", 1)[1].strip() for line in lines if line.startswith("model name")), "unknown"
    )
    python = sys.version.split()[0]
    return f"{os.cpu_count()} cores, {model}, Python {python}; machine shared"
