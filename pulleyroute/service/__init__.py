"""The product's process: listeners, pools and routes of a checked configuration, on one loop, changed while
it runs."""

from pulleyroute.service.assembly import CannotServe, Service

__all__ = ["CannotServe", "Service"]
