"""Validates the operators' configurations. Pure.

A configuration is judged on its own, before and apart from the version that it builds on. Unknown keys are
kept as they are, since later versions of the protocol may add some.
"""

from __future__ import annotations

import json
from typing import Any

from voluptuous import ALLOW_EXTRA, All, Invalid, Length, Range, Required, Schema
from voluptuous import Any as AnyOf

from pulleyroute.control.errors import InvalidConfiguration

_TEXT = All(str, Length(min=1))
_WHOLE = All(AnyOf(int), lambda value: _not_boolean(value))
_NUMBER = All(AnyOf(int, float), lambda value: _not_boolean(value))

_ROUTE = Schema(
    {
        Required("name"): _TEXT,
        Required("host"): _TEXT,
        Required("pathPrefix"): _TEXT,
        Required("timeoutMs"): All(_NUMBER, Range(min=0, min_included=False)),
        Required("backend"): _TEXT,
        "retries": All(_WHOLE, Range(min=0)),
        "retentionS": All(_NUMBER, Range(min=0)),
        "targetMs": All(_NUMBER, Range(min=0)),
        "startTargetMs": All(_NUMBER, Range(min=0)),
        "priority": _WHOLE,
        "fifo": bool,
        "callback": bool,
    },
    extra=ALLOW_EXTRA,
)
_SERVICE = Schema(
    {
        Required("name"): _TEXT,
        "maxConns": All(_WHOLE, Range(min=1)),
        "ratePerS": All(_NUMBER, Range(min=0)),
        "dedup": bool,
        "pull": bool,
        "static": AnyOf(None, _TEXT),
    },
    extra=ALLOW_EXTRA,
)
_CONFIGURATION = Schema(
    {
        Required("version"): All(_WHOLE, Range(min=1)),
        Required("routes"): [_ROUTE],
        Required("services"): [_SERVICE],
        "limits": dict,
    },
    extra=ALLOW_EXTRA,
)


def _not_boolean(value: Any) -> Any:
    if isinstance(value, bool):
        raise Invalid("expected a number, not true or false")
    return value


def read_configuration(document: str) -> dict[str, Any]:
    """Return a configuration as parsed JSON; raises InvalidConfiguration, which names the key."""
    try:
        value = json.loads(document, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise InvalidConfiguration(f"not a JSON text: {exc}") from None
    try:
        configuration: dict[str, Any] = _CONFIGURATION(value)
    except Invalid as exc:
        raise InvalidConfiguration(str(exc)) from None
    _check_names(configuration)
    return configuration


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")


def _check_names(configuration: dict[str, Any]) -> None:
    """Raise InvalidConfiguration for a name given twice, an unknown service, or a place routed twice."""
    services = [service["name"] for service in configuration["services"]]
    if len(set(services)) < len(services):
        raise InvalidConfiguration("services: a name is given twice")
    places = set()
    names = set()
    for route in configuration["routes"]:
        if route["backend"] not in services:
            raise InvalidConfiguration(f"route {route['name']}: unknown service {route['backend']}")
        place = (route["host"].lower(), route["pathPrefix"])
        if place in places:
            raise InvalidConfiguration(f"route {route['name']}: another route has its host and prefix")
        if route["name"] in names:
            raise InvalidConfiguration(f"route {route['name']}: the name is given twice")
        places.add(place)
        names.add(route["name"])
