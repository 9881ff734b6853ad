"""All decisions of a dispatcher; its types, events and actions are in `pulleyroute/interface.py`.

The ordinary path: a job is pushed at once to a ready worker that runs its class, drawn at random by reported
free slots net of own pushes since, with a small floor. A push not accepted is resubmitted elsewhere after a
Full Jitter sleep. Everything else here is an exception, and says when it acts. See `docs/design.md`.
"""

from __future__ import annotations

from collections import deque
from math import exp
from random import Random
from zlib import crc32

from pulleyroute import interface as api
from pulleyroute.interface import Effect, Outcome, Scope

# The floor of the draw, in free slots: small beside one, so that full workers draw little while any is free.
FLOOR = 0.0007
# Full Jitter: the first sleep is at most this share of the class's aim, and no sleep is longer than the aim,
# since a job that slept its whole aim away is late wherever it goes.
BASE_OF_AIM = 1 / 8
# How many free slots at home outweigh one abroad, for each point in 100 that a crossing costs.
PULL = 12.0
# One error in a row makes a worker a tenth as likely; a healthy one hardly ever errs twice running.
ERROR_FACTOR = 0.1
# A success takes this share of the blame away.
FORGIVE = 0.3
# Progress notes that a running job may miss before its worker is doubted: one may be late, two are not.
MISSED_NOTES = 2.5
# Of a cold worker's budget this share is planned for; the rest is for jobs heavier than the mean.
COLD_SHARE_USED = 0.5
# Of many dispatchers that split it each has its part by its own load against the mean, within these bounds,
# less what they may all be wrong by together.
LEAST_PART, MOST_PART, PARTS_USED = 0.25, 3.0, 0.8
# Half of all jobs run for less than about this share of the mean: running times have long tails.
TYPICAL = 0.5
# A queue seen at some length is held to shrink at half the pace of time, as if half its work kept coming.
DRAIN = 0.5
# A class gives up its place sooner by this power of its worth for its work, against the dearest class's.
YIELD = 0.5
# Weight of the newest sample in running means.
BLEND = 0.1
# A push may stay unstarted for this share of the class's aim, and for so many of the shortest times in which
# a job has started there, before the job is moved to a worker with room: the way takes its time too.
START_OF_AIM = 0.3
START_TRIPS = 3
# Free slots, as estimated, from which on a worker has room for a job that is moved.
ROOM = 0.5
# Probes sent for each job taken.
PROBES_PER_JOB = 1.0

# Of a fleet of more than three times as many a dispatcher keeps to so many workers: the fewer they are, the
# more of what they hold are its own pushes, but a job must still find one free.
MIN_SUBSET_SIZE = 8

PROVEN_NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
TICK_TOKEN = 0  # the token of the standing timer


def rank(worker: api.WorkerId, dispatcher: int) -> float:
    """Rendezvous: how far a worker is from a dispatcher, from 0 to 1, the same wherever it is worked out."""
    return crc32(worker + dispatcher.to_bytes(2, "big")) * 2654435761 % 2**32 / 2**32


class Attempt:
    """One push of a job."""

    __slots__ = ("heard", "index", "job", "modelled", "over", "ran", "sent", "started", "worker")

    def __init__(self, job: Job, index: int, worker: Worker, now: int) -> None:
        self.job = job
        self.index = index
        self.worker = worker
        self.sent = self.heard = now
        self.started = 0
        self.over = False
        self.ran = True  # until proved otherwise
        self.modelled = job.waits.get(worker.id, 0.0)  # the wait that the draw reckoned with


class Job:
    """A job taken and not yet forgotten."""

    __slots__ = (
        "attempts",
        "cls",
        "deadline",
        "ended",
        "hint",
        "id",
        "memory",
        "most",
        "out",
        "slots",
        "tries",
        "useful_until",
        "waits",
    )

    def __init__(self, event: api.JobArrived, settings: api.Settings, now: int) -> None:
        self.id = event.job
        # Guards an open job against other settings: its class and limit are those it was taken under.
        self.cls, self.most = settings.classes[event.job_class], settings.max_attempts
        self.deadline = now + event.time_left
        self.useful_until = self.deadline  # an answer later than this earns little; set at each placing
        self.slots = event.slots
        self.memory = event.memory
        # Guards the reckoning against a spoilt guess: no job in time runs for longer than its client waits.
        hint = event.cost_hint or 0
        self.hint = min(hint, event.time_left) if hint > 0 else None
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts out
        self.tries = 0  # pushes not accepted, and draws that found nobody
        self.waits: dict[api.WorkerId, float] = {}
        self.ended = False


