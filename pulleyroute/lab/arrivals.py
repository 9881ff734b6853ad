"""Arrival times of requests: load shapes, and arrivals drawn from them by a seed. No clock is read.

A shape is a sequence of pieces, each with a duration. Arrivals in a piece whose rate changes are drawn by
thinning (Lewis and Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979). Times are in
seconds from the start.
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_DURATION_S = 3600.0  # of a shape
MAX_RATE = 20_000.0  # arrivals a second, or at once in a burst

_PIECE = re.compile(
    r"(?:(?P<rate>[\d.]+)(?:-(?P<to>[\d.]+))?(?:~(?P<swing>[\d.]+)@(?P<period>[\d.]+)s)?/(?P<span>[\d.]+)s"
    r"|burst:(?P<burst>\d+))"
)


class BadShape(ValueError):
    """A shape or mix that can't be parsed; the text states the expected form."""


@dataclass(slots=True, frozen=True)
class Piece:
    """A part of a load shape.

    The rate goes from `rate` to `to` arrivals a second over `span` seconds, plus a sine wave with the
    amplitude `swing` and the period `period` in seconds. With `burst` instead, that many arrivals come at
    once and the piece has no duration.
    """

    rate: float = 0.0
    to: float = 0.0
    span: float = 0.0
    swing: float = 0.0
    period: float = 1.0
    burst: int = 0

    def rate_at(self, time: float) -> float:
        """Return the rate, in arrivals a second, at `time` seconds from the piece's start."""
        base = self.rate + (self.to - self.rate) * time / self.span
        return max(0.0, base + self.swing * math.sin(2 * math.pi * time / self.period))

    @property
    def peak_rate(self) -> float:
        """An upper bound of the rate, in arrivals a second."""
        return max(self.rate, self.to) + self.swing


@dataclass(slots=True, frozen=True)
class Shape:
    """A load shape: pieces one after another."""

    pieces: tuple[Piece, ...]

    @property
    def span(self) -> float:
        """Duration in seconds."""
        return sum(piece.span for piece in self.pieces)

    @property
    def expected(self) -> float:
        """Mean number of arrivals.

        It is too low for a wave whose rate would fall below 0, as the rate is then 0 instead.
        """
        return sum((piece.rate + piece.to) / 2 * piece.span + piece.burst for piece in self.pieces)


def read_shape(text: str) -> Shape:
    """Parse a load shape. Raises `BadShape`.

    `100/10s` is 100 arrivals a second for 10 s, `10-200/30s` a ramp, `100~40@5s/60s` a wave with an
    amplitude of 40 and a period of 5 s, and `burst:500` 500 arrivals at once. Commas join pieces.
    """
    pieces = []
    for part in text.replace(" ", "").split(","):
        match = _PIECE.fullmatch(part)
        if match is None:
            raise BadShape(
                f"{part!r} is not a piece of a shape: expected 100/10s, 10-200/30s, 100~40@5s/60s "
                "or burst:500"
            )
        if match["burst"]:
            pieces.append(Piece(burst=int(match["burst"])))
            continue
        try:
            rate, span = float(match["rate"]), float(match["span"])
            piece = Piece(
                rate,
                float(match["to"] or rate),
                span,
                float(match["swing"] or 0),
                float(match["period"] or 1),
            )
        except ValueError:
            raise BadShape(f"{part!r} has an invalid number") from None
        if span <= 0 or piece.period <= 0:
            raise BadShape(f"{part!r} has a duration or period that is not greater than 0")
        pieces.append(piece)
    shape = Shape(tuple(pieces))
    if shape.span > MAX_DURATION_S or any(
        piece.peak_rate > MAX_RATE or piece.burst > MAX_RATE for piece in pieces
    ):
        raise BadShape(
            f"a shape has at most {MAX_DURATION_S:.0f} s and {MAX_RATE:.0f} arrivals a second or at once"
        )
    return shape


def arrivals(shape: Shape, rng: random.Random, even: bool = False) -> Iterator[float]:
    """Yield the times of arrivals in order.

    They are a Poisson process, or with `even` spaced by the inverse of the current rate.
    """
    piece_start = 0.0
    for piece in shape.pieces:
        yield from [piece_start] * piece.burst
        time = 0.0
        while piece.span and piece.peak_rate:
            if even:
                rate = piece.rate_at(time)
                time += 1 / rate if rate > piece.peak_rate / 1000 else piece.span / 1000
                if time < piece.span and rate > piece.peak_rate / 1000:
                    yield piece_start + time
            else:
                time += rng.expovariate(piece.peak_rate)
                if time < piece.span and rng.random() * piece.peak_rate < piece.rate_at(time):
                    yield piece_start + time
            if time >= piece.span:
                break
        piece_start += piece.span


@dataclass(slots=True, frozen=True)
class Mix:
    """Kinds of requests with their weights."""

    kinds: tuple[tuple[str, float], ...]

    def draw(self, rng: random.Random) -> str:
        """Draw a kind by its weight."""
        return rng.choices([name for name, _ in self.kinds], [share for _, share in self.kinds])[0]


def read_mix(text: str) -> Mix:
    """Parse a mix such as `balance-check=4,card-charge=1`; a weight is 1 if left out. Raises `BadShape`."""
    kinds = []
    for part in text.split(","):
        name, _, share = part.strip().partition("=")
        try:
            weight = float(share) if share else 1.0
        except ValueError:
            weight = -1.0
        if not name or not 0 < weight < 1e9:
            raise BadShape(f"{part.strip()!r} is not a kind with its share: expected NAME or NAME=SHARE")
        kinds.append((name, weight))
    return Mix(tuple(kinds))
