"""The HCL configuration of `pulleyroute serve`: parsed, checked, and converted to settings.

All mistakes in a file are reported at once. The package needs the extra `serve` (python-hcl2, msgspec). The
JSON configuration of `python -m pulleyroute` is read by `net.config` instead; both produce the same
`interface.Settings`.
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
