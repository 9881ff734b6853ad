"""Random histories: whatever happens, each job gets one answer, and no job runs twice that must not."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pulleyroute.interface import (
    AttemptEnded,
    AttemptStarted,
    Cancel,
    Effect,
    Entry,
    Fail,
    ListKind,
    LoadReport,
    Outcome,
    Push,
    Refuse,
    WorkerList,
    WorkerState,
)
from pulleyroute.rules import PROVEN_NOT_RUN
from tests.helpers import CLASSES, SECOND, Harness, ready

NAMES = [b"a", b"b", b"c", b"d"]
STEPS = st.one_of(
    st.tuples(st.just("job"), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(list(Outcome)), st.integers(-1, 4)),
    st.tuples(st.just("start"), st.integers(0, 9)),
    st.tuples(st.just("list"), st.sampled_from(NAMES), st.sampled_from(list(WorkerState)), st.booleans()),
    st.tuples(st.just("pass"), st.integers(1, 3 * SECOND)),
)


class Referee:
    """Keeps the true state of each job and checks every action against the rules for repeats."""

    def __init__(self, seed):
        self.states = {name: WorkerState.READY for name in NAMES}
        self.harness = Harness([ready(name, zone=i % 2) for i, name in enumerate(NAMES)], seed)
        self.classes, self.deadlines, self.sent, self.open_attempts, self.answers = {}, {}, {}, {}, {}
        self.checked = 0

    def check(self):
        harness = self.harness
        for action in harness.actions[self.checked :]:
            if isinstance(action, Push):
                job, attempts = action.job, self.sent.setdefault(action.job, [])
                assert job not in self.answers and harness.now < self.deadlines[job]
                assert self.states[action.worker] is WorkerState.READY
                cls, ran = CLASSES[self.classes[job]], [t for t in attempts if t["ran"]]
                if ran and cls.effect is Effect.UNSAFE:
                    raise AssertionError("an unsafe job was pushed again")
                if ran and cls.effect is Effect.KEYED:
                    zone = NAMES.index(ran[0]["worker"]) % 2
                    assert NAMES.index(action.worker) % 2 == zone
                    assert harness.now <= ran[0]["sent_at"] + cls.repeat_window
                self.open_attempts[(job, len(attempts))] = action.worker
                attempts.append({"worker": action.worker, "sent_at": harness.now, "ran": True})
            elif isinstance(action, Refuse | Fail):
                assert action.job not in self.answers
                self.answers[action.job] = action
                if isinstance(action, Refuse) and CLASSES[self.classes[action.job]].effect is not Effect.SAFE:
                    assert not any(t["ran"] for t in self.sent.get(action.job, []))
            elif isinstance(action, Cancel) and (action.job, action.attempt) in self.open_attempts:
                self.end_attempt((action.job, action.attempt), Outcome.CANCELLED, -1)
                return
        self.checked = len(harness.actions)

    def end_attempt(self, key, outcome, free):
        worker = self.open_attempts.pop(key)
        job, index = key
        self.sent[job][index]["ran"] = outcome not in PROVEN_NOT_RUN
        final = outcome is Outcome.OK or job in self.answers
        if final:
            self.answers.setdefault(job, outcome)
        report = LoadReport(free_slots=free) if free >= 0 else None
        self.handle(AttemptEnded(job, index, worker, outcome, final, 0, report))

    def handle(self, event):
        self.harness.handle(event)
        self.check()

    def advance(self, span):
        end = self.harness.now + span
        while self.harness.now < end:
            due = min(
                [t[0] for t in self.harness.timers]
                + [end]
                + [
                    self.deadlines[job]
                    for job, _ in self.open_attempts
                    if self.deadlines[job] > self.harness.now
                ]
            )
            self.harness.advance(max(0, min(due, end) - self.harness.now))
            self.check()
            for key in [k for k in self.open_attempts if self.deadlines[k[0]] <= self.harness.now]:
                if key in self.open_attempts:
                    self.end_attempt(key, Outcome.TIMEOUT, -1)

    def step(self, step):
        keys = list(self.open_attempts)
        if step[0] == "job":
            job = self.harness.next_job
            self.classes[job] = step[1]
            self.deadlines[job] = self.harness.now + CLASSES[step[1]].give_up
            self.harness.submit(step[1])
            self.check()
        elif step[0] == "end" and keys:
            self.end_attempt(keys[step[1] % len(keys)], step[2], step[3])
        elif step[0] == "start" and keys:
            job, index = keys[step[1] % len(keys)]
            self.handle(AttemptStarted(job, index, self.open_attempts[(job, index)]))
        elif step[0] == "list":
            _, name, state, restarted = step
            self.states[name] = state
            started = self.harness.now if restarted else 0
            entry = Entry(name, state, started=started, zone=NAMES.index(name) % 2)
            self.handle(WorkerList(2, ListKind.DELTA, [entry]))
        elif step[0] == "pass":
            self.advance(step[1])


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.lists(STEPS, max_size=60))
def test_the_rules_hold_over_any_history(seed, steps):
    referee = Referee(seed)
    for step in steps:
        referee.step(step)
    referee.advance(11 * SECOND)
    assert set(referee.answers) == set(referee.classes)
