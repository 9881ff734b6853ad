"""The values that a hand-over passes between two processes, which may be of different versions.

The expected JSON texts were written by the version in which each attribute still had the name of its key. A
process of that version reads each key by its name, so their names, their set and their order must not change.
"""

import json

from pulleyroute import snapshot
from pulleyroute.interface import (
    AttemptEnded,
    AttemptStarted,
    ListKind,
    LoadReport,
    Outcome,
    ProbeEnded,
    Push,
    WorkerList,
)
from tests.helpers import CLASSES, KEYED, SAFE, SECOND, UNSAFE, Harness, of_type, ready

START = 1_000 * SECOND  # microseconds

# As written by the earlier version.
GENERAL = (
    '{"busy": 0.8120483871809848, "gap": 912030.0103, "load": 0.1, "probe_credit": 4, '
    '"running": 890583.3, "runs": {"safe": 872358.3}, "tight": 0.5880629918885185, '
    '"waits_modelled": 1000000.0, "waits_seen": 975000.0, "full_time": [["safe", 10000000, '
    '10000000], ["keyed", 10000000, 10000000], ["unsafe", 10000000, 10000000]]}'
)
WORKERS = [
    '{"id": "a", "blame": 0.0, "budget": -10.0, "deep": true, "free": 0.0, "holds": 0, '
    '"longest": 890583, "memory": 6.5, "most": 3.25, "mute": 0, "others": 0.0, "prompt": 0, '
    '"shut": 1, "wait": 890583, "asked": 1003116190, "blamed_at": 0, "budget_at": 0, '
    '"down_until": 1004176190, "heard": 1003176190, "report_at": 1003176190, "started": 0, '
    '"wait_at": 1003176190}',
    '{"id": "b", "blame": 1.0, "budget": -4.0, "deep": true, "free": 0.5, "holds": 0, '
    '"longest": 778116, "memory": null, "most": 2.25, "mute": 1, "others": 0.0, "prompt": null, '
    '"shut": 0, "wait": 778116, "asked": 1003136190, "blamed_at": 1003176190, "budget_at": 0, '
    '"down_until": 0, "heard": 1004226190, "report_at": 1004226190, "started": 0, '
    '"wait_at": 1004004306}',
    '{"id": "full", "blame": 0.0, "budget": -1.0, "deep": true, "free": 0.0, "holds": 2, '
    '"longest": 0, "memory": null, "most": 2.0, "mute": 0, "others": 0.2, "prompt": null, '
    '"shut": 0, "wait": 0, "asked": 1004226190, "blamed_at": 0, "budget_at": 0, '
    '"down_until": 1005607394, "heard": 1002600000, "report_at": 1002600000, "started": 0, '
    '"wait_at": 0}',
    '{"id": "cold", "blame": 0.0, "budget": 0.41130035717561353, "deep": false, "free": 4.25, '
    '"holds": 0, "longest": 50000, "memory": 6.5, "most": 4.25, "mute": 0, "others": 0.0, '
    '"prompt": 50000, "shut": 0, "wait": 50000, "asked": 1003096190, "blamed_at": 0, '
    '"budget_at": 1004037792, "down_until": 0, "heard": 1003226190, "report_at": 1002400000, '
    '"started": 998000000, "wait_at": 1003226190}',
]
JOBS = [
    '{"deadline": 1013176190, "useful_until": 1004606616, "slots": 1.0, "memory": 0.0, "tries": 1, '
    '"attempts": [{"worker": "a", "over": true, "ran": false, "modelled": 0.0, '
    '"heard": 1003176190, "sent": 1003176190, "started": 0}, {"worker": "b", "over": false, '
    '"ran": true, "modelled": 0.0, "heard": 1003226190, "sent": 1003226190, "started": 0}]}',
    '{"deadline": 1013176190, "useful_until": 1004612369, "slots": 1.0, "memory": 0.0, "tries": 0, '
    '"attempts": [{"worker": "cold", "over": false, "ran": true, "modelled": 0.0, '
    '"heard": 1003226190, "sent": 1003176190, "started": 1003226190}]}',
    '{"deadline": 1013226190, "useful_until": 1004656616, "slots": 1.0, "memory": 0.0, "tries": 0, '
    '"attempts": [{"worker": "b", "over": false, "ran": true, "modelled": 0.0, '
    '"heard": 1003226190, "sent": 1003226190, "started": 0}]}',
]
CLASS_TEXTS = [
    '{"name": "safe", "effect": "safe", "aim": 1000000, "give_up": 10000000, "worth": 1.0, '
    '"late_worth": 0.0, "scope": "all", "repeat_window": 0, "stretch": 2.0, "kind": -1, '
    '"priority": 0}',
    '{"name": "keyed", "effect": "keyed", "aim": 1000000, "give_up": 10000000, "worth": 1.0, '
    '"late_worth": 0.0, "scope": "zone", "repeat_window": 4000000, "stretch": 2.0, "kind": -1, '
    '"priority": 0}',
    '{"name": "unsafe", "effect": "unsafe", "aim": 1000000, "give_up": 10000000, "worth": 1.0, '
    '"late_worth": 0.0, "scope": "all", "repeat_window": 0, "stretch": 2.0, "kind": -1, '
    '"priority": 0}',
]

