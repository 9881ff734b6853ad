"""The four rules and the ordinary path, driven with hand-made events."""

import pytest

from pulleyroute.interface import (
    AttemptEnded,
    AttemptStarted,
    Cancel,
    Effect,
    Entry,
    Fail,
    JobArrived,
    JobClass,
    JobExpired,
    ListKind,
    LoadReport,
    Outcome,
    Probe,
    ProbeEnded,
    Push,
    Refuse,
    SendToPeer,
    SetTimer,
    Subscribe,
    TimerFired,
    WorkerList,
    WorkerState,
)
from pulleyroute.rules import Job
from tests.helpers import CLASSES, KEYED, SAFE, SECOND, UNSAFE, Bench, of, pushed, ready


def answers(actions):
    return of(Fail, actions) + of(Refuse, actions)


def test_first_push_is_undelayed():
    bench = Bench([ready(b"a")])
    _, actions = bench.job()
    assert pushed(actions) == b"a"


def test_the_draw_follows_free_slots_net_of_own_pushes():
    bench = Bench([ready(b"a"), ready(b"b")], probes=True)
    bench.tell(ProbeEnded(b"a", Outcome.OK, report=LoadReport(free_slots=4)))
    bench.tell(ProbeEnded(b"b", Outcome.OK, report=LoadReport(free_slots=0)))
    counts = {b"a": 0, b"b": 0}
    for _ in range(4):
        counts[pushed(bench.job()[1])] += 1
    assert counts[b"a"] >= 3


@pytest.mark.parametrize("bad", [float("nan"), -3.0, None])
def test_senseless_free_slots_leave_the_worker_at_the_floor(bad):
    counts = {b"a": 0, b"b": 0}
    for seed in range(30):
        bench = Bench([ready(b"a"), ready(b"b")], seed)
        bench.tell(ProbeEnded(b"a", Outcome.OK, report=LoadReport(free_slots=bad)))
        bench.tell(ProbeEnded(b"b", Outcome.OK, report=LoadReport(free_slots=2)))
        counts[pushed(bench.job()[1])] += 1
    assert counts[b"b"] >= 28


def test_a_full_push_sleeps_full_jitter_and_goes_elsewhere():
    bench = Bench([ready(b"a"), ready(b"b")])
    job, actions = bench.job(UNSAFE)
    first = pushed(actions)
    actions = bench.tell(AttemptEnded(job, 0, first, Outcome.FULL, False))
    (timer,) = of(SetTimer, actions)
    assert 0 <= timer.after <= SECOND and not of(Push, actions)
    assert pushed(bench.run(SECOND)) != first


def test_sleeps_spread_from_zero_to_a_doubling_limit():
    waits = {0: [], 1: [], 2: []}
    for seed in range(200):
        bench = Bench([ready(b"a"), ready(b"b")], seed)
        job, actions = bench.job()
        for attempt in waits:
            worker = pushed(actions)
            ended = bench.tell(AttemptEnded(job, attempt, worker, Outcome.FULL, False))
            (timer,) = of(SetTimer, ended)
            waits[attempt].append(timer.after)
            actions = bench.run(timer.after)
    base = max(waits[0])
    for attempt, limit in ((1, 2), (2, 4)):
        assert min(waits[attempt]) < base * limit / 20
        assert base * limit * 0.8 < max(waits[attempt]) < base * limit * 1.2


def test_no_attempt_left_and_nothing_ran_is_refused():
    bench = Bench([ready(b"a"), ready(b"b")], max_attempts=2)
    job, actions = bench.job(UNSAFE)
    bench.tell(AttemptEnded(job, 0, pushed(actions), Outcome.FULL, False))
    worker = pushed(bench.run(SECOND))
    assert of(Refuse, bench.tell(AttemptEnded(job, 1, worker, Outcome.FULL, False)))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED])
def test_an_unsafe_job_that_may_have_run_fails_and_is_not_refused(outcome):
    bench = Bench([ready(b"a"), ready(b"b")])
    job, actions = bench.job(UNSAFE)
    actions = bench.tell(AttemptEnded(job, 0, pushed(actions), outcome, False))
    assert of(Fail, actions) and not of(Refuse, actions) and not of(Push, actions)
    assert not of(Push, bench.run(12 * SECOND))


