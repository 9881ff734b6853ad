"""Reads the settings file of a process of the system, in TOML. Keys that are not known are ignored."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from voluptuous import ALLOW_EXTRA, All, Invalid, Length, Range, Required, Schema
from voluptuous import Any as AnyOf

from pulleyroute.net.http import parse_address

VARIABLE = "PULLEYROUTE_SETTINGS"  # of the environment, with the path of the file

_TEXT = All(str, Length(min=1))
_PORT = All(int, Range(min=1, max=65535))
_COUNT = All(int, Range(min=0))
_SCHEMA = Schema(
    {
        Required("node"): _TEXT,
        Required("role"): _TEXT,
        Required("ip"): _TEXT,
        Required("portRange"): All([_PORT], Length(min=2, max=2)),
        Required("seeds"): [_TEXT],
        "bootstrap": bool,
        "zone": str,
        "region": str,
        "dataDir": str,
        "serves": [str],
        "listen": {str: str},
        "tolerate": Schema({"machines": _COUNT}, extra=ALLOW_EXTRA),
        "limits": Schema({"memoryMb": AnyOf(int, float), "maxFds": int}, extra=ALLOW_EXTRA),
        "bounds": {str: AnyOf(bool, int, float)},
    },
    extra=ALLOW_EXTRA,
)


class SettingsError(ValueError):
    """The settings can't be used; the text names the file, the key and what was expected."""


@dataclass(frozen=True)
class ProcessSettings:
    """The settings of one process. Addresses are `HOST:PORT`; `bounds` are those of the pages, by name."""

    node: str
    role: str
    ip: str
    ports: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool
    zone: str
    region: str
    data_folder: Path | None
    listen: Mapping[str, str]
    tolerated_machines: int
    bounds: Mapping[str, float]

    @property
    def peer_address(self) -> str:
        """Where other processes of the system reach this one."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """The peer addresses of the seeds: on all machines the ports are alike."""
        return tuple(f"{parse_address(seed)[0]}:{self.ports[0]}" for seed in self.seeds)


def read_settings_file(path: Path) -> ProcessSettings:
    """Return the settings in a file; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not TOML: {exc}") from None
    try:
        return _from_values(_SCHEMA(values))
    except Invalid as exc:
        raise SettingsError(f"{path}: {exc}") from None
    except ValueError as exc:
        raise SettingsError(f"{path}: {exc}") from None


def _from_values(values: dict[str, Any]) -> ProcessSettings:
    first, last = values["portRange"]
    if last < first:
        raise ValueError(f"portRange: {first} to {last} contains no port")
    for key, address in (*values.get("listen", {}).items(), *(("seeds", seed) for seed in values["seeds"])):
        try:
            parse_address(address)
        except ValueError as exc:
            raise ValueError(f"{key}: {exc}") from None
    return ProcessSettings(
        node=values["node"],
        role=values["role"],
        ip=values["ip"],
        ports=(first, last),
        seeds=tuple(values["seeds"]),
        bootstrap=values.get("bootstrap", False),
        zone=values.get("zone", ""),
        region=values.get("region", ""),
        data_folder=Path(values["dataDir"]) if values.get("dataDir") else None,
        listen=values.get("listen", {}),
        tolerated_machines=values.get("tolerate", {}).get("machines", 0),
        bounds=values.get("bounds", {}),
    )
