"""What the decisions know, taken out of one `rules.Dispatcher` and put into another. No decisions, no I/O,
no clock.

For a process that takes over from another: what was learnt of the workers, and jobs with their attempts. What
is taken out is plain JSON values. Times are of the giver's clock; `shift` turns them into the taker's.
"""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import Any

from pulleyroute import interface as api
from pulleyroute.rules import Attempt, Dispatcher, Job, Worker

Values = dict[str, Any]

_SAME_START = 10_000  # two processes tell a worker's start from Unix time: they may differ by so much
_GENERAL = ("busy", "gap", "load", "probe_credit", "running", "runs", "tight", "waits_modelled", "waits_seen")
_FACTS = (
    "blame",
    "budget",
    "deep",
    "free",
    "holds",
    "longest",
    "memory",
    "most",
    "mute",
    "others",
    "prompt",
    "shut",
    "wait",
)
_TIMES = ("asked", "blamed_at", "budget_at", "down_until", "heard", "report_at", "started", "wait_at")
_ATTEMPT = ("over", "ran", "modelled")
_ATTEMPT_TIMES = ("heard", "sent", "started")


def pack_estimates(rules: Dispatcher) -> Values:
    """What it has learnt in general; the workers are told one by one, by `pack_worker`."""
    spans = [[name, give_up, span] for (name, give_up), span in rules.full_time.items()]
    return {**_read(rules, _GENERAL), "full_time": spans}


def restore_estimates(rules: Dispatcher, values: Values) -> None:
    """Take over what another has learnt in general."""
    # Guards an upgrade from a version that kept no such mean: what else it has learnt is taken over still.
    _write(rules, {"busy": rules.busy, **values}, _GENERAL)
    rules.full_time.update({(name, give_up): span for name, give_up, span in values["full_time"]})


def pack_worker(known: Worker) -> Values:
    """What is known of one worker. Of a cold one's budget it hands on all: what is left here is nothing."""
    values = {"id": known.id.decode(), **_read(known, (*_FACTS, *_TIMES))}
    if known.budget > 0:
        known.budget = 0.0
    return values


def restore_worker(rules: Dispatcher, values: Values, shift: int) -> None:
    """Take over what another knows of a worker, unless the list here does not name it or it has restarted."""
    known = rules.workers.get(values["id"].encode())
    if known is None:
        return
    started = _shifted(values["started"], shift)
    if abs(known.started - started) <= _SAME_START:
        _write(known, values, _FACTS)
        for name in _TIMES:
            if name != "started":
                setattr(known, name, _shifted(values[name], shift))


def pack_job(rules: Dispatcher, number: int) -> Values | None:
    """A job and its attempts; None if it is not known."""
    held = rules.jobs.get(number)
    if held is None:
        return None
    attempts = [
        {"worker": a.worker.id.decode(), **_read(a, (*_ATTEMPT, *_ATTEMPT_TIMES))} for a in held.attempts
    ]
    return {**_read(held, ("deadline", "useful_until", "slots", "memory", "tries")), "attempts": attempts}


def restore_job(
    rules: Dispatcher, now: int, number: int, cls: api.JobClass, most: int, values: Values, shift: int
) -> list[api.Action]:
    """Hold a job from here on as if it had been taken here; what is to be done about it at once."""
    rules.now, rules.todo = now, []
    deadline = values["deadline"] + shift
    event = api.JobArrived(number, 0, deadline - now, values["slots"], values["memory"])
    held = Job(event, replace(rules.settings, classes=[cls], max_attempts=most), now)
    held.useful_until, held.tries = values["useful_until"] + shift, values["tries"]
    rules.jobs[number] = held
    kind = cls.name, cls.give_up
    rules.full_time[kind] = max(rules.full_time.get(kind, 0), deadline - now)
    for index, told in enumerate(values["attempts"]):
        name = told["worker"].encode()
        known = rules.workers.get(name)
        if known is None:  # it has left the list; what it still says counts
            known = rules.workers[name] = Worker(api.Entry(name, api.WorkerState.GONE))
        attempt = Attempt(held, index, known, now)
        _write(attempt, told, _ATTEMPT)
        for field in _ATTEMPT_TIMES:
            setattr(attempt, field, _shifted(told[field], shift))
        held.attempts.append(attempt)
        if not attempt.over:
            _hold(rules, held, attempt)
    return rules.todo


def _hold(rules: Dispatcher, held: Job, attempt: Attempt) -> None:
    """An attempt that is out takes its slots from here on."""
    known, key = attempt.worker, (held.id, attempt.index)
    held.out += 1
    known.out[key] = attempt
    rules.take(known, held.slots)
    if attempt.sent <= known.report_at - min(rules.gap, rules.running) / 2:
        # The reading that came over has it already.
        known.net -= known.deltas.pop()[1]
    if attempt.started:
        rules.held += held.slots
    else:
        known.unstarted[key] = attempt
        rules.expect_start(attempt)


def pack_class(cls: api.JobClass) -> Values:
    """A class as plain values."""
    return {**asdict(cls), "effect": cls.effect.value, "scope": cls.scope.value}


def unpack_class(values: Values) -> api.JobClass:
    """The class of plain values."""
    return api.JobClass(
        **{**values, "effect": api.Effect(values["effect"]), "scope": api.Scope(values["scope"])}
    )


def _read(source: object, names: tuple[str, ...]) -> Values:
    return {name: getattr(source, name) for name in names}


def _write(target: object, values: Values, names: tuple[str, ...]) -> None:
    for name in names:
        setattr(target, name, values[name])


def _shifted(at: int, shift: int) -> int:
    """0 means never, and stays so."""
    return at + shift if at else 0
