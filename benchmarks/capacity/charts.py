"""SVG charts of cost by size with the fit and the limit, from the JSON files of a folder."""

from __future__ import annotations

import re
import statistics
from io import StringIO
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from benchmarks.capacity.fit import Fit, FitError, Law, Line, fit
from benchmarks.capacity.series import Series
from benchmarks.capacity.tables import all_series

# A fixed salt keeps the SVG identical for identical figures, so that commits contain only real changes.
STYLE: dict[Any, Any] = {"svg.hashsalt": "capacity", "svg.fonttype": "none", "font.size": 9}
_LONG_NUMBER = re.compile(r"(?<![\w.#])\d+\.\d{3,}(?![\w.])")
_ATTRIBUTE = re.compile(r'="[^"]*"')
_IDENTIFIER = re.compile(r'\bid="([mp][0-9a-f]{10})"')
_REFERENCE = re.compile(r'(id="|#)([mp][0-9a-f]{10})("|\))')
# Sizes at the target, to which the fitted line is extended; see `target.py`.
TARGETS = {"list entries": 1_700_000, "members": 5_700}


def draw(folder: Path, quick: bool = False) -> None:
    """Draw each series that has a fit and more than one value; `quick`: only those with a limit."""
    with mpl.rc_context(STYLE):
        for series in all_series(folder):
            values = {point.value for point in series.points}
            if len(values) == 1 or (quick and series.limit is None):
                continue
            try:
                fitted = fit(series)
            except FitError:
                continue
            path = folder / f"{series.name}.svg"
            _chart(series, fitted, path)
            print(path)


def _chart(series: Series, fitted: Fit, path: Path) -> None:
    figure, axes = plt.subplots(figsize=(6.0, 4.0), layout="constrained")
    _points(axes, series)
    _line(axes, series, fitted)
    if series.limit is not None:
        axes.axhline(series.limit, color="tab:red", label=f"limit: {series.limit:,.0f} {series.unit}")
    axes.set(xscale="log", yscale="log", xlabel=series.size_unit, ylabel=series.unit, title=series.title)
    axes.grid(which="major", alpha=0.3)
    axes.legend(fontsize=8)
    text = StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    plt.close(figure)
    path.write_text(portable(text.getvalue()))


def portable(svg: str) -> str:
    """Return an SVG without what differs between processors for the same figures.

    The layout is computed by numpy: its coordinates differ in the sixth decimal, and with them the
    identifiers, which are hashes of the paths. Coordinates are rounded to hundredths of a point, identifiers
    numbered; labels stay as they are.
    """
    rounded = _ATTRIBUTE.sub(lambda attribute: _LONG_NUMBER.sub(_rounded, attribute[0]), svg)
    numbers = {name: f"id{number}" for number, name in enumerate(dict.fromkeys(_IDENTIFIER.findall(rounded)))}
    return _REFERENCE.sub(lambda match: match[1] + numbers.get(match[2], match[2]) + match[3], rounded)


def _rounded(number: re.Match[str]) -> str:
    return f"{float(number[0]):.2f}"


def _points(axes: Axes, series: Series) -> None:
    sizes = [point.size for point in series.points]
    axes.plot(sizes, [point.value for point in series.points], "o", markersize=4, label="measured")


def _line(axes: Axes, series: Series, fitted: Fit) -> None:
    last = max(TARGETS.get(series.size_unit, 0), series.sizes[-1])
    ratio = (last / series.sizes[0]) ** (1 / 60)
    sizes = [series.sizes[0] * ratio**step for step in range(61)]
    axes.plot(
        sizes,
        [max(fitted.law.predict(size), _lower_bound(series)) for size in sizes],
        "-",
        label=_formula(fitted.law),
    )
    if last > series.sizes[-1]:
        label = f"target: {last:,}, {last / series.sizes[-1]:.0f} times the largest measured"
        axes.axvline(last, color="tab:gray", linestyle=":", label=label)


def _formula(law: Law) -> str:
    if isinstance(law, Line):
        return f"{law.base:.3g} + {law.slope:.3g} x size"
    return f"{law.factor:.3g} x size ^ {law.exponent:.2f}"


def _lower_bound(series: Series) -> float:
    """Return a positive bound for a line whose base is below 0, as a logarithmic axis needs one."""
    return statistics.median(series.values(series.sizes[0])) / 10
