"""Chooses the accepted connection that is closed to make room for another one. No clock, no writes.

A connection is in at most one state from which it may be closed, and in none while a complete request on it
is being answered.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from itertools import islice
from typing import Generic, Protocol, TypeVar

MIN_SHED_AGE_US = 100_000  # a younger connection is not shed: its request may be in transit
# While new clients hold a larger share of the connection limit, no known client is shed.
MAX_NEW_CLIENT_SHARE = 0.25
SHED_SCAN_LIMIT = 16  # connections of each state that are examined for one to shed


class ShedState(Enum):
    """Why a connection may be closed, in the order in which connections are chosen.

    A new client has not sent a complete valid request yet; a known client has.
    """

    LINGERING = "its last answer is sent"
    SILENT = "a new client that has sent nothing"
    PARTIAL_NEW = "a new client that has sent a part of its first request"
    PARTIAL_KNOWN = "a known client that has sent a part of a request"
    UNREAD = "a client that does not read its answer"
    IDLE = "a known client between two requests"

    @property
    def is_new(self) -> bool:
        """Whether the client is a new one."""
        return self in (ShedState.SILENT, ShedState.PARTIAL_NEW)

    @property
    def is_answered(self) -> bool:
        """Whether the client gets an answer before its connection is closed, as it may wait for one."""
        return self.is_new or self is ShedState.PARTIAL_KNOWN


class PeekableStream(Protocol):
    """What the choice asks of a connection's stream."""

    def has_unread_data(self) -> bool: ...


class SheddableConnection(Protocol):
    """A connection that may be chosen."""

    @property
    def stream(self) -> PeekableStream: ...


C = TypeVar("C", bound=SheddableConnection)


class ShedQueues(Generic[C]):
    """Owns the shed state of each connection. Times are microseconds of the caller's clock."""

    def __init__(self) -> None:
        self._states: dict[C, ShedState] = {}
        # By state, in the order in which connections are chosen, with the time from which each may be.
        self._queues: dict[ShedState, OrderedDict[C, int]] = {state: OrderedDict() for state in ShedState}

    def set(self, connection: C, state: ShedState | None, since: int = 0) -> None:
        """Move a connection to the end of a state's queue; None: it may not be closed now.

        `since`: when the client connected or began its request; 0 if the connection may be closed at once.
        """
        previous = self._states.pop(connection, None)
        if previous is not None:
            del self._queues[previous][connection]
        if state is not None:
            self._states[connection] = state
            self._queues[state][connection] = since + MIN_SHED_AGE_US if since else 0

    def state(self, connection: C) -> ShedState | None:
        """Return the state of a connection; None if it may not be closed now."""
        return self._states.get(connection)

    def connections(self, *states: ShedState) -> list[C]:
        """Return the connections in these states."""
        return [connection for state in states for connection in self._queues[state]]

    def choose(self, now: int, max_connections: int) -> C | None:
        """Return the connection to close, None if there is none that may be closed now.

        New clients are closed before known ones, and silent ones first; of the known ones, those that have
        stopped in the middle of a request. Otherwise hundreds of connections that send nothing, or half a
        request, would keep out ordinary clients and the call-backs of instances.
        """
        new_clients = sum(len(queue) for state, queue in self._queues.items() if state.is_new)
        for state, queue in self._queues.items():
            if state is ShedState.PARTIAL_KNOWN and new_clients > max_connections * MAX_NEW_CLIENT_SHARE:
                return None  # known clients stay: the new ones can be shed a moment later
            for connection, sheddable_from in islice(queue.items(), SHED_SCAN_LIMIT):
                if sheddable_from > now:
                    break
                is_ending = state in (ShedState.LINGERING, ShedState.UNREAD)
                if is_ending or not connection.stream.has_unread_data():
                    return connection  # otherwise a request has arrived and is about to be read
        return None
