"""Reads the configuration, config.json and the PROXY_* variables, at the start and at each reload."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pulleyroute.interface import Settings
from pulleyroute.net.http import parse_address
from pulleyroute.settings import KeyTree, SettingsError, first_missing_key, key_tree, read_settings

# Limits: the defaults for configurations that name none, and the smallest values allowed.
DEFAULT_SOCKETS = 1024  # descriptors
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 256
MIN_MEMORY_MB = 24


class ConfigError(Exception):
    """Raised for an unusable configuration; the message is a single line."""


@dataclass(slots=True)
class Config:
    """A configuration that has been read and validated."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors that may be open
    memory_mb: int
    known: Any  # the last known list of instances, in discovery's form; None if there is none
    settings: Settings
    management: tuple[str, int] | None  # address of the admin listener; None if it is off
    shape: KeyTree  # the keys present in the file


def load_config(environ: Mapping[str, str], old: Config | None = None) -> Config:
    """Read the file named by PROXY_CONFIG; the other variables take precedence over the file's values.

    At a reload, `old` is the configuration in force. The file's `discovery` then takes precedence over the
    variable, which cannot change while the program runs, and the file must contain every key of `old`. Raises
    ConfigError if the configuration is unusable.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set; it must name the configuration file")
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
            # In a file that was truncated by mistake, defaults would silently replace the missing keys.
            raise SettingsError(f"{missing} is missing, but is present in the configuration in force")
        settings, _ = read_settings(data.get("settings"))
        return Config(
            name=_require_text(environ.get("PROXY_NAME") or data.get("name"), "name"),
            listen=parse_address(_require_text(environ.get("PROXY_LISTEN") or data.get("listen"), "listen")),
            discovery=parse_address(_require_text(sources[0] or sources[1], "discovery")),
            seed=_seed(data.get("seed", 0)),
            sockets=_limit(data.get("limits"), "sockets", DEFAULT_SOCKETS, MIN_SOCKETS),
            memory_mb=_limit(data.get("limits"), "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
            known=data.get("known"),
            settings=settings,
            management=_optional_address(
                environ.get("PROXY_MANAGEMENT") or data.get("management"), "management"
            ),
            shape=keys,
        )
    except (SettingsError, ValueError) as exc:
        raise ConfigError(f"{path}: {exc}") from None


def _require_text(value: object, key: str) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key} is missing or not a string")
    return value


def _optional_address(value: object, key: str) -> tuple[str, int] | None:
    return None if value is None else parse_address(_require_text(value, key))


def _seed(value: object) -> int:
    """Return the seed, given as hexadecimal digits or as a number."""
    if isinstance(value, int):
        return value
    try:
        return int(_require_text(value, "seed"), 16)
    except ValueError:
        raise ValueError(f"seed is {value!r}, not a string of hexadecimal digits") from None


def _limit(limits: object, name: str, default: int, minimum: int) -> int:
    value = limits.get(name, default) if isinstance(limits, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e9:
        raise ValueError(f"limits.{name} is {value!r}, not a number of at least {minimum}")
    return int(value)
