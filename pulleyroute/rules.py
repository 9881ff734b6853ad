"""All decisions of a dispatcher; its types, events and actions are in `pulleyroute/interface.py`.

A job is pushed at once to one worker by weighted random choice. A worker's weight is its estimated number of
free slots: those that it reported, less own pushes since, and at least a small floor. A push that is not
accepted is repeated elsewhere after a Full Jitter backoff. The other rules adjust the weights: admission by
estimated queue wait (`weight`), outlier ejection (`eject`), slow start (`within_budget`), preference for the
own zone (`zone_preference`) and subsetting (`choose_subset`). All times are microseconds (us) of the host's
clock. See `docs/design.md`.
"""

from __future__ import annotations

from collections import deque
from math import exp
from random import Random
from zlib import crc32

from pulleyroute import interface as api
from pulleyroute.interface import Effect, Outcome, Scope

MIN_WEIGHT = 0.0007  # slots; so far below 1 that full workers are rarely drawn while any has a slot free
# Limit of the first backoff, over the class's aim. None is longer than the aim: the job would be late anyway.
BACKOFF_BASE_SHARE = 1 / 8
# Free slots in another zone that weigh as much as one in the own zone, for each 0.01 of `price_cross_zone`.
ZONE_PREFERENCE_SLOTS = 12.0
ERROR_WEIGHT = 0.1  # factor for an error score of 1; a healthy worker hardly ever fails twice in a row
ERROR_RECOVERY = 0.3  # share of the error score that a success removes
MISSED_PROGRESS = 2.5  # progress intervals without a report from a running job: one may be late, two are not
PLANNED_BUDGET_SHARE = 0.5  # of a cold worker's budget; the rest is for jobs heavier than the mean
# A dispatcher's part of a shared budget follows its own load over the mean load, within these bounds, and is
# reduced by a margin for the error that the estimates of all dispatchers may have in common.
MIN_LOAD_RATIO, MAX_LOAD_RATIO, LOAD_RATIO_MARGIN = 0.25, 3.0, 0.8
MEDIAN_RUN_TIME_SHARE = 0.5  # the median running time as a share of the mean; running times have long tails
QUEUE_DRAIN_RATE = 0.5  # us by which a queue wait shrinks per us, as if half of its work kept coming
WORTH_EXPONENT = 0.5  # of a class's worth per running time, relative to the best class's; see `worth_factor`
EWMA_WEIGHT = 0.1  # of the newest sample in an exponentially weighted moving average
# A push that has not started within this share of the class's aim, plus this many times the worker's fastest
# start (the network takes time too), is cancelled if another worker has a free slot.
START_TIMEOUT_SHARE, START_TIMEOUT_TRIPS = 0.3, 3
MIN_AVAILABLE_SLOTS = 0.5  # estimated free slots from which on a worker counts as having one
PROBES_PER_JOB = 1.0
# Workers in a subset, in fleets of more than three times as many. The fewer workers a dispatcher uses, the
# more of their load are its own pushes, which it knows; but it must still find one with a free slot.
MIN_SUBSET_SIZE = 8

PROVEN_NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
TICK_TOKEN = 0  # token of the periodic timer


def rendezvous_distance(worker: api.WorkerId, dispatcher: int) -> float:
    """Return a worker's rendezvous hash for a dispatcher, from 0 to 1, which is the same in every process."""
    return crc32(worker + dispatcher.to_bytes(2, "big")) * 2654435761 % 2**32 / 2**32


class Attempt:
    """One push of a job to a worker."""

    _PUSH = ("cell", "expected_wait", "index", "job", "sent_at", "worker", "zone")
    _PROGRESS = ("ended", "last_progress", "may_have_run", "started_at")
    __slots__ = (*_PUSH, *_PROGRESS)

    def __init__(self, job: Job, index: int, worker: Worker, now: int) -> None:
        self.job, self.index, self.worker = job, index, worker
        self.cell, self.zone = worker.cell, worker.zone  # at the push; None: unknown, so no worker's
        self.sent_at = self.last_progress = now
        self.started_at = 0  # 0 until it has started
        self.ended = False
        self.may_have_run = True  # False once an outcome proves that it has not
        self.expected_wait = job.expected_waits.get(worker.id, 0.0)  # us in the worker's queue, when drawn


class Job:
    """A job from its arrival until it is answered and its last attempt has ended."""

    _REQUEST = ("cls", "deadline", "hint", "id", "max_attempts", "memory", "slots")
    _STATE = ("attempts", "backoffs", "ended", "expected_waits", "open_count", "useful_until")
    __slots__ = (*_REQUEST, *_STATE)

    def __init__(self, event: api.JobArrived, settings: api.Settings, now: int) -> None:
        self.id = event.job
        # Settings may change while the job is open: it keeps the class and limit of its arrival.
        self.cls, self.max_attempts = settings.classes[event.job_class], settings.max_attempts
        self.deadline = now + event.time_left
        self.useful_until = self.deadline  # an answer after this time earns little; set by `place`
        self.slots = event.slots
        self.memory = event.memory
        # A wrong cost hint must not distort the estimates: no job in time runs longer than its client waits.
        hint = event.cost_hint or 0
        self.hint = min(hint, event.time_left) if hint > 0 else None  # us
        self.attempts: list[Attempt] = []
        self.open_count = 0  # attempts that have not ended
        self.backoffs = 0  # after pushes that were not accepted and draws that found no worker
        self.expected_waits: dict[api.WorkerId, float] = {}  # us, by worker without a free slot
        self.ended = False


