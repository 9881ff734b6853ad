"""The slopes by name. Each has its own module, which is imported on demand."""

from __future__ import annotations

from importlib import import_module

from benchmarks.capacity.slope import Slope

# Modules by slope, in the order in which they run.
MODULES = {
    "list": "listing",
    "decisions": "decisions",
    "members": "members",
    "store": "store",
    "reports": "reports",
    "probes": "probes",
    "reload": "reloading",
    "request": "request",
    "listed": "listed",
}


def slope(name: str) -> Slope:
    """Return the slope with this name; raises KeyError."""
    found: Slope = import_module(f"benchmarks.capacity.{MODULES[name]}").SLOPE
    return found
