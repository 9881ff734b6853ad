"""Reads the plan of a release from HCL. It is checked like a configuration, and all mistakes are reported."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pulleyroute.config.load import read
from pulleyroute.config.problems import InvalidConfig, Problem
from pulleyroute.config.types import (
    ConfigBlock,
    Count,
    Duration,
    ListParser,
    Name,
    PartParser,
    PositiveDuration,
)
from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.release import Plan


class ReleaseBlock(ConfigBlock, kw_only=True):
    """A `release "name" { ... }` block."""

    name: str = ""
    version: Name
    waves: Annotated[
        list[CountOrShare],
        ListParser(PartParser(), 'a list of numbers and shares such as [1, "25%", "100%"]'),
    ]
    zones: tuple[str, ...] = ()
    of_version: str = ""
    at_once: Count = 1
    soak: Duration = 30_000_000
    patience: PositiveDuration = 300_000_000
    on_failure: Literal["halt", "back"] = "halt"


class PlanFile(ConfigBlock, kw_only=True):
    """The file of a plan, which has exactly one release block."""

    release: dict[str, ReleaseBlock]


def load_plan(path: str | Path) -> Plan:
    """Return the plan in a file; raises `InvalidConfig` with all mistakes."""
    file = read(path, PlanFile)
    if len(file.release) != 1:
        raise InvalidConfig([Problem(str(path), 1, "release", "one block of it", f"{len(file.release)}")])
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