class Worker:
    """What this dispatcher knows of a worker."""

    _LISTED = ("cell", "id", "kind", "rank", "ready", "started", "zone")
    _OWN_LOAD = ("asked", "deltas", "held", "net", "out", "unstarted")
    _REPORTED = ("deep", "free_slots", "memory", "capacity", "others", "report_at", "last_report")
    _HEALTH = ("error_score", "blamed_at", "ejected_until", "heard", "ejections", "mute", "prompt", "shut")
    _QUEUE = ("longest", "wait", "wait_at")
    _COLD_START = ("budget", "budget_at")
    __slots__ = (*_LISTED, *_OWN_LOAD, *_REPORTED, *_HEALTH, *_QUEUE, *_COLD_START)

    def __init__(self, entry: api.Entry) -> None:
        self.id = entry.worker
        self.out: dict[tuple[int, int], Attempt] = {}
        self.unstarted: dict[tuple[int, int], Attempt] = {}
        self.deltas: deque[tuple[int, float]] = deque()
        self.held = 0.0  # slots that own attempts hold there
        self.net = 0.0  # slots so taken since the last report, less those given back
        self.asked = 0
        self.rank = 0.0  # how far it is from this dispatcher
        self.update(entry)
        self.reset(entry)

    def update(self, entry: api.Entry) -> None:
        self.kind, self.cell, self.zone = entry.kind, entry.cell, entry.zone
        self.ready = entry.state is api.WorkerState.READY

    def reset(self, entry: api.Entry) -> None:
        """A process that has just started has no past."""
        self.started = entry.started
        self.free_slots: float | None = None
        self.memory: float | None = None
        self.capacity = 0.0  # slots it is known to have
        self.deep = False  # its last reading was full and told no queue
        self.report_at = 0
        self.others = 0.0  # slots that others hold there, on the average of its readings
        self.last_report: api.LoadReport | None = None
        self.error_score = 0.0
        self.blamed_at = self.ejected_until = 0
        self.mute = 0  # jobs in a row that were moved away as they did not start
        self.prompt: int | None = None  # the shortest time in which a job has started there
        self.shut = 0  # jobs in a row that it turned away though it showed room
        self.ejections = 0  # times in a row that it was found down
        self.heard = self.wait = 0  # the wait of a job that started, or was turned away, at `wait_at`
        self.wait_at = self.longest = 0  # the longest is of all waits seen
        self.budget = -1.0  # pushes that a cold worker may get now; below 0: not yet opened
        self.budget_at = 0