def test_a_keyed_job_that_may_have_run_stays_in_its_zone():
    for seed in range(20):
        zones = {b"a": 0, b"b": 0, b"c": 1, b"d": 1}
        bench = Bench([ready(name, zone=zone) for name, zone in zones.items()], seed)
        job, actions = bench.job(KEYED)
        first = pushed(actions)
        bench.tell(AttemptEnded(job, 0, first, Outcome.ERROR, False))
        again = pushed(bench.run(2 * SECOND))
        assert {first, again} in ({b"a", b"b"}, {b"c", b"d"})


def test_a_keyed_job_is_not_sent_after_its_window():
    bench = Bench([ready(b"a"), ready(b"b")])
    job, actions = bench.job(KEYED)
    worker = pushed(actions)
    bench.run(5 * SECOND)
    actions = bench.tell(AttemptEnded(job, 0, worker, Outcome.ERROR, False))
    actions += bench.run(10 * SECOND)
    assert of(Fail, actions) and not of(Push, actions) and not of(Refuse, actions)


def test_nothing_is_pushed_to_a_draining_or_gone_worker():
    for seed in range(20):
        bench = Bench([ready(b"a"), ready(b"b"), ready(b"c")], seed)
        bench.tell(
            WorkerList(2, ListKind.DELTA, [Entry(b"a", WorkerState.DRAINING), Entry(b"b", WorkerState.GONE)])
        )
        assert pushed(bench.job()[1]) == b"c"


def test_a_whole_list_drops_the_workers_that_it_does_not_name():
    for seed in range(20):
        bench = Bench([ready(b"a"), ready(b"b")], seed)
        bench.tell(WorkerList(2, ListKind.FULL, [ready(b"b")]))
        assert pushed(bench.job()[1]) == b"b"


