"""The route table, which maps calls to pools and classes. Pure: no I/O, no clock.

The most specific route wins, regardless of the order in the configuration: first service and method, then
service, then the longest prefix of the service's name. Two routes with the same match are an error, raised
when the table is built.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Match:
    """The calls that a route matches.

    `prefix`, of the service's name, excludes `service` and `method`; `method` requires `service`. Names are
    without slashes.
    """

    service: str = ""
    method: str = ""
    prefix: str | None = None

    def problem(self) -> str | None:
        """Return an error message if the combination of fields is invalid, else None."""
        if self.prefix is not None and (self.service or self.method):
            return "prefix stands alone, without service and method"
        if self.prefix is None and not self.service:
            return "needs service or prefix"
        return None


class Routes(Generic[T]):
    """A route table with targets of any type. Raises ValueError for an invalid match or two equal ones."""

    def __init__(self, routes: list[tuple[Match, T]]) -> None:
        self._methods: dict[tuple[bytes, bytes], T] = {}
        self._services: dict[bytes, T] = {}
        prefixes: dict[bytes, T] = {}
        for match, target in routes:
            problem = match.problem()
            if problem is not None:
                raise ValueError(problem)
            service = match.service.encode()
            if match.prefix is not None:
                _add_unique(prefixes, match.prefix.encode(), target, f"prefix {match.prefix!r}")
            elif match.method:
                _add_unique(
                    self._methods, (service, match.method.encode()), target, f"{match.service}/{match.method}"
                )
            else:
                _add_unique(self._services, service, target, match.service)
        self._prefixes = sorted(prefixes.items(), key=lambda item: -len(item[0]))

    def find(self, service: bytes, method: bytes) -> T | None:
        """Return the target of a call, or None if no route matches it."""
        target = self._methods.get((service, method))
        if target is None:
            target = self._services.get(service)
        if target is None:
            for prefix, prefix_target in self._prefixes:
                if service.startswith(prefix):
                    return prefix_target
        return target

    def serves(self, service: bytes) -> bool:
        """Whether a route matches at least one method of a service."""
        return (
            service in self._services
            or any(name == service for name, _ in self._methods)
            or any(service.startswith(prefix) for prefix, _ in self._prefixes)
        )


K = TypeVar("K")


def _add_unique(table: dict[K, T], key: K, target: T, name: str) -> None:
    if key in table:
        raise ValueError(f"two routes for {name}")
    table[key] = target