class Dispatcher:
    """Decides for one dispatcher. Feed it events in order; carry out what `handle` returns."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.on_settings(api.SettingsChanged(settings))
        self.rng = Random(seed)
        self.now = now
        self.jobs: dict[int, Job] = {}
        self.full_time: dict[tuple[str, int], int] = {}  # by class: the time that a first try comes with
        self.workers: dict[api.WorkerId, Worker] = {}
        self.ready: list[Worker] = []
        self.tight = 0.0  # the share of jobs lately that found no room at home
        self.held = self.load = 0.0  # slots that own started attempts hold, now and on average
        self.mean_busy_slots = 1.0  # slots in use at a worker, on the average of readings
        self.width = MIN_SUBSET_SIZE  # how many workers it keeps to
        self.moved = False  # whether one was found down or back since those near were chosen
        self.subset: list[Worker] = []  # those of them that it keeps to
        self.sleeping: dict[int, Job] = {}
        self.unsure: dict[int, Attempt] = {}  # by timer: attempts that should have started by then
        self.token = TICK_TOKEN
        self.actions: list[api.Action] = []
        self.running = sum(c.aim for c in settings.classes) / len(settings.classes)  # mean running time seen
        self.class_run_times: dict[str, float] = {}  # the same by class
        self.work = self.running  # the same on warm workers
        self.hinted = 1.0  # how long jobs run for each unit that was guessed
        # What waits turned out to be, and were modelled as: others' jobs, not told of, stand in line too.
        self.waits_seen = self.waits_modelled = self.running
        self.gap = 0.0  # time between two reports of a worker, as seen
        self.probe_credit = 0.0
        self.subscribed = not settings.list_on_request
        self.ask_at = self.ask_fails = 0
        self.ticking = False
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
            api.PeerMessage: lambda event: None,  # no deployment has them
            api.SettingsChanged: self.on_settings,
        }

    def on_settings(self, event: api.SettingsChanged) -> None:
        self.settings = settings = event.settings
        self.patience = min(c.give_up for c in settings.classes)
        self.asks = settings.probes and settings.report_source is not api.ReportSource.NONE
        self.abroad = 1 / (1 + PULL * 100 * settings.price_cross_zone)
        self.tick_interval = max(1, (settings.progress or self.patience // 5) // 2)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at time `now` and return what to do."""
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)  # type: ignore[operator]
        return self.actions

    # Jobs

    def on_job(self, event: api.JobArrived) -> None:
        job = Job(event, self.settings, self.now)
        self.jobs[job.id] = job
        kind = job.cls.name, job.cls.give_up
        self.full_time[kind] = max(self.full_time.get(kind, 0), event.time_left)
        self.probe_credit = min(self.probe_credit + PROBES_PER_JOB, len(self.ready))
        self.load += BLEND * (self.held - self.load)
        self.place(job)
        self.spend_probes()

    def place(self, job: Job) -> None:
        """Push the job to a worker drawn at random, or let it sleep if nobody can take it."""
        if len(job.attempts) >= job.most:
            self.end(job)
            return
        # A later try of a client comes with less time than a first one: so much of its aim is gone already.
        born = job.deadline - self.full_time[job.cls.name, job.cls.give_up]
        # Guards heavy jobs against a wait that a guess alone allows: it is rough, and some workers are slow.
        spare = min(self.expected(job), TYPICAL * self.class_run_times.get(job.cls.name, self.running))
        useful = born + int((job.cls.aim + max(0.0, job.cls.stretch - 1) * spare) * self.rank(job.cls))
        job.useful_until = min(job.deadline, useful)
        if self.abroad < 1:
            home = any(w.zone == self.settings.zone and self.room(w, job) > ROOM for w in self.subset)
            self.tight += BLEND * ((not home) - self.tight)
        worker = self.draw(job)
        if worker is None:
            self.sleep(job, job.useful_until)
            return
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        job.attempts.append(attempt)
        job.out += 1
        key = (job.id, attempt.index)
        worker.out[key] = attempt
        worker.unstarted[key] = attempt
        self.take(worker, job.slots)
        worker.budget -= self.size(job)
        self.actions.append(api.Push(job.id, worker.id, job.deadline))
        self.expect_start(attempt)

    def expect_start(self, attempt: Attempt) -> None:
        """Look again at a push that may be repeated when it should have started."""
        job, s = attempt.job, self.settings
        if (
            s.tells_start
            and s.cancels
            and job.cls.effect is not Effect.UNSAFE
            and (len(job.attempts) < job.most)
        ):
            trip = attempt.worker.prompt
            trips = self.running * BLEND if trip is None else START_TRIPS * trip
            self.token += 1
            self.unsure[self.token] = attempt
            self.actions.append(api.SetTimer(int(START_OF_AIM * job.cls.aim + trips), self.token))

    def reconsider(self, attempt: Attempt) -> None:
        """Guards a short job against a queue that no report showed, and against a silent worker."""
        job, worker = attempt.job, attempt.worker
        if attempt.over or attempt.started or job.ended or self.now >= job.useful_until:
            return
        tried = [a.worker for a in job.attempts]
        if not any(
            w.free_slots is not None and self.room(w, job) > ROOM and self.weight(w, job) > 0
            for w in self.eligible(job)
            if w not in tried
        ):
            self.expect_start(attempt)  # its place in the queue is as good as any
            return
        self.actions.append(api.Cancel(job.id, attempt.index))
        # Guards against the next report, which may show room again: what does not start is not free.
        self.waited(worker, self.now - attempt.sent)
        worker.free_slots = min(0.0, worker.free_slots or 0.0)
        worker.mute += 1
        if worker.mute > 1:
            worker.ejected_until = self.now + min(self.patience, self.tick_interval * (worker.mute - 1))

    def expected(self, job: Job) -> float:
        """How long the job will run on a warm worker: at least, where nobody has guessed it."""
        if job.hint is not None:
            return job.hint * self.hinted
        return TYPICAL * self.class_run_times.get(job.cls.name, self.running)

    def size(self, job: Job) -> float:
        """The job's work in mean jobs."""
        return job.slots if job.hint is None else job.slots * self.expected(job) / self.work

    def density(self, cls: api.JobClass) -> float:
        """Worth for each microsecond of running."""
        return (
            cls.worth
            if self.settings.by_work
            else cls.worth / self.class_run_times.get(cls.name, self.running)
        )

    def rank(self, cls: api.JobClass) -> float:
        """Guards the dear jobs in an overload: a class worth less for its work gives up its place sooner."""
        best = max(self.density(c) for c in self.settings.classes)
        return (self.density(cls) / best) ** YIELD if best > 0 else 1.0

    def draw(self, job: Job) -> Worker | None:
        """The draw: free slots net of own pushes since, with a floor, times what the exceptions say."""
        among = self.eligible(job)
        # Where all others are out of the question, one that turned it away may have room by now; but none
        # gets it again where it may have run.
        for avoid in ([a.worker for a in job.attempts], [a.worker for a in job.attempts if a.ran]):
            weights = [0.0 if w in avoid else self.weight(w, job) for w in among]
            if sum(weights) > 0:
                return self.rng.choices(among, weights)[0]
        return None

    def homing(self, cls: api.JobClass) -> float:
        """How much of the pull home counts for a class, from 0 to 1.

        Guards the room at home where it is short: a crossing costs the same whatever crosses, and one long
        job leaves room there for several short ones, which would cross instead.
        """
        shortest = min(self.class_run_times.values(), default=0.0)
        if not shortest:
            return 1.0
        longer = self.class_run_times.get(cls.name, shortest) / shortest - 1
        return max(0.0, 1 - self.tight * longer)

    def eligible(self, job: Job) -> list[Worker]:
        """The workers that may be pushed the job."""
        cls, bound = job.cls, self.bound(job)
        if bound is not None and self.now >= bound.sent + cls.repeat_window:
            return []
        among = self.subset if bound is None and cls.kind < 0 else self.ready
        if cls.kind >= 0:
            among = [w for w in among if w.kind == cls.kind]
        if bound is not None and cls.scope is Scope.ZONE:
            among = [w for w in among if w.zone == bound.worker.zone]
        elif bound is not None and cls.scope is Scope.CELL:
            among = [w for w in among if w.cell == bound.worker.cell]
        return among

    def waiting(self, worker: Worker) -> list[Attempt]:
        """Own pushes that wait there for their start, the oldest first.

        Guards live workers against jobs lost in silence, which never start: a slot that was free two readings
        after the push proves that nothing queues before it.
        """
        if worker.free_slots is None or worker.free_slots < 1 or not self.gap:
            return list(worker.unstarted.values())
        seen = worker.report_at - 2 * self.gap
        return [attempt for attempt in worker.unstarted.values() if attempt.sent > seen]

    def room(self, worker: Worker, job: Job) -> float:
        """Its free slots for the job, as far as can be told; negative where jobs wait."""
        now = self.now
        free = worker.free_slots
        if free is None:
            free = 1.0 - worker.net
        else:
            # A reading may be out of date either way, but what is out there itself surely takes room.
            room = worker.capacity - worker.held
            free = min(free - worker.net, room)
            # Guards against late readings: as one ages, what others usually hold there tells more. Slots
            # change hands as jobs end, and a reading is half the time between two old when it comes.
            trust = exp(-(now - worker.report_at + self.gap / 2) / max(1.0, self.running))
            usual = room - worker.others
            if worker.deep:  # full, with a queue of unknown length: age does not make it look freer
                usual = min(usual, free)
            free = trust * free + (1 - trust) * usual
        free -= job.slots - 1
        waiting = self.waiting(worker)
        # A job still unstarted after a while waits in a queue: no slot is free, whatever the report says.
        if waiting and now - waiting[0].sent > self.running * BLEND:
            free = min(free, 1.0 - len(waiting))
        if job.memory and worker.memory is not None and job.memory > worker.memory:
            free = min(free, 0.0)
        return free

    def is_ejected(self, worker: Worker, now: int) -> bool:
        """Whether nothing is pushed to it for now."""
        return worker.ejected_until > now or (worker.ejections > 0 and bool(worker.out))

    def weight(self, worker: Worker, job: Job) -> float:
        """Free slots net of own pushes since, and the exceptions."""
        now = self.now
        if self.is_ejected(worker, now):
            # Guards against a dead worker's last reading: it shows more free slots than the full ones alive.
            return 0.0
        free = self.room(worker, job)
        if free > FLOOR:
            weight = free if worker.free_slots is not None else FLOOR  # until it reports
        else:
            # Guards against jams: a job that would wait past its use there keeps others from being in time.
            ahead = 1.0 - free
            wait = ahead * self.running / max(worker.capacity, 1.0)
            wait = max(wait, worker.wait - (now - worker.wait_at) * DRAIN)
            waiting = self.waiting(worker)
            if waiting:
                # What has waited so long stands before it, and what was pushed since.
                wait += now - waiting[0].sent
            if now + wait * max(1.0, self.waits_seen / self.waits_modelled) > job.useful_until:
                return 0.0
            weight = FLOOR / ahead
            job.waits[worker.id] = wait
        if worker.zone != self.settings.zone:
            weight *= self.abroad ** self.homing(job.cls)
        if worker.error_score:
            blame = worker.error_score * 0.5 ** ((now - worker.blamed_at) / self.patience)
            weight *= ERROR_FACTOR**blame
        if self.cold(worker):
            share = self.present(now - worker.started)
            weight *= share if self.affordable(worker, share, self.size(job)) else 0.0
        return weight

    def cold(self, worker: Worker) -> bool:
        """Whether it may not be warm yet."""
        return worker.started > 0 and self.now - worker.started < self.settings.ramp_time

    def present(self, age: int) -> float:
        """The share of its capacity that a worker of this age has at the least."""
        cold = self.settings.cold_share
        return cold + (1 - cold) * age / self.settings.ramp_time

    def affordable(self, worker: Worker, share: float, size: float) -> bool:
        """Whether this dispatcher's part of a cold worker's budget has room for so many mean jobs."""
        s = self.settings
        whole = s.tip_multiple * share * max(worker.capacity, 1.0) * s.tip_window / self.work  # jobs
        # Guards a cold fleet against idling: a slot free by a fresh reading proves that all dispatchers
        # together send less than the worker does, so that neither chance nor crowds need room kept for them.
        roomy = (worker.free_slots or 0.0) >= 1 and self.now - worker.report_at < s.tip_window / 2
        # Of all dispatchers those that keep to it, and as many again, as they are not spread evenly.
        sharers = s.dispatchers * min(1.0, (2 - roomy) * max(1, len(self.subset)) / len(self.ready))
        planned = COLD_SHARE_USED * whole
        if roomy and self.now - worker.started > 2 * s.tip_window:
            # Guards against idling where a worker warms sooner than the settings promise: one that is sent
            # as much as it surely does, and that still shows free slots, does more.
            planned *= 1 + min(1.0, (worker.free_slots or 0.0) / worker.capacity) / 2
        if sharers > MIN_SUBSET_SIZE and not roomy:
            # Guards against chance: many that act alone make a random stream; four deviations fit.
            planned = min(planned, ((max(0.0, whole - 1) + 4) ** 0.5 - 2) ** 2)
        per_us = planned / sharers / s.tip_window
        if self.subset is not self.ready:
            # Guards busy dispatchers against want beside tokens that lie with idle ones.
            mean = max(FLOOR, self.mean_busy_slots * len(self.ready) / s.dispatchers)
            per_us *= PARTS_USED * min(MOST_PART, max(LEAST_PART, self.load / mean))
        if worker.budget < 0 and not worker.budget_at:
            worker.budget = self.rng.random()
        else:
            room = max(size, per_us * s.tip_window)
            worker.budget = min(room, worker.budget + per_us * (self.now - worker.budget_at))
        worker.budget_at = self.now
        return worker.budget >= size and size <= max(1.0, planned)

    def take(self, worker: Worker, slots: float) -> None:
        """Note own slots taken or given back at a worker, against the next report."""
        worker.held += slots
        worker.deltas.append((self.now, slots))
        worker.net += slots

    def bound(self, job: Job) -> Attempt | None:
        """The first attempt that may have run, if repeats must keep to its group."""
        if job.cls.effect is Effect.KEYED:
            for attempt in job.attempts:
                if attempt.ran:
                    return attempt
        return None

    def sleep(self, job: Job, until: int) -> None:
        """Full Jitter: sleep random(0, min(cap, base * 2 ** attempt)), or answer at once if time is short."""
        cap = job.cls.aim
        limit = min(cap, BASE_OF_AIM * cap * 2 ** min(job.tries, 30))
        job.tries += 1
        wait = int(self.rng.random() * limit)
        bound = self.bound(job)
        if (
            self.now + wait >= until
            or len(job.attempts) >= job.most
            or (bound is not None and self.now + wait >= bound.sent + job.cls.repeat_window)
        ):
            self.end(job)
            return
        self.token += 1
        self.sleeping[self.token] = job
        self.actions.append(api.SetTimer(wait, self.token))

    def end(self, job: Job) -> None:
        """The final answer: a refusal if nothing ran, else a failure."""
        ran = any(a.ran for a in job.attempts)
        # Guards against a surge that returns at once: the jam it met will not have passed.
        advice = min(job.cls.aim, self.settings.max_retry_after)
        self.actions.append(api.Fail(job.id) if ran else api.Refuse(job.id, advice))
        self.close(job)

    def close(self, job: Job) -> None:
        job.ended = True
        if not job.out:
            self.jobs.pop(job.id, None)

    def on_expired(self, event: api.JobExpired) -> None:
        job = self.jobs.get(event.job)
        if job is not None:
            if self.settings.cancels:  # guards the room of others: nobody waits for it any more
                self.actions += [
                    api.Cancel(job.id, a.index)
                    for a in job.attempts
                    if not a.over and not (a.started and job.cls.effect is Effect.UNSAFE)
                ]
            self.close(job)

    # Attempts

    def find(self, job_id: int, index: int) -> Attempt | None:
        job = self.jobs.get(job_id)
        if job is None or index >= len(job.attempts):
            return None
        attempt = job.attempts[index]
        return None if attempt.over else attempt

    def alive(self, worker: Worker) -> None:
        """Word from a worker clears the doubt that it is down."""
        worker.heard = self.now
        self.moved = self.moved or worker.ejections > 1
        worker.ejections = 0
        if not worker.shut and not worker.mute:
            worker.ejected_until = 0

    def on_started(self, event: api.AttemptStarted) -> None:
        attempt = self.find(event.job, event.attempt)
        if attempt is not None:
            worker, took = attempt.worker, self.now - attempt.sent
            worker.shut = worker.mute = 0
            worker.prompt = took if worker.prompt is None else min(worker.prompt, took)
            self.waited(worker, took)
            if attempt.modelled:
                self.waits_modelled += BLEND * (attempt.modelled - self.waits_modelled)
                self.waits_seen += BLEND * (took - self.waits_seen)
            self.on_progress(event)

    def waited(self, worker: Worker, wait: int) -> None:
        worker.wait = wait
        worker.wait_at = self.now
        worker.longest = max(worker.longest, wait)

    def on_progress(self, event: api.AttemptStarted | api.AttemptProgress | api.StreamBegan) -> None:
        attempt = self.find(event.job, event.attempt)
        if attempt is not None:
            attempt.heard = self.now
            if not attempt.started:  # the start note came late or was lost
                attempt.started = self.now
                self.held += attempt.job.slots
                attempt.worker.unstarted.pop((event.job, event.attempt), None)
            self.alive(attempt.worker)

    def on_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.find(event.job, event.attempt)
        if attempt is None:
            return
        worker, job, outcome = attempt.worker, attempt.job, event.outcome
        attempt.over = True
        attempt.ran = outcome not in PROVEN_NOT_RUN
        key = (job.id, attempt.index)
        worker.out.pop(key, None)
        worker.unstarted.pop(key, None)
        self.take(worker, -job.slots)
        job.out -= 1
        self.held -= job.slots if attempt.started else 0
        if event.report is not None:
            self.learn(worker, event.report)
        if not (event.kept and outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)):
            # Guards live workers against doubt: a kept connection may end at any time.
            self.judge(worker, attempt, outcome)
        if event.final or job.ended:
            self.close(job)
        elif self.now >= job.deadline:
            self.end(job)
        elif not job.out:
            if job.cls.effect is Effect.UNSAFE and attempt.ran:
                self.end(job)
            else:
                self.sleep(job, job.deadline)

    def judge(self, worker: Worker, attempt: Attempt, outcome: Outcome) -> None:
        """What an outcome says of its worker."""
        if outcome is Outcome.OK:
            self.alive(worker)
            worker.error_score *= 1 - FORGIVE
            if attempt.started:
                took = self.now - attempt.started
                self.running += BLEND * (took - self.running)
                if not self.cold(worker):
                    self.work += BLEND * (took - self.work)
                    if attempt.job.hint is not None:
                        self.hinted += BLEND * (min(10.0, took / attempt.job.hint) - self.hinted)
                run = self.class_run_times.get(attempt.job.cls.name, self.running)
                self.class_run_times[attempt.job.cls.name] = run + BLEND * (took - run)
        elif outcome is Outcome.FULL:
            self.alive(worker)
            if worker.free_slots is not None and worker.free_slots - worker.net + attempt.job.slots >= 1:
                # Guards against workers that drain and are not yet listed so: room shown, nothing taken.
                worker.shut += 1
                worker.ejected_until = self.now + min(self.patience, self.tick_interval * 2**worker.shut)
            worker.free_slots = 0.0
            worker.deep = True
            worker.report_at = self.now
            # A queue that overflows is as long as any seen there, and at least a job long.
            self.waited(worker, max(worker.longest, int(self.running)))
        elif outcome is Outcome.ERROR:
            self.alive(worker)
            # An error on a job that has erred elsewhere is rather the job's.
            if sum(1 for a in attempt.job.attempts if a.over and a.ran) < 2:
                decayed = worker.error_score * 0.5 ** ((self.now - worker.blamed_at) / self.patience)
                worker.error_score = decayed + 1
                worker.blamed_at = self.now
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self.eject(worker)

    def eject(self, worker: Worker) -> None:
        """The worker seems down: hold back from it, longer each time, until word comes from it."""
        hold = min(self.patience, self.tick_interval * 2**worker.ejections)
        worker.ejections += 1
        self.moved = True
        worker.ejected_until = self.now + int(hold * (1 + self.rng.random()))

    # Reports and probes

    def learn(self, worker: Worker, report: api.LoadReport) -> None:
        free = report.free_slots
        if free is None:
            return
        if not 0 <= free < 1e9:  # NaN and negative values leave the worker at the floor
            worker.free_slots = None
            return
        if worker.last_report is not None:
            if report == worker.last_report:
                return  # the same reading again: it is as old as when it was first seen
            gap = self.now - worker.report_at
            pace = BLEND if gap < self.gap else BLEND / 10
            self.gap = gap if not self.gap else self.gap + pace * (gap - self.gap)
        worker.last_report = report
        worker.report_at = self.now
        queued = report.queued
        if free < 1:  # jobs waiting stand before the next one
            if queued is None and report.in_hand is not None:
                queued = report.in_hand - worker.capacity
            free -= queued if queued is not None and 0 <= queued < 1e9 else 0
        worker.deep = free < 1 and queued is None
        worker.free_slots = free
        memory = report.free_memory
        worker.memory = memory if memory is not None and 0 <= memory < 1e9 else None
        own = sum(1 for attempt in worker.out.values() if attempt.started)
        worker.capacity = max(worker.capacity, free, own)
        self.mean_busy_slots += BLEND / 4 * (worker.capacity - max(0.0, free) - self.mean_busy_slots)
        # A reading is old when it comes: what was pushed within its age may not be in it.
        taken = self.now - min(self.gap, self.running) / 2
        while worker.deltas and worker.deltas[0][0] <= taken:
            worker.net -= worker.deltas.popleft()[1]
        if not worker.deltas:
            worker.net = 0.0
        others = max(0.0, worker.capacity - worker.free_slots - (worker.held - worker.net))
        worker.others += BLEND * (others - worker.others)

    def on_probe(self, event: api.ProbeEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        if event.outcome is Outcome.OK:
            self.alive(worker)
            if event.report is not None:
                self.learn(worker, event.report)
        elif event.outcome is not Outcome.FULL and worker.ready and self.now - worker.heard > event.took:
            self.eject(worker)

    def spend_probes(self) -> None:
        """Ask the worker whose reading is oldest, where asking is allowed."""
        while self.asks and self.ready and self.probe_credit >= 1:
            oldest = min(self.subset or self.ready, key=lambda worker: worker.asked)
            if self.now - oldest.asked < self.tick_interval / 2:
                return
            self.probe_credit -= 1
            self.ask(oldest)

    def ask(self, worker: Worker) -> None:
        worker.asked = self.now
        self.actions.append(api.Probe(worker.id))

    # The worker list

    def on_list(self, event: api.WorkerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.subscribed = False
            self.ask_fails += 1
            self.plan_asking()
            return
        if event.kind is api.ListKind.CACHED:
            self.plan_asking()
        else:
            self.subscribed = True
            self.ask_fails = 0
        named = {entry.worker for entry in event.entries} if event.kind is not api.ListKind.DELTA else None
        joined = []
        for entry in event.entries:
            worker = self.workers.get(entry.worker)
            if entry.state is api.WorkerState.READY and (worker is None or not worker.ready):
                joined.append(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(entry)
                worker.rank = rank(worker.id, self.settings.me)
            elif entry.started != worker.started:
                worker.reset(entry)
            worker.update(entry)
        if named is not None:
            for worker in self.workers.values():
                if worker.id not in named:
                    worker.ready = False
        self.ready = [w for w in self.workers.values() if w.ready]
        self.keep_near()
        for name in joined if self.asks else ():
            # Guards a worker that starts against probes of all dispatchers of a large fleet at once.
            if self.workers[name] in self.subset:
                self.ask(self.workers[name])
        if not self.ticking:
            self.ticking = True
            self.actions.append(api.SetTimer(1 + int(self.rng.random() * self.tick_interval), TICK_TOKEN))

    def keep_near(self) -> None:
        """Choose the workers to keep to: all of a small fleet, a few of a large one."""
        self.moved = False
        self.subset = self.ready
        if len(self.ready) > 3 * MIN_SUBSET_SIZE:
            # Guards against the time that a large fleet takes, and against knowing too little of too many.
            order = sorted((w for w in self.ready if w.ejections < 2), key=lambda worker: worker.rank)
            home = [w for w in order if w.zone == self.settings.zone][: 3 * self.width // 4]
            far = [w for w in order if w not in home]
            self.subset = home + far[: self.width - len(home)]

    def plan_asking(self) -> None:
        """When to subscribe next: spread at random, and later after each failure."""
        if self.settings.list_on_request and not self.subscribed:
            share = self.rng.random() * min(2.0, 2.0**self.ask_fails / 4)
            span = self.settings.ask_every * share
            if self.ask_fails == 1:
                # Guards the drain rule: what was told as a watch broke may be lost, and its grace is short.
                span = min(span, share * self.settings.drain_grace / 2)
            self.ask_at = self.now + int(span)

    # Time

    def on_timer(self, event: api.TimerFired) -> None:
        if event.token != TICK_TOKEN:
            job = self.sleeping.pop(event.token, None)
            if job is not None and not job.ended:
                self.place(job)
            attempt = self.unsure.pop(event.token, None)
            if attempt is not None:
                self.reconsider(attempt)
            return
        self.actions.append(api.SetTimer(self.tick_interval, TICK_TOKEN))
        if not self.subscribed and self.now >= self.ask_at:
            self.actions.append(api.Subscribe(True))
            self.ask_at = self.now + self.settings.ask_every // 2
        # Guards a submitter far busier than others: others fill its workers too, so it keeps to two for each
        # job that it has running.
        width = min(3 * MIN_SUBSET_SIZE, max(MIN_SUBSET_SIZE, int(2 * self.load)))
        if abs(width - self.width) > self.width / 4:
            self.width, self.moved = width, True
        if self.moved and self.subset is not self.ready:
            self.keep_near()  # guards against keeping to the dead: the list may tell of them very late
        for worker in self.ready:
            if worker.out:
                self.check(worker)
            if worker.ejections and worker.ejected_until <= self.now and self.settings.probes:
                self.eject(worker)
                self.ask(worker)

    def check(self, worker: Worker) -> None:
        """Doubt a worker whose running jobs have fallen silent, and take back what may be repeated."""
        progress = self.settings.progress
        if not progress:
            return
        patience = MISSED_NOTES * progress
        if any(a.started and self.now - a.heard > patience for a in worker.out.values()):
            if not worker.ejections:
                self.eject(worker)
        elif worker.ejections < 2:
            first = next(iter(worker.out.values()))
            if self.now - max(worker.heard, first.sent) > patience and self.settings.probes:
                self.ask(worker)  # queued, heavy and lost jobs look alike: ask whether anybody is there
            return
        if self.settings.cancels:
            for attempt in worker.out.values():
                job = attempt.job
                if not job.ended and job.cls.effect is not Effect.UNSAFE:
                    self.actions.append(api.Cancel(job.id, attempt.index))