class Worker:
    """What this dispatcher knows of a worker."""

    _LISTED = ("cell", "distance", "id", "kind", "ready", "started", "zone")
    _OWN_LOAD = ("open_attempts", "own_slots", "slot_changes", "unreported_slots", "unstarted")
    _LOAD = ("capacity", "free_memory", "free_slots", "other_slots", "queue_unknown")
    _REPORT = ("last_report", "probed_at", "report_at")
    _HEALTH = ("ejected_until", "ejections", "error_score", "error_score_at", "last_seen", "rejections")
    _STARTS = ("fastest_start", "last_wait", "last_wait_at", "longest_wait", "start_timeouts")
    _SLOW_START = ("budget", "budget_at")
    __slots__ = (*_LISTED, *_OWN_LOAD, *_LOAD, *_REPORT, *_HEALTH, *_STARTS, *_SLOW_START)

    def __init__(self, entry: api.Entry) -> None:
        self.id = entry.worker
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # by job id and index
        self.unstarted: dict[tuple[int, int], Attempt] = {}  # those of them that have not started
        self.slot_changes: deque[tuple[int, float]] = deque()  # own ones not in a report yet: time, slots
        self.own_slots = 0.0  # slots that own attempts take
        self.unreported_slots = 0.0  # sum of `slot_changes`
        self.probed_at = 0
        self.distance = 0.0  # rendezvous hash for this dispatcher
        self.update(entry)
        self.reset(entry)

    def update(self, entry: api.Entry) -> None:
        """Take over what the worker list says."""
        self.kind, self.cell, self.zone = entry.kind, entry.cell, entry.zone
        self.ready = entry.state is api.WorkerState.READY

    def reset(self, entry: api.Entry) -> None:
        """Forget load and health of an earlier process, as the worker has restarted."""
        self.started = entry.started  # 0: long ago
        self.free_slots: float | None = None  # by the last report; negative: jobs in its queue
        self.free_memory: float | None = None  # in the unit of the reports
        self.capacity = 0.0  # slots: the most seen free or in own use
        self.queue_unknown = False  # the last report showed no free slot and no queue length
        self.report_at = 0  # when the last report that differed from the one before arrived
        self.other_slots = 0.0  # slots used by other dispatchers (EWMA)
        self.last_report: api.LoadReport | None = None
        self.error_score = 0.0  # one point for each error; decays over time and with each success
        self.error_score_at = self.ejected_until = 0
        self.start_timeouts = 0  # jobs in a row that were cancelled because they did not start
        self.fastest_start: int | None = None  # us from push to start, the shortest seen
        self.rejections = 0  # jobs in a row that it rejected although its report showed a free slot
        self.ejections = 0  # since the worker last responded
        self.last_seen = self.last_wait = 0  # last sign of life; us that a job waited, at `last_wait_at`
        self.last_wait_at = self.longest_wait = 0
        self.budget = -1.0  # slow start: tokens, in mean jobs; below 0 with `budget_at` 0: not yet opened
        self.budget_at = 0  # when tokens were last added


