"""The four rules over scripted histories: whatever happens, each job gets one answer and none runs twice."""

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
from tests.helpers import CLASSES, SECOND, Bench, ready

NAMES = [b"a", b"b", b"c", b"d"]
STEPS = st.one_of(
    st.tuples(st.just("job"), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(list(Outcome)), st.integers(-1, 4)),
    st.tuples(st.just("start"), st.integers(0, 9)),
    st.tuples(st.just("list"), st.sampled_from(NAMES), st.sampled_from(list(WorkerState)), st.booleans()),
    st.tuples(st.just("pass"), st.integers(1, 3 * SECOND)),
)


class Referee:
    """Keeps the true state of every job and checks each action against the rules."""

    def __init__(self, seed):
        self.states = {name: WorkerState.READY for name in NAMES}
        self.bench = Bench([ready(name, zone=i % 2) for i, name in enumerate(NAMES)], seed)
        self.classes, self.deadlines, self.sent, self.out, self.answers = {}, {}, {}, {}, {}
        self.seen = 0

    def check(self):
        bench = self.bench
        for action in bench.log[self.seen :]:
            if isinstance(action, Push):
                job, tries = action.job, self.sent.setdefault(action.job, [])
                assert job not in self.answers and bench.now < self.deadlines[job]
                assert self.states[action.worker] is WorkerState.READY
                cls, ran = CLASSES[self.classes[job]], [t for t in tries if t["ran"]]
                if ran and cls.effect is Effect.UNSAFE:
                    raise AssertionError("an unsafe job went out twice")
                if ran and cls.effect is Effect.KEYED:
                    zone = NAMES.index(ran[0]["worker"]) % 2
                    assert NAMES.index(action.worker) % 2 == zone
                    assert bench.now <= ran[0]["at"] + cls.repeat_window
                self.out[(job, len(tries))] = action.worker
                tries.append({"worker": action.worker, "at": bench.now, "ran": True})
            elif isinstance(action, Refuse | Fail):
                assert action.job not in self.answers
                self.answers[action.job] = action
                if isinstance(action, Refuse) and CLASSES[self.classes[action.job]].effect is not Effect.SAFE:
                    assert not any(t["ran"] for t in self.sent.get(action.job, []))
            elif isinstance(action, Cancel) and (action.job, action.attempt) in self.out:
                self.end((action.job, action.attempt), Outcome.CANCELLED, -1)
                return
        self.seen = len(bench.log)

    def end(self, key, outcome, free):
        worker = self.out.pop(key)
        job, index = key
        self.sent[job][index]["ran"] = outcome not in PROVEN_NOT_RUN
        final = outcome is Outcome.OK or job in self.answers
        if final:
            self.answers.setdefault(job, outcome)
        report = LoadReport(free_slots=free) if free >= 0 else None
        self.tell(AttemptEnded(job, index, worker, outcome, final, 0, report))

    def tell(self, event):
        self.bench.tell(event)
        self.check()

    def advance(self, span):
        end = self.bench.now + span
        while self.bench.now < end:
            due = min(
                [t[0] for t in self.bench.timers]
                + [end]
                + [self.deadlines[job] for job, _ in self.out if self.deadlines[job] > self.bench.now]
            )
            self.bench.run(max(0, min(due, end) - self.bench.now))
            self.check()
            for key in [k for k in self.out if self.deadlines[k[0]] <= self.bench.now]:
                if key in self.out:
                    self.end(key, Outcome.TIMEOUT, -1)

    def step(self, step):
        keys = list(self.out)
        if step[0] == "job":
            job = self.bench.next_job
            self.classes[job] = step[1]
            self.deadlines[job] = self.bench.now + CLASSES[step[1]].give_up
            self.bench.job(step[1])
            self.check()
        elif step[0] == "end" and keys:
            self.end(keys[step[1] % len(keys)], step[2], step[3])
        elif step[0] == "start" and keys:
            job, index = keys[step[1] % len(keys)]
            self.tell(AttemptStarted(job, index, self.out[(job, index)]))
        elif step[0] == "list":
            _, name, state, restarted = step
            self.states[name] = state
            started = self.bench.now if restarted else 0
            entry = Entry(name, state, started=started, zone=NAMES.index(name) % 2)
            self.tell(WorkerList(2, ListKind.DELTA, [entry]))
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
