"""What the dispatcher is told, at its start and at each reload: config.json and the PROXY_* variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pulleyroute.interface import Settings
from pulleyroute.net.http import parse_address
from pulleyroute.settings import KeyTree, SettingsError, first_missing_key, key_tree, read_settings

SOCKETS = 1024  # where the configuration names no limit
FEWEST_SOCKETS = 64
MEMORY_MB = 256  # likewise
LEAST_MEMORY_MB = 24


class ConfigError(Exception):
    """The configuration can't be used; the text is one plain line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors that may be open
    memory_mb: int
    known: Any  # the list of instances as last held, in discovery's form; None if there is none
    settings: Settings
    management: tuple[str, int] | None  # the admin listener; None for none
    shape: KeyTree  # the keys that the file has


def load_config(environ: Mapping[str, str], old: Config | None = None) -> Config:
    """Read the file that PROXY_CONFIG names; the other variables go before what it says.

    At a reload, with the configuration in force as `old`, the file's `discovery` goes before the variable,
    which can't change while the program runs, and the file has to have every key that the one in force has.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the configuration file")
    try:
        data = json.loads(Path(path).read_bytes())
    except OSError as exc:
        raise ConfigError(f"{path}: {exc.strerror}") from None
    except (ValueError, RecursionError) as exc:
        raise ConfigError(f"{path}: not JSON: {exc}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not a JSON object")
    sources = [environ.get("PROXY_DISCOVERY"), data.get("discovery")]
    if old is not None:
        sources.reverse()
    keys = key_tree({key: value for key, value in data.items() if key != "known"})
    try:
        if old is not None and (missing := first_missing_key(old.shape, data)) is not None:
            # Guards against a file that was cut down by mistake: defaults would be put in that nobody wrote.
            raise SettingsError(f"{missing} is missing, which the configuration in force has")
        settings, _ = read_settings(data.get("settings"))
        return Config(
            name=_text(environ.get("PROXY_NAME") or data.get("name"), "name"),
            listen=parse_address(_text(environ.get("PROXY_LISTEN") or data.get("listen"), "listen")),
            discovery=parse_address(_text(sources[0] or sources[1], "discovery")),
            seed=_seed(data.get("seed", 0)),
            sockets=_limit(data.get("limits"), "sockets", SOCKETS, FEWEST_SOCKETS),
            memory_mb=_limit(data.get("limits"), "memory_mb", MEMORY_MB, LEAST_MEMORY_MB),
            known=data.get("known"),
            settings=settings,
            management=_address(environ.get("PROXY_MANAGEMENT") or data.get("management"), "management"),
            shape=keys,
        )
    except (SettingsError, ValueError) as exc:
        raise ConfigError(f"{path}: {exc}") from None


def _text(value: object, what: str) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{what} is missing or not a text")
    return value


def _address(value: object, what: str) -> tuple[str, int] | None:
    return None if value is None else parse_address(_text(value, what))


def _seed(value: object) -> int:
    """Hexadecimal digits, or a number."""
    if isinstance(value, int):
        return value
    try:
        return int(_text(value, "seed"), 16)
    except ValueError:
        raise ValueError(f"seed is {value!r}, not hexadecimal digits") from None


def _limit(limits: object, name: str, default: int, least: int) -> int:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e9:
        raise ValueError(f"limits.{name} is {value!r}, not a number of at least {least}")
    return int(value)
