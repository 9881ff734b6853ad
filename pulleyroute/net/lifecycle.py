"""The lifecycle of the process towards its clients, as one state machine. No I/O, no clock of its own.

    STARTING ──serve──▶ SERVING
    STARTING, SERVING ──standby──▶ STANDBY ──active──▶ the previous phase (SERVING, if serve came meanwhile)
    SERVING, STANDBY ──hand_over──▶ HANDED ──resume──▶ the previous phase
    any ──end──▶ ENDING (final)

Readiness, the admin calls, SIGTERM and the hand-over to another process only change the phase; the owner of
the connections queries it for what applies to them. All times are microseconds of the caller's clock.
"""

from __future__ import annotations

from enum import Enum

# On standby, counted from the call. The load balancer in front polls readiness ten times a second, and sends
# no more clients 0.2 s after a negative answer.
STANDBY_IDLE = 1_000_000  # idle connections close: by now their clients are sent to other dispatchers
STANDBY_REFUSE = 1_700_000  # new jobs are refused, because no open job may be younger than 2 s at 4 s
STANDBY_ABORT = 3_000_000  # connections without a complete request are ended
# After SIGTERM.
STOP_MIN_WAIT = 700_000  # new connections have ceased; the process does not exit earlier
STOP_KILL_LIMIT = 3_000_000  # from then to SIGKILL, or the longest give-up time if that is shorter
STOP_CLOSE_FRACTION = 0.5  # persistent connections close after this fraction of the time until SIGKILL
STOP_ANSWER_MARGIN = 150_000  # late requests are answered this long before SIGKILL
# After another process has taken over, to which the connections move.
HANDED_IDLE = 1_000_000  # connections that could not be moved close
HANDED_MIN_WAIT = 100_000  # the process may exit this long after SIGTERM

NEVER = 2**62


class Phase(Enum):
    """What the process does for its clients; the values are part of the admin listener's answers."""

    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    HANDED = "handed"  # another process serves, and this one finishes its open work
    ENDING = "ending"


ACCEPTING_PHASES = (Phase.SERVING, Phase.STANDBY)  # every client is answered, even if new ones are not wanted


class Lifecycle:
    """Owns the phase, and the times from which connections are closed; NEVER if they stay open."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._phase_before_hand_over = Phase.STARTING
        self._phase_after_standby = Phase.SERVING
        self.handed_over = False
        self._clear_deadlines()

    def _clear_deadlines(self) -> None:
        self.close_from = NEVER  # each answer closes its connection
        self.close_idle_from = NEVER  # idle connections close
        self.refuse_from = NEVER  # new jobs are refused
        self.abort_incomplete_from = NEVER  # requests that are still incomplete are given up
        self.exit_from = NEVER  # no new connection is expected, and the process may exit
        # After SIGTERM, jobs that arrive from the first time on must be answered by the second.
        self.late_jobs_from = self.late_jobs_until = NEVER

    # Transitions

    def serve(self) -> None:
        """Accept clients."""
        self._phase_after_standby = Phase.SERVING
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def standby(self, now: int) -> bool:
        """Drain, but keep the process running; return whether anything changed."""
        if self.phase not in (Phase.STARTING, Phase.SERVING):
            return False
        self._phase_after_standby = self.phase
        self.phase = Phase.STANDBY
        self.close_from = now
        self.close_idle_from = now + STANDBY_IDLE
        self.refuse_from = now + STANDBY_REFUSE
        self.abort_incomplete_from = now + STANDBY_ABORT
        return True

    def active(self) -> bool:
        """Return from standby, at any moment of a drain; return whether anything changed.

        A process that is ending continues to end.
        """
        if self.phase is not Phase.STANDBY:
            return False
        self.phase = self._phase_after_standby
        self._clear_deadlines()
        return True

    def hand_over(self, now: int) -> bool:
        """Leave the clients to another process from now on; return whether anything changed."""
        if self.handed_over:
            return False
        self.handed_over = True
        if self.phase is Phase.ENDING:  # SIGTERM arrived before the other process's message
            self.exit_from = min(self.exit_from, now + HANDED_MIN_WAIT)
        else:
            self._phase_before_hand_over, self.phase = self.phase, Phase.HANDED
        self.close_from = min(self.close_from, now + HANDED_IDLE)
        self.close_idle_from = min(self.close_idle_from, now + HANDED_IDLE)
        return True

    def resume(self) -> bool:
        """Undo a hand-over because the other process is gone; return whether this process serves again.

        It does not if it has already been asked to end.
        """
        if self.phase is not Phase.HANDED:
            return False
        self.phase, self.handed_over = self._phase_before_hand_over, False
        self._clear_deadlines()
        return True

    def end(self, now: int, longest: int) -> bool:
        """Answer all open requests, then exit; return whether anything changed.

        `longest` is the longest give-up time of a job.
        """
        if self.phase is Phase.ENDING:
            return False
        self.phase = Phase.ENDING
        kill = now + STOP_MIN_WAIT + min(STOP_KILL_LIMIT, longest)
        # Dispatchers may restart one after another. If connections closed at once, clients would find no
        # dispatcher while two are away; if they closed late, clients would have no time to find the next
        # dispatcher before it restarts too. After a hand-over there is always a process that serves.
        close = max(now + STOP_MIN_WAIT, now + int((kill - now) * STOP_CLOSE_FRACTION))
        self.close_from = min(self.close_from, close)
        self.close_idle_from = min(self.close_idle_from, close)
        self.exit_from = now + (HANDED_MIN_WAIT if self.handed_over else STOP_MIN_WAIT)
        self.late_jobs_from = now + STOP_MIN_WAIT - STOP_ANSWER_MARGIN
        self.late_jobs_until = kill - STOP_ANSWER_MARGIN
        return True

    # Queries

    @property
    def ready(self) -> bool:
        """Whether new clients are wanted."""
        return self.phase is Phase.SERVING

    @property
    def accepts_clients(self) -> bool:
        """Whether this process answers clients that connect."""
        return self.phase in ACCEPTING_PHASES

    def closing(self, now: int) -> bool:
        """Return whether an answer sent now closes its connection."""
        return now >= self.close_from

    def refuses(self, now: int) -> bool:
        """Return whether a job that arrives now is refused without being considered."""
        return now >= min(self.refuse_from, self.late_jobs_until)

    def answer_by(self, now: int) -> int | None:
        """Return when a job that arrives now must be answered; None if only its own deadline applies."""
        return self.late_jobs_until if now >= self.late_jobs_from else None

    def may_exit(self, now: int) -> bool:
        """Return whether the process may exit once all requests are answered."""
        return now >= self.exit_from

    def pending_deadlines(self, now: int) -> list[int]:
        """Return the future times at which the connections must be checked again."""
        return [
            at
            for at in (self.close_idle_from, self.abort_incomplete_from, self.exit_from)
            if now < at < NEVER
        ]
