"""The table of fits of the series in a folder's JSON files."""

from __future__ import annotations

from pathlib import Path

from benchmarks.capacity.fit import FitError, fit
from benchmarks.capacity.series import Series, SeriesError, read

TABLE = "fits.md"
COLUMNS = (
    "series",
    "size",
    "unit",
    "base",
    "slope",
    "residual",
    "exponent",
    "residual",
    "law",
    "spread",
    "prediction error",
    "command",
)


def all_series(folder: Path) -> list[Series]:
    """Read the series of all files of a folder; raises SeriesError if there are none."""
    found = [series for path in sorted(folder.glob("*.json")) for series in read(path)]
    if not found:
        raise SeriesError(f"{folder}: no series; measure some first")
    return found


def fits(folder: Path) -> None:
    """Write the table to the folder, and print it."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + " --- |" * len(COLUMNS)]
    lines += [_row(series) for series in all_series(folder)]
    print("\n".join(lines))
    machines = sorted({series.machine for series in all_series(folder)})
    text = [
        "# Fits of the measured series",
        "",
        "Made by `python -m benchmarks.capacity fits`. The line `base + slope * size`, with its relative",
        "residual; the exponent of a power law, with its own; which of the two predicts; the spread of",
        "repetitions; the error of the larger half of the sizes, predicted from the smaller half. No fit",
        "stands where a series has too few sizes for one.",
        "",
        *(f"Run on: {machine}." for machine in machines),
        "",
        *lines,
        "",
    ]
    (folder / TABLE).write_text("\n".join(text))


def _row(series: Series) -> str:
    sizes = f"{series.sizes[0]} to {series.sizes[-1]} {series.size_unit}" if series.points else "none"
    try:
        fitted = fit(series)
    except FitError:
        cells = ["-"] * 8
    else:
        error = fitted.prediction_error
        cells = [
            f"{fitted.line.base:.4g}",
            f"{fitted.line.slope:.4g}",
            f"{fitted.line.residual:.1%}",
            f"{fitted.power.exponent:.2f}",
            f"{fitted.power.residual:.1%}",
            type(fitted.law).__name__.lower(),
            f"{fitted.spread:.1%}",
            "-" if error is None else f"{error:.1%}",
        ]
    return "| " + " | ".join([f"`{series.name}`", sizes, series.unit, *cells, f"`{series.command}`"]) + " |"
