"""Withholds new work from the instances that the fleet drains, and counts the attempts still open there.

The decision module sees such an instance as if discovery had listed it as draining.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pulleyroute.interface import Entry, ListKind, WorkerId, WorkerList, WorkerState
from pulleyroute.net.host import Host


class FleetHost(Host):
    """A host that can count the open attempts at one instance."""

    def open_attempts_at(self, instance: WorkerId) -> int:
        """Return the number of open attempts, including those not sent yet and those being cancelled."""
        return sum(
            1
            for job in self._jobs.values()
            for attempt in job.attempts
            if attempt.instance == instance and not attempt.over
        )


class WithheldInstances:
    """Passes a discovery client's updates to the decision module, with withheld instances as draining.

    Owns the set of withheld instances. `post` passes an update to the decision module.
    """

    def __init__(self, post: Callable[[WorkerList], None]) -> None:
        self._post = post
        self._withheld: frozenset[WorkerId] = frozenset()
        self._entries: dict[WorkerId, Entry] = {}  # the last known state according to discovery
        self._version = 0

    def on_list_update(self, update: WorkerList) -> None:
        """Pass on an update of the discovery client, with withheld instances marked as draining."""
        self._version = update.version
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            self._entries.clear()
        self._entries.update((entry.worker, entry) for entry in update.entries)
        self._post(replace(update, entries=[self._reported(entry) for entry in update.entries]))

    def withhold(self, names: frozenset[WorkerId]) -> None:
        """Withhold work from these instances and no others from now on."""
        if names == self._withheld:
            return
        self._withheld = names
        # The list is marked as cached, because it is no evidence that discovery can be reached.
        self._post(
            WorkerList(
                self._version, ListKind.CACHED, [self._reported(entry) for entry in self._entries.values()]
            )
        )

    def _reported(self, entry: Entry) -> Entry:
        if entry.worker in self._withheld and entry.state is WorkerState.READY:
            return replace(entry, state=WorkerState.DRAINING)
        return entry
