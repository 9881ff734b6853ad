"""Compares two configurations and plans the changes to a running service. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from pulleyroute.config import Config, Listener, Pool


@dataclass(slots=True)
class ChangePlan:
    """The names of pools and listeners, by what happens to them.

    `needs_restart` lists keys whose change takes effect only after a restart.
    """

    new_pools: list[str] = field(default_factory=list)
    kept_pools: list[str] = field(default_factory=list)
    removed_pools: list[str] = field(default_factory=list)
    new_listeners: list[str] = field(default_factory=list)
    kept_listeners: list[str] = field(default_factory=list)
    removed_listeners: list[str] = field(default_factory=list)
    needs_restart: list[str] = field(default_factory=list)


def plan_changes(old: Config | None, new: Config) -> ChangePlan:
    """Return what changes between two configurations; `old` is None at the start.

    If the settings of a gRPC pool's decision module change, the pool is replaced by a new one, and the old
    one finishes its open calls. A listener keeps its connections as long as its address and protocol stay
    the same. A pool of jobs is bound to its listener, because the instances send their callbacks to the
    listener's address; such a pool keeps its settings until a restart.
    """
    changes = ChangePlan()
    pools = old.pool if old is not None else {}
    listeners = old.listener if old is not None else {}
    for name, pool in new.pool.items():
        previous_pool = pools.get(name)
        if old is None or previous_pool is None:
            changes.new_pools.append(name)
        elif (
            _without_updatable_parts(previous_pool) == _without_updatable_parts(pool)
            and old.job_class == new.job_class
        ):
            changes.kept_pools.append(name)
        elif previous_pool.protocol == "jobs":
            changes.kept_pools.append(name)
            changes.needs_restart.append(f"pool.{name}")
        else:
            changes.new_pools.append(name)
            changes.removed_pools.append(name)
    changes.removed_pools += [name for name in pools if name not in new.pool]
    for name, listener in new.listener.items():
        previous_listener = listeners.get(name)
        if previous_listener is not None and _identity(previous_listener) == _identity(listener):
            changes.kept_listeners.append(name)
        else:
            changes.new_listeners.append(name)
            if previous_listener is not None:
                changes.removed_listeners.append(name)
    changes.removed_listeners += [name for name in listeners if name not in new.listener]
    if old is not None:
        restart_only = ("name", "seed", "limits", "log", "management", "fleet")
        changes.needs_restart += [key for key in restart_only if getattr(old, key) != getattr(new, key)]
    return changes


def _without_updatable_parts(pool: Pool) -> Pool:
    """Return a pool without what can be updated in place: instances, discovery address and certificates.

    Whether the pool uses discovery at all is kept, because the decision module of a pool without discovery
    never asks for a list again.
    """
    any_discovery = ("", 0) if pool.discovery is not None else None
    return msgspec.structs.replace(pool, instance={}, discovery=any_discovery, tls=None)


def _identity(listener: Listener) -> tuple[object, ...]:
    """Return the values of a listener that cannot change without replacing it."""
    return listener.address, listener.protocol, listener.pool, listener.tls is None