@pytest.mark.parametrize("entries", [[], [Entry(b"a", WorkerState.DRAINING)]])
def test_a_job_that_finds_no_worker_is_refused_before_its_deadline(entries):
    bench = Bench(entries)
    start = bench.now
    job, actions = bench.job(UNSAFE)
    assert not answers(actions)
    while not answers(actions):
        actions = bench.run(SECOND // 100)
    assert of(Refuse, actions) == [Refuse(job)]
    assert bench.now < start + 10 * SECOND
    assert not answers(bench.run(20 * SECOND))


def test_a_waiting_job_goes_out_when_a_worker_is_listed():
    bench = Bench([])
    bench.job()
    bench.tell(WorkerList(2, ListKind.DELTA, [ready(b"a")]))
    assert pushed(bench.run(SECOND)) == b"a"


def test_a_timeout_at_the_deadline_is_answered_at_once():
    bench = Bench([ready(b"a")])
    job, actions = bench.job()
    bench.now += 10 * SECOND
    assert answers(bench.tell(AttemptEnded(job, 0, b"a", Outcome.TIMEOUT, False)))


def test_late_events_of_an_ended_job_are_harmless():
    bench = Bench([ready(b"a"), ready(b"b")])
    job, actions = bench.job()
    worker = pushed(actions)
    bench.tell(JobExpired(job))
    assert not bench.tell(AttemptStarted(job, 0, worker))
    assert not bench.tell(AttemptEnded(job, 0, worker, Outcome.ERROR, False))
    assert not bench.tell(AttemptEnded(job, 0, worker, Outcome.OK, True))
    assert not bench.tell(JobExpired(job)) and not bench.tell(TimerFired(4_000_000))
    assert not of(Push, bench.run(12 * SECOND))


def test_a_job_that_expires_in_its_sleep_is_not_pushed():
    bench = Bench([ready(b"a"), ready(b"b")])
    job, actions = bench.job()
    bench.tell(AttemptEnded(job, 0, pushed(actions), Outcome.FULL, False))
    bench.tell(JobExpired(job))
    later = bench.run(12 * SECOND)
    assert not of(Push, later) and not answers(later)


def test_a_cold_worker_gets_no_more_than_its_part_of_the_budget():
    bench = Bench([ready(b"old")])
    bench.tell(WorkerList(2, ListKind.DELTA, [ready(b"cold", started=bench.now)]))
    bench.tell(ProbeEnded(b"cold", Outcome.OK, report=LoadReport(free_slots=8)))
    sent = []
    for _ in range(200):
        bench.now += SECOND // 100
        sent += [push.worker for push in of(Push, bench.job()[1])]
    # 3 times a fifth of 8 slots busy for 2 s, at jobs of 1 s, halved between two dispatchers
    assert 0 < sent.count(b"cold") <= 3 * 0.3 * 8 * 2 / 2


def cold_share_of(bench, free, jobs, **fields):
    """How many of the jobs go to a worker that is cold for 4 s and keeps showing so many free slots."""
    sent = 0
    for _ in range(jobs):
        bench.now += SECOND // 20
        shown = free + bench.now / 1e13  # each reading is another one
        bench.tell(ProbeEnded(b"cold", Outcome.OK, report=LoadReport(free_slots=shown)))
        job, actions = bench.job(time_left=SECOND, **fields)
        for push in of(Push, actions):
            sent += push.worker == b"cold"
            bench.tell(AttemptEnded(job, 0, push.worker, Outcome.OK, True))
    return sent


def cold_bench(**changes):
    bench = Bench([ready(b"cold", started=(1_000 - 4) * SECOND)], dispatchers=4, **changes)
    bench.tell(ProbeEnded(b"cold", Outcome.OK, report=LoadReport(free_slots=8)))
    return bench


def test_a_cold_worker_that_shows_free_slots_gets_more_than_one_that_shows_few():
    # Failure: of workers that warm sooner than is promised four in ten slots stood free, and a job in five
    # was refused beside them.
    assert cold_share_of(cold_bench(), 7.0, 200) > 1.2 * cold_share_of(cold_bench(), 1.0, 200) > 0


def test_a_cold_workers_budget_counts_work_and_is_told_by_warm_workers():
    # Failure: a job guessed at thirty times the mean took one mean job of the budget; and running times of
    # cold workers, several times as long, made every budget as much smaller.
    light, heavy = (
        cold_share_of(cold_bench(), 7.0, 200, cost_hint=hint) for hint in (SECOND // 4, 4 * SECOND)
    )
    assert light >= 2 * heavy
    bench = cold_bench()
    while not of(Push, (told := bench.job())[1]):
        bench.now += SECOND // 10
    bench.tell(AttemptStarted(told[0], 0, b"cold"))
    before = bench.dispatcher.warm_run_time
    bench.now += 5 * SECOND
    bench.tell(AttemptEnded(told[0], 0, b"cold", Outcome.OK, True))
    assert bench.dispatcher.warm_run_time == before and bench.dispatcher.mean_run_time > before


@pytest.mark.parametrize("hint", [0, -5, 2**31, None])
def test_a_spoilt_guess_changes_nothing_for_the_ordinary_path(hint):
    plain, spoilt = Bench([ready(b"a"), ready(b"b")]), Bench([ready(b"a"), ready(b"b")])
    for _ in range(20):
        assert [type(a) for a in plain.job()[1]] == [type(a) for a in spoilt.job(cost_hint=hint)[1]]


def test_a_light_job_by_its_guess_does_not_wait_as_long_as_an_unknown_one():
    bench = Bench([ready(b"a")])
    jobs = [bench.job(cost_hint=hint)[0] for hint in (SECOND // 50, None, 5 * SECOND)]
    light, unknown, heavy = (bench.dispatcher.jobs[job].useful_until for job in jobs)
    assert light < unknown == heavy


def test_a_list_on_request_is_subscribed_and_asked_for_again_after_a_failure():
    bench = Bench([ready(b"a")], kind=ListKind.CACHED, list_on_request=True)
    assert of(Subscribe, bench.run(10 * SECOND))
    bench.tell(WorkerList(1, ListKind.FAILED, []))
    assert of(Subscribe, bench.run(40 * SECOND))
    bench.tell(WorkerList(2, ListKind.FULL, [ready(b"a")]))
    assert not of(Subscribe, bench.run(40 * SECOND))


def test_a_dead_workers_last_reading_does_not_outweigh_full_workers_alive():
    # Failure: half a fleet died; its stale free slots drew half of all pushes, though connections failed.
    for seed in range(20):
        bench = Bench([ready(b"dead"), ready(b"full")], seed)
        bench.tell(ProbeEnded(b"dead", Outcome.OK, report=LoadReport(free_slots=4)))
        bench.tell(ProbeEnded(b"full", Outcome.OK, report=LoadReport(free_slots=1)))
        first = None
        while first != b"dead":
            job, actions = bench.job(time_left=5 * SECOND)
            first = pushed(actions)
            outcome = Outcome.CONNECT_FAILED if first == b"dead" else Outcome.OK
            bench.tell(AttemptEnded(job, 0, first, outcome, outcome is Outcome.OK))
        bench.tell(ProbeEnded(b"full", Outcome.OK, report=LoadReport(free_slots=0)))
        assert pushed(bench.job()[1]) == b"full"


def test_jobs_on_a_worker_that_misses_its_notes_are_taken_back_unless_unsafe():
    bench = Bench([ready(b"a"), ready(b"b")], max_attempts=9)
    jobs = {}
    for job_class in (SAFE, UNSAFE):
        job, actions = bench.job(job_class)
        jobs[job_class] = job
        bench.tell(AttemptStarted(job, 0, pushed(actions)))
    cancelled = {action.job for action in of(Cancel, bench.run(4 * SECOND))}
    assert cancelled == {jobs[SAFE]}
    again = bench.tell(AttemptEnded(jobs[SAFE], 0, b"a", Outcome.CANCELLED, False)) + bench.run(SECOND)
    assert of(Push, again)


def test_a_quiet_worker_is_asked_before_it_is_doubted():
    bench = Bench([ready(b"a"), ready(b"b")], probes=True)
    _, actions = bench.job()
    worker = pushed(actions)
    asked = of(Probe, bench.run(4 * SECOND))
    assert Probe(worker) in asked
    for _ in range(2):
        bench.tell(ProbeEnded(worker, Outcome.TIMEOUT))
    assert of(Cancel, bench.run(SECOND))


def reading(bench, name, **values):
    bench.now += SECOND // 100
    bench.tell(ProbeEnded(name, Outcome.OK, report=LoadReport(**values)))


def test_an_old_reading_gives_way_to_what_others_usually_hold():
    # Failure: reports came seconds late, and the free slots they showed were long taken.
    bench = Bench([ready(b"a")])
    job = bench.dispatcher
    for free in (8, 1, 2, 1, 2, 1, 2, 1, 2, 1, 2, 1, 2, 1, 2, 8):
        reading(bench, b"a", free_slots=free)
    worker, probe = job.workers[b"a"], Job(JobArrived(99, SAFE, 9 * SECOND), job.settings, bench.now)
    fresh = job.weight(worker, probe)
    job.now += 20 * SECOND
    assert job.weight(worker, probe) < fresh * 0.7


def test_a_reading_is_old_when_it_comes_where_readings_are_far_apart():
    # Failure: on a busy day with reports a second apart jobs waited long where room was shown, and workers
    # that showed none were shut: 16 in 100 requests were refused with capacity to spare.
    rooms = []
    for apart in (SECOND // 100, 10 * SECOND):
        bench = Bench([ready(b"a")])
        for free in (8, *[3, 1] * 10, 8):
            bench.now += apart
            bench.tell(ProbeEnded(b"a", Outcome.OK, report=LoadReport(free_slots=free)))
        job = Job(JobArrived(99, SAFE, 9 * SECOND), bench.dispatcher.settings, bench.now)
        rooms.append(bench.dispatcher.available_slots(bench.dispatcher.workers[b"a"], job))
    assert rooms[0] > 7 and rooms[1] < 4


def test_a_full_worker_whose_queue_is_not_told_looks_no_freer_with_age():
    bench = Bench([ready(b"a")])
    job = bench.dispatcher
    reading(bench, b"a", free_slots=8)
    reading(bench, b"a", free_slots=0)
    worker, probe = job.workers[b"a"], Job(JobArrived(99, SAFE, 9 * SECOND), job.settings, bench.now)
    probe.useful_until = bench.now + 60 * SECOND
    fresh = job.weight(worker, probe)
    job.now += 20 * SECOND
    assert job.weight(worker, probe) <= fresh < 0.5
    reading(bench, b"a", free_slots=0, queued=0)
    job.now += 20 * SECOND
    assert job.weight(worker, probe) > fresh


def test_jobs_worth_less_for_their_work_give_up_their_place_sooner():
    cheap = JobClass("cheap", Effect.SAFE, aim=SECOND, give_up=10 * SECOND, worth=1.0)
    dear = JobClass("dear", Effect.SAFE, aim=SECOND, give_up=10 * SECOND, worth=9.0)
    bench = Bench([ready(b"a")], classes=[cheap, dear])
    bench.tell(JobArrived(1, 0, 10 * SECOND))  # takes the one slot
    ends = {}
    for job, job_class in ((2, 0), (3, 1)):
        bench.tell(JobArrived(job, job_class, 10 * SECOND))
        ends[job] = bench.dispatcher.jobs[job].useful_until - bench.now
    assert ends[2] < ends[3] / 2


def test_waits_longer_than_modelled_hold_pushes_back():
    # Failure: others' jobs stood in line unseen, and waits were three times those reckoned with.
    bench = Bench([ready(b"a"), ready(b"b")])
    before = bench.dispatcher.mean_wait_seen / bench.dispatcher.mean_wait_expected
    for _ in range(10):
        job, actions = bench.job()
        if of(Push, actions):
            attempt = bench.dispatcher.jobs[job].attempts[0]
            attempt.expected_wait = SECOND // 10
            bench.now += SECOND
            bench.tell(AttemptStarted(job, 0, pushed(actions)))
            bench.tell(AttemptEnded(job, 0, pushed(actions), Outcome.OK, True))
    assert bench.dispatcher.mean_wait_seen / bench.dispatcher.mean_wait_expected > 2 * before


def test_a_worker_that_shows_room_and_turns_jobs_away_is_held_back_from():
    # Failure: workers drained seconds before the list told; their free slots drew jobs that came back.
    bench = Bench([ready(b"drains")], probes=True)
    reading(bench, b"drains", free_slots=4)
    job, actions = bench.job()
    bench.tell(AttemptEnded(job, 0, pushed(actions), Outcome.FULL, False))
    reading(bench, b"drains", free_slots=4.5)  # a probe answers: that it is alive says nothing of room
    assert not of(Push, bench.job()[1])
    bench.now += 20 * SECOND
    job, actions = bench.job()
    bench.tell(AttemptStarted(job, 0, pushed(actions)))
    assert bench.dispatcher.workers[b"drains"].rejections == 0


def test_only_workers_of_the_classs_kind_run_it():
    special = JobClass("special", Effect.SAFE, aim=SECOND, give_up=10 * SECOND, worth=1.0, kind=1)
    for seed in range(20):
        bench = Bench([ready(b"a", kind=0), ready(b"b", kind=1)], seed, classes=[special])
        assert pushed(bench.tell(JobArrived(1, 0, 10 * SECOND))) == b"b"


def test_slots_and_memory_count_in_the_draw():
    taken = {b"a": 0, b"b": 0}
    for seed in range(30):
        for needs in ({"slots": 2.0}, {"memory": 3.0}):
            bench = Bench([ready(b"a"), ready(b"b")], seed)
            reading(bench, b"a", free_slots=1, free_memory=1)
            reading(bench, b"b", free_slots=4, free_memory=4)
            taken[pushed(bench.job(**needs)[1])] += 1
    assert taken[b"a"] <= 3


FLEET = [ready(b"w%03d" % i, zone=i % 4) for i in range(200)]


def test_a_large_fleet_is_not_asked_whole_at_a_start():
    # Failure: a fleet of 170 workers and as many dispatchers drowned in probes at each start.
    asked = [len(of(Probe, Bench(FLEET, seed, probes=True).log)) for seed in range(5)]
    assert all(0 < count < 20 for count in asked)


def test_a_dispatcher_of_a_large_fleet_keeps_to_few_workers_most_of_them_at_home():
    # Failure: few fresh readings drowned among many old ones, and weighing all took too long.
    bench = Bench(FLEET, zone=1)
    near = bench.dispatcher.subset
    assert len(near) == 8 and sum(1 for worker in near if worker.zone == 1) >= 6
    assert {pushed(bench.job()[1]) for _ in range(6)} <= {worker.id for worker in near}
    others = {worker.id for me in range(1, 40) for worker in Bench(FLEET, zone=1, me=me).dispatcher.subset}
    assert len(others) > 100  # each keeps to workers of its own


def test_of_a_large_fleet_those_peers_are_told_that_keep_to_the_worker():
    fleet = [Bench(FLEET, peer_messages=True, dispatchers=40, me=me).dispatcher for me in range(40)]
    bench = Bench(FLEET, peer_messages=True, dispatchers=40)
    worker = pushed(bench.job()[1])
    told = {tell.peer for tell in of(SendToPeer, bench.log)}
    keep = {
        d.settings.me for d in fleet if any(w.id == worker and w.distance * 200 < 8 for w in d.subset)
    } - {0}
    assert told == keep


def test_a_class_with_a_kind_of_its_own_finds_it_in_a_large_fleet():
    classes = [JobClass("own", Effect.SAFE, aim=SECOND, give_up=10 * SECOND, worth=1.0, kind=1)]
    bench = Bench([*FLEET, ready(b"own", kind=1)], classes=classes)
    assert pushed(bench.job()[1]) == b"own"


def test_a_cold_worker_is_neither_pushed_over_nor_left_idle_by_many_dispatchers():
    # Failure: a budget split evenly among many left none of them a whole job, and new workers idle.
    start = 1_000 * SECOND
    benches = [Bench([ready(b"cold", started=start)], seed, dispatchers=40, me=seed) for seed in range(40)]
    times = []
    for bench in benches:
        reading(bench, b"cold", free_slots=4.0)
    for _ in range(76):
        for bench in benches:
            bench.now += SECOND // 4
            job, actions = bench.job(time_left=SECOND)
            if of(Push, actions):
                times.append(bench.now - start)
                bench.tell(AttemptEnded(job, 0, b"cold", Outcome.OK, True))
                reading(bench, b"cold", free_slots=4.0)
    for at in times:
        share = 0.2 + 0.8 * at / (20 * SECOND)
        # Jobs run for a second, as aimed; three times what four slots do at the moment brings it down.
        assert sum(1 for other in times if at <= other < at + SECOND) <= 3 * share * 4 * 1.25
    assert sum(1 for at in times if at < 10 * SECOND) >= 2 and len(times) > 10


class ColdBox:
    """A box of two slots that comes back cold, and dispatchers of a large fleet that push to it all they may.

    Jobs run for a second at full speed. Its readings tell what was so a second ago.
    """

    def __init__(self, dispatchers: int) -> None:
        self.backlog = 0.0  # seconds of work
        self.told = [2.0] * 20
        self.times: list[int] = []
        self.benches = [
            Bench(
                [ready(b"cold", started=1_000 * SECOND)],
                me,
                dispatchers=40,
                me=me,
                tip_multiple=4.0,
                tip_window=3 * SECOND,
                cold_share=0.33,
                ramp_time=8 * SECOND,
            )
            for me in range(dispatchers)
        ]
        for bench in self.benches:  # of a mean load; each keeps to 8 of 60 workers, of which this one is one
            reading(bench, b"cold", free_slots=2.0)
            rules = bench.dispatcher
            rules.subset, rules.ready = rules.ready * 8, rules.ready * 60
            rules.load = 1.5  # the mean: a slot in use at each of 60 workers, for 40 dispatchers

    def share(self, age: float) -> float:
        return min(1.0, 0.33 + 0.67 * age / (8 * SECOND))

    def run(self, seconds: int) -> None:
        for step in range(seconds * 20):
            age = step * SECOND // 20
            for bench in self.benches:
                bench.now = 1_000 * SECOND + age
                # A thousandth more each time: the same reading again would count as an old one.
                reading(bench, b"cold", free_slots=self.told[step] + step / 1e6)
                bench.dispatcher.mean_busy_slots = 1.0  # as the readings of the others say
                worker = bench.dispatcher.workers[b"cold"]
                if bench.dispatcher.within_budget(worker, self.share(age), 1.0):
                    worker.budget -= 1
                    self.times.append(age)
                    self.backlog += 1
            self.backlog = max(0.0, self.backlog - 2 * self.share(age) / 20)
            self.told.append(max(0.0, 2.0 - self.backlog))


def test_a_cold_box_in_a_large_fleet_is_in_full_use_and_is_not_pushed_over():
    # Failure: six in ten workers were replaced at once, and most short jobs found nobody for 8 s, though a
    # cold one got a third of what would have brought it down: chance and crowds were reckoned with twice.
    box = ColdBox(5)  # as many as keep to it on average
    box.run(8)
    assert len(box.times) > 0.9 * sum(2 * box.share(at * SECOND / 20) / 20 for at in range(160))
    # Three times as many do at the worst: readings that show it full hold them back in time.
    box = ColdBox(15)
    box.run(8)
    for at in box.times:
        window = sum(1 for other in box.times if at <= other < at + 3 * SECOND)
        assert window < 4 * 2 * 3 * box.share(at + 1.5 * SECOND)


def test_of_a_cold_box_a_busy_dispatcher_has_more_than_an_idle_one():
    # Failure: tokens lay with dispatchers that had no jobs, and the busy ones found every cold box closed.
    counts = []
    for load in (0.2, 1.5, 4.5, 50.0):
        box = ColdBox(1)
        box.benches[0].dispatcher.load = load
        box.run(8)
        counts.append(len(box.times))
    idle, mean, busy, busiest = counts
    assert idle < mean < busy and busy >= 2 * mean
    assert busiest == busy  # a dispatcher that takes itself for far busier than all is not believed


def test_a_near_worker_found_down_is_replaced_by_the_next_nearest():
    # Failure: most of a large fleet died, the list told of it very late, and dispatchers kept to the dead.
    bench = Bench(FLEET, zone=1)
    bench.run(2 * SECOND)
    dead = bench.dispatcher.subset[0]
    for _ in range(2):
        bench.dispatcher.eject(dead)
    bench.run(SECOND)
    assert dead not in bench.dispatcher.subset and len(bench.dispatcher.subset) == 8
    bench.tell(ProbeEnded(dead.id, Outcome.OK))
    bench.run(SECOND)
    assert dead in bench.dispatcher.subset


def test_a_large_fleet_found_down_whole_takes_nothing_and_crashes_nothing():
    bench = Bench(FLEET)
    for worker in bench.dispatcher.ready:
        bench.dispatcher.eject(worker)
        bench.dispatcher.eject(worker)
    bench.run(SECOND // 2 + 1)
    job, actions = bench.job()
    assert not of(Push, actions)
    assert answers(actions + bench.run(20 * SECOND))


def test_a_dispatcher_far_busier_than_others_keeps_to_more_workers():
    # Failure: on a large fleet busy submitters refused a tenth of their jobs beside idle workers.
    bench = Bench(FLEET, zone=1)
    for entry in FLEET:
        reading(bench, entry.worker, free_slots=4.0)
    for _ in range(80):
        _, actions = bench.job()
        if of(Push, actions):
            bench.tell(AttemptStarted(bench.next_job - 1, 0, pushed(actions)))
        bench.run(SECOND // 20)
    assert 8 < len(bench.dispatcher.subset) <= 24
    # Failure: with half a dozen jobs running they kept to eight workers that others filled as well.
    for load, width in ((3.0, 8), (6.0, 12), (50.0, 24)):
        bench.dispatcher.load = load
        bench.run(SECOND)
        assert len(bench.dispatcher.subset) == width


def test_a_refusal_advises_the_class_aim_as_far_as_clients_heed_it():
    for longest, advice in ((0, 0), (SECOND // 2, SECOND // 2), (5 * SECOND, SECOND)):
        bench = Bench([], max_retry_after=longest)
        job, _ = bench.job()
        bench.run(20 * SECOND)
        assert of(Refuse, bench.log) == [Refuse(job, advice)]


def reported(bench, **free):
    for name, slots in free.items():
        bench.tell(ProbeEnded(name.encode(), Outcome.OK, 10, LoadReport(free_slots=slots, in_hand=1.0)))


def test_a_job_that_does_not_start_is_moved_to_a_worker_with_room_and_its_first_is_called_off():
    # Guards short jobs against queues that no report showed, and against workers that fell silent.
    bench = Bench([ready(b"w1")])
    reported(bench, w1=1.0)
    job, actions = bench.job(SAFE)
    assert pushed(actions) == b"w1"
    bench.tell(WorkerList(2, ListKind.FULL, [ready(b"w1"), ready(b"w2")]))
    assert not of(Cancel, bench.run(SECOND // 2))  # nobody is known to have room
    reported(bench, w2=2.0)
    (cancel,) = of(Cancel, bench.run(SECOND // 2))
    assert (cancel.job, cancel.attempt) == (job, 0)
    bench.tell(AttemptEnded(job, 0, b"w1", Outcome.CANCELLED, final=False))
    assert pushed(bench.run(SECOND)) == b"w2"
    bench.tell(AttemptStarted(job, 1, b"w2"))
    assert not of(Cancel, bench.run(SECOND))


@pytest.mark.parametrize("job_class", [SAFE, UNSAFE])
def test_what_has_started_or_may_not_be_repeated_is_not_moved(job_class):
    bench = Bench([ready(b"w1")])
    job, _ = bench.job(job_class)
    if job_class == SAFE:
        bench.tell(AttemptStarted(job, 0, b"w1"))
    bench.tell(WorkerList(2, ListKind.FULL, [ready(b"w1"), ready(b"w2")]))
    reported(bench, w2=2.0)
    assert not of(Cancel, bench.run(2 * SECOND))


def test_a_full_worker_at_home_draws_less_than_a_free_one_abroad():
    # Guards against queues at home that cost more than a crossing: a late answer loses the whole worth.
    bench = Bench([ready(b"home", zone=0), ready(b"away", zone=1)], zone=0, price_cross_zone=0.2)
    reported(bench, home=2.0)
    reported(bench, home=0.0, away=2.0)
    drawn = [pushed(bench.job(UNSAFE)[1]) for _ in range(1)]
    weights = [bench.dispatcher.weight(w, bench.dispatcher.jobs[1]) for w in bench.dispatcher.ready]
    assert drawn and 0 < weights[0] < weights[1]


def test_where_room_at_home_is_short_the_longest_class_crosses_first():
    # Guards the price of crossings: each costs the same, and a long job leaves room for several short ones.
    bench = Bench([ready(b"home", zone=0), ready(b"away", zone=1)], zone=0, price_cross_zone=0.2)
    dispatcher = bench.dispatcher
    dispatcher.class_run_times = {"safe": SECOND, "unsafe": 6 * SECOND}
    assert dispatcher.zone_preference(CLASSES[SAFE]) == dispatcher.zone_preference(CLASSES[UNSAFE]) == 1.0
    reported(bench, home=0.0, away=8.0)
    for _ in range(8):
        bench.job(UNSAFE)
    assert (
        dispatcher.zone_preference(CLASSES[UNSAFE]) == 0.0
        and dispatcher.zone_preference(CLASSES[SAFE]) == 1.0
    )
    reported(bench, home=8.0)
    tight = dispatcher.zone_saturation
    bench.job(UNSAFE)
    assert dispatcher.zone_saturation < tight


def test_a_worker_gets_a_job_again_only_if_it_surely_has_not_run_there():
    # Guards the attempts left: calls name no attempt, so the host sends none where the job may have run.
    for outcome, again in ((Outcome.RESET, False), (Outcome.FULL, True)):
        bench = Bench([ready(b"only")])
        job, _ = bench.job(SAFE)
        bench.tell(AttemptEnded(job, 0, b"only", outcome, final=False, kept=True))
        reported(bench, only=2.0)
        bench.dispatcher.workers[b"only"].ejected_until = 0
        assert bool(of(Push, bench.run(SECOND))) is again


def test_a_job_lost_in_silence_does_not_shut_out_a_worker_whose_readings_show_slots_free():
    # Guards live workers: one lost job made a worker with three free slots useless until its time-out.
    bench = Bench([ready(b"w")])
    dispatcher = bench.dispatcher
    reported(bench, w=3.0)
    lost, _ = bench.job(UNSAFE)
    (worker,), job = dispatcher.ready, dispatcher.jobs[lost]
    bench.run(SECOND // 2)
    dispatcher.now = bench.now
    assert dispatcher.available_slots(worker, job) <= 0  # as far as is known it queues
    for free in (2.0, 2.1, 2.2, 2.3, 2.4):
        bench.run(SECOND)
        reported(bench, w=free)
    assert dispatcher.available_slots(worker, job) > 1
    reported(bench, w=0.0)
    assert dispatcher.available_slots(worker, job) <= 0  # full: it may stand in a queue after all


def test_after_a_broken_watch_the_list_is_asked_for_within_the_grace_of_a_drain_and_then_ever_later():
    for seed in range(20):
        bench = Bench([ready(b"w")], seed=seed, list_on_request=True, drain_grace=3 * SECOND // 2)
        bench.tell(WorkerList(1, ListKind.FAILED, []))
        assert of(Subscribe, bench.run(SECOND))
    asked = []
    for seed in range(20):
        bench = Bench([ready(b"w")], seed=seed, list_on_request=True, drain_grace=3 * SECOND // 2)
        for _ in range(3):
            bench.tell(WorkerList(1, ListKind.FAILED, []))
        asked.append(bool(of(Subscribe, bench.run(SECOND))))
    assert not all(asked)


@pytest.mark.parametrize(
    ("job_class", "started", "off"),
    [(SAFE, False, True), (SAFE, True, True), (UNSAFE, False, True), (UNSAFE, True, False)],
)
def test_what_runs_for_nobody_is_called_off_but_for_a_running_charge(job_class, started, off):
    bench = Bench([ready(b"a")])
    number, actions = bench.job(job_class)
    worker = pushed(actions)
    if started:
        bench.tell(AttemptStarted(number, 0, worker))
    assert of(Cancel, bench.tell(JobExpired(number))) == ([Cancel(number, 0)] if off else [])
    quiet = Bench([ready(b"a")], cancels=False)
    number, _ = quiet.job(job_class)
    assert not of(Cancel, quiet.tell(JobExpired(number)))
