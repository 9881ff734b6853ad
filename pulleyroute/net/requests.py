"""The types that a front, the host and the instances' side share: requests, answers, call-backs, jobs.

A front hands the host a `Request` and gets one `Answer`; `Back` is what the host asks of the instances' side.
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
    """How a request is answered."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"  # an instance says that the request itself can't be used


@dataclass(slots=True, frozen=True)
class Answer:
    ending: Ending
    result: bytes = b""
    retry_after: int = 0  # microseconds; 0 for no advice
    late: bool = False  # the request's time was over


Reply = Callable[[Answer], None]


@dataclass(slots=True)
class Request:
    """What a client wants done, whatever protocol it came by."""

    txn: str
    job_class: int
    remaining: int  # microseconds that the client will still wait
    method: bytes
    target: bytes
    headers: Headers  # to pass on
    body: bytes
    slots: float = 1.0
    memory: float = 0.0
    key: int = 0
    is_repeat: bool = False
    hint: int | None = None  # the client's guess of its work, in microseconds
    answer_by: int | None = None  # the clock's time, where this process will not be there for longer
    call: object = None  # what a front that streams binds to it; for its own back alone
    gone: Callable[[], bool] | None = None  # asks whether its client has gone, where the front can tell


class State(Enum):
    """What an instance tells of an attempt."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


@dataclass(slots=True, eq=False)
class Job:
    """A request taken. Its number is from a counter and is not used again."""

    number: int
    request: Request
    reply: Reply
    deadline: int
    # What it was taken under, whatever the settings say by now.
    cls: JobClass
    most: int  # attempts
    taken: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # or nobody waits any more
    guard: Timer | None = None
    bound: Attempt | None = None  # its answer has begun to flow: no other attempt from here on
    committed: bool = False  # the request is not whole any more: what is out is the last attempt


@dataclass(slots=True)
class Call:
    """One call-back of an instance."""

    txn: str
    instance: WorkerId
    state: State
    share: float = 0.0
    result: bytes = b""
    report: api.LoadReport | None = None


class Back(Protocol):
    """The instances' side of one protocol. `Host` sets the four callbacks before it posts anything."""

    ended: AttemptEnded
    gate: BeginCheck
    rejected: RequestRejected
    probed: ProbeEnded

    def attempt(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt, given: Callable[[], None]) -> None: ...
    def probe(self, instance: WorkerId) -> None: ...
    def close_idle(self, instance: WorkerId) -> None: ...
