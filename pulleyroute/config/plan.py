"""A release's plan in HCL: read and checked as a configuration is, with every mistake told at once."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pulleyroute.config.load import read
from pulleyroute.config.problems import Invalid, Problem
from pulleyroute.config.types import Count, ListOf, Name, PartOf, Positive, Strict, Time
from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.release import Plan


class ReleaseBlock(Strict, kw_only=True):
    """One `release "name" { ... }`."""

    name: str = ""
    version: Name
    waves: Annotated[
        list[CountOrShare], ListOf(PartOf(), 'a list of numbers and shares such as [1, "25%", "100%"]')
    ]
    zones: tuple[str, ...] = ()
    of_version: str = ""
    at_once: Count = 1
    soak: Time = 30_000_000
    patience: Positive = 300_000_000
    on_failure: Literal["halt", "back"] = "halt"


class PlanFile(Strict, kw_only=True):
    release: dict[str, ReleaseBlock]


def load_plan(path: str | Path) -> Plan:
    """The plan in a file; raises `Invalid`."""
    file = read(path, PlanFile)
    if len(file.release) != 1:
        raise Invalid([Problem(str(path), 1, "release", "one block of it", f"{len(file.release)}")])
    ((name, block),) = file.release.items()
    return Plan(
        name,
        block.version,
        tuple(block.waves),
        block.zones,
        block.of_version,
        block.at_once,
        block.soak,
        block.patience,
        block.on_failure,
    )
