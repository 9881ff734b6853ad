"""The one reader of the settings, shared by the simulator's wire and the real dispatcher. No decisions."""

from __future__ import annotations

import json
from typing import Any

from pulleyroute.interface import Effect, JobClass, ReportSource, Scope, Settings, Tenant


class SettingsError(ValueError):
    """Something in the settings is missing or senseless; the text names it."""


# Load report values under the wire's names; x0 and x1 are named by the settings.
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


LARGEST = 2.0**62  # of any number: times are whole microseconds in 64 bits

# The keys of an object, with those of the objects in it; of a list of objects, what they all have.
KeyTree = dict[str, Any] | list[Any] | None


def key_tree(value: Any) -> KeyTree:
    """What keys a parsed JSON value has."""
    if isinstance(value, dict):
        return {key: key_tree(item) for key, item in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        common = set(value[0]).intersection(*value)
        return [{key: key_tree(value[0][key]) for key in sorted(common)}]
    return None


def first_missing_key(want: KeyTree, value: Any, path: str = "") -> str | None:
    """The first key of the shape that the value lacks, by its path; None if it has them all."""
    if isinstance(want, list):
        items = value if isinstance(value, list) else []
        found = (first_missing_key(want[0], item, f"{path}[{i}]") for i, item in enumerate(items))
        return next((key for key in found if key is not None), None)
    for key, inner in (want or {}).items():
        name = f"{path}.{key}" if path else key
        if not isinstance(value, dict) or key not in value:
            return name
        missing = first_missing_key(inner, value[key], name)
        if missing is not None:
            return missing
    return None


def _number(value: Any, name: str, least: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < LARGEST:
        raise SettingsError(f"settings: {name} is {value!r}, not a number of at least {least}")
    return float(value)


class _Section:
    """Reads one JSON object of the settings, naming what is missing or senseless."""

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

    def whole(self, key: str, default: Any = _MISSING, least: int = 0) -> int:
        return int(self.number(key, default, least))

    def flag(self, key: str) -> bool:
        value = self.raw(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not true or false")
        return value

    def word(self, key: str, words: dict[str, Any], default: Any = _MISSING) -> Any:
        value = self.raw(key, default)
        if not isinstance(value, str) or value not in words:
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not one of {', '.join(words)}")
        return words[value]

    def items(self, key: str, default: Any = _MISSING) -> list[Any]:
        value = self.raw(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"settings: {self._name(key)} is not a list")
        return value

    def names(self, key: str) -> list[str]:
        value = self.items(key, [])
        if not all(isinstance(name, str) for name in value):
            raise SettingsError(f"settings: {self._name(key)} holds what is not a text")
        return value

    def text(self, key: str, default: Any = _MISSING) -> str:
        value = self.raw(key, default)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"settings: {self._name(key)} is {value!r}, not a text")
        return value

    def sections(self, key: str, default: Any = _MISSING) -> list[_Section]:
        return [_Section(item, f"{self._name(key)}[{i}]") for i, item in enumerate(self.items(key, default))]


def decode_settings(info: bytes) -> tuple[Settings, tuple[str | None, ...]]:
    """The settings in `info`, and the attribute of a load report that each reported value goes to."""
    try:
        data = json.loads(info)
    except (UnicodeDecodeError, ValueError, RecursionError) as exc:
        raise SettingsError(f"settings: not JSON: {exc}") from None
    return read_settings(data)


def read_settings(data: Any) -> tuple[Settings, tuple[str | None, ...]]:
    """The same from an object that is parsed already."""
    top = _Section(data, "")
    caps, family, duties = top.section("caps"), top.section("family-info"), top.section("obligations")
    prices, load = top.section("prices"), top.section("load-report")
    classes = [_job_class(item, family, i) for i, item in enumerate(top.sections("classes"))]
    if not classes:
        raise SettingsError("settings: classes is empty")
    if len({cls.name for cls in classes}) < len(classes):
        raise SettingsError("settings: classes names one twice")
    settings = Settings(
        classes=classes,
        dispatchers=top.whole("balancers", least=1),
        me=top.whole("me"),
        max_attempts=caps.whole("max-attempts", least=1),
        zone=top.whole("my-zone", 0),
        zones=top.names("areas"),
        kinds=top.names("flavors"),
        tenants=[
            Tenant(str(item.raw("name", i)), item.number("portion", 1.0), item.number("quota-per-s", 0.0))
            for i, item in enumerate(top.sections("customers", []))
        ],
        over_share_worth=top.number("over-share-worth", 1.0),
        by_work=top.raw("counted-by", "request") == "work",
        report_source=load.word("via", _SOURCES, "silent"),
        list_on_request=top.word("membership-mode", {"pushed": False, "on_request": True}),
        ask_every=duties.whole("ask-every", 10_000_000, least=1),
        probes=caps.flag("probes"),
        cancels=caps.flag("cancelling"),
        second_copies=caps.flag("second-copies"),
        peer_messages=caps.flag("peer-messages"),
        max_retry_after=caps.whole("max-retry-after", 0) if caps.flag("retry-after") else 0,
        connect_timeout=caps.whole("dial-timeout", 0),
        keepalive=caps.whole("keepalive", 0),
        progress=family.whole("progress", 0),
        tells_start=family.flag("tells-start"),
        drain_grace=duties.whole("drain-grace"),
        tip_multiple=duties.number("tip-multiple"),
        tip_window=duties.whole("fall"),
        cold_share=duties.number("cold-share"),
        ramp_time=duties.whole("ramp-time"),
        price_cross_zone=prices.number("cross-zone", 0.0),
        price_probe=prices.number("probe", 0.0),
        price_peer=prices.number("peer", 0.0),
    )
    names = dict(_REPORT_FIELDS)
    for extra in ("x0", "x1"):
        meaning = family.raw(f"report-{extra}", "")
        if not isinstance(meaning, str):
            raise SettingsError(f"settings: family-info.report-{extra} is {meaning!r}, not a text")
        attribute = _EXTRA_FIELDS.get(meaning)
        if attribute:
            names[extra] = attribute
    fields = [(str(name), names.get(str(name))) for name in load.items("fields", [])]
    settings.report_names = {name: attribute for name, attribute in fields if attribute is not None}
    return settings, tuple(attribute for _, attribute in fields)


def _job_class(item: _Section, family: _Section, i: int) -> JobClass:
    def each(key: str, default: float) -> float:
        values = family.items(key, [])
        return _number(values[i] if i < len(values) else default, f"family-info.{key}[{i}]", -1)

    return JobClass(
        name=item.text("name", str(i)),
        effect=item.word("effect", _EFFECTS),
        aim=item.whole("aim", least=1),
        give_up=item.whole("give-up", least=1),
        worth=item.number("gain", 1.0),
        late_worth=item.number("late-worth", 0.0),
        scope=item.word("key-scope", {scope.value: scope for scope in Scope}, "all"),
        repeat_window=item.whole("repeat-window", 0),
        stretch=each("class-stretch", item.number("aim-stretch", 0.0)),
        kind=int(each("class-kind", -1)),
        priority=int(each("class-priority", 0)),
    )
