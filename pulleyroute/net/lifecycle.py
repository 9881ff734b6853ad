"""What the process is doing for its clients: the one state machine of service. No I/O, no clock of its own.

    STARTING ──serve──▶ SERVING
    STARTING, SERVING ──standby──▶ STANDBY ──active──▶ the phase before (SERVING, if serve came meanwhile)
    SERVING, STANDBY ──hand──▶ HANDED ──resume──▶ the phase before
    any ──end──▶ ENDING (final)

Readiness, the operators' calls, SIGTERM and the hand-over to another process only move it; whoever owns the
connections asks it what holds for them. All times are microseconds of the caller's clock.
"""

from __future__ import annotations

from enum import Enum

# On standby, counted from the call. The front asks ten times a second and sends nobody 0.2 s after a no.
STANDBY_IDLE = 1_000_000  # idle connections close: whoever was on one is sent elsewhere by now
STANDBY_REFUSE = 1_700_000  # what comes now is refused: a job may not be younger than 2 s at 4 s
STANDBY_CUT = 3_000_000  # what is not a whole job yet is ended
# After SIGTERM.
STOP_QUIET = 700_000  # connections stop coming, and no exit before this
STOP_LONGEST = 3_000_000  # SIGKILL comes that much later, or the longest give-up time where that is shorter
STOP_CLOSE = 0.5  # the kept connections end when this share of the time until SIGKILL is over
STOP_MARGIN = 150_000  # and so long before it all that came late is answered
# Where another process has taken over, to which the connections move.
HANDED_IDLE = 1_000_000  # those that could not be moved end
HANDED_QUIET = 100_000  # after SIGTERM: the process may leave

NEVER = 2**62


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    HANDED = "handed"  # another process serves, this one finishes
    ENDING = "ending"


ACCEPTING_PHASES = (Phase.SERVING, Phase.STANDBY)  # whoever comes is answered, wanted or not


class Lifecycle:
    """Owns the phase and the times from which connections are let go; NEVER where they are not."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._before = Phase.STARTING  # the phase that was handed over
        self._after_standby = Phase.SERVING
        self.handed_over = False
        self._keep()

    def _keep(self) -> None:
        self.close_from = NEVER  # an answer closes its connection
        self.close_idle_from = NEVER  # idle connections close
        self.refuse_from = NEVER  # a job that comes now is refused
        self.abort_incomplete_from = NEVER  # a message that is not whole yet is given up
        self.exit_from = NEVER  # no new connection is expected any more: the process may leave
        # A job that comes from the first on, after SIGTERM, has to be answered by the second.
        self.late_from = self.late_until = NEVER

    # What moves it

    def serve(self) -> None:
        """Clients may come."""
        self._after_standby = Phase.SERVING
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def standby(self, now: int) -> bool:
        """Drain, and stay; whether anything changed."""
        if self.phase not in (Phase.STARTING, Phase.SERVING):
            return False
        self._after_standby = self.phase
        self.phase = Phase.STANDBY
        self.close_from = now
        self.close_idle_from = now + STANDBY_IDLE
        self.refuse_from = now + STANDBY_REFUSE
        self.abort_incomplete_from = now + STANDBY_CUT
        return True

    def active(self) -> bool:
        """Back to work, at any moment of a drain; whether anything changed. A process that ends stays so."""
        if self.phase is not Phase.STANDBY:
            return False
        self.phase = self._after_standby
        self._keep()
        return True

    def hand_over(self, now: int) -> bool:
        """Another process takes the clients from here on; whether anything changed."""
        if self.handed_over:
            return False
        self.handed_over = True
        if self.phase is Phase.ENDING:  # SIGTERM was faster than the word of the other process
            self.exit_from = min(self.exit_from, now + HANDED_QUIET)
        else:
            self._before, self.phase = self.phase, Phase.HANDED
        self.close_from = min(self.close_from, now + HANDED_IDLE)
        self.close_idle_from = min(self.close_idle_from, now + HANDED_IDLE)
        return True

    def resume(self) -> bool:
        """The other process is gone before this one was told to end; whether this one takes clients again."""
        if self.phase is not Phase.HANDED:
            return False
        self.phase, self.handed_over = self._before, False
        self._keep()
        return True

    def end(self, now: int, longest: int) -> bool:
        """Answer what is owed and leave; whether anything changed.

        `longest` is the longest give-up time of a job.
        """
        if self.phase is Phase.ENDING:
            return False
        self.phase = Phase.ENDING
        kill = now + STOP_QUIET + min(STOP_LONGEST, longest)
        # Guards the clients whose dispatchers restart one after another: closed at once, they would find none
        # while two are away; closed late, they have no time to find the next one before it goes too.
        # Once another process has taken over there is always one.
        close = max(now + STOP_QUIET, now + int((kill - now) * STOP_CLOSE))
        self.close_from = min(self.close_from, close)
        self.close_idle_from = min(self.close_idle_from, close)
        self.exit_from = now + (HANDED_QUIET if self.handed_over else STOP_QUIET)
        self.late_from = now + STOP_QUIET - STOP_MARGIN
        self.late_until = kill - STOP_MARGIN
        return True

    # What holds

    @property
    def ready(self) -> bool:
        """Whether new clients are wanted."""
        return self.phase is Phase.SERVING

    @property
    def accepts_clients(self) -> bool:
        """Whether this process answers who comes."""
        return self.phase in ACCEPTING_PHASES

    def closing(self, now: int) -> bool:
        """Whether an answer that leaves now closes its connection."""
        return now >= self.close_from

    def refuses(self, now: int) -> bool:
        """Whether a job that comes now is refused unseen."""
        return now >= min(self.refuse_from, self.late_until)

    def answer_by(self, now: int) -> int | None:
        """When a job that comes now has to be answered at the latest; None if its own time decides."""
        return self.late_until if now >= self.late_from else None

    def may_exit(self, now: int) -> bool:
        """Whether the process may leave once nothing is owed."""
        return now >= self.exit_from

    def pending_deadlines(self, now: int) -> list[int]:
        """The times to come at which connections have to be looked at again."""
        return [
            at
            for at in (self.close_idle_from, self.abort_incomplete_from, self.exit_from)
            if now < at < NEVER
        ]
