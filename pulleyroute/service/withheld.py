"""Instances that the fleet drains: told to the decisions as if discovery had said that they leave, and asked
whether anything is out there still."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pulleyroute.interface import Entry, ListKind, WorkerId, WorkerList, WorkerState
from pulleyroute.net.host import Host


class FleetHost(Host):
    """A host that can say what is out at one instance."""

    def out_at(self, instance: WorkerId) -> int:
        """How many attempts are out there, those on their way and those being given up among them."""
        return sum(
            1
            for job in self._jobs.values()
            for attempt in job.attempts
            if attempt.instance == instance and not attempt.over
        )


class WithheldInstances:
    """Stands between a discovery client and the decisions. Owns which instances are withheld.

    `tell` passes a list on to the decisions.
    """

    def __init__(self, tell: Callable[[WorkerList], None]) -> None:
        self._tell = tell
        self._names: frozenset[WorkerId] = frozenset()
        self._entries: dict[WorkerId, Entry] = {}  # as discovery told them last
        self._version = 0

    def on_list_update(self, news: WorkerList) -> None:
        """The discovery client's news, passed on as the decisions are to have them."""
        self._version = news.version
        if news.kind in (ListKind.FULL, ListKind.CACHED):
            self._entries.clear()
        self._entries.update((entry.worker, entry) for entry in news.entries)
        self._tell(replace(news, entries=[self._shown(entry) for entry in news.entries]))

    def withhold(self, names: frozenset[WorkerId]) -> None:
        """Withhold these and no others from now on."""
        if names == self._names:
            return
        self._names = names
        # As a list that came otherwise than from discovery: it does not say that discovery can be heard.
        self._tell(
            WorkerList(
                self._version, ListKind.CACHED, [self._shown(entry) for entry in self._entries.values()]
            )
        )

    def _shown(self, entry: Entry) -> Entry:
        if entry.worker in self._names and entry.state is WorkerState.READY:
            return replace(entry, state=WorkerState.DRAINING)
        return entry
