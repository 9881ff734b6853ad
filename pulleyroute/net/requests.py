"""The types shared by the fronts, the host and the instance transports: requests, answers, callbacks, jobs.

A front (the client side of one protocol) hands the host a `Request` and receives exactly one `Answer`. The
host sends attempts through an `InstanceTransport`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from pulleyroute import interface as api
from pulleyroute.interface import JobClass, WorkerId
from pulleyroute.net.http import Headers
from pulleyroute.net.instance import Attempt, AttemptEnded, BeginCheck, ProbeEnded, RequestRejected
from pulleyroute.net.loop import Timer


class Ending(Enum):
    """The kind of final answer that a request gets."""

    SERVED = "served"
    REFUSED = "refused"  # a repeat is harmless: the request never ran, or its class allows repeats
    FAILED = "failed"  # the request may have run
    REJECTED = "rejected"  # an instance reported that the request itself is invalid


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    ending: Ending
    result: bytes = b""
    retry_after: int = 0  # microseconds; 0 for no advice
    late: bool = False  # given at or after the deadline


Reply = Callable[[Answer], None]


@dataclass(slots=True)
class Request:
    """A client's request, independent of its protocol."""

    txn: str
    job_class: int
    remaining: int  # microseconds until the client stops waiting
    method: bytes
    target: bytes
    headers: Headers  # those to forward
    body: bytes
    slots: float = 1.0
    memory: float = 0.0
    key: int = 0
    is_repeat: bool = False
    cost_hint: int | None = None  # the client's estimate of the running time, in microseconds
    answer_by: int | None = None  # clock time by which to answer, where this process exits soon after
    call: object = None  # the call of a streaming front, used only by that front's own transport
    client_gone: Callable[[], bool] | None = None  # whether the client has left; None if the front can't tell


class CallbackState(Enum):
    """The state of an attempt as an instance reports it in a callback."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # given back without having run
    LOST = "lost"  # may have run


@dataclass(slots=True, eq=False)
class Job:
    """An accepted request and its attempts.

    `number` comes from a counter and is never reused. Times are microseconds of the loop's clock.
    """

    number: int
    request: Request
    reply: Reply
    deadline: int
    # The class and the limit at the time it was accepted; a later reload does not change them.
    cls: JobClass
    max_attempts: int
    accepted_at: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # or abandoned: no answer is due any more
    answer_timer: Timer | None = None
    answering_attempt: Attempt | None = None  # its answer has begun to flow: no further attempt is sent
    replay_dropped: bool = False  # the body is no longer buffered whole: the current attempt is the last


@dataclass(slots=True)
class InstanceCallback:
    """One callback from an instance about an attempt."""

    txn: str
    instance: WorkerId
    state: CallbackState
    share: float = 0.0  # of the work done, for `RUNNING`
    result: bytes = b""
    report: api.LoadReport | None = None


class InstanceTransport(Protocol):
    """Sends attempts and probes to instances over one protocol.

    `Host` sets the four callback attributes before it posts any event.
    """

    ended: AttemptEnded
    gate: BeginCheck
    rejected: RequestRejected
    probed: ProbeEnded

    def attempt(self, attempt: Attempt) -> None:
        """Send an attempt, once the gate lets it begin."""

    def give_up(self, attempt: Attempt, given: Callable[[], None]) -> None:
        """Stop an attempt at its instance, and call `given` once the instance has been notified."""

    def probe(self, instance: WorkerId) -> None:
        """Ask an instance for its load."""

    def close_idle(self, instance: WorkerId) -> None:
        """Close the idle connections to an instance."""
