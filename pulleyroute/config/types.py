"""The blocks of a configuration as msgspec types, whose field names are the keys in the file.

Durations are kept in microseconds and sizes in bytes.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, ClassVar, Literal

from msgspec import Meta, Struct

from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.net.http import parse_address


class ValueParser:
    """Converts a value from its form in the file to the form in which the field stores it.

    `expected` describes the accepted values in error messages.
    """

    expected = ""

    def parse(self, value: Any) -> Any:
        """Return the stored form of a value; raises ValueError if it is not valid."""
        raise NotImplementedError


class DurationParser(ValueParser):
    """Parses a duration such as "250ms" or "1.5s" to microseconds."""

    expected = 'a time such as "250ms", "1.5s", "5m" or "1h"'
    _UNITS: ClassVar[dict[str, int]] = {"us": 1, "ms": 1000, "s": 10**6, "m": 60 * 10**6, "h": 3600 * 10**6}

    def __init__(self, minimum: int = 0) -> None:
        self.minimum = minimum

    def parse(self, value: Any) -> int:
        match = (
            re.fullmatch(r"(\d{1,12}(?:\.\d{1,6})?)(us|ms|s|m|h)", value) if isinstance(value, str) else None
        )
        if match is None:
            raise ValueError
        microseconds = round(float(match[1]) * self._UNITS[match[2]])
        if microseconds < self.minimum:
            raise ValueError(f"at least {self.minimum} us")
        return microseconds


class SizeParser(ValueParser):
    """Parses a size such as "64KiB" to bytes."""

    expected = 'a size such as "16KiB", "4MiB" or "1GiB"'
    _UNITS: ClassVar[dict[str, int]] = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}

    def __init__(self, minimum: int = 1) -> None:
        self.minimum = minimum

    def parse(self, value: Any) -> int:
        match = re.fullmatch(r"(\d{1,12})(B|KiB|MiB|GiB)", value) if isinstance(value, str) else None
        if match is None or int(match[1]) * self._UNITS[match[2]] < self.minimum:
            raise ValueError(f"at least {self.minimum} bytes")
        return int(match[1]) * self._UNITS[match[2]]


class AddressParser(ValueParser):
    """Parses HOST:PORT with a numeric host to a pair of host and port."""

    expected = 'an address such as "127.0.0.1:8080"'

    def __init__(self, any_port: bool = False) -> None:
        self.any_port = any_port  # accepts port 0, with which the system chooses a port

    def parse(self, value: Any) -> tuple[str, int]:
        if not isinstance(value, str):
            raise ValueError
        if self.any_port and value.endswith(":0"):
            return parse_address(value[:-1] + "1")[0], 0
        return parse_address(value)


class ListParser(ValueParser):
    """Parses a non-empty list whose items all have the same form."""

    def __init__(self, item_parser: ValueParser, expected: str) -> None:
        self.item_parser, self.expected = item_parser, expected

    def parse(self, value: Any) -> list[Any]:
        if not isinstance(value, list) or not value:
            raise ValueError
        return [self.item_parser.parse(each) for each in value]


class PartParser(ValueParser):
    """Parses a number such as 2, or a share such as "25%"."""

    expected = 'a number such as 2, or a share such as "25%"'

    def parse(self, value: Any) -> CountOrShare:
        if isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= 1_000_000:
            return CountOrShare(count=value)
        match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,6})?)%", value) if isinstance(value, str) else None
        if match is None or float(match[1]) > 100:
            raise ValueError
        return CountOrShare(share=float(match[1]) / 100)


Duration = Annotated[int, DurationParser()]
PositiveDuration = Annotated[int, DurationParser(1)]
Bytes = Annotated[int, SizeParser()]
Address = Annotated[tuple[str, int], AddressParser()]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Number = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]


class ConfigBlock(Struct, kw_only=True, omit_defaults=True):
    """Base of all blocks. A key that is not a field of the block is a mistake."""


class Log(ConfigBlock, kw_only=True):
    """The log on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class ProcessLimits(ConfigBlock, kw_only=True):
    """Limits of the whole process."""

    sockets: Count = 1024  # open file descriptors
    memory: Annotated[int, SizeParser(24 * 1024**2)] = 256 * 1024**2
    # The pause between wake-ups while streams of small messages arrive; "0us" disables it.
    rest: Annotated[int, DurationParser(0)] = 50


class Certificate(ConfigBlock, kw_only=True):
    """Files of a listener's TLS certificate, in PEM form."""

    certificate: Name
    key: Name
    clients: str = ""  # a CA file: clients must present a certificate signed by it; empty for none


class ListenerLimits(ConfigBlock, kw_only=True):
    """Limits of one listener; all but `connections` and `calls` apply to gRPC only."""

    connections: Count = 1000
    calls: Count = 10_000
    streams: Count = 1000  # per connection
    window: Annotated[int, SizeParser(1024)] = 65_535  # per stream
    header: Annotated[int, SizeParser(1024)] = 16 * 1024
    message: Bytes = 4 * 1024**2
    replay: Bytes = 256 * 1024  # kept per call for another attempt
    memory: Bytes = 64 * 1024**2  # kept in all
    drain: PositiveDuration = 30_000_000  # from the first GOAWAY to the close of a connection
    idle: Duration = 300_000_000  # idle connections close after this time