# The attribute that holds the value of each key.
GENERAL_ATTRIBUTES = {
    "busy": "mean_busy_slots",
    "gap": "report_interval",
    "load": "load",
    "probe_credit": "probe_credit",
    "running": "mean_run_time",
    "runs": "class_run_times",
    "tight": "zone_saturation",
    "waits_modelled": "mean_wait_expected",
    "waits_seen": "mean_wait_seen",
}
WORKER_ATTRIBUTES = {
    "blame": "error_score",
    "budget": "budget",
    "deep": "queue_unknown",
    "free": "free_slots",
    "holds": "ejections",
    "longest": "longest_wait",
    "memory": "free_memory",
    "most": "capacity",
    "mute": "start_timeouts",
    "others": "other_slots",
    "prompt": "fastest_start",
    "shut": "rejections",
    "wait": "last_wait",
}
WORKER_TIME_ATTRIBUTES = {
    "asked": "probed_at",
    "blamed_at": "error_score_at",
    "budget_at": "budget_at",
    "down_until": "ejected_until",
    "heard": "last_seen",
    "report_at": "report_at",
    "wait_at": "last_wait_at",
}
JOB_ATTRIBUTES = {
    "slots": "slots",
    "memory": "memory",
    "tries": "backoffs",
}
ATTEMPT_ATTRIBUTES = {"over": "ended", "ran": "may_have_run", "modelled": "expected_wait"}
ATTEMPT_TIME_ATTRIBUTES = {"heard": "last_progress", "sent": "sent_at", "started": "started_at"}


def push_until(harness, worker, job_class):
    """Submit jobs of the class, ending those pushed elsewhere, until one is pushed to the worker."""
    while True:
        job, actions = harness.submit(job_class)
        pushes = of_type(Push, actions)
        if pushes and pushes[0].worker == worker:
            return job
        harness.now += SECOND // 50
        for push in pushes:
            harness.handle(AttemptEnded(job, 0, push.worker, Outcome.OK, True))


def play_scenario():
    """A dispatcher with four workers and three open jobs: attempts out and ended, budgets, all classes."""
    harness = Harness([ready(b"a")], probes=True, price_cross_zone=0.002)
    harness.handle(ProbeEnded(b"a", Outcome.OK, 10, LoadReport(free_slots=1.0)))
    first, waiting = harness.submit(SAFE)[0], harness.submit(SAFE)[0]
    for job in (first, waiting):  # the second one waits for the slot of the first
        harness.handle(AttemptStarted(job, 0, b"a"))
        harness.now += SECOND * 3 // 4
        harness.handle(AttemptEnded(job, 0, b"a", Outcome.OK, True))
    others = [ready(b"b", zone=1, cell=2), ready(b"full"), ready(b"cold", started=START - 2 * SECOND, zone=1)]
    harness.handle(WorkerList(2, ListKind.DELTA, others))
    for round_number in range(3):
        for name, free in ((b"a", 3.0), (b"b", 2.0), (b"cold", 4.0)):
            harness.now += SECOND // 10
            report = LoadReport(free_slots=free + round_number / 8, free_memory=6.5, in_hand=1.0)
            harness.handle(ProbeEnded(name, Outcome.OK, 10, report))
    for free in (2.0, 0.0):
        harness.now += SECOND // 10
        harness.handle(ProbeEnded(b"full", Outcome.OK, 10, LoadReport(free_slots=free)))
    job = push_until(harness, b"a", SAFE)
    harness.now += SECOND // 7
    harness.handle(AttemptStarted(job, 0, b"a"))
    harness.now += SECOND // 3
    harness.handle(AttemptEnded(job, 0, b"a", Outcome.OK, True))
    job = push_until(harness, b"b", SAFE)
    harness.handle(AttemptEnded(job, 0, b"b", Outcome.ERROR, False))
    repeated = push_until(harness, b"a", KEYED)
    harness.handle(AttemptEnded(repeated, 0, b"a", Outcome.FULL, False))
    harness.handle(ProbeEnded(b"full", Outcome.CONNECT_FAILED, 10))
    cold = push_until(harness, b"cold", SAFE)
    harness.now += SECOND // 20
    harness.handle(AttemptStarted(cold, 0, b"cold"))
    unsafe = push_until(harness, b"b", UNSAFE)
    harness.advance(SECOND)
    harness.handle(ProbeEnded(b"b", Outcome.OK, 10, LoadReport(free_slots=0.5)))
    return harness, [repeated, cold, unsafe]


