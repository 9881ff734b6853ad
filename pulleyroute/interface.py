"""The settings, events and actions of a dispatcher: types only, no decisions.

Times are whole microseconds of one clock that the host supplies. Worker ids are opaque bytes. Job ids are
integers that are never reused. A host passes events to `rules.Dispatcher.handle` in the order they happened,
and carries out the returned actions in their order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

WorkerId = bytes


class Effect(Enum):
    """What happens if a job runs more than once."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # a group of workers drops repeats, by key, for the repeat window
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """The group of workers that drops the repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"  # with the end of an attempt and of a probe
    PROBES = "probes"  # with the end of a probe only
    NONE = "none"


class WorkerState(IntEnum):
    """The state of a worker in the worker list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2  # rejected; proves that the job did not run
    TIMEOUT = 3
    CONNECT_FAILED = 4  # proves that the job did not run
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # not sent, which proves that the job did not run


class ListKind(IntEnum):
    """The content of an update of the worker list."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last saved, possibly outdated
    FAILED = 3  # a call failed or the subscription broke; no entries


@dataclass(slots=True)
class JobClass:
    """A class of jobs, with its deadline, its worth and its rules for repeats."""

    name: str
    effect: Effect
    aim: int  # an answer within this time, plus the stretch, earns the full worth
    give_up: int  # how long a client waits, over all its tries
    worth: float
    late_worth: float = 0.0  # share of the worth that an answer after the aim earns
    scope: Scope = Scope.ALL
    repeat_window: int = 0  # keyed jobs: how long workers drop repeats
    stretch: float = 0.0  # the aim grows by this many times the job's running time
    kind: int = -1  # number of the worker kind that runs it; -1 for any
    priority: int = 0


@dataclass(slots=True)
class Tenant:
    """A customer with a share of the capacity."""

    name: str
    share: float
    quota: float  # jobs per second within its share, over all dispatchers


@dataclass(slots=True)
class Settings:
    """The settings of one dispatcher."""

    classes: list[JobClass]
    dispatchers: int  # number of dispatchers that share the workers
    me: int  # number of this dispatcher among them, from 0
    max_attempts: int
    zone: int = 0
    zones: list[str] = field(default_factory=list)  # names of the zones, by number
    kinds: list[str] = field(default_factory=list)  # names of the worker kinds, by number
    report_names: dict[str, str] = field(default_factory=dict)  # from reported value to LoadReport attribute
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    by_work: bool = False  # worth is earned per unit of work, not per job
    report_source: ReportSource = ReportSource.ANSWERS
    list_on_request: bool = False  # the list is sent only after a `Subscribe`
    ask_every: int = 10_000_000  # longest time allowed without a request for the list
    probes: bool = False  # `Probe` is allowed
    cancels: bool = False  # `Cancel` is allowed
    second_copies: bool = False  # a job may have two open attempts
    peer_messages: bool = False  # `SendToPeer` is allowed
    max_retry_after: int = 0  # longest retry-after time that clients follow; 0 for none
    connect_timeout: int = 0
    keepalive: int = 0  # idle connections close after this time
    progress: int = 0  # time between two `AttemptProgress`; 0 if there are none
    tells_start: bool = False  # workers report when a job starts, as `AttemptStarted`
    drain_grace: int = 0  # no push is allowed later than this after the list shows that a worker drains
    tip_multiple: float = 0.0  # a cold worker fails under this many times its present capacity
    tip_window: int = 0  # if that load lasts for this time
    cold_share: float = 1.0  # least share of its capacity that a worker has at its start
    ramp_time: int = 0  # longest time until a worker has its whole capacity
    price_cross_zone: float = 0.0  # in units of worth: of a push to another zone
    price_probe: float = 0.0  # of a probe
    price_peer: float = 0.0  # of a message to a peer


@dataclass(slots=True)
class Entry:
    """One worker in the worker list."""

    worker: WorkerId
    state: WorkerState
    kind: int = 0
    started: int = 0  # time of its last start; 0 for long ago
    size: float = 1.0  # relative to the other workers
    cell: int | None = 0  # None: unknown, only of a worker that is gone
    zone: int | None = 0  # likewise


@dataclass(slots=True)
class LoadReport:
    """A worker's load by its own account, delayed and not exact; None for values that it does not report."""

    free_slots: float | None = None
    free_memory: float | None = None
    in_hand: float | None = None  # jobs accepted and not ended
    queued: float | None = None  # jobs waiting for a slot
    busy: float | None = None  # share of CPU
    latency: float | None = None  # recent running time, milliseconds
    rate: float | None = None  # jobs per second
    errors: float | None = None  # errors per second


# Events


@dataclass(slots=True)
class JobArrived:
    """A client has submitted a job."""

    job: int
    job_class: int
    time_left: int  # until the client gives up
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    cost_hint: int | None = None  # estimated running time
    key: int = 0
    is_repeat: bool = False


@dataclass(slots=True)
class AttemptStarted:
    """The worker has begun to run the job."""

    job: int
    attempt: int
    worker: WorkerId


@dataclass(slots=True)
class AttemptProgress:
    """The worker reports that it still runs the job."""

    job: int
    attempt: int
    worker: WorkerId
    done: float  # share of the job, from 0 to 1


@dataclass(slots=True)
class StreamBegan:
    """The answer has begun to stream: the job is bound to this attempt, and has no deadline any more."""

    job: int
    attempt: int
    worker: WorkerId


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; its outcome may leave the job open."""

    job: int
    attempt: int
    worker: WorkerId
    outcome: Outcome
    final: bool  # the job is answered
    took: int = 0
    report: LoadReport | None = None
    kept: bool = False  # sent on a reused connection, whose end says nothing about the worker


@dataclass(slots=True)
class ProbeEnded:
    """A probe was answered or has failed."""

    worker: WorkerId
    outcome: Outcome
    took: int = 0
    report: LoadReport | None = None


@dataclass(slots=True)
class WorkerList:
    """An update of the worker list."""

    version: int
    kind: ListKind
    entries: list[Entry]


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(slots=True)
class JobExpired:
    """No client waits for the job any more."""

    job: int


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on; open jobs keep the class and limits that they arrived with."""

    settings: Settings


@dataclass(slots=True)
class PeerMessage:
    """A message from another dispatcher."""

    sender: int
    payload: bytes


Event = (
    JobArrived
    | AttemptStarted
    | AttemptProgress
    | StreamBegan
    | AttemptEnded
    | ProbeEnded
    | WorkerList
    | TimerFired
    | JobExpired
    | PeerMessage
    | SettingsChanged
)

# Actions


@dataclass(slots=True)
class Push:
    """Send the job to a worker, as its next attempt."""

    job: int
    worker: WorkerId
    timeout_at: int = 0  # 0 for the job's deadline


@dataclass(slots=True)
class Refuse:
    """End the job, which has not run: the client may safely retry it."""

    job: int
    retry_after: int = 0  # advice to the client; 0 for none


@dataclass(slots=True)
class Fail:
    """End the job, which may have run."""

    job: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    job: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask a worker for a load report."""

    worker: WorkerId


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` with this token."""

    after: int
    token: int


@dataclass(slots=True)
class Subscribe:
    """Start or stop updates of the worker list."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask for the worker list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a worker."""

    worker: WorkerId


@dataclass(slots=True)
class SendToPeer:
    """Send a message to one dispatcher, or to all of them with `peer` None."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Push | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
