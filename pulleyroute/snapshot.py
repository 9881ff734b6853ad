"""The state of a `rules.Dispatcher` as plain JSON values, for the hand-over to another process.

Two kinds of state are transferred: what the dispatcher has learnt (estimates, and health and load of each
worker), and single jobs with their attempts. Times are of the sending process's clock; `shift`, in
microseconds, converts them to the receiver's. This module makes no decisions, does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, replace
from typing import Any

from pulleyroute import interface as api
from pulleyroute.rules import Attempt, Dispatcher, Job, Worker

Values = dict[str, Any]
Keys = dict[str, str]  # from an attribute to its key in the transferred JSON
Group = tuple[int | None, int | None]  # a worker's cell and zone; None: unknown

# Microseconds. Each process converts a worker's start from Unix time to its own clock, so the results differ.
_START_TOLERANCE = 10_000

# Attribute -> key. Processes of other versions read the keys: their names, set and order must not change.
_ESTIMATE_KEYS: Keys = {
    "mean_busy_slots": "busy",
    "report_interval": "gap",
    "load": "load",
    "probe_credit": "probe_credit",
    "mean_run_time": "running",
    "class_run_times": "runs",
    "zone_saturation": "tight",
    "mean_wait_expected": "waits_modelled",
    "mean_wait_seen": "waits_seen",
}
_WORKER_KEYS: Keys = {
    "error_score": "blame",
    "budget": "budget",
    "queue_unknown": "deep",
    "free_slots": "free",
    "ejections": "holds",
    "longest_wait": "longest",
    "free_memory": "memory",
    "capacity": "most",
    "start_timeouts": "mute",
    "other_slots": "others",
    "fastest_start": "prompt",
    "rejections": "shut",
    "last_wait": "wait",
}
_WORKER_TIME_KEYS: Keys = {
    "probed_at": "asked",
    "error_score_at": "blamed_at",
    "budget_at": "budget_at",
    "ejected_until": "down_until",
    "last_seen": "heard",
    "report_at": "report_at",
    "started": "started",
    "last_wait_at": "wait_at",
}
_JOB_KEYS: Keys = {
    "deadline": "deadline",
    "useful_until": "useful_until",
    "slots": "slots",
    "memory": "memory",
    "backoffs": "tries",
}
_ATTEMPT_KEYS: Keys = {"ended": "over", "may_have_run": "ran", "expected_wait": "modelled"}
_ATTEMPT_TIME_KEYS: Keys = {"last_progress": "heard", "sent_at": "sent", "started_at": "started"}


def pack_estimates(rules: Dispatcher) -> Values:
    """Return the dispatcher-wide estimates; `pack_worker` returns those of one worker."""
    first_try_times = [[name, give_up, span] for (name, give_up), span in rules.first_try_time.items()]
    return {**_read(rules, _ESTIMATE_KEYS), "full_time": first_try_times}


def restore_estimates(rules: Dispatcher, values: Values) -> None:
    """Replace the dispatcher-wide estimates by those that another process packed."""
    # Versions that kept no mean of busy slots send no "busy": the receiver's own value stays, and an upgrade
    # from such a version still transfers all other estimates.
    _write(rules, {"busy": rules.mean_busy_slots, **values}, _ESTIMATE_KEYS)
    rules.first_try_time.update({(name, give_up): span for name, give_up, span in values["full_time"]})


def pack_worker(worker: Worker) -> Values:
    """Return what is known of one worker.

    The rest of a cold worker's budget is transferred whole, and set to 0 here, so that the two processes
    together don't spend it twice.
    """
    values = {"id": worker.id.decode(), **_read(worker, {**_WORKER_KEYS, **_WORKER_TIME_KEYS})}
    if worker.budget > 0:
        worker.budget = 0.0
    return values


def restore_worker(rules: Dispatcher, values: Values, shift: int) -> None:
    """Take over what another process knows of a worker.

    The values are ignored if the worker is not in this process's list, or has restarted since.
    """
    worker = rules.workers.get(values["id"].encode())
    if worker is None:
        return
    started = _shifted(values["started"], shift)
    if abs(worker.started - started) <= _START_TOLERANCE:
        _write(worker, values, _WORKER_KEYS)
        for attribute, key in _WORKER_TIME_KEYS.items():
            if key != "started":
                setattr(worker, attribute, _shifted(values[key], shift))


def pack_job(rules: Dispatcher, number: int) -> Values | None:
    """Return a job and its attempts; None if the job is not known."""
    job = rules.jobs.get(number)
    if job is None:
        return None
    attempts = [
        {"worker": a.worker.id.decode(), **_read(a, {**_ATTEMPT_KEYS, **_ATTEMPT_TIME_KEYS})}
        for a in job.attempts
    ]
    return {**_read(job, _JOB_KEYS), "attempts": attempts}


def restore_job(
    rules: Dispatcher,
    now: int,
    number: int,
    cls: api.JobClass,
    max_attempts: int,
    values: Values,
    shift: int,
    groups: Sequence[Group] = (),
) -> list[api.Action]:
    """Add a packed job as if this dispatcher had taken it itself; return the actions to carry out at once.

    `groups`: of the attempts' workers, in order. A group that is missing is unknown: no repeat goes there.
    """
    rules.now, rules.actions = now, []
    deadline = values["deadline"] + shift
    event = api.JobArrived(number, 0, deadline - now, values["slots"], values["memory"])
    job = Job(event, replace(rules.settings, classes=[cls], max_attempts=max_attempts), now)
    job.useful_until, job.backoffs = values["useful_until"] + shift, values["tries"]
    rules.jobs[number] = job
    kind = cls.name, cls.give_up
    rules.first_try_time[kind] = max(rules.first_try_time.get(kind, 0), deadline - now)
    for index, packed in enumerate(values["attempts"]):
        name = packed["worker"].encode()
        worker = rules.workers.get(name)
        if worker is None:  # no longer listed; its events about the attempt are still accepted
            entry = api.Entry(name, api.WorkerState.GONE, cell=None, zone=None)
            worker = rules.workers[name] = Worker(entry)
        attempt = Attempt(job, index, worker, now)
        attempt.cell, attempt.zone = groups[index] if index < len(groups) else (None, None)
        _write(attempt, packed, _ATTEMPT_KEYS)
        for attribute, key in _ATTEMPT_TIME_KEYS.items():
            setattr(attempt, attribute, _shifted(packed[key], shift))
        job.attempts.append(attempt)
        if not attempt.ended:
            _add_open_attempt(rules, job, attempt)
    return rules.actions


def _add_open_attempt(rules: Dispatcher, job: Job, attempt: Attempt) -> None:
    """Count the slots of an attempt that has not ended."""
    worker, key = attempt.worker, (job.id, attempt.index)
    job.open_count += 1
    worker.open_attempts[key] = attempt
    rules.add_slots(worker, job.slots)
    if attempt.sent_at <= worker.report_at - min(rules.report_interval, rules.mean_run_time) / 2:
        # The transferred load report already includes this attempt.
        worker.unreported_slots -= worker.slot_changes.pop()[1]
    if attempt.started_at:
        rules.running_slots += job.slots
    else:
        worker.unstarted[key] = attempt
        rules.arm_start_timer(attempt)


def pack_class(cls: api.JobClass) -> Values:
    """Return a job class as plain values, under the names of its fields."""
    return {**asdict(cls), "effect": cls.effect.value, "scope": cls.scope.value}


def unpack_class(values: Values) -> api.JobClass:
    """Return the job class that `pack_class` packed."""
    return api.JobClass(
        **{**values, "effect": api.Effect(values["effect"]), "scope": api.Scope(values["scope"])}
    )


def _read(source: object, keys: Keys) -> Values:
    return {key: getattr(source, attribute) for attribute, key in keys.items()}


def _write(target: object, values: Values, keys: Keys) -> None:
    for attribute, key in keys.items():
        setattr(target, attribute, values[key])


def _shifted(at: int, shift: int) -> int:
    """Convert a time to the receiver's clock; 0 stands for never and stays 0."""
    return at + shift if at else 0
