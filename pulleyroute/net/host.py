"""The host of the decision module: feeds it events and executes the actions it returns.

The decision module (`Dispatcher`) chooses an instance for each request, but does no I/O. The host makes no
such choices. It owns the accepted requests (jobs), their attempts and all their deadlines, and connects the
decision module with the discovery client and the instance transport. It knows no client protocol: each
request comes with a callback that takes its answer.

A job may need several attempts, each at one instance. An attempt ends with an `Outcome`. The outcomes
in `PROVEN_NOT_RUN` prove that the instance did not run the request: it could not be sent, or the instance
answered with a nack, an answer that marks the request as not accepted. After any other outcome the request
may have run, and its class decides whether another attempt is allowed.

A job is answered exactly once:

- served, when an attempt ends with a result;
- refused or failed, when the decision module says so, or when an attempt ends after which no other is
  possible;
- rejected, when an instance reports that the request itself is invalid;
- refused, when the list of instances does not become usable in time;
- by the host itself, when the decision module has not answered by the deadline, or before the process exits.
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
from pulleyroute.net.instance_list import share_group
from pulleyroute.net.loop import Loop
from pulleyroute.net.requests import (
    Answer,
    CallbackState,
    Ending,
    InstanceCallback,
    InstanceTransport,
    Job,
    Reply,
    Request,
)
from pulleyroute.rules import PROVEN_NOT_RUN, Dispatcher

# A job's deadline is this long before the client gives up. With a smaller margin the answer would come after
# the client has left; with a much larger one the client would still have time for a useless retry
# (test_a_time_out_leaves_the_client_no_time_to_come_again).
ANSWER_MARGIN_US = 25_000
ANSWER_MARGIN_DIVISOR = 8  # the margin is at most the remaining time divided by this
# Reserved in the repeat window of a keyed class for the way of a repeat to its instance. It equals the
# tolerance that the protocol grants for each limit.
KEYED_TRANSIT_US = 50_000
# A request that arrives before the list of instances is usable waits for it at most its remaining time
# divided by this. The rest is left for an attempt, or for the client to retry elsewhere.
LIST_WAIT_DIVISOR = 2
DECISION_GRACE_US = 20_000  # the host itself answers a job this long after its deadline

_OUTCOMES = {
    CallbackState.DONE: Outcome.OK,
    CallbackState.FAILED: Outcome.ERROR,
    CallbackState.RETURNED: Outcome.FULL,
    CallbackState.LOST: Outcome.RESET,
}


def _sends_no_callback(attempt: Attempt) -> bool:
    """Whether no callback can follow for an ended attempt: it was not sent, or got a nack."""
    return attempt.over and (attempt.nacked or attempt.outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT))


def _describe_attempts(job: Job) -> str:
    """Return the instances and outcomes of a job's attempts as text for the log."""
    outcomes = ["open" if each.outcome is None else each.outcome.name.lower() for each in job.attempts]
    parts = [f"{each.instance.decode()} {end}" for each, end in zip(job.attempts, outcomes, strict=True)]
    return ", ".join(parts) or "no attempt"