def pack_scenario():
    harness, jobs = play_scenario()
    rules = harness.dispatcher
    return {
        "general": snapshot.pack_estimates(rules),
        "workers": [snapshot.pack_worker(worker) for worker in rules.workers.values()],
        "jobs": [snapshot.pack_job(rules, number) for number in jobs],
        "classes": [snapshot.pack_class(cls) for cls in CLASSES],
    }


def test_the_packed_values_are_byte_for_byte_those_of_the_earlier_version():
    values = pack_scenario()
    assert json.dumps(values["general"]) == GENERAL
    assert [json.dumps(worker) for worker in values["workers"]] == WORKERS
    assert [json.dumps(job) for job in values["jobs"]] == JOBS
    assert [json.dumps(cls) for cls in values["classes"]] == CLASS_TEXTS


def receiver():
    """A dispatcher of another process with the same worker list."""
    names = {b"a": 0, b"b": 0, b"full": 0, b"cold": START - 2 * SECOND}
    return Harness([ready(name, started=started) for name, started in names.items()], seed=2).dispatcher


def attributes(source, names):
    return [getattr(source, name) for name in names.values()]


def test_the_values_of_the_earlier_version_end_up_in_their_attributes():
    rules, general, shift = receiver(), json.loads(GENERAL), 7_000
    snapshot.restore_estimates(rules, general)
    assert attributes(rules, GENERAL_ATTRIBUTES) == [general[key] for key in GENERAL_ATTRIBUTES]
    assert rules.first_try_time == {(name, 10 * SECOND): 10 * SECOND for name in ("safe", "keyed", "unsafe")}
    for text in WORKERS:
        values = json.loads(text)
        snapshot.restore_worker(rules, values, shift)
        worker = rules.workers[values["id"].encode()]
        assert attributes(worker, WORKER_ATTRIBUTES) == [values[key] for key in WORKER_ATTRIBUTES]
        times = [values[key] and values[key] + shift for key in WORKER_TIME_ATTRIBUTES]
        assert attributes(worker, WORKER_TIME_ATTRIBUTES) == times
    for number, text in enumerate(JOBS, 1):
        values = json.loads(text)
        snapshot.restore_job(rules, START + 3 * SECOND, number, CLASSES[SAFE], 4, values, shift)
        job = rules.jobs[number]
        assert attributes(job, JOB_ATTRIBUTES) == [values[key] for key in JOB_ATTRIBUTES]
        assert job.deadline == values["deadline"] + shift
        assert job.useful_until == values["useful_until"] + shift
        for attempt, expected in zip(job.attempts, values["attempts"], strict=True):
            assert attempt.worker.id == expected["worker"].encode()
            assert attributes(attempt, ATTEMPT_ATTRIBUTES) == [expected[key] for key in ATTEMPT_ATTRIBUTES]
            times = [expected[key] and expected[key] + shift for key in ATTEMPT_TIME_ATTRIBUTES]
            assert attributes(attempt, ATTEMPT_TIME_ATTRIBUTES) == times
    assert [snapshot.unpack_class(json.loads(text)) for text in CLASS_TEXTS] == CLASSES


def test_each_key_has_an_attribute_of_its_own():
    rules = receiver()
    general = {key: float(number) for number, key in enumerate(GENERAL_ATTRIBUTES, 1)}
    snapshot.restore_estimates(rules, {**general, "full_time": []})
    assert attributes(rules, GENERAL_ATTRIBUTES) == list(general.values())
    facts = {key: float(number) for number, key in enumerate(WORKER_ATTRIBUTES, 1)}
    times = {key: number for number, key in enumerate(WORKER_TIME_ATTRIBUTES, 101)}
    snapshot.restore_worker(rules, {"id": "a", "started": 0, **facts, **times}, 0)
    worker = rules.workers[b"a"]
    assert attributes(worker, WORKER_ATTRIBUTES) == list(facts.values())
    assert attributes(worker, WORKER_TIME_ATTRIBUTES) == list(times.values())
    attempt = {
        "worker": "a",
        "over": True,
        "ran": False,
        "modelled": 5.0,
        "heard": 6,
        "sent": 7,
        "started": 8,
    }
    values = {**json.loads(JOBS[0]), "attempts": [attempt]}
    snapshot.restore_job(rules, START, 1, CLASSES[SAFE], 4, values, 0)
    (known,) = rules.jobs[1].attempts
    assert attributes(known, ATTEMPT_ATTRIBUTES) == [True, False, 5.0]
    assert attributes(known, ATTEMPT_TIME_ATTRIBUTES) == [6, 7, 8]