class Dispatcher:
    """Decides for one dispatcher: pass events to `handle` in order, and carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.on_settings(api.SettingsChanged(settings))
        self.rng = Random(seed)
        self.now = now
        self.jobs: dict[int, Job] = {}
        self.first_try_time: dict[tuple[str, int], int] = {}  # by class: longest time left at an arrival, us
        self.workers: dict[api.WorkerId, Worker] = {}
        self.ready: list[Worker] = []
        self.zone_saturation = 0.0  # share of jobs that found no free slot in the own zone (EWMA)
        self.running_slots = self.load = 0.0  # slots of own started attempts: now, and at arrivals (EWMA)
        self.mean_busy_slots = 1.0  # slots in use at a worker (EWMA over reports)
        self.subset_size = MIN_SUBSET_SIZE
        self.subset_outdated = False  # its size has changed, or a worker went down or came back
        self.subset: list[Worker] = []  # the ready workers that jobs are pushed to
        self.backing_off: dict[int, Job] = {}  # by timer token
        self.start_timers: dict[int, Attempt] = {}  # by timer token
        self.last_token = TICK_TOKEN
        self.actions: list[api.Action] = []
        # Running times are EWMAs in us. Until the first one is seen, the mean aim of the classes stands in.
        self.mean_run_time = sum(c.aim for c in settings.classes) / len(settings.classes)
        self.class_run_times: dict[str, float] = {}  # by class name
        self.warm_run_time = self.mean_run_time  # on workers that are not cold
        self.hint_ratio = 1.0  # running time over cost hint (EWMA)
        # Queue waits (EWMAs, us), seen and estimated: they differ as other dispatchers' jobs queue unseen.
        self.mean_wait_seen = self.mean_wait_expected = self.mean_run_time
        self.report_interval = 0.0  # us between two reports of a worker (EWMA)
        self.probe_credit = 0.0  # probes
        self.subscribed = not settings.list_on_request
        self.subscribe_at = self.list_failures = 0
        self.tick_armed = False
        self.handlers = {
            api.JobArrived: self.on_job,
            api.AttemptStarted: self.on_started,
            api.AttemptProgress: self.on_progress,
            api.StreamBegan: self.on_progress,
            api.AttemptEnded: self.on_ended,
            api.ProbeEnded: self.on_probe,
            api.WorkerList: self.on_list,
            api.TimerFired: self.on_timer,
            api.JobExpired: self.on_expired,
            api.PeerMessage: lambda event: None,  # dispatchers send each other no messages
            api.SettingsChanged: self.on_settings,
        }

    def on_settings(self, event: api.SettingsChanged) -> None:
        """Apply settings; jobs that are open keep their class and limits."""
        self.settings = settings = event.settings
        self.shortest_give_up = min(c.give_up for c in settings.classes)
        self.sends_probes = settings.probes and settings.report_source is not api.ReportSource.NONE
        self.cross_zone_factor = 1 / (1 + ZONE_PREFERENCE_SLOTS * 100 * settings.price_cross_zone)
        self.tick_interval = max(1, (settings.progress or self.shortest_give_up // 5) // 2)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event at time `now` and return the actions to carry out."""
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)  # type: ignore[operator]
        return self.actions

    # Jobs

    def on_job(self, event: api.JobArrived) -> None:
        """Accept a job and place it."""
        job = Job(event, self.settings, self.now)
        self.jobs[job.id] = job
        class_key = job.cls.name, job.cls.give_up
        self.first_try_time[class_key] = max(self.first_try_time.get(class_key, 0), event.time_left)
        self.probe_credit = min(self.probe_credit + PROBES_PER_JOB, len(self.ready))
        self.load += EWMA_WEIGHT * (self.running_slots - self.load)
        self.place(job)
        self.spend_probes()

    def place(self, job: Job) -> None:
        """Push the job to a worker by weighted random choice, or back off if none can take it."""
        if len(job.attempts) >= job.max_attempts:
            self.end_unsuccessfully(job)
            return
        # A client's retry arrives with less time left than its first try: that much of the aim is used up.
        first_tried_at = job.deadline - self.first_try_time[job.cls.name, job.cls.give_up]
        # At most the class's median: a hint is rough and some workers are slow, so a long wait that only the
        # hint allows would make heavy jobs late.
        median = MEDIAN_RUN_TIME_SHARE * self.class_run_times.get(job.cls.name, self.mean_run_time)
        stretch = max(0.0, job.cls.stretch - 1) * min(self.expected_run_time(job), median)
        useful_until = first_tried_at + int((job.cls.aim + stretch) * self.worth_factor(job.cls))
        job.useful_until = min(job.deadline, useful_until)
        if self.cross_zone_factor < 1:
            local = (w for w in self.subset if w.zone == self.settings.zone)
            slot_free = any(self.available_slots(w, job) > MIN_AVAILABLE_SLOTS for w in local)
            self.zone_saturation += EWMA_WEIGHT * ((not slot_free) - self.zone_saturation)
        worker = self.choose_worker(job)
        if worker is None:
            self.back_off(job, job.useful_until)
            return
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        job.attempts.append(attempt)
        job.open_count += 1
        key = (job.id, attempt.index)
        worker.open_attempts[key] = worker.unstarted[key] = attempt
        self.add_slots(worker, job.slots)
        worker.budget -= self.relative_size(job)
        self.actions.append(api.Push(job.id, worker.id, job.deadline))
        self.arm_start_timer(attempt)

    def arm_start_timer(self, attempt: Attempt) -> None:
        """Set a timer for the time by which a push that may be repeated should have started."""
        job, s = attempt.job, self.settings
        repeatable = job.cls.effect is not Effect.UNSAFE and len(job.attempts) < job.max_attempts
        if s.tells_start and s.cancels and repeatable:
            trip = attempt.worker.fastest_start
            trips = self.mean_run_time * EWMA_WEIGHT if trip is None else START_TIMEOUT_TRIPS * trip
            self.last_token += 1
            self.start_timers[self.last_token] = attempt
            self.actions.append(api.SetTimer(int(START_TIMEOUT_SHARE * job.cls.aim + trips), self.last_token))

    def on_start_overdue(self, attempt: Attempt) -> None:
        """Cancel a push that has not started in time, if another worker has a free slot.

        A short job would be late in a queue that no report showed, or at a worker that does not respond.
        """
        job, worker = attempt.job, attempt.worker
        if attempt.ended or attempt.started_at or job.ended or self.now >= job.useful_until:
            return
        tried = [a.worker for a in job.attempts]
        others = (w for w in self.eligible(job) if w not in tried and w.free_slots is not None)
        free = (w for w in others if self.available_slots(w, job) > MIN_AVAILABLE_SLOTS)
        if not any(self.weight(w, job) > 0 for w in free):
            self.arm_start_timer(attempt)  # its place in the queue is as good as any
            return
        self.actions.append(api.Cancel(job.id, attempt.index))
        # The next report may show free slots again, but a job that does not start proves that there are none.
        self.record_wait(worker, self.now - attempt.sent_at)
        worker.free_slots = min(0.0, worker.free_slots or 0.0)
        worker.start_timeouts += 1
        if worker.start_timeouts > 1:
            ejection = min(self.shortest_give_up, self.tick_interval * (worker.start_timeouts - 1))
            worker.ejected_until = self.now + ejection

    def expected_run_time(self, job: Job) -> float:
        """Return the job's running time on a warm worker by its cost hint, else a low estimate, in us."""
        if job.hint is not None:
            return job.hint * self.hint_ratio
        return MEDIAN_RUN_TIME_SHARE * self.class_run_times.get(job.cls.name, self.mean_run_time)

    def relative_size(self, job: Job) -> float:
        """Return the job's work in mean jobs, the unit of slow-start budgets."""
        return job.slots if job.hint is None else job.slots * self.expected_run_time(job) / self.warm_run_time

    def worth_per_time(self, cls: api.JobClass) -> float:
        """Return the worth of a class for each us of running; its plain worth if that counts by work."""
        run_time = self.class_run_times.get(cls.name, self.mean_run_time)
        return cls.worth if self.settings.by_work else cls.worth / run_time

    def worth_factor(self, cls: api.JobClass) -> float:
        """Return the factor, from 0 to 1, by which a class's useful time is shortened.

        In an overload, a class that is worth less for its work gives up its place to more valuable jobs.
        """
        best = max(self.worth_per_time(c) for c in self.settings.classes)
        return (self.worth_per_time(cls) / best) ** WORTH_EXPONENT if best > 0 else 1.0

    def choose_worker(self, job: Job) -> Worker | None:
        """Return a worker by weighted random choice, None if no weight is above 0."""
        candidates = self.eligible(job)
        # If no untried worker is left, one that rejected the job may have a free slot by now. A worker where
        # the job may have run never gets it again.
        for avoid in ([a.worker for a in job.attempts], [a.worker for a in job.attempts if a.may_have_run]):
            weights = [0.0 if w in avoid else self.weight(w, job) for w in candidates]
            if sum(weights) > 0:
                return self.rng.choices(candidates, weights)[0]
        return None

    def zone_preference(self, cls: api.JobClass) -> float:
        """Return how far the preference for the own zone applies to a class, from 0 to 1.

        If free slots in the own zone are scarce, the longest classes leave it first: a crossing costs as
        much for any job, and one long job leaves slots to several short ones, which would cross instead.
        """
        shortest = min(self.class_run_times.values(), default=0.0)
        if not shortest:
            return 1.0
        longer = self.class_run_times.get(cls.name, shortest) / shortest - 1
        return max(0.0, 1 - self.zone_saturation * longer)

    def eligible(self, job: Job) -> list[Worker]:
        """Return the workers that may run the job: by its kind, and by the group that drops its repeats."""
        cls, bound = job.cls, self.binding_attempt(job)
        if bound is not None and self.now >= bound.sent_at + cls.repeat_window:
            return []
        candidates = self.subset if bound is None and cls.kind < 0 else self.ready
        if cls.kind >= 0:
            candidates = [w for w in candidates if w.kind == cls.kind]
        if bound is not None and cls.scope is Scope.ZONE:
            candidates = [w for w in candidates if w.zone == bound.zone]
        elif bound is not None and cls.scope is Scope.CELL:
            candidates = [w for w in candidates if w.cell == bound.cell]
        return candidates

    def waiting_attempts(self, worker: Worker) -> list[Attempt]:
        """Return own pushes that wait at the worker for their start, the oldest first.

        A job that was lost never starts and must not make a live worker look full: a slot that was free two
        report intervals after a push proves that nothing queues before it, so that push is left out.
        """
        if worker.free_slots is None or worker.free_slots < 1 or not self.report_interval:
            return list(worker.unstarted.values())
        seen = worker.report_at - 2 * self.report_interval
        return [attempt for attempt in worker.unstarted.values() if attempt.sent_at > seen]

    def available_slots(self, worker: Worker, job: Job) -> float:
        """Estimate the free slots, less any that the job takes beyond one; negative if jobs are queued."""
        free = worker.free_slots
        if free is None:
            free = 1.0 - worker.unreported_slots
        else:
            # The report may be outdated either way, but own open attempts surely take slots.
            not_own = worker.capacity - worker.own_slots
            free = min(free - worker.unreported_slots, not_own)
            # Slots change hands as jobs end, so the older a report is, the more the usual load of other
            # dispatchers counts. A report is half an interval old on average when it arrives.
            trust = exp(
                -(self.now - worker.report_at + self.report_interval / 2) / max(1.0, self.mean_run_time)
            )
            usual = not_own - worker.other_slots
            if worker.queue_unknown:  # age must not make a full worker with an unknown queue look freer
                usual = min(usual, free)
            free = trust * free + (1 - trust) * usual
        free -= job.slots - 1
        waiting = self.waiting_attempts(worker)
        # A job that has not started after a while is queued: no slot is free, whatever the report says.
        if waiting and self.now - waiting[0].sent_at > self.mean_run_time * EWMA_WEIGHT:
            free = min(free, 1.0 - len(waiting))
        if job.memory and worker.free_memory is not None and job.memory > worker.free_memory:
            free = min(free, 0.0)
        return free

    def is_ejected(self, worker: Worker, now: int) -> bool:
        """Return whether the worker gets no push for now: it is ejected, or one job tests its recovery."""
        return worker.ejected_until > now or (worker.ejections > 0 and bool(worker.open_attempts))

    def weight(self, worker: Worker, job: Job) -> float:
        """Return the worker's weight in the random choice, in free slots; 0 rules it out.

        A worker without a free slot gets a part of `MIN_WEIGHT`, or 0 if the estimated queue wait would last
        until the job is no longer useful. Other zones, errors and slow start reduce the weight by factors.
        """
        if self.is_ejected(worker, self.now):
            return 0.0  # a dead worker's last report may show more free slots than full live workers have
        free = self.available_slots(worker, job)
        if free > MIN_WEIGHT:
            weight = free if worker.free_slots is not None else MIN_WEIGHT  # until the first report
        else:
            ahead = 1.0 - free  # jobs
            wait = ahead * self.mean_run_time / max(worker.capacity, 1.0)
            wait = max(wait, worker.last_wait - (self.now - worker.last_wait_at) * QUEUE_DRAIN_RATE)
            waiting = self.waiting_attempts(worker)
            if waiting:
                wait += self.now - waiting[0].sent_at  # the oldest has waited so long, and is ahead
            # A job that would start too late to be useful would only make the jobs behind it late as well.
            if self.now + wait * max(1.0, self.mean_wait_seen / self.mean_wait_expected) > job.useful_until:
                return 0.0
            weight = MIN_WEIGHT / ahead
            job.expected_waits[worker.id] = wait
        if worker.zone != self.settings.zone:
            weight *= self.cross_zone_factor ** self.zone_preference(job.cls)
        if worker.error_score:
            half_lives = (self.now - worker.error_score_at) / self.shortest_give_up
            weight *= ERROR_WEIGHT ** (worker.error_score * 0.5**half_lives)
        if self.is_cold(worker):
            share = self.capacity_share(self.now - worker.started)
            weight *= share if self.within_budget(worker, share, self.relative_size(job)) else 0.0
        return weight

    def is_cold(self, worker: Worker) -> bool:
        """Return whether the worker started so recently that it may still be warming up."""
        return worker.started > 0 and self.now - worker.started < self.settings.ramp_time

    def capacity_share(self, age: int) -> float:
        """Return the least share of its capacity that a cold worker of this age, in us, has."""
        cold = self.settings.cold_share
        return cold + (1 - cold) * age / self.settings.ramp_time

    def within_budget(self, worker: Worker, share: float, size: float) -> bool:
        """Return whether this dispatcher's slow-start budget for a cold worker covers `size` mean jobs.

        The settings state how much work within a window brings a cold worker down. The budget is a token
        bucket, in mean jobs, filled with this dispatcher's part of a planned share of that work.
        """
        s = self.settings
        limit = s.tip_multiple * share * max(worker.capacity, 1.0) * s.tip_window / self.warm_run_time  # jobs
        # A free slot in a fresh report proves that all dispatchers together send less than the worker can do:
        # a reserve for chance and uneven load is not needed then, and would leave a cold fleet idle.
        slot_free = (worker.free_slots or 0.0) >= 1 and self.now - worker.report_at < s.tip_window / 2
        # Dispatchers that use the worker: the mean number of them if a slot is free; else twice as many, as
        # subsets are not spread evenly.
        sharers = s.dispatchers * min(1.0, (2 - slot_free) * max(1, len(self.subset)) / len(self.ready))
        planned = PLANNED_BUDGET_SHARE * limit
        if slot_free and self.now - worker.started > 2 * s.tip_window:
            # A worker that gets all that it surely handles and still shows free slots warms up sooner than
            # the settings state, and would idle otherwise.
            planned *= 1 + min(1.0, (worker.free_slots or 0.0) / worker.capacity) / 2
        if sharers > MIN_SUBSET_SIZE and not slot_free:
            # Many independent dispatchers send a random stream: leave four standard deviations to the limit.
            planned = min(planned, ((max(0.0, limit - 1) + 4) ** 0.5 - 2) ** 2)
        per_us = planned / sharers / s.tip_window
        if self.subset is not self.ready:
            # By load, so that busy dispatchers don't run short while idle ones leave their tokens unused.
            mean_load = max(MIN_WEIGHT, self.mean_busy_slots * len(self.ready) / s.dispatchers)
            per_us *= LOAD_RATIO_MARGIN * min(MAX_LOAD_RATIO, max(MIN_LOAD_RATIO, self.load / mean_load))
        if worker.budget < 0 and not worker.budget_at:
            worker.budget = self.rng.random()
        else:
            bucket = max(size, per_us * s.tip_window)
            worker.budget = min(bucket, worker.budget + per_us * (self.now - worker.budget_at))
        worker.budget_at = self.now
        return worker.budget >= size and size <= max(1.0, planned)

    def add_slots(self, worker: Worker, slots: float) -> None:
        """Count slots that own attempts take, or give back if negative, until a report includes them."""
        worker.own_slots += slots
        worker.slot_changes.append((self.now, slots))
        worker.unreported_slots += slots

    def binding_attempt(self, job: Job) -> Attempt | None:
        """Return the first attempt of a keyed job that may have run; repeats must stay in its group."""
        if job.cls.effect is Effect.KEYED:
            for attempt in job.attempts:
                if attempt.may_have_run:
                    return attempt
        return None

    def back_off(self, job: Job, until: int) -> None:
        """Wait random(0, min(cap, base * 2 ** attempt)) (Full Jitter); end the job if that is too long."""
        cap = job.cls.aim
        limit = min(cap, BACKOFF_BASE_SHARE * cap * 2 ** min(job.backoffs, 30))
        job.backoffs += 1
        wait = int(self.rng.random() * limit)
        bound = self.binding_attempt(job)
        window_over = bound is not None and self.now + wait >= bound.sent_at + job.cls.repeat_window
        if self.now + wait >= until or len(job.attempts) >= job.max_attempts or window_over:
            self.end_unsuccessfully(job)
            return
        self.last_token += 1
        self.backing_off[self.last_token] = job
        self.actions.append(api.SetTimer(wait, self.last_token))

    def end_unsuccessfully(self, job: Job) -> None:
        """Refuse the job if it surely has not run, else fail it."""
        may_have_run = any(a.may_have_run for a in job.attempts)
        # Clients that come back at once would meet the same overload, so they are advised to wait.
        advice = min(job.cls.aim, self.settings.max_retry_after)
        self.actions.append(api.Fail(job.id) if may_have_run else api.Refuse(job.id, advice))
        self.close(job)

    def close(self, job: Job) -> None:
        """Mark the job as answered, and forget it if no attempt is open."""
        job.ended = True
        if not job.open_count:
            self.jobs.pop(job.id, None)

    def on_expired(self, event: api.JobExpired) -> None:
        """Close a job that no client waits for, and cancel its attempts to free their slots."""
        job = self.jobs.get(event.job)
        if job is not None:
            if self.settings.cancels:
                self.actions += [
                    api.Cancel(job.id, a.index)
                    for a in job.attempts
                    if not a.ended and not (a.started_at and job.cls.effect is Effect.UNSAFE)
                ]
            self.close(job)

    # Attempts

    def find_open_attempt(self, job_id: int, index: int) -> Attempt | None:
        """Return the attempt; None if it has ended or its job is not known."""
        job = self.jobs.get(job_id)
        if job is None or index >= len(job.attempts):
            return None
        attempt = job.attempts[index]
        return None if attempt.ended else attempt

    def mark_alive(self, worker: Worker) -> None:
        """End the ejection of a worker that has responded, unless it rejects jobs or doesn't start them."""
        worker.last_seen = self.now
        self.subset_outdated = self.subset_outdated or worker.ejections > 1
        worker.ejections = 0
        if not worker.rejections and not worker.start_timeouts:
            worker.ejected_until = 0

    def on_started(self, event: api.AttemptStarted) -> None:
        """Record how long a job has waited for its start."""
        attempt = self.find_open_attempt(event.job, event.attempt)
        if attempt is not None:
            worker, wait = attempt.worker, self.now - attempt.sent_at
            worker.rejections = worker.start_timeouts = 0
            worker.fastest_start = wait if worker.fastest_start is None else min(worker.fastest_start, wait)
            self.record_wait(worker, wait)
            if attempt.expected_wait:
                self.mean_wait_expected += EWMA_WEIGHT * (attempt.expected_wait - self.mean_wait_expected)
                self.mean_wait_seen += EWMA_WEIGHT * (wait - self.mean_wait_seen)
            self.on_progress(event)

    def record_wait(self, worker: Worker, wait: int) -> None:
        """Record a queue wait, in us: of a job that started, did not start in time or was rejected."""
        worker.last_wait = wait
        worker.last_wait_at = self.now
        worker.longest_wait = max(worker.longest_wait, wait)

    def on_progress(self, event: api.AttemptStarted | api.AttemptProgress | api.StreamBegan) -> None:
        """Record that an attempt runs; its start event may have been late or lost."""
        attempt = self.find_open_attempt(event.job, event.attempt)
        if attempt is not None:
            attempt.last_progress = self.now
            if not attempt.started_at:
                attempt.started_at = self.now
                self.running_slots += attempt.job.slots
                attempt.worker.unstarted.pop((event.job, event.attempt), None)
            self.mark_alive(attempt.worker)

    def on_ended(self, event: api.AttemptEnded) -> None:
        """Record the end of an attempt, then close the job or back off until its next attempt."""
        attempt = self.find_open_attempt(event.job, event.attempt)
        if attempt is None:
            return
        worker, job, outcome = attempt.worker, attempt.job, event.outcome
        attempt.ended = True
        attempt.may_have_run = outcome not in PROVEN_NOT_RUN
        key = (job.id, attempt.index)
        worker.open_attempts.pop(key, None)
        worker.unstarted.pop(key, None)
        self.add_slots(worker, -job.slots)
        job.open_count -= 1
        self.running_slots -= job.slots if attempt.started_at else 0
        if event.report is not None:
            self.record_report(worker, event.report)
        if not (event.kept and outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)):
            # A kept connection may end at any time, which says nothing about the worker's health.
            self.record_outcome(worker, attempt, outcome)
        if event.final or job.ended:
            self.close(job)
        elif self.now >= job.deadline:
            self.end_unsuccessfully(job)
        elif not job.open_count:
            if job.cls.effect is Effect.UNSAFE and attempt.may_have_run:
                self.end_unsuccessfully(job)
            else:
                self.back_off(job, job.deadline)

    def record_outcome(self, worker: Worker, attempt: Attempt, outcome: Outcome) -> None:
        """Update the worker's health, and the running times, by the outcome of an attempt."""
        if outcome is Outcome.OK:
            self.mark_alive(worker)
            worker.error_score *= 1 - ERROR_RECOVERY
            if attempt.started_at:
                cls_name, hint, took = attempt.job.cls.name, attempt.job.hint, self.now - attempt.started_at
                self.mean_run_time += EWMA_WEIGHT * (took - self.mean_run_time)
                if not self.is_cold(worker):
                    self.warm_run_time += EWMA_WEIGHT * (took - self.warm_run_time)
                    if hint is not None:
                        self.hint_ratio += EWMA_WEIGHT * (min(10.0, took / hint) - self.hint_ratio)
                run_time = self.class_run_times.get(cls_name, self.mean_run_time)
                self.class_run_times[cls_name] = run_time + EWMA_WEIGHT * (took - run_time)
        elif outcome is Outcome.FULL:
            self.mark_alive(worker)
            free = worker.free_slots
            if free is not None and free - worker.unreported_slots + attempt.job.slots >= 1:
                # The worker may be draining before the list says so: it shows free slots and rejects jobs.
                worker.rejections += 1
                ejection = min(self.shortest_give_up, self.tick_interval * 2**worker.rejections)
                worker.ejected_until = self.now + ejection
            worker.free_slots = 0.0
            worker.queue_unknown = True
            worker.report_at = self.now
            # A queue that overflows is as long as any seen there, and at least one mean job.
            self.record_wait(worker, max(worker.longest_wait, int(self.mean_run_time)))
        elif outcome is Outcome.ERROR:
            self.mark_alive(worker)
            # A job that has failed at another worker too is itself the likely cause.
            if sum(1 for a in attempt.job.attempts if a.ended and a.may_have_run) < 2:
                half_lives = (self.now - worker.error_score_at) / self.shortest_give_up
                worker.error_score = worker.error_score * 0.5**half_lives + 1
                worker.error_score_at = self.now
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self.eject(worker)

    def eject(self, worker: Worker) -> None:
        """Eject a worker that seems down until it responds, each time for twice as long, with jitter."""
        ejection = min(self.shortest_give_up, self.tick_interval * 2**worker.ejections)
        worker.ejections += 1
        self.subset_outdated = True
        worker.ejected_until = self.now + int(ejection * (1 + self.rng.random()))

    # Reports and probes

    def record_report(self, worker: Worker, report: api.LoadReport) -> None:
        """Update the load of a worker by its report, and the averages over all workers."""
        free = report.free_slots
        if free is None:
            return
        if not 0 <= free < 1e9:  # NaN and negative values: the worker gets the floor weight
            worker.free_slots = None
            return
        if worker.last_report is not None:
            if report == worker.last_report:
                return  # the same reading again is as old as when it was first seen
            interval, mean = self.now - worker.report_at, self.report_interval
            pace = EWMA_WEIGHT if interval < mean else EWMA_WEIGHT / 10
            self.report_interval = mean + pace * (interval - mean) if mean else interval
        worker.last_report = report
        worker.report_at = self.now
        queued = report.queued
        if free < 1:  # the jobs in the queue take their slots before the next one
            if queued is None and report.in_hand is not None:
                queued = report.in_hand - worker.capacity
            free -= queued if queued is not None and 0 <= queued < 1e9 else 0
        worker.queue_unknown = free < 1 and queued is None
        worker.free_slots = free
        memory = report.free_memory
        worker.free_memory = memory if memory is not None and 0 <= memory < 1e9 else None
        started = sum(1 for attempt in worker.open_attempts.values() if attempt.started_at)
        worker.capacity = max(worker.capacity, free, started)
        self.mean_busy_slots += EWMA_WEIGHT / 4 * (worker.capacity - max(0.0, free) - self.mean_busy_slots)
        # A report is some time old when it arrives: it may not include what was pushed within that time.
        included = self.now - min(self.report_interval, self.mean_run_time) / 2
        while worker.slot_changes and worker.slot_changes[0][0] <= included:
            worker.unreported_slots -= worker.slot_changes.popleft()[1]
        if not worker.slot_changes:
            worker.unreported_slots = 0.0
        others = max(0.0, worker.capacity - worker.free_slots - (worker.own_slots - worker.unreported_slots))
        worker.other_slots += EWMA_WEIGHT * (others - worker.other_slots)

    def on_probe(self, event: api.ProbeEnded) -> None:
        """Record the report of a probe, or eject the worker if it did not answer and was not seen since."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        if event.outcome is Outcome.OK:
            self.mark_alive(worker)
            if event.report is not None:
                self.record_report(worker, event.report)
        elif event.outcome is not Outcome.FULL and worker.ready and self.now - worker.last_seen > event.took:
            self.eject(worker)

    def spend_probes(self) -> None:
        """Probe the workers whose last probe is oldest, as far as the credit lasts."""
        while self.sends_probes and self.ready and self.probe_credit >= 1:
            oldest = min(self.subset or self.ready, key=lambda worker: worker.probed_at)
            if self.now - oldest.probed_at < self.tick_interval / 2:
                return
            self.probe_credit -= 1
            self.probe(oldest)

    def probe(self, worker: Worker) -> None:
        """Ask a worker for a load report."""
        worker.probed_at = self.now
        self.actions.append(api.Probe(worker.id))

    # The worker list

    def on_list(self, event: api.WorkerList) -> None:
        """Update the workers, or note that the subscription has failed."""
        if event.kind is api.ListKind.FAILED:
            self.subscribed = False
            self.list_failures += 1
            self.schedule_subscription()
            return
        if event.kind is api.ListKind.CACHED:
            self.schedule_subscription()
        else:
            self.subscribed = True
            self.list_failures = 0
        listed = {entry.worker for entry in event.entries} if event.kind is not api.ListKind.DELTA else None
        joined = []
        for entry in event.entries:
            worker = self.workers.get(entry.worker)
            if entry.state is api.WorkerState.READY and (worker is None or not worker.ready):
                joined.append(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(entry)
                worker.distance = rendezvous_distance(worker.id, self.settings.me)
            elif entry.started != worker.started:
                worker.reset(entry)
            worker.update(entry)
        if listed is not None:
            for worker in self.workers.values():
                if worker.id not in listed:
                    worker.ready = False
        self.ready = [w for w in self.workers.values() if w.ready]
        self.choose_subset()
        for name in joined if self.sends_probes else ():
            # Only its subset: all dispatchers of a large fleet at once would be too many for a new worker.
            if self.workers[name] in self.subset:
                self.probe(self.workers[name])
        if not self.tick_armed:
            self.tick_armed = True
            self.actions.append(api.SetTimer(1 + int(self.rng.random() * self.tick_interval), TICK_TOKEN))

    def choose_subset(self) -> None:
        """Choose the workers to push jobs to: all of a small fleet, the nearest few of a large one."""
        self.subset_outdated = False
        self.subset = self.ready
        if len(self.ready) > 3 * MIN_SUBSET_SIZE:
            # Weighing a whole large fleet takes too long, and too little would be known of each worker.
            order = sorted((w for w in self.ready if w.ejections < 2), key=lambda worker: worker.distance)
            local = [w for w in order if w.zone == self.settings.zone][: 3 * self.subset_size // 4]
            remote = [w for w in order if w not in local]
            self.subset = local + remote[: self.subset_size - len(local)]

    def schedule_subscription(self) -> None:
        """Set the time of the next subscription to the list, at random and later after each failure."""
        if self.settings.list_on_request and not self.subscribed:
            share = self.rng.random() * min(2.0, 2.0**self.list_failures / 4)
            delay = self.settings.ask_every * share
            if self.list_failures == 1:
                # The start of a drain may be lost as the watch breaks, and the grace of a drain is short.
                delay = min(delay, share * self.settings.drain_grace / 2)
            self.subscribe_at = self.now + int(delay)

    # Time

    def on_timer(self, event: api.TimerFired) -> None:
        """End a backoff, look at an overdue start, or do the periodic checks."""
        if event.token != TICK_TOKEN:
            job = self.backing_off.pop(event.token, None)
            if job is not None and not job.ended:
                self.place(job)
            attempt = self.start_timers.pop(event.token, None)
            if attempt is not None:
                self.on_start_overdue(attempt)
            return
        self.actions.append(api.SetTimer(self.tick_interval, TICK_TOKEN))
        if not self.subscribed and self.now >= self.subscribe_at:
            self.actions.append(api.Subscribe(True))
            self.subscribe_at = self.now + self.settings.ask_every // 2
        # Other dispatchers fill the subset's workers too, so one far busier than they are uses two workers
        # for each slot that its own jobs take.
        size = min(3 * MIN_SUBSET_SIZE, max(MIN_SUBSET_SIZE, int(2 * self.load)))
        if abs(size - self.subset_size) > self.subset_size / 4:
            self.subset_size, self.subset_outdated = size, True
        if self.subset_outdated and self.subset is not self.ready:
            self.choose_subset()  # without workers found down, which the list may show as ready for long
        for worker in self.ready:
            if worker.open_attempts:
                self.check_progress(worker)
            if worker.ejections and worker.ejected_until <= self.now and self.settings.probes:
                self.eject(worker)
                self.probe(worker)

    def check_progress(self, worker: Worker) -> None:
        """Eject a worker whose running jobs report no progress, and cancel those that may be repeated."""
        if not self.settings.progress:
            return
        timeout = MISSED_PROGRESS * self.settings.progress
        if any(a.started_at and self.now - a.last_progress > timeout for a in worker.open_attempts.values()):
            if not worker.ejections:
                self.eject(worker)
        elif worker.ejections < 2:
            first = next(iter(worker.open_attempts.values()))
            if self.now - max(worker.last_seen, first.sent_at) > timeout and self.settings.probes:
                self.probe(
                    worker
                )  # queued, heavy and lost jobs look alike; a probe shows whether it responds
            return
        if self.settings.cancels:
            for attempt in worker.open_attempts.values():
                job = attempt.job
                if not job.ended and job.cls.effect is not Effect.UNSAFE:
                    self.actions.append(api.Cancel(job.id, attempt.index))
