"""Packs a job into plain values to move it between two processes of a dispatcher. No I/O, no clock, no state.

Packed times are on the sender's clock; the receiver adds `shift` to get times on its own. The keys are part
of the hand-over protocol: a process of another version of the program may read them.
"""

from __future__ import annotations

from typing import Any

from pulleyroute import snapshot
from pulleyroute.interface import Outcome
from pulleyroute.net.instance import Attempt
from pulleyroute.net.instance_list import InstanceGroup
from pulleyroute.net.requests import Job, Reply, Request

Values = dict[str, Any]

_FLAGS = ("over", "started", "written", "accepted", "nacked")  # attributes of an attempt, and their keys


def movable(job: Job) -> bool:
    """Whether a job can move: instances have accepted all its open attempts, and none is being stopped.

    Then no attempt depends on a connection of this process any more, and its end is reported by a callback.
    """
    open_attempts = [attempt for attempt in job.attempts if not attempt.over]
    return (
        not job.answered
        and job.answering_attempt is None
        and not job.replay_dropped
        and bool(open_attempts)
        and all(attempt.accepted and not attempt.stopping for attempt in open_attempts)
    )


def pack(job: Job, decision_state: Values | None) -> Values:
    """Pack a movable job without its body. `decision_state` is what the decision module holds for the job."""
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
        "rules": decision_state,
        "executions": [
            {
                "instance": attempt.instance.decode(),
                "sent": attempt.sent,
                "timeout_at": attempt.timeout_at,
                "over": attempt.over,
                "started": attempt.started,
                "outcome": attempt.outcome,
                "written": attempt.written,
                "accepted": attempt.accepted,
                "nacked": attempt.nacked,
                **_pack_group(attempt.group),
            }
            for attempt in job.attempts
        ],
    }


def _pack_group(group: InstanceGroup | None) -> Values:
    return {} if group is None else {"cell": group.cell, "zone": group.zone}


def unpack_request(values: Values, body: bytes) -> Request:
    """Return the request of a packed job."""
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
    """Return the job of a packed job, without its attempts."""
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
    """Set a newly created attempt to the state that it was packed in."""
    for name in _FLAGS:
        setattr(attempt, name, values[name])
    # Earlier versions don't send the group. The list of this process may have another process of that name.
    known = "cell" in values and "zone" in values
    attempt.group = InstanceGroup(values["cell"], values["zone"]) if known else None
    attempt.outcome = None if values["outcome"] is None else Outcome(values["outcome"])
