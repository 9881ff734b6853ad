"""A job as plain values, on its way from one process of a dispatcher to another. No I/O, no clock, no state.

Times are of the giver's clock; `shift` turns them into the taker's. The names in the values are read by other
versions of the program too.
"""

from __future__ import annotations

from typing import Any

from pulleyroute import snapshot
from pulleyroute.interface import Outcome
from pulleyroute.net.instance import Attempt
from pulleyroute.net.requests import Job, Reply, Request

Values = dict[str, Any]

_FLAGS = ("over", "started", "written", "accepted", "nacked")  # of an attempt


def movable(job: Job) -> bool:
    """Whether all that is out for it is with the instances, and nothing hangs on connections here."""
    out = [attempt for attempt in job.attempts if not attempt.over]
    return (
        not job.answered
        and job.answering_attempt is None
        and not job.replay_dropped
        and bool(out)
        and all(each.accepted and not each.stopping for each in out)
    )


def pack(job: Job, known: Values | None) -> Values:
    """A job that is movable, but for its body. `known`: what the decisions know of it."""
    request = job.request
    return {
        "txn": request.txn,
        "remaining": request.remaining,
        "method": request.method.decode(),
        "target": request.target.decode("latin-1"),
        "slots": request.slots,
        "memory": request.memory,
        "headers": [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers],
        "key": request.key,
        "is_repeat": request.is_repeat,
        "deadline": job.deadline,
        "taken": job.accepted_at,
        "cls": snapshot.pack_class(job.cls),
        "most": job.max_attempts,
        "rules": known,
        "executions": [
            {
                "instance": e.instance.decode(),
                "sent": e.sent,
                "timeout_at": e.timeout_at,
                "over": e.over,
                "started": e.started,
                "outcome": e.outcome,
                "written": e.written,
                "accepted": e.accepted,
                "nacked": e.nacked,
            }
            for e in job.attempts
        ],
    }


def unpack_request(values: Values, body: bytes) -> Request:
    """The request of a packed job."""
    return Request(
        values["txn"],
        0,
        values["remaining"],
        values["method"].encode(),
        values["target"].encode("latin-1"),
        [(name.encode("latin-1"), value.encode("latin-1")) for name, value in values["headers"]],
        body,
        values["slots"],
        values["memory"],
        values["key"],
        values["is_repeat"],
    )


def unpack_job(values: Values, request: Request, number: int, reply: Reply, shift: int) -> Job:
    """The job of its values, without its attempts."""
    return Job(
        number,
        request,
        reply,
        values["deadline"] + shift,
        snapshot.unpack_class(values["cls"]),
        values["most"],
        values["taken"] + shift,
    )


def restore(attempt: Attempt, values: Values) -> None:
    """Bring an attempt that was made anew to where it was when it was packed."""
    for name in _FLAGS:
        setattr(attempt, name, values[name])
    attempt.outcome = None if values["outcome"] is None else Outcome(values["outcome"])
