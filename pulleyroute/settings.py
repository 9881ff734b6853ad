"""Reads and checks the settings of a dispatcher, as the simulator and configuration files state them."""

from __future__ import annotations

import json
from typing import Any

from pulleyroute.interface import Effect, JobClass, ReportSource, Scope, Settings, Tenant


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names its key."""


# From the wire's names of reported values to attributes of LoadReport; the settings state what x0 and x1 are.
_REPORT_FIELDS = {
    "rif": "in_hand",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
}
_EXTRA_FIELDS = {"free slots": "free_slots", "free memory": "free_memory"}

_EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
_SOURCES = {"piggyback": ReportSource.ANSWERS, "pull": ReportSource.PROBES, "silent": ReportSource.NONE}
_MISSING: Any = object()

NUMBER_LIMIT = 2.0**62  # exclusive, for every number: times are whole microseconds in 64 bits

# The keys of a JSON object, each with the tree of its value; for a list of objects, the keys common to all.
KeyTree = dict[str, Any] | list[Any] | None


def key_tree(value: Any) -> KeyTree:
    """Return the keys of a parsed JSON value, at every depth."""
    if isinstance(value, dict):
        return {key: key_tree(item) for key, item in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        common = set(value[0]).intersection(*value)
        return [{key: key_tree(value[0][key]) for key in sorted(common)}]
    return None


def first_missing_key(expected: KeyTree, value: Any, path: str = "") -> str | None:
    """Return the path of the first expected key that the value lacks; None if it has them all."""
    if isinstance(expected, list):
        items = value if isinstance(value, list) else []
        missing_keys = (first_missing_key(expected[0], item, f"{path}[{i}]") for i, item in enumerate(items))
        return next((key for key in missing_keys if key is not None), None)
    for key, inner in (expected or {}).items():
        name = f"{path}.{key}" if path else key
        if not isinstance(value, dict) or key not in value:
            return name
        missing = first_missing_key(inner, value[key], name)
        if missing is not None:
            return missing
    return None


def _number(value: Any, name: str, least: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < NUMBER_LIMIT:
        raise SettingsError(f"settings: {name} is {value!r}, not a number of at least {least}")
    return float(value)


class _Section:
    """Reads one JSON object of the settings; errors name the path of the key."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"settings: {path or 'top level'} is not an object")
        self._data = data
        self._path = path

    def _name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def raw(self, key: str, default: Any = _MISSING) -> Any:
        value = self._data.get(key, default)
        if value is _MISSING:
            raise SettingsError(f"settings: {self._name(key)} is missing")
        return value

    def section(self, key: str) -> _Section:
        return _Section(self.raw(key, {}), self._name(key))

    def number(self, key: str, default: Any = _MISSING, least: float = 0) -> float:
        return _number(self.raw(key, default), self._name(key), least)

    def integer(self, key: str, default: Any = _MISSING, least: int = 0) -> int:
        return int(self.number(key, default, least))

    def flag(self, key: str) -> bool:
        value = self.raw(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not true or false")
        return value

    def choice(self, key: str, choices: dict[str, Any], default: Any = _MISSING) -> Any:
        value = self.raw(key, default)
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not one of {', '.join(choices)}")
        return choices[value]

    def items(self, key: str, default: Any = _MISSING) -> list[Any]:
        value = self.raw(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"settings: {self._name(key)} is not a list")
        return value

    def strings(self, key: str) -> list[str]:
        value = self.items(key, [])
        if not all(isinstance(name, str) for name in value):
            raise SettingsError(f"settings: {self._name(key)} has an item that is not a string")
        return value

    def string(self, key: str, default: Any = _MISSING) -> str:
        value = self.raw(key, default)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not a non-empty string")
        return value

    def sections(self, key: str, default: Any = _MISSING) -> list[_Section]:
        return [_Section(item, f"{self._name(key)}[{i}]") for i, item in enumerate(self.items(key, default))]


def decode_settings(info: bytes) -> tuple[Settings, tuple[str | None, ...]]:
    """Parse settings in JSON.

    Returns them with the attribute of `LoadReport` for each reported value, None for values that are ignored.
    Raises `SettingsError`.
    """
    try:
        data = json.loads(info)
    except (UnicodeDecodeError, ValueError, RecursionError) as exc:
        raise SettingsError(f"settings: not JSON: {exc}") from None
    return read_settings(data)


def read_settings(data: Any) -> tuple[Settings, tuple[str | None, ...]]:
    """Read settings from a parsed JSON object; returns and raises the same as `decode_settings`."""
    top = _Section(data, "")
    caps, family, obligations = top.section("caps"), top.section("family-info"), top.section("obligations")
    prices, load = top.section("prices"), top.section("load-report")
    classes = [_job_class(item, family, i) for i, item in enumerate(top.sections("classes"))]
    if not classes:
        raise SettingsError("settings: classes is empty")
    if len({cls.name for cls in classes}) < len(classes):
        raise SettingsError("settings: classes has the same name twice")
    settings = Settings(
        classes=classes,
        dispatchers=top.integer("balancers", least=1),
        me=top.integer("me"),
        max_attempts=caps.integer("max-attempts", least=1),
        zone=top.integer("my-zone", 0),
        zones=top.strings("areas"),
        kinds=top.strings("flavors"),
        tenants=[
            Tenant(str(item.raw("name", i)), item.number("portion", 1.0), item.number("quota-per-s", 0.0))
            for i, item in enumerate(top.sections("customers", []))
        ],
        over_share_worth=top.number("over-share-worth", 1.0),
        by_work=top.raw("counted-by", "request") == "work",
        report_source=load.choice("via", _SOURCES, "silent"),
        list_on_request=top.choice("membership-mode", {"pushed": False, "on_request": True}),
        ask_every=obligations.integer("ask-every", 10_000_000, least=1),
        probes=caps.flag("probes"),
        cancels=caps.flag("cancelling"),
        second_copies=caps.flag("second-copies"),
        peer_messages=caps.flag("peer-messages"),
        max_retry_after=caps.integer("max-retry-after", 0) if caps.flag("retry-after") else 0,
        connect_timeout=caps.integer("dial-timeout", 0),
        keepalive=caps.integer("keepalive", 0),
        progress=family.integer("progress", 0),
        tells_start=family.flag("tells-start"),
        drain_grace=obligations.integer("drain-grace"),
        tip_multiple=obligations.number("tip-multiple"),
        tip_window=obligations.integer("fall"),
        cold_share=obligations.number("cold-share"),
        ramp_time=obligations.integer("ramp-time"),
        price_cross_zone=prices.number("cross-zone", 0.0),
        price_probe=prices.number("probe", 0.0),
        price_peer=prices.number("peer", 0.0),
    )
    names = dict(_REPORT_FIELDS)
    for extra in ("x0", "x1"):
        meaning = family.raw(f"report-{extra}", "")
        if not isinstance(meaning, str):
            raise SettingsError(f"settings: family-info.report-{extra} is {meaning!r}, not a string")
        attribute = _EXTRA_FIELDS.get(meaning)
        if attribute:
            names[extra] = attribute
    fields = [(str(name), names.get(str(name))) for name in load.items("fields", [])]
    settings.report_names = {name: attribute for name, attribute in fields if attribute is not None}
    return settings, tuple(attribute for _, attribute in fields)


def _job_class(item: _Section, family: _Section, i: int) -> JobClass:
    """Read the class at index `i`; `family` lists some of its values in the order of the classes."""

    def class_value(key: str, default: float) -> float:
        values = family.items(key, [])
        return _number(values[i] if i < len(values) else default, f"family-info.{key}[{i}]", -1)

    return JobClass(
        name=item.string("name", str(i)),
        effect=item.choice("effect", _EFFECTS),
        aim=item.integer("aim", least=1),
        give_up=item.integer("give-up", least=1),
        worth=item.number("gain", 1.0),
        late_worth=item.number("late-worth", 0.0),
        scope=item.choice("key-scope", {scope.value: scope for scope in Scope}, "all"),
        repeat_window=item.integer("repeat-window", 0),
        stretch=class_value("class-stretch", item.number("aim-stretch", 0.0)),
        kind=int(class_value("class-kind", -1)),
        priority=int(class_value("class-priority", 0)),
    )
