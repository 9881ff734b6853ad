"""What a configuration may hold: msgspec types, each field with its unit. Times are microseconds, sizes
bytes."""

from __future__ import annotations

import re
from typing import Annotated, Any, ClassVar, Literal

from msgspec import Meta, Struct

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.net.http import parse_address


class Reader:
    """A value that is written otherwise than it is kept."""

    expected = ""

    def read(self, value: Any) -> Any:
        """The kept form; raises ValueError."""
        raise NotImplementedError


class Span(Reader):
    """A time such as "250ms" or "1.5s", kept in microseconds."""

    expected = 'a time such as "250ms", "1.5s", "5m" or "1h"'
    _UNITS: ClassVar[dict[str, int]] = {"us": 1, "ms": 1000, "s": 10**6, "m": 60 * 10**6, "h": 3600 * 10**6}

    def __init__(self, least: int = 0) -> None:
        self.least = least

    def read(self, value: Any) -> int:
        match = (
            re.fullmatch(r"(\d{1,12}(?:\.\d{1,6})?)(us|ms|s|m|h)", value) if isinstance(value, str) else None
        )
        if match is None:
            raise ValueError
        span = round(float(match[1]) * self._UNITS[match[2]])
        if span < self.least:
            raise ValueError(f"at least {self.least} us")
        return span


class Size(Reader):
    """A size such as "64KiB", kept in bytes."""

    expected = 'a size such as "16KiB", "4MiB" or "1GiB"'
    _UNITS: ClassVar[dict[str, int]] = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}

    def __init__(self, least: int = 1) -> None:
        self.least = least

    def read(self, value: Any) -> int:
        match = re.fullmatch(r"(\d{1,12})(B|KiB|MiB|GiB)", value) if isinstance(value, str) else None
        if match is None or int(match[1]) * self._UNITS[match[2]] < self.least:
            raise ValueError(f"at least {self.least} bytes")
        return int(match[1]) * self._UNITS[match[2]]


class At(Reader):
    """HOST:PORT with a numeric host, kept as a pair."""

    expected = 'an address such as "127.0.0.1:8080"'

    def __init__(self, any_port: bool = False) -> None:
        self.any_port = any_port  # port 0: the system chooses one

    def read(self, value: Any) -> tuple[str, int]:
        if not isinstance(value, str):
            raise ValueError
        if self.any_port and value.endswith(":0"):
            return parse_address(value[:-1] + "1")[0], 0
        return parse_address(value)


class ListOf(Reader):
    """A list of at least one, each read alike."""

    def __init__(self, each: Reader, expected: str) -> None:
        self.each, self.expected = each, expected

    def read(self, value: Any) -> list[Any]:
        if not isinstance(value, list) or not value:
            raise ValueError
        return [self.each.read(each) for each in value]


class PartOf(Reader):
    """A number such as 2, or a share such as "25%"."""

    expected = 'a number such as 2, or a share such as "25%"'

    def read(self, value: Any) -> CountOrShare:
        if isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= 1_000_000:
            return CountOrShare(count=value)
        match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,6})?)%", value) if isinstance(value, str) else None
        if match is None or float(match[1]) > 100:
            raise ValueError
        return CountOrShare(share=float(match[1]) / 100)


Time = Annotated[int, Span()]
Positive = Annotated[int, Span(1)]
Bytes = Annotated[int, Size()]
Address = Annotated[tuple[str, int], At()]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Number = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]


class Strict(Struct, kw_only=True, omit_defaults=True):
    """All blocks: only the keys that are named here."""