class Listener(ConfigBlock, kw_only=True):
    """A `listener "name" { ... }` block: an address for clients, and its protocol."""

    name: str = ""
    protocol: Literal["jobs", "grpc"]
    address: Annotated[tuple[str, int], AddressParser(any_port=True)]
    pool: str = ""  # receives the jobs of a listener with protocol jobs; unused with grpc
    tls: Certificate | None = None
    limits: ListenerLimits | None = None


class Instance(ConfigBlock, kw_only=True):
    """An `instance "name" { ... }` block of a pool without discovery."""

    name: str = ""
    address: Address
    hall: str = ""
    kit: str = ""
    bay: Annotated[int, Meta(ge=0)] = 0
    size: Annotated[float, Meta(gt=0)] = 1.0
    drain: bool = False


class PoolTls(ConfigBlock, kw_only=True):
    """TLS towards the instances of a pool."""

    ca: str = ""
    server_name: str = ""


class Pool(ConfigBlock, kw_only=True):
    """A `pool "name" { ... }` block: a group of instances, and the protocol and settings for it."""

    name: str = ""
    protocol: Literal["jobs", "grpc"]
    discovery: Annotated[tuple[str, int] | None, AddressParser()] = None
    # With "pushed", `discovery` is the address of an agent beside this process.
    lists: Literal["asked", "pushed"] = "asked"
    instance: dict[str, Instance] = {}
    attempts: Annotated[int, Meta(ge=1, le=10)] = 4
    slots: Annotated[float, Meta(ge=1, le=100_000)] = 100.0  # calls that an instance accepts at the same time
    connect_timeout: PositiveDuration = 1_000_000
    message: Bytes = 4 * 1024**2
    window: Annotated[int, SizeParser(1024)] = 65_535
    ping_after: Duration = 20_000_000
    ping_patience: PositiveDuration = 10_000_000
    max_retry_after: Duration = 2_000_000
    dispatchers: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0
    hall: str = ""
    probes: bool = False
    reports: Literal["answers", "probes", "none"] = "none"
    report: dict[str, str] = {}
    cancels: bool = False
    tells_start: bool = False
    progress: Duration = 0
    keepalive: Duration = 0
    drain_grace: Duration = 1_500_000
    cold_share: Share = 1.0
    ramp: Duration = 0
    tip_multiple: Number = 0.0
    tip_window: Duration = 0
    price_crossing: Share = 0.0
    tls: PoolTls | None = None


class JobClass(ConfigBlock, kw_only=True):
    """A `class "name" { ... }` block: the deadline, worth and repeat rules of a class of requests."""

    name: str = ""
    effect: Literal["safe", "keyed", "unsafe"]
    aim: PositiveDuration
    give_up: PositiveDuration
    worth: Number = 1.0
    stretch: Number = 0.0
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Duration = 0


class Route(ConfigBlock, kw_only=True):
    """A `route "name" { ... }` block: the pool and class of the gRPC calls that it matches."""

    name: str = ""
    service: str = ""
    method: str = ""
    prefix: str | None = None
    pool: Name
    job_class: Name


class Fleet(ConfigBlock, kw_only=True):
    """Membership in a fleet: the common store and the limits of all members. See docs/operate/fleet.md."""

    # Endpoints of the common store, of which one is used at a time.
    store: Annotated[
        list[tuple[str, int]], ListParser(AddressParser(), 'a list of addresses such as ["127.0.0.1:2379"]')
    ]
    group: Name = "main"  # members of one group coordinate with each other
    member: str = ""  # this process's name in the group; empty for the file's `name`
    zone: str = ""
    region: str = ""
    version: str = ""  # empty for the version of the program
    size: Annotated[int, Meta(ge=0, le=100_000)] = 0  # members in all; 0 for the number of registered ones
    lease: Annotated[int, DurationParser(1_000_000)] = 5_000_000  # in whole seconds
    # The most members that may be out of service at the same time, in the fleet, a zone and a region.
    out: Annotated[CountOrShare | None, PartParser()] = None
    out_zone: Annotated[CountOrShare | None, PartParser()] = None
    out_region: Annotated[CountOrShare | None, PartParser()] = None
    least_serving: Annotated[int, Meta(ge=0)] = 1
    # The most runners that may be drained at the same time, in each pool, and in a hall or of a kind in it.
    runners_out: Annotated[CountOrShare | None, PartParser()] = None
    runners_out_hall: Annotated[CountOrShare | None, PartParser()] = None
    runners_out_kind: Annotated[CountOrShare | None, PartParser()] = None
    restart_status: Annotated[int, Meta(ge=1, le=255)] = 75  # the exit status that asks for a restart
    version_file: str = ""  # receives the version to start next, before the process exits with that status


class Config(ConfigBlock, kw_only=True):
    """The configuration in one file."""

    name: Name = "pulleyroute"
    seed: Annotated[int, Meta(ge=0)] | None = None
    log: Log | None = None
    limits: ProcessLimits | None = None
    management: Annotated[tuple[str, int] | None, AddressParser()] = None  # the admin listener
    listener: dict[str, Listener]
    pool: dict[str, Pool]
    job_class: dict[str, JobClass]
    route: dict[str, Route] = {}
    fleet: Fleet | None = None