class Host:
    """Owns the decision module, the jobs, their attempts and their deadlines. Times are microseconds."""

    def __init__(
        self,
        loop: Loop,
        settings: Settings,
        seed: int,
        discovery: DiscoveryClient,
        instances: InstanceTransport,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._discovery = discovery
        self._instances = instances
        self._dispatcher = Dispatcher(settings, seed, loop.now())
        self._jobs: dict[int, Job] = {}
        self._by_txn: dict[str, Job] = {}
        self._last_job_number = 0
        self._pending_events: deque[api.Event] = deque()
        self._dispatching_events = False
        self._now = loop.now()
        self.open_requests = 0  # not answered yet
        self.faults = 0  # exceptions raised by the decision module
        self.retired = False  # takes no more requests; the module's timers stop once no job is left
        discovery.on_update = self.post
        instances.ended = self.settle
        instances.gate = self._may_begin
        instances.rejected = self._reject
        instances.probed = self._probed
        self._action_handlers: dict[type, Callable[..., None]] = {
            api.Push: self._push,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: lambda action: self._instances.probe(action.worker),
            api.SetTimer: self._set_timer,
            api.Subscribe: lambda action: self._discovery.watch(action.on),
            api.FetchList: lambda action: self._discovery.fetch(),
            api.CloseIdle: lambda action: self._instances.close_idle(action.worker),
            api.SendToPeer: lambda action: logger.debug("no protocol carries messages between dispatchers"),
            api.Log: lambda action: logger.info("module: {}", action.text),
        }

    def now(self) -> int:
        """Return the time of the loop's clock in microseconds."""
        return self._loop.now()

    @property
    def max_attempts(self) -> int:
        """The most attempts that a request may have."""
        return self._settings.max_attempts

    def adopt(self, settings: Settings) -> None:
        """Apply new settings to requests from now on. Open jobs keep their class and limits."""
        self._settings = settings
        self.post(api.SettingsChanged(settings))

    # Events and actions of the decision module

    def post(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute its actions; events posted meanwhile queue up."""
        self._pending_events.append(event)
        if self._dispatching_events:
            return
        self._dispatching_events = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._dispatching_events = False

    def _handle(self, event: api.Event) -> None:
        self._now = self._loop.now()
        try:
            actions = self._dispatcher.handle(self._now, event)
        except Exception:
            # An exception must not end the caller that posted the event. The actions that the module has
            # decided on before the fault are still executed, because the module counts them as done.
            self.faults += 1
            logger.bind(event="decisions.failed").exception(
                "the decision module failed on {}", type(event).__name__
            )
            actions = self._dispatcher.actions
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                logger.bind(event="action.failed").exception("could not carry out {}", type(action).__name__)

    @property
    def avoided(self) -> int:
        """The number of listed instances that the decision module currently sends no work to."""
        rules, now = self._dispatcher, self._loop.now()
        return sum(1 for worker in rules.ready if rules.is_ejected(worker, now))

    # Requests

    @property
    def tracked_requests(self) -> int:
        """The number of requests kept in memory: unanswered ones, and answered ones with open attempts."""
        return len(self._jobs)

    def has_request(self, txn: str) -> bool:
        """Whether a request with this id is kept in memory."""
        return txn in self._by_txn

    def submit(self, request: Request, reply: Reply) -> Job:
        """Accept a request. `reply` is called exactly once, unless the job is abandoned or released first."""
        self._last_job_number += 1
        # The decision module takes the longest remaining time seen as that of a first try of the class.
        # Without the bound, one request that claims to wait for days would make all others look late
        # (test_a_client_that_claims_to_wait_for_days_does_not_make_all_others_late).
        cls = self._settings.classes[request.job_class]
        remaining = min(request.remaining, cls.give_up)
        left = remaining - min(ANSWER_MARGIN_US, remaining // ANSWER_MARGIN_DIVISOR)
        deadline = self._loop.now() + left
        job = Job(
            self._last_job_number,
            request,
            reply,
            deadline,
            cls,
            self._settings.max_attempts,
            self._loop.now(),
        )
        self._register_job(job)
        if self._discovery.freshness.usable:
            self._post_arrival(job)
        else:
            self._wait_for_list(job)
        return job

    def _post_arrival(self, job: Job) -> None:
        """Pass a request to the decision module."""
        request = job.request
        self.post(
            api.JobArrived(
                job.number,
                request.job_class,
                job.deadline - self._loop.now(),
                request.slots,
                request.memory,
                cost_hint=request.cost_hint,
                key=request.key,
                is_repeat=request.is_repeat,
            )
        )

    def _wait_for_list(self, job: Job) -> None:
        """Delay a request until the list of instances is usable; refuse it if that takes too long."""
        now = self._loop.now()
        timer = self._loop.call_at(
            now + (job.deadline - now) // LIST_WAIT_DIVISOR, lambda: self._refuse_without_list(job)
        )

        def on_list_usable() -> None:
            timer.cancel()
            if job.answered:
                return
            classes, number = self._settings.classes, job.request.job_class
            if number < len(classes) and classes[number] == job.cls:
                self._post_arrival(job)
            else:  # a reload has changed the class, which the decision module identifies by number
                self._refuse_without_list(job)

        self._discovery.freshness.when_usable(on_list_usable)

    def _refuse_without_list(self, job: Job) -> None:
        """Refuse a request that waited for a usable list: it was not sent, so a retry is harmless."""
        if not job.answered:
            advice = min(job.cls.aim, self._settings.max_retry_after)
            self._answer(job, Answer(Ending.REFUSED, retry_after=advice))

    def _register_job(self, job: Job) -> None:
        """Index a job by number and id, and set the timer that answers it if the decision module does not."""
        self._jobs[job.number] = job
        self._by_txn[job.request.txn] = job
        self.open_requests += 1
        answer_at = job.deadline + DECISION_GRACE_US
        if job.request.answer_by is not None:
            answer_at = min(answer_at, job.request.answer_by)
        job.answer_timer = self._loop.call_at(answer_at, lambda: self._answer_overdue(job))

    def abandon(self, job: Job, stop: bool = False) -> None:
        """Drop a job whose client has left. With `stop`, its open attempts are cancelled too."""
        if not job.answered:
            self._mark_answered(job)
            self.post(api.JobExpired(job.number))
            self._forget_if_finished(job)
        if stop:
            for attempt in [each for each in job.attempts if not each.over]:
                self._stop(attempt, Outcome.CANCELLED)

    # Hand-over between two processes of a dispatcher

    def request_ids(self) -> list[str]:
        """Return the ids of the requests kept in memory."""
        return list(self._by_txn)

    def export_state(self) -> list[dict[str, Any]]:
        """Return the decision module's state: first the general part, then one item for each instance."""
        rules = self._dispatcher
        return [snapshot.pack_estimates(rules), *map(snapshot.pack_worker, rules.workers.values())]

    def import_state(self, values: dict[str, Any], shift: int) -> None:
        """Import one item of another process's state. `shift` converts its clock to this process's clock."""
        if "id" in values:
            snapshot.restore_worker(self._dispatcher, values, shift)
        else:
            snapshot.restore_estimates(self._dispatcher, values)

    def pack(self, job: Job) -> dict[str, Any]:
        """Pack a movable job into plain values, without its body."""
        return job_transfer.pack(job, snapshot.pack_job(self._dispatcher, job.number))

    def release(self, job: Job) -> None:
        """Drop a job that another process has taken over, without stopping its attempts."""
        self._mark_answered(job)
        for attempt in [each for each in job.attempts if not each.over]:
            self.settle(attempt, Outcome.CANCELLED, None)
        self.post(api.JobExpired(job.number))
        self._forget_if_finished(job)

    def take_over(self, values: dict[str, Any], body: bytes, reply: Reply, shift: int) -> Job:
        """Take over a job that another process has packed, and treat it as one accepted here."""
        request = job_transfer.unpack_request(values, body)
        self._last_job_number += 1
        job = job_transfer.unpack_job(values, request, self._last_job_number, reply, shift)
        for packed_attempt in values["executions"]:
            attempt = self._new_attempt(
                job,
                packed_attempt["instance"].encode(),
                packed_attempt["sent"] + shift,
                packed_attempt["timeout_at"] + shift,
            )
            job_transfer.restore(attempt, packed_attempt)
            job.attempts.append(attempt)
        self._register_job(job)
        for attempt in [each for each in job.attempts if not each.over]:
            self._set_timeout(attempt)
        if values["rules"] is not None:
            self._carry_out(
                snapshot.restore_job(
                    self._dispatcher,
                    self._loop.now(),
                    job.number,
                    job.cls,
                    job.max_attempts,
                    values["rules"],
                    shift,
                    [self._numbered_group(attempt) for attempt in job.attempts],
                )
            )
        return job

    def _numbered_group(self, attempt: Attempt) -> snapshot.Group:
        """Return the group of an attempt's instance by the numbers that the decision module uses."""
        if attempt.group is None:
            return None, None
        return attempt.group.cell, self._discovery.list.zone_number(attempt.group.zone)

    # Progress of attempts

    def started(self, attempt: Attempt) -> None:
        """Record that an attempt has started to run, as far as its protocol can tell."""
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

    def begin_answer(self, attempt: Attempt) -> bool:
        """Bind the job to the attempt whose answer begins to flow; False if the answer must not be forwarded.

        From here on no further attempt is sent (gRFC A6, "committed"): its answer would follow the first part
        of this one. Other open attempts are cancelled.
        """
        job = self._by_txn.get(attempt.txn)
        if job is None or job.answered or attempt.over or job.answering_attempt not in (None, attempt):
            return False
        if job.answering_attempt is None:
            job.answering_attempt = attempt
            self.post(api.StreamBegan(job.number, attempt.index, attempt.instance))
            for other in [each for each in job.attempts if each is not attempt and not each.over]:
                self._stop(other, Outcome.CANCELLED)
        return True

    def _mark_answered(self, job: Job) -> None:
        job.answered = True
        job.request.body = b""  # attempts may stay open for long after the answer and would keep it in memory
        self.open_requests -= 1
        if job.answer_timer is not None:
            job.answer_timer.cancel()
            job.answer_timer = None

    def _answer(self, job: Job, answer: Answer) -> None:
        """Give a job its final answer and log it."""
        self._mark_answered(job)
        if answer.ending is not Ending.SERVED:
            cls = job.cls.name
            logger.bind(
                event="request.ended",
                request=job.request.txn,
                cls=cls,
                outcome=answer.ending.value,
                attempts=len(job.attempts),
                took=self._loop.now() - job.accepted_at,
            ).info("request {} {}: {}", job.request.txn, answer.ending.value, _describe_attempts(job))
        if log.debugging:
            log.event(
                "answer",
                txn=job.request.txn,
                cls=job.cls.name,
                ending=answer.ending.value,
                attempts=len(job.attempts),
                took=self._loop.now() - job.accepted_at,
            )
        job.reply(answer)
        self._forget_if_finished(job)

    def _past_deadline(self, job: Job) -> bool:
        return self._loop.now() >= job.deadline

    def _forget_if_finished(self, job: Job) -> None:
        if job.answered and all(attempt.over for attempt in job.attempts):
            self._jobs.pop(job.number, None)
            if self._by_txn.get(job.request.txn) is job:
                del self._by_txn[job.request.txn]

    def _answer_overdue(self, job: Job) -> None:
        """Answer a job that the decision module left unanswered, which would stay open for ever otherwise."""
        job.answer_timer = None
        if job.answered:
            return
        if self._loop.now() < job.deadline:  # the process exits before the deadline
            self._answer(job, Answer(Ending.FAILED if self._repeat_is_unsafe(job) else Ending.REFUSED))
        else:
            logger.bind(event="request.overdue", request=job.request.txn).error(
                "the decision module did not answer request {} by its deadline", job.request.txn
            )
            self._answer(job, Answer(Ending.FAILED, late=True))
        self.post(api.JobExpired(job.number))

    def _refuse(self, action: api.Refuse) -> None:
        job = self._jobs.get(action.job)
        if job is None or job.answered:
            return
        if self._repeat_is_unsafe(job):
            # A refusal promises that a retry is harmless, so a request that may have run would run twice
            # (test_a_refusal_of_what_may_have_run_becomes_a_failure).
            logger.bind(event="request.not_refused", request=job.request.txn).error(
                "request {} may have run; answering a failure instead of a refusal", job.request.txn
            )
            self._answer(job, Answer(Ending.FAILED, late=self._past_deadline(job)))
            return
        advice = min(action.retry_after, self._settings.max_retry_after)
        self._answer(job, Answer(Ending.REFUSED, retry_after=advice, late=self._past_deadline(job)))

    def _repeat_is_unsafe(self, job: Job) -> bool:
        """Whether the request may have run, and running it again at any instance may do harm."""
        cls = job.cls
        if cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.scope is Scope.ALL):
            return False
        return any(attempt.outcome not in PROVEN_NOT_RUN for attempt in job.attempts)

    def _fail(self, action: api.Fail) -> None:
        job = self._jobs.get(action.job)
        if job is not None and not job.answered:
            self._answer(job, Answer(Ending.FAILED, late=self._past_deadline(job)))

    # Attempts

    def _push(self, action: api.Push) -> None:
        job = self._jobs.get(action.job)
        if job is None:
            logger.error("the decision module pushed an unknown job")
            return
        attempt = self._new_attempt(
            job, action.worker, self._now, min(action.timeout_at or job.deadline, job.deadline)
        )
        earlier = [each for each in job.attempts if each.instance == action.worker]
        job.attempts.append(attempt)
        if (
            job.answered
            # After the first part of an answer, another attempt's answer would follow it; and a request whose
            # body is no longer buffered whole would be sent without its beginning (gRFC A6).
            or job.answering_attempt is not None
            or (job.replay_dropped and attempt.index > 0)
            or attempt.timeout_at <= self._now
            or attempt.index >= job.max_attempts
            # A callback names the request and the instance, but not the attempt: with two attempts of a
            # request at one instance, a late callback for the first would be taken for the second's.
            or not all(_sends_no_callback(each) for each in earlier)
        ):
            self.settle(attempt, Outcome.MOOT, None)
            return
        self._set_timeout(attempt)
        if log.debugging:
            self._log_push(job, attempt)
        self._instances.attempt(attempt)

    def _log_push(self, job: Job, attempt: Attempt) -> None:
        """Log what the decision module knew of the instance it chose. Times are microseconds; -1 for none."""
        worker = self._dispatcher.workers[attempt.instance]
        aged = worker.free_slots is not None and worker.report_at
        log.event(
            "push",
            txn=attempt.txn,
            index=attempt.index,
            instance=attempt.instance.decode(),
            cls=job.cls.name,
            waited=self._now - job.accepted_at,
            zone=self._settings.zone,
            to=worker.zone,
            free="-" if worker.free_slots is None else round(worker.free_slots, 2),
            age=self._now - worker.report_at if aged else -1,
            near=int(worker in self._dispatcher.subset),
            up=self._now - worker.started if worker.started else -1,
        )

    def _new_attempt(self, job: Job, instance: WorkerId, sent: int, timeout_at: int) -> Attempt:
        """Return the job's next attempt, not yet sent."""
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
            group=self._discovery.list.group(instance),
        )

    def _may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent now; if not, it is settled here as never run.

        The transport asks this in the turn of the loop that writes the first byte. Between the decision and
        that turn lie a queue, a connect that may take seconds, and a busy loop, so every condition is checked
        again: the job still needs an answer, its client is still connected, and `_is_allowed` holds.
        """
        job = self._by_txn.get(attempt.txn)
        if job is None or attempt.over or attempt.stopping:
            return False
        if not job.answered and job.request.client_gone is not None and job.request.client_gone():
            # The end of the client's connection may be hidden behind unread bytes. The instance would run a
            # request whose answer has no receiver
            # (test_what_has_not_begun_when_its_client_goes_does_not_begin).
            self.abandon(job)
        if job.answered or not self._is_allowed(job, attempt):
            self.settle(attempt, Outcome.MOOT, None)
            return False
        return True

    def _is_allowed(self, job: Job, attempt: Attempt) -> bool:
        """Whether the time, the list of instances and the job's earlier attempts allow this attempt.

        After the attempt's time-out its result would be useless. While the list is not usable, the instance
        may have begun to leave. Where the settings allow no second copies, no attempt begins while another
        one may be running.
        """
        now, instance, discovery = self._loop.now(), attempt.instance, self._discovery
        if now >= attempt.timeout_at or not discovery.freshness.usable:
            return False
        if not discovery.active(instance) or discovery.incarnation(instance) != attempt.incarnation:
            # An instance that is leaving must get no new work. One that has restarted is cold, and must not
            # get work that was chosen for the previous process (test_rare_moments.py,
            # test_an_instance_that_starts_anew_while_a_connection_comes_up_...).
            return False
        others = [
            other for other in job.attempts if other is not attempt and other.outcome not in PROVEN_NOT_RUN
        ]
        if not self._settings.second_copies and any(not other.over for other in others):
            return False
        if not others or job.cls.effect is Effect.SAFE:
            return True
        # An earlier attempt may have run. A class that must not run twice gets no other attempt. A keyed
        # repeat has to arrive before the instances forget the key of the first attempt
        # (test_a_keyed_repeat_comes_to_its_instance_within_the_window_or_does_not_begin), and at one of those
        # that have seen it.
        return (
            job.cls.effect is Effect.KEYED
            and all(share_group(attempt.group, other.group, job.cls.scope) for other in others)
            and now + KEYED_TRANSIT_US < min(other.sent for other in others) + job.cls.repeat_window
        )

    def _set_timeout(self, attempt: Attempt) -> None:
        attempt.timer = self._loop.call_at(attempt.timeout_at, lambda: self._time_out(attempt))

    def settle(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: api.LoadReport | None,
        result: bytes = b"",
        ending: Ending | None = None,
    ) -> None:
        """Record the outcome of an attempt and report it to the decision module; later outcomes are ignored.

        The job is answered too if there is a result, if `ending` is given, or if no other attempt can answer
        it: its answer has begun to flow from this attempt, or its body is no longer buffered whole.
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
        elif ending is None and (job.answering_attempt is attempt or job.replay_dropped):
            harmless = (
                job.answering_attempt is None
                and outcome in PROVEN_NOT_RUN
                and not self._repeat_is_unsafe(job)
            )
            ending = Ending.REFUSED if harmless else Ending.FAILED
        if ending is not None and not job.answered:
            self._answer(
                job, Answer(ending, result, late=self._past_deadline(job) and ending is not Ending.SERVED)
            )
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
                # An accepted attempt no longer depends on its connection.
                attempt.reused_connection and not attempt.accepted,
            )
        )
        self._forget_if_finished(job)

    def _reject(self, attempt: Attempt) -> None:
        """Answer a request that an instance reports as invalid: no instance can run it.

        The attempt counts as cancelled, not as an error. An error would make a healthy instance a tenth as
        likely to be chosen for seconds, because of a client's fault
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
            if attempt.over or attempt.stopping or job.answering_attempt is attempt:
                return
            if self._settings.second_copies or job.answered:
                self._stop(attempt, Outcome.CANCELLED)
                return
            # The outcome is reported only once the instance has been notified. Otherwise the push of the next
            # attempt might overtake the DELETE of this one, which may first need a connection: two copies of
            # a request that allows only one (test_rare_moments.py,
            # test_where_no_second_copy_is_allowed_a_job_waits_...).
            attempt.stopping = True
            self._instances.give_up(attempt, lambda: self._settle_stopped(attempt, Outcome.CANCELLED))

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt at its instance, and report its outcome at once."""
        if not attempt.stopping:
            attempt.stopping = True
            self._instances.give_up(attempt, lambda: None)
        self._settle_stopped(attempt, outcome)

    def _settle_stopped(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.written:
            outcome = Outcome.MOOT  # its last byte was not written, so it never ran
        self.settle(attempt, outcome, None)

    def handle_callback(self, call: InstanceCallback) -> None:
        """Process a callback of an instance; stale, repeated and unknown ones are ignored."""
        job = self._by_txn.get(call.txn)
        if job is None:
            return
        for attempt in job.attempts:
            # A repeated or late callback must not end an attempt a second time, nor one whose last byte is
            # not written yet.
            if attempt.instance == call.instance and attempt.written and not attempt.over:
                break
        else:
            return
        if call.state is CallbackState.STARTED:
            self.started(attempt)
        elif call.state is CallbackState.RUNNING:
            self.post(api.AttemptProgress(job.number, attempt.index, attempt.instance, call.share))
        else:
            self.settle(attempt, _OUTCOMES[call.state], call.report, call.result)

    # Probes and timers

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
        self._loop.call_at(self._now + action.after, lambda: self._fire_timer(token))

    def _fire_timer(self, token: int) -> None:
        if not self.retired or self._jobs:
            self.post(api.TimerFired(token))
