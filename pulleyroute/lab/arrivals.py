"""When requests are due: shapes of load over time, and arrivals drawn from them. Pure: no clock, all from a
seed.

A shape is a row of pieces, each with a length. Arrivals of a piece whose rate changes are drawn by thinning
(Lewis and Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979). Times are seconds
from the start.
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Iterator
from dataclasses import dataclass

LONGEST = 3600.0  # seconds of a shape
FASTEST = 20_000.0  # arrivals a second

_PIECE = re.compile(
    r"(?:(?P<rate>[\d.]+)(?:-(?P<to>[\d.]+))?(?:~(?P<swing>[\d.]+)@(?P<period>[\d.]+)s)?/(?P<span>[\d.]+)s"
    r"|burst:(?P<burst>\d+))"
)


class BadShape(ValueError):
    """A shape that can't be read; the text says what one looks like."""


@dataclass(slots=True, frozen=True)
class Piece:
    """Arrivals a second from `rate` to `to`, with a swing of `swing` each `period` seconds, for `span`
    seconds.

    With `burst` instead: so many at once, taking no time.
    """

    rate: float = 0.0
    to: float = 0.0
    span: float = 0.0
    swing: float = 0.0
    period: float = 1.0
    burst: int = 0

    def at(self, time: float) -> float:
        """Arrivals a second at a time in the piece."""
        base = self.rate + (self.to - self.rate) * time / self.span
        return max(0.0, base + self.swing * math.sin(2 * math.pi * time / self.period))

    @property
    def most(self) -> float:
        return max(self.rate, self.to) + self.swing


@dataclass(slots=True, frozen=True)
class Shape:
    """Pieces one after another."""

    pieces: tuple[Piece, ...]

    @property
    def span(self) -> float:
        return sum(piece.span for piece in self.pieces)

    @property
    def expected(self) -> float:
        """How many arrivals it has on average; swings that would go below nothing are not reckoned with."""
        return sum((piece.rate + piece.to) / 2 * piece.span + piece.burst for piece in self.pieces)


def read_shape(text: str) -> Shape:
    """A shape as users write it; raises `BadShape`.

    `100/10s` is 100 a second for 10 s, `10-200/30s` a ramp, `100~40@5s/60s` a wave of 40 each 5 s,
    `burst:500` at once; pieces follow each other after commas.
    """
    pieces = []
    for part in text.replace(" ", "").split(","):
        match = _PIECE.fullmatch(part)
        if match is None:
            raise BadShape(
                f"{part!r} is no piece of a shape: expected 100/10s, 10-200/30s, 100~40@5s/60s "
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
            raise BadShape(f"{part!r} has a number that is none") from None
        if span <= 0 or piece.period <= 0:
            raise BadShape(f"{part!r} takes no time")
        pieces.append(piece)
    shape = Shape(tuple(pieces))
    if shape.span > LONGEST or any(piece.most > FASTEST or piece.burst > FASTEST for piece in pieces):
        raise BadShape(f"at most {LONGEST:.0f} s and {FASTEST:.0f} arrivals a second or at once")
    return shape


def arrivals(shape: Shape, rng: random.Random, even: bool = False) -> Iterator[float]:
    """When requests are due, in order: Poisson, or `even` (as far apart as the rate at each says)."""
    began = 0.0
    for piece in shape.pieces:
        yield from [began] * piece.burst
        time = 0.0
        while piece.span and piece.most:
            if even:
                rate = piece.at(time)
                time += 1 / rate if rate > piece.most / 1000 else piece.span / 1000
                if time < piece.span and rate > piece.most / 1000:
                    yield began + time
            else:
                time += rng.expovariate(piece.most)
                if time < piece.span and rng.random() * piece.most < piece.at(time):
                    yield began + time
            if time >= piece.span:
                break
        began += piece.span


@dataclass(slots=True, frozen=True)
class Mix:
    """Kinds of requests with their shares; drawn by weight."""

    kinds: tuple[tuple[str, float], ...]

    def draw(self, rng: random.Random) -> str:
        return rng.choices([name for name, _ in self.kinds], [share for _, share in self.kinds])[0]


def read_mix(text: str) -> Mix:
    """`balance-check=4,card-charge=1`, or one name alone; raises `BadShape`."""
    kinds = []
    for part in text.split(","):
        name, _, share = part.strip().partition("=")
        try:
            weight = float(share) if share else 1.0
        except ValueError:
            weight = -1.0
        if not name or not 0 < weight < 1e9:
            raise BadShape(f"{part.strip()!r} is no kind with its share: expected NAME or NAME=SHARE")
        kinds.append((name, weight))
    return Mix(tuple(kinds))
