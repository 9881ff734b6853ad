"""Sample data of a given size: settings, lists in the form of discovery, and entries."""

from __future__ import annotations

import json
from typing import Any

from pulleyroute.interface import Entry, Settings, WorkerState
from pulleyroute.settings import read_settings

ZONES = 9
DISPATCHERS = 5_700
EPOCH = 1_700_000_000_000_000  # us; Unix time at which the loop's clock is 0
CLASSES = [
    {"name": "look", "effect": "read_like", "aim": 250_000, "give-up": 5_000_000, "gain": 2.0},
    {"name": "charge", "effect": "non_idempotent", "aim": 1_500_000, "give-up": 25_000_000, "gain": 3.0},
]


def settings_object(classes: int = len(CLASSES)) -> dict[str, Any]:
    """Return the `settings` object of a configuration with so many classes."""
    return {
        "balancers": DISPATCHERS,
        "me": 17,
        "my-zone": 0,
        "areas": [f"zone-{i}" for i in range(ZONES)],
        "flavors": ["kit"],
        "membership-mode": "on_request",
        "caps": {
            "cancelling": True,
            "dial-timeout": 250_000,
            "keepalive": 5_000_000,
            "max-attempts": 4,
            "max-retry-after": 2_000_000,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "classes": [{**CLASSES[i % 2], "name": f"class-{i}"} for i in range(classes)],
        "family-info": {"report-x0": "free slots", "tells-start": True},
        "load-report": {"fields": ["q", "rif", "x0"], "via": "pull"},
        "obligations": {
            "ask-every": 10_000_000,
            "cold-share": 0.33,
            "drain-grace": 1_500_000,
            "fall": 3_000_000,
            "ramp-time": 8_100_000,
            "tip-multiple": 4.0,
        },
        "prices": {"cross-zone": 0.2, "probe": 0.0025},
    }


def settings() -> Settings:
    """Return the parsed settings with the default number of classes."""
    return read_settings(settings_object())[0]


def instance_name(number: int) -> str:
    """Return a name as long as typical names of pods."""
    return f"app-{number % 1000:03d}-{number:08x}"


def discovery_entry(number: int, phase: str = "active") -> dict[str, Any]:
    """Return one instance in the form of discovery."""
    return {
        "id": instance_name(number),
        "host_port": f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
        "locality": f"zone-{number % ZONES}",
        "flavor": "kit",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }


def watch_line(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    """Return an update as one line of a watch."""
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def full_list_line(size: int) -> bytes:
    """Return the line of a full list of `size` instances."""
    return watch_line(1, [discovery_entry(number) for number in range(size)], complete=True)


def entries(size: int) -> list[Entry]:
    """Return the same list in the form that the decisions receive."""
    return [
        Entry(instance_name(number).encode(), WorkerState.READY, zone=number % ZONES)
        for number in range(size)
    ]
