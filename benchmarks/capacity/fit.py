"""Fit laws to measured series, and estimate their error.

A cost is modelled as a line, `base + slope * size`, and as a power law, `factor * size ** exponent`. Points
of the line are weighted by the inverse of their value, since the spread of a cost grows with it; residuals
are therefore relative. The law with the smaller residual is used for predictions. Its error when the smaller
half of the sizes predicts the larger half is the only check of an extrapolation.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from benchmarks.capacity.series import Point, Series

MIN_SIZES = 3  # the least for which a line leaves a residual
# Relative to the scale of the data. A smaller figure is rounding noise, which differs between processors.
RESOLUTION = 1e-12


class FitError(ValueError):
    """The series has too few sizes, or values that cannot be fitted; the text says which."""


@dataclass(slots=True, frozen=True)
class Line:
    """`base + slope * size`. `residual`: the root mean square of (measured - line) / measured."""

    base: float
    slope: float
    residual: float

    def predict(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * size


@dataclass(slots=True, frozen=True)
class Power:
    """`factor * size ** exponent`, by least squares of the logarithms; `residual` as in `Line`."""

    factor: float
    exponent: float
    residual: float

    def predict(self, size: float) -> float:
        """Return the cost at a size."""
        return float(self.factor * size**self.exponent)


Law = Line | Power


@dataclass(slots=True, frozen=True)
class Fit:
    """The fit of a series.

    `law`: the line or the power law, whichever has the smaller residual; `spread`: the largest
    (maximum - minimum) / median of the repetitions at one size; `prediction_error`: the largest |predicted -
    median| / median over the larger half of the sizes, with the law fitted to the smaller half; None for
    fewer than five sizes.
    """

    line: Line
    power: Power
    law: Law
    spread: float
    prediction_error: float | None


def fit(series: Series) -> Fit:
    """Fit a series; raises FitError."""
    return Fit(
        line(series.points),
        power(series.points),
        law(series.points),
        _spread(series),
        _prediction_error(series),
    )


def line(points: Iterable[Point]) -> Line:
    """Return the line with the least squared relative residuals; raises FitError."""
    sizes, values = _arrays(points)
    slope, base = _straight(sizes, values, 1 / values)
    return Line(base, slope, _residual(values, base + slope * sizes))


def power(points: Iterable[Point]) -> Power:
    """Return the power law with the least squared residuals of the logarithms; raises FitError."""
    sizes, values = _arrays(points)
    exponent, logarithm = _straight(np.log(sizes), np.log(values), np.ones(len(values)))
    factor = float(np.exp(logarithm))
    return Power(factor, exponent, _residual(values, factor * sizes**exponent))


def law(points: Iterable[Point]) -> Law:
    """Return the line, or the power law if its residual is smaller; raises FitError."""
    point_list = list(points)
    straight, curved = line(point_list), power(point_list)
    return straight if straight.residual <= curved.residual else curved


def _straight(x: np.ndarray, y: np.ndarray, weights: np.ndarray) -> tuple[float, float]:
    """Return slope and intercept of the weighted least squares line, 0 for one that it can't resolve."""
    slope, intercept = np.polyfit(x, y, 1, w=weights)
    scale = float(np.max(np.abs(y)))
    return _resolved(float(slope), scale / float(np.max(np.abs(x)))), _resolved(float(intercept), scale)


def _resolved(figure: float, scale: float) -> float:
    """Return the figure, or 0 if it is below what data of that scale can resolve."""
    return figure if abs(figure) > RESOLUTION * scale else 0.0


def _residual(values: np.ndarray, predicted: np.ndarray) -> float:
    return _resolved(float(np.sqrt(np.mean(((values - predicted) / values) ** 2))), 1.0)


def _arrays(points: Iterable[Point]) -> tuple[np.ndarray, np.ndarray]:
    pairs = [(point.size, point.value) for point in points]
    if len({size for size, _ in pairs}) < MIN_SIZES:
        raise FitError(f"fewer than {MIN_SIZES} sizes")
    if any(size <= 0 or value <= 0 for size, value in pairs):
        raise FitError("a size or a value is not above 0")
    sizes, values = zip(*pairs, strict=True)
    return np.array(sizes, float), np.array(values, float)


def _medians(series: Series) -> dict[int, float]:
    return {size: statistics.median(series.values(size)) for size in series.sizes}


def _spread(series: Series) -> float:
    def of(values: list[float]) -> float:
        return (max(values) - min(values)) / statistics.median(values)

    return max(of(series.values(size)) for size in series.sizes)


def _prediction_error(series: Series) -> float | None:
    half = (len(series.sizes) + 1) // 2
    small, large = series.sizes[:half], series.sizes[half:]
    if len(small) < MIN_SIZES:
        return None
    predicted = law(point for point in series.points if point.size in small).predict
    medians = _medians(series)
    return max(abs(predicted(size) - medians[size]) / medians[size] for size in large)