class Log(Strict, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class ProcessLimits(Strict, kw_only=True):
    sockets: Count = 1024
    memory: Annotated[int, Size(24 * 1024**2)] = 256 * 1024**2
    rest: Annotated[int, Span(0)] = 50  # between wake-ups for streams of small messages; "0us" for none


class Certificate(Strict, kw_only=True):
    certificate: Name
    key: Name
    clients: str = ""  # a CA: clients must show a certificate of it


class ListenerLimits(Strict, kw_only=True):
    connections: Count = 1000
    calls: Count = 10_000
    streams: Count = 1000  # a connection
    window: Annotated[int, Size(1024)] = 65_535  # a stream
    header: Annotated[int, Size(1024)] = 16 * 1024
    message: Bytes = 4 * 1024**2
    replay: Bytes = 256 * 1024
    memory: Bytes = 64 * 1024**2
    drain: Positive = 30_000_000
    idle: Time = 300_000_000


class Listener(Strict, kw_only=True):
    name: str = ""
    protocol: Literal["jobs", "grpc"]
    address: Annotated[tuple[str, int], At(any_port=True)]
    pool: str = ""  # jobs: where they go
    tls: Certificate | None = None
    limits: ListenerLimits | None = None


class Instance(Strict, kw_only=True):
    name: str = ""
    address: Address
    hall: str = ""
    kit: str = ""
    bay: Annotated[int, Meta(ge=0)] = 0
    size: Annotated[float, Meta(gt=0)] = 1.0
    drain: bool = False


class PoolTls(Strict, kw_only=True):
    ca: str = ""
    server_name: str = ""


class Pool(Strict, kw_only=True):
    name: str = ""
    protocol: Literal["jobs", "grpc"]
    discovery: Annotated[tuple[str, int] | None, At()] = None
    lists: Literal["asked", "pushed"] = "asked"  # pushed: discovery is an agent beside this process
    instance: dict[str, Instance] = {}
    attempts: Annotated[int, Meta(ge=1, le=10)] = 4
    slots: Annotated[float, Meta(ge=1, le=100_000)] = 100.0  # calls that an instance takes at once
    connect_timeout: Positive = 1_000_000
    message: Bytes = 4 * 1024**2
    window: Annotated[int, Size(1024)] = 65_535
    ping_after: Time = 20_000_000
    ping_patience: Positive = 10_000_000
    max_retry_after: Time = 2_000_000
    dispatchers: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0
    hall: str = ""
    probes: bool = False
    reports: Literal["answers", "probes", "none"] = "none"
    report: dict[str, str] = {}
    cancels: bool = False
    tells_start: bool = False
    progress: Time = 0
    keepalive: Time = 0
    drain_grace: Time = 1_500_000
    cold_share: Share = 1.0
    ramp: Time = 0
    tip_multiple: Number = 0.0
    tip_window: Time = 0
    price_crossing: Share = 0.0
    tls: PoolTls | None = None


class JobClass(Strict, kw_only=True):
    name: str = ""
    effect: Literal["safe", "keyed", "unsafe"]
    aim: Positive
    give_up: Positive
    worth: Number = 1.0
    stretch: Number = 0.0
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Time = 0


class Route(Strict, kw_only=True):
    name: str = ""
    service: str = ""
    method: str = ""
    prefix: str | None = None
    pool: Name
    job_class: Name


class Fleet(Strict, kw_only=True):
    """What the processes of a fleet agree on, and where. See docs/operate/fleet.md."""

    # Endpoints of the common store, one in use.
    store: Annotated[list[tuple[str, int]], ListOf(At(), 'a list of addresses such as ["127.0.0.1:2379"]')]
    group: Name = "main"  # those that agree with each other
    member: str = ""  # this process's name in it; empty for the file's `name`
    zone: str = ""
    region: str = ""
    version: str = ""  # empty for the program's
    size: Annotated[int, Meta(ge=0, le=100_000)] = 0  # members that there are; 0: those that have a seat
    lease: Annotated[int, Span(1_000_000)] = 5_000_000  # in whole seconds
    out: Annotated[CountOrShare | None, PartOf()] = None  # at once, of the fleet
    out_zone: Annotated[CountOrShare | None, PartOf()] = None
    out_region: Annotated[CountOrShare | None, PartOf()] = None
    least_serving: Annotated[int, Meta(ge=0)] = 1
    runners_out: Annotated[CountOrShare | None, PartOf()] = None  # at once, of each pool's
    runners_out_hall: Annotated[CountOrShare | None, PartOf()] = None
    runners_out_kind: Annotated[CountOrShare | None, PartOf()] = None
    restart_status: Annotated[int, Meta(ge=1, le=255)] = 75  # of a process that is to be started again
    version_file: str = ""  # gets the version that is to come, before the process ends so


class Config(Strict, kw_only=True):
    """A whole file."""

    name: Name = "pulleyroute"
    seed: Annotated[int, Meta(ge=0)] | None = None
    log: Log | None = None
    limits: ProcessLimits | None = None
    management: Annotated[tuple[str, int] | None, At()] = None  # the admin listener
    listener: dict[str, Listener]
    pool: dict[str, Pool]
    job_class: dict[str, JobClass]
    route: dict[str, Route] = {}
    fleet: Fleet | None = None
