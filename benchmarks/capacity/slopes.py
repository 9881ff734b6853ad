"""The slopes by name. Each lies in a module of its own, which is loaded when it is asked for."""

from __future__ import annotations

from importlib import import_module

from benchmarks.capacity.slope import Slope

# In the order in which they are run.
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
    """A slope by its name; raises KeyError."""
    found: Slope = import_module(f"benchmarks.capacity.{MODULES[name]}").SLOPE
    return found
