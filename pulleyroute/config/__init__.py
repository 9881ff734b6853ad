"""The product's configuration: HCL, read with every mistake told at once, checked, and turned into settings.

Needs the extra `serve` (python-hcl2, msgspec). The platform's JSON is read by `net.config` instead; both end
in the same `interface.Settings`.
"""

from pulleyroute.config.build import pool_settings
from pulleyroute.config.load import load
from pulleyroute.config.problems import InvalidConfig, Problem
from pulleyroute.config.types import Config, Fleet, Instance, JobClass, Listener, Pool, Route

__all__ = [
    "Config",
    "Fleet",
    "Instance",
    "InvalidConfig",
    "JobClass",
    "Listener",
    "Pool",
    "Problem",
    "Route",
    "load",
    "pool_settings",
]
