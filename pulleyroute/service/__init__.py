"""The service of `pulleyroute serve`: the listeners, pools and routes of a configuration, on one event loop.

Another configuration can be applied while the service runs.
"""

from pulleyroute.service.assembly import CannotServe, Service

__all__ = ["CannotServe", "Service"]
