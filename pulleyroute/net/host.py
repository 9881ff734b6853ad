"""The decision module's host: feeds it what happens, carries out what it decides. Takes no decisions itself.

Knows no protocol on the client's side: a request comes with a callback that takes its one answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from pulleyroute import interface as api
from pulleyroute import snapshot
from pulleyroute.interface import Effect, Outcome, Scope, Settings, WorkerId
from pulleyroute.net import job_transfer, log
from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.instance import Attempt
from pulleyroute.net.loop import Loop
from pulleyroute.net.requests import Answer, Back, Call, Ending, Job, Reply, Request, State
from pulleyroute.rules import PROVEN_NOT_RUN, Dispatcher

# Answers leave this long before the client gives up: later, one would find nobody there
# (test_a_time_out_leaves_the_client_no_time_to_come_again); much earlier, the client would come again for
# nothing.
MARGIN = 25_000
MARGIN_SHARE = 8  # and never earlier than this part of its time
# Of a keyed class's window, for a repeat's way to its instance: the slack that the protocol gives each limit.
ON_THE_WAY = 50_000
# A request that comes before the list may be used waits for it at most this part of its time: the rest is for
# an attempt, or for the client to come again elsewhere.
LIST_WAIT_SHARE = 2
GUARD = 20_000  # after a job's own deadline the host answers whatever the module says

_ENDS = {
    State.DONE: Outcome.OK,
    State.FAILED: Outcome.ERROR,
    State.RETURNED: Outcome.FULL,
    State.LOST: Outcome.RESET,
}


def _silent(attempt: Attempt) -> bool:
    """Whether no call will come of it: it was not sent, or its answer said that it was not taken."""
    return attempt.over and (attempt.nacked or attempt.outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT))


def _history(job: Job) -> str:
    """The attempts of a job, for the log."""
    ends = ["out" if e.outcome is None else e.outcome.name.lower() for e in job.attempts]
    each = [f"{e.instance.decode()} {end}" for e, end in zip(job.attempts, ends, strict=True)]
    return ", ".join(each) or "no attempt"


class Host:
    """Owns the dispatcher, the jobs, their attempts and deadlines."""

    def __init__(
        self, loop: Loop, settings: Settings, seed: int, discovery: DiscoveryClient, instances: Back
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._discovery = discovery
        self._instances = instances
        self._dispatcher = Dispatcher(settings, seed, loop.now())
        self._jobs: dict[int, Job] = {}
        self._by_txn: dict[str, Job] = {}
        self._count = 0
        self._events: deque[api.Event] = deque()
        self._draining = False
        self._now = loop.now()
        self.open = 0  # requests that still wait for their answer
        self.faults = 0  # exceptions of the module
        self.retired = False  # no request comes any more: with the last one its timers end
        discovery.on_update = self.post
        instances.ended = self.settle
        instances.gate = self._may_begin
        instances.rejected = self._reject
        instances.probed = self._probed
        self._doers: dict[type, Callable[..., None]] = {
            api.Push: self._push,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: lambda action: self._instances.probe(action.worker),
            api.SetTimer: self._set_timer,
            api.Subscribe: lambda action: self._discovery.watch(action.on),
            api.FetchList: lambda action: self._discovery.fetch(),
            api.CloseIdle: lambda action: self._instances.close_idle(action.worker),
            api.Tell: lambda action: logger.debug("no protocol carries messages between dispatchers"),
            api.Log: lambda action: logger.info("module: {}", action.text),
        }

    def now(self) -> int:
        """The loop's clock, in microseconds."""
        return self._loop.now()

    @property
    def max_attempts(self) -> int:
        return self._settings.max_attempts

    def adopt(self, settings: Settings) -> None:
        """Other settings from the next request on; open ones keep the class and the limits they have."""
        self._settings = settings
        self.post(api.SettingsChanged(settings))

    # The module

    def post(self, event: api.Event) -> None:
        """Feed an event and carry out what follows; events that come meanwhile wait their turn."""
        self._events.append(event)
        if self._draining:
            return
        self._draining = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._draining = False

    def _handle(self, event: api.Event) -> None:
        self._now = self._loop.now()
        try:
            actions = self._dispatcher.handle(self._now, event)
        except Exception:
            # Without this a fault would end what posted the event, and what the module decided before it, and
            # counts as carried out, would be lost.
            self.faults += 1
            logger.bind(event="decisions.failed").exception(
                "the decision module failed on {}", type(event).__name__
            )
            actions = self._dispatcher.todo
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._doers[type(action)](action)
            except Exception:
                logger.bind(event="action.failed").exception("could not carry out {}", type(action).__name__)

    @property
    def avoided(self) -> int:
        """How many listed instances the decisions push nothing to for now."""
        rules, now = self._dispatcher, self._loop.now()
        return sum(1 for worker in rules.ready if rules.avoids(worker, now))

    # Requests

    @property
    def held(self) -> int:
        """Requests not forgotten: the open ones, and those whose attempts outlive them."""
        return len(self._jobs)

    def knows(self, txn: str) -> bool:
        """Whether a request of this id is being worked on."""
        return txn in self._by_txn

    def submit(self, request: Request, reply: Reply) -> Job:
        """Take a request; `reply` is called exactly once, unless `abandon` comes first."""
        self._count += 1
        # The module takes the longest time seen for what a class's first tries come with: without the bound
        # one request that claims to wait for days would make all others look late
        # (test_a_client_that_claims_to_wait_for_days_does_not_make_all_others_late).
        cls = self._settings.classes[request.job_class]
        remaining = min(request.remaining, cls.give_up)
        left = remaining - min(MARGIN, remaining // MARGIN_SHARE)
        deadline = self._loop.now() + left
        job = Job(self._count, request, reply, deadline, cls, self._settings.max_attempts, self._loop.now())
        self._hold(job)
        if self._discovery.freshness.usable:
            self._arrive(job)
        else:
            self._wait_for_list(job)
        return job

    def _arrive(self, job: Job) -> None:
        """The decisions hear of a request."""
        request = job.request
        self.post(
            api.JobArrived(
                job.number,
                request.job_class,
                job.deadline - self._loop.now(),
                request.slots,
                request.memory,
                cost_hint=request.hint,
                key=request.key,
                is_repeat=request.is_repeat,
            )
        )

    def _wait_for_list(self, job: Job) -> None:
        """Keep a request until the list may be used, for a part of its time, and refuse it then."""
        now = self._loop.now()
        timer = self._loop.call_at(now + (job.deadline - now) // LIST_WAIT_SHARE, lambda: self._unlisted(job))

        def listed() -> None:
            timer.cancel()
            if job.answered:
                return
            classes, number = self._settings.classes, job.request.job_class
            if number < len(classes) and classes[number] == job.cls:
                self._arrive(job)
            else:  # a reload has changed the class meanwhile, and the decisions know it by number
                self._unlisted(job)

        self._discovery.freshness.when_usable(listed)

    def _unlisted(self, job: Job) -> None:
        """The list did not become usable in time for this request: it was not sent and may come again."""
        if not job.answered:
            advice = min(job.cls.aim, self._settings.max_retry_after)
            self._answer(job, Answer(Ending.REFUSED, retry_after=advice))

    def _hold(self, job: Job) -> None:
        """A job is taken: it is found by its number and its id, and is answered in time."""
        self._jobs[job.number] = job
        self._by_txn[job.request.txn] = job
        self.open += 1
        guard = job.deadline + GUARD
        if job.request.answer_by is not None:
            guard = min(guard, job.request.answer_by)
        job.guard = self._loop.call_at(guard, lambda: self._overdue(job))

    def abandon(self, job: Job, stop: bool = False) -> None:
        """The client is gone; with `stop`, so that its attempts are to end too."""
        if not job.answered:
            self._conclude(job)
            self.post(api.JobExpired(job.number))
            self._forget(job)
        if stop:
            for attempt in [e for e in job.attempts if not e.over]:
                self._stop(attempt, Outcome.CANCELLED)

    # Another process of this dispatcher

    def ids(self) -> list[str]:
        """Of the jobs that are being worked on."""
        return list(self._by_txn)

    def knowledge(self) -> list[dict[str, Any]]:
        """What the decisions know: in general, then of each instance."""
        rules = self._dispatcher
        return [snapshot.knowledge(rules), *map(snapshot.worker, rules.workers.values())]

    def learn(self, values: dict[str, Any], shift: int) -> None:
        """Take over one item of another's knowledge; `shift` turns its clock into this one."""
        if "id" in values:
            snapshot.learn_worker(self._dispatcher, values, shift)
        else:
            snapshot.learn(self._dispatcher, values)

    def pack(self, job: Job) -> dict[str, Any]:
        """A job that is movable as plain values, but for its body."""
        return job_transfer.pack(job, snapshot.job(self._dispatcher, job.number))

    def release(self, job: Job) -> None:
        """Another process has the job: it is none of this one's any more, and nothing is stopped for it."""
        self._conclude(job)
        for attempt in [e for e in job.attempts if not e.over]:
            self.settle(attempt, Outcome.CANCELLED, None)
        self.post(api.JobExpired(job.number))
        self._forget(job)

    def take_over(self, values: dict[str, Any], body: bytes, reply: Reply, shift: int) -> Job:
        """Hold a job that another process packed, from here on as if it had been taken here."""
        request = job_transfer.unpack_request(values, body)
        self._count += 1
        job = job_transfer.unpack_job(values, request, self._count, reply, shift)
        for told in values["executions"]:
            attempt = self._attempt(
                job, told["instance"].encode(), told["sent"] + shift, told["timeout_at"] + shift
            )
            job_transfer.restore(attempt, told)
            job.attempts.append(attempt)
        self._hold(job)
        for attempt in [e for e in job.attempts if not e.over]:
            self._arm(attempt)
        if values["rules"] is not None:
            self._carry_out(
                snapshot.learn_job(
                    self._dispatcher, self._loop.now(), job.number, job.cls, job.most, values["rules"], shift
                )
            )
        return job

    # Attempts as they go

    def started(self, attempt: Attempt) -> None:
        """An attempt runs, as far as its protocol can tell."""
        job = self._by_txn.get(attempt.txn)
        if job is not None and not attempt.over and not attempt.started:
            attempt.started = True
            if log.debugging:
                log.event(
                    "started",
                    txn=attempt.txn,
                    index=attempt.index,
                    instance=attempt.instance.decode(),
                    took=self._loop.now() - attempt.sent,
                )
            self.post(api.AttemptStarted(job.number, attempt.index, attempt.instance))

    def begin(self, attempt: Attempt) -> bool:
        """The answer begins to flow from this attempt; False if it may not, since another one is bound.

        From here on the request goes out no more (gRFC A6, "committed"): another attempt's answer would
        follow the beginning of this one.
        """
        job = self._by_txn.get(attempt.txn)
        if job is None or job.answered or attempt.over or job.bound not in (None, attempt):
            return False
        if job.bound is None:
            job.bound = attempt
            self.post(api.StreamBegan(job.number, attempt.index, attempt.instance))
            for other in [e for e in job.attempts if e is not attempt and not e.over]:
                self._stop(other, Outcome.CANCELLED)
        return True

    def _conclude(self, job: Job) -> None:
        job.answered = True
        job.request.body = b""  # its attempts may outlive it for long, and would keep the body
        self.open -= 1
        if job.guard is not None:
            job.guard.cancel()
            job.guard = None

    def _answer(self, job: Job, answer: Answer) -> None:
        """The one final answer."""
        self._conclude(job)
        if answer.ending is not Ending.SERVED:
            cls = job.cls.name
            logger.bind(
                event="request.ended",
                request=job.request.txn,
                cls=cls,
                outcome=answer.ending.value,
                attempts=len(job.attempts),
                took=self._loop.now() - job.taken,
            ).info("request {} {}: {}", job.request.txn, answer.ending.value, _history(job))
        if log.debugging:
            log.event(
                "answer",
                txn=job.request.txn,
                cls=job.cls.name,
                ending=answer.ending.value,
                attempts=len(job.attempts),
                took=self._loop.now() - job.taken,
            )
        job.reply(answer)
        self._forget(job)

    def _late(self, job: Job) -> bool:
        return self._loop.now() >= job.deadline

    def _forget(self, job: Job) -> None:
        if job.answered and all(attempt.over for attempt in job.attempts):
            self._jobs.pop(job.number, None)
            if self._by_txn.get(job.request.txn) is job:
                del self._by_txn[job.request.txn]

    def _overdue(self, job: Job) -> None:
        # Without this a request on which the module stays silent would never be answered.
        job.guard = None
        if job.answered:
            return
        if self._loop.now() < job.deadline:  # this process ends before
            self._answer(job, Answer(Ending.FAILED if self._harmful(job) else Ending.REFUSED))
        else:
            logger.bind(event="request.overdue", request=job.request.txn).error(
                "request {} had no answer from the module at its deadline", job.request.txn
            )
            self._answer(job, Answer(Ending.FAILED, late=True))
        self.post(api.JobExpired(job.number))

    def _refuse(self, action: api.Refuse) -> None:
        job = self._jobs.get(action.job)
        if job is None or job.answered:
            return
        if self._harmful(job):
            # A refusal promises that a repeat is harmless: without this, what may have run would run again
            # (test_a_refusal_of_what_may_have_run_becomes_a_failure).
            logger.bind(event="request.not_refused", request=job.request.txn).error(
                "request {} may have run and is not refused", job.request.txn
            )
            self._answer(job, Answer(Ending.FAILED, late=self._late(job)))
            return
        advice = min(action.retry_after, self._settings.max_retry_after)
        self._answer(job, Answer(Ending.REFUSED, retry_after=advice, late=self._late(job)))

    def _harmful(self, job: Job) -> bool:
        cls = job.cls
        if cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.scope is Scope.ALL):
            return False
        return any(e.outcome not in PROVEN_NOT_RUN for e in job.attempts)

    def _fail(self, action: api.Fail) -> None:
        job = self._jobs.get(action.job)
        if job is not None and not job.answered:
            self._answer(job, Answer(Ending.FAILED, late=self._late(job)))

    # Attempts

    def _push(self, action: api.Push) -> None:
        job = self._jobs.get(action.job)
        if job is None:
            logger.error("the module pushed a job that nobody holds")
            return
        attempt = self._attempt(
            job, action.worker, self._now, min(action.timeout_at or job.deadline, job.deadline)
        )
        earlier = [e for e in job.attempts if e.instance == action.worker]
        job.attempts.append(attempt)
        if (
            job.answered
            # Without the next two, what is bound would go out again, and a request whose beginning is gone
            # would go out without it (gRFC A6).
            or job.bound is not None
            or (job.committed and attempt.index > 0)
            or attempt.timeout_at <= self._now
            or attempt.index >= job.most
            # Calls name no attempt: with two of a request at one instance, a late call on the earlier one
            # would be taken for the later one's.
            or not all(_silent(e) for e in earlier)
        ):
            self.settle(attempt, Outcome.MOOT, None)
            return
        self._arm(attempt)
        if log.debugging:
            self._tell_push(job, attempt)
        self._instances.attempt(attempt)

    def _tell_push(self, job: Job, attempt: Attempt) -> None:
        """What a push rested on, for the log. Times are microseconds, -1 where there is none."""
        worker = self._dispatcher.workers[attempt.instance]
        aged = worker.free is not None and worker.report_at
        log.event(
            "push",
            txn=attempt.txn,
            index=attempt.index,
            instance=attempt.instance.decode(),
            cls=job.cls.name,
            waited=self._now - job.taken,
            zone=self._settings.zone,
            to=worker.zone,
            free="-" if worker.free is None else round(worker.free, 2),
            age=self._now - worker.report_at if aged else -1,
            near=int(worker in self._dispatcher.near),
            up=self._now - worker.started if worker.started else -1,
        )

    def _attempt(self, job: Job, instance: WorkerId, sent: int, timeout_at: int) -> Attempt:
        """The job's next attempt, not begun."""
        request, effect = job.request, job.cls.effect
        return Attempt(
            txn=request.txn,
            index=len(job.attempts),
            instance=instance,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            sent=sent,
            timeout_at=timeout_at,
            repeatable=effect is Effect.SAFE,
            call=request.call,
            unsafe=effect is Effect.UNSAFE,
            incarnation=self._discovery.incarnation(instance),
        )

    def _may_begin(self, attempt: Attempt) -> bool:
        """The one gate before an attempt's first byte; what it stops never ran and is settled here.

        Between the decision and the first byte lie a queue, a connect that may take seconds, a busy loop: all
        that allowed it then is asked again, in the turn that writes.
        """
        job = self._by_txn.get(attempt.txn)
        if job is None or attempt.over or attempt.stopping:
            return False
        if not job.answered and job.request.gone is not None and job.request.gone():
            # Without this an instance would work for nobody: the client's end may stand unread behind other
            # bytes (test_what_has_not_begun_when_its_client_goes_does_not_begin).
            self.abandon(job)
        if job.answered or not self._allowed(job, attempt):
            self.settle(attempt, Outcome.MOOT, None)
            return False
        return True

    def _allowed(self, job: Job, attempt: Attempt) -> bool:
        now, instance, discovery = self._loop.now(), attempt.instance, self._discovery
        if now >= attempt.timeout_at or not discovery.freshness.usable:
            return False
        if not discovery.active(instance) or discovery.incarnation(instance) != attempt.incarnation:
            # Otherwise an instance that leaves would get work, and one that has started anew, and is cold,
            # what was meant for the process before it
            # (test_rare_moments.py, test_an_instance_that_starts_anew_while_a_connection_comes_up_...).
            return False
        others = [e for e in job.attempts if e is not attempt and e.outcome not in PROVEN_NOT_RUN]
        if not self._settings.second_copies and any(not e.over for e in others):
            return False
        if not others or job.cls.effect is Effect.SAFE:
            return True
        # Otherwise what must not run twice would, and a keyed repeat would come after the instances have
        # forgotten the first (test_a_keyed_repeat_comes_to_its_instance_within_the_window_or_does_not_begin).
        return (
            job.cls.effect is Effect.KEYED
            and now + ON_THE_WAY < min(e.sent for e in others) + job.cls.repeat_window
        )

    def _arm(self, attempt: Attempt) -> None:
        attempt.timer = self._loop.call_at(attempt.timeout_at, lambda: self._time_out(attempt))

    def settle(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: api.LoadReport | None,
        result: bytes = b"",
        ending: Ending | None = None,
    ) -> None:
        """An attempt has ended; only the first word on it counts.

        With `ending` that is the request's end too. So it is where the request was bound to this attempt or
        is not whole any more: then nothing else can answer it.
        """
        if attempt.over:
            return
        attempt.over = True
        attempt.outcome = outcome
        if attempt.timer is not None:
            attempt.timer.cancel()
        job = self._by_txn[attempt.txn]
        if ending is None and outcome is Outcome.OK:
            ending = Ending.SERVED
        elif ending is None and (job.bound is attempt or job.committed):
            harmless = job.bound is None and outcome in PROVEN_NOT_RUN and not self._harmful(job)
            ending = Ending.REFUSED if harmless else Ending.FAILED
        if ending is not None and not job.answered:
            self._answer(job, Answer(ending, result, late=self._late(job) and ending is not Ending.SERVED))
        took = max(0, self._loop.now() - attempt.sent)
        if log.debugging:
            log.event(
                "ended",
                txn=attempt.txn,
                index=attempt.index,
                outcome=outcome.name.lower(),
                instance=attempt.instance.decode(),
                took=took,
            )
        self.post(
            api.AttemptEnded(
                job.number,
                attempt.index,
                attempt.instance,
                outcome,
                job.answered,
                took,
                report,
                # Once accepted it no longer hangs on its connection.
                attempt.kept and not attempt.accepted,
            )
        )
        self._forget(job)

    def _reject(self, attempt: Attempt) -> None:
        """An instance can't use the request, so none can: answer, send it nowhere else and blame nobody.

        Told as an error it would make a sound instance a tenth as likely for seconds, on the word of a client
        (test_a_request_that_an_instance_cannot_use_goes_nowhere_else_and_blames_no_instance).
        """
        job = self._by_txn.get(attempt.txn)
        if attempt.over or job is None:
            return
        if not job.answered:
            self._answer(job, Answer(Ending.REJECTED))
        self.settle(attempt, Outcome.CANCELLED, None)

    def _time_out(self, attempt: Attempt) -> None:
        attempt.timer = None
        if not attempt.over:
            self._stop(attempt, Outcome.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        job = self._jobs.get(action.job)
        if job is not None and action.attempt < len(job.attempts):
            attempt = job.attempts[action.attempt]
            if attempt.over or attempt.stopping or job.bound is attempt:
                return
            if self._settings.second_copies or job.answered:
                self._stop(attempt, Outcome.CANCELLED)
                return
            # Told at once, the next attempt's push might overtake this one's DELETE, which may have a
            # connection to wait for: two copies where none are allowed (test_rare_moments.py,
            # test_where_no_second_copy_is_allowed_a_job_waits_...).
            attempt.stopping = True
            self._instances.give_up(attempt, lambda: self._stopped(attempt, Outcome.CANCELLED))

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        """Give up at the instance, and tell the outcome at once."""
        if not attempt.stopping:
            attempt.stopping = True
            self._instances.give_up(attempt, lambda: None)
        self._stopped(attempt, outcome)

    def _stopped(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.written:
            outcome = Outcome.MOOT  # its last byte never left: it never ran
        self.settle(attempt, outcome, None)

    def call(self, call: Call) -> None:
        """An instance's word on an attempt; stale, repeated and unknown ones change nothing."""
        job = self._by_txn.get(call.txn)
        if job is None:
            return
        for attempt in job.attempts:
            # Otherwise a call that repeats or comes late would end an attempt again, or one whose last byte
            # was not written yet.
            if attempt.instance == call.instance and attempt.written and not attempt.over:
                break
        else:
            return
        if call.state is State.STARTED:
            self.started(attempt)
        elif call.state is State.RUNNING:
            self.post(api.AttemptProgress(job.number, attempt.index, attempt.instance, call.share))
        else:
            self.settle(attempt, _ENDS[call.state], call.report, call.result)

    # Probes and time

    def _probed(self, instance: WorkerId, outcome: Outcome, took: int, report: api.LoadReport | None) -> None:
        if log.debugging:
            free = None if report is None else report.free_slots
            log.event(
                "probe",
                instance=instance.decode(),
                outcome=outcome.name.lower(),
                took=took,
                free="-" if free is None else round(free, 2),
            )
        self.post(api.ProbeEnded(instance, outcome, took, report))

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        self._loop.call_at(self._now + action.after, lambda: self._fire(token))

    def _fire(self, token: int) -> None:
        if not self.retired or self._jobs:
            self.post(api.TimerFired(token))
