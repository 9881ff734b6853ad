"""What a dispatcher is told, what it hears and what it may do: types only, no decisions.

Times are whole microseconds of one clock that the host supplies. Worker ids are opaque bytes;
job ids are integers that never come back. A host feeds events to `rules.Dispatcher.handle` in the order
they happened and carries out the returned actions in the order they stand.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

WorkerId = bytes


class Effect(Enum):
    """What a repeat of a job does."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # a group of workers drops repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which workers drop the repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"  # in outcomes and probe results
    PROBES = "probes"  # in probe results only
    NONE = "none"


class WorkerState(IntEnum):
    """What the worker list says of a worker."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2  # proves that it never ran
    TIMEOUT = 3
    CONNECT_FAILED = 4  # proves that it never ran
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # proves that it never ran: it was not sent


class ListKind(IntEnum):
    """What a piece of news from the worker list holds."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last saved, perhaps old
    FAILED = 3  # a call failed or the subscription broke; no entries


@dataclass(slots=True)
class JobClass:
    name: str
    effect: Effect
    aim: int  # an answer within this (plus the stretch) earns the full worth
    give_up: int  # how long a client waits over all its tries
    worth: float
    late_worth: float = 0.0  # share of the worth left after the aim
    scope: Scope = Scope.ALL
    repeat_window: int = 0  # keyed: how long repeats are dropped
    stretch: float = 0.0  # the aim grows by this many times the job's running time
    kind: int = -1  # the worker kind that runs it, or -1 for any
    priority: int = 0


@dataclass(slots=True)
class Tenant:
    name: str
    share: float
    quota: float  # jobs a second inside its share, over all dispatchers


@dataclass(slots=True)
class Settings:
    """All that a dispatcher is told at its start."""

    classes: list[JobClass]
    dispatchers: int  # how many share the workers
    me: int  # this one's number among them
    max_attempts: int
    zone: int = 0
    zones: list[str] = field(default_factory=list)  # their names, by number
    kinds: list[str] = field(default_factory=list)  # the names of the worker kinds, by number
    report_names: dict[str, str] = field(default_factory=dict)  # a report's value: the LoadReport's attribute
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    by_work: bool = False  # worth counts by work, not by job
    report_source: ReportSource = ReportSource.ANSWERS
    list_on_request: bool = False  # the list must be asked for
    ask_every: int = 10_000_000  # how long not asking is excused
    probes: bool = False
    cancels: bool = False
    second_copies: bool = False
    peer_messages: bool = False
    max_retry_after: int = 0  # the longest advice that clients heed; 0 for none
    connect_timeout: int = 0
    keepalive: int = 0  # idle connections close after this
    progress: int = 0  # time between progress notes; 0 for none
    tells_start: bool = False
    drain_grace: int = 0
    tip_multiple: float = 0.0  # a cold worker falls at this many times its present capacity
    tip_window: int = 0  # kept up for this long
    cold_share: float = 1.0  # a worker starts at this share of its capacity or more
    ramp_time: int = 0  # and is warm after this at the latest
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_peer: float = 0.0


@dataclass(slots=True)
class Entry:
    """One worker in the worker list."""

    worker: WorkerId
    state: WorkerState
    kind: int = 0
    started: int = 0  # when it last started; 0 for long ago
    size: float = 1.0  # in relation to the others
    cell: int = 0
    zone: int = 0


@dataclass(slots=True)
class LoadReport:
    """What a worker says of its load, some time old and not exact; None where it does not say."""

    free_slots: float | None = None
    free_memory: float | None = None
    in_hand: float | None = None  # jobs held
    queued: float | None = None  # jobs waiting
    busy: float | None = None  # share of CPU
    latency: float | None = None  # recent running time, milliseconds
    rate: float | None = None  # jobs served a second
    errors: float | None = None  # errors a second


# Events


@dataclass(slots=True)
class JobArrived:
    job: int
    job_class: int
    time_left: int
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    cost_hint: int | None = None  # guess of the running time
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
    job: int
    attempt: int
    worker: WorkerId
    done: float  # share done


@dataclass(slots=True)
class StreamBegan:
    """The answer flows; the job is bound to this attempt and no deadline applies any more."""

    job: int
    attempt: int
    worker: WorkerId


@dataclass(slots=True)
class AttemptEnded:
    job: int
    attempt: int
    worker: WorkerId
    outcome: Outcome
    final: bool  # nothing more is owed for the job
    took: int = 0
    report: LoadReport | None = None
    kept: bool = False  # it went out on a connection kept from before, whose end says nothing of the worker


@dataclass(slots=True)
class ProbeEnded:
    worker: WorkerId
    outcome: Outcome
    took: int = 0
    report: LoadReport | None = None


@dataclass(slots=True)
class WorkerList:
    version: int
    kind: ListKind
    entries: list[Entry]


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class JobExpired:
    """Nobody waits for the job any more."""

    job: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from here on; jobs that are open keep the class and limits they were taken under."""

    settings: Settings


@dataclass(slots=True)
class PeerMessage:
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
    job: int
    worker: WorkerId
    timeout_at: int = 0  # clock time; 0 for the job's deadline


@dataclass(slots=True)
class Refuse:
    """End the job; the client may safely come again."""

    job: int
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """End the job; it may have run."""

    job: int


@dataclass(slots=True)
class Cancel:
    job: int
    attempt: int


@dataclass(slots=True)
class Probe:
    worker: WorkerId


@dataclass(slots=True)
class SetTimer:
    after: int
    token: int


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class CloseIdle:
    worker: WorkerId


@dataclass(slots=True)
class SendToPeer:
    """A message to one peer, or to all with `peer` None."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True)
class Log:
    text: str


Action = (
    Push | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
