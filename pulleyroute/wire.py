"""The codec of the wire: bytes to events and settings, actions to bytes. No decisions, no input or output."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from struct import Struct
from struct import error as struct_error
from typing import Any

from pulleyroute.interface import (
    Action,
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    Cancel,
    CloseIdle,
    Effect,
    Entry,
    Event,
    Fail,
    FetchList,
    JobArrived,
    JobClass,
    JobExpired,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Push,
    Refuse,
    ReportSource,
    Scope,
    SetTimer,
    Settings,
    StreamBegan,
    Subscribe,
    Tell,
    Tenant,
    TimerFired,
    WorkerList,
    WorkerState,
)


class WireError(Exception):
    """Something on the wire, or in the settings, is malformed; the text names it."""


@dataclass(slots=True)
class Begin:
    """A dispatcher comes up."""

    seed: int
    settings: Settings
    report_fields: tuple[str | None, ...]


@dataclass(slots=True)
class Halt:
    """A dispatcher dies."""


BATCH_HEADER = Struct("<IIQ")
REPLY_HEADER = Struct("<II")
BANKS = 16
ALL_PEERS = 0xFFFF
ARM_LIMIT = 0xFFFFFFFF
TEXT_LIMIT = 0xFFFF

_HINTED, _REPEAT = 1, 2
_NOTE_STARTED, _NOTE_PROGRESS = 1, 2

_OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.FULL,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.MOOT,
}
_LIST_KINDS = {int(kind): kind for kind in ListKind}
_STATES = {int(state): state for state in WorkerState}

# Load report values under the wire's names; x0 and x1 are named by the settings.
_REPORT_FIELDS = {
    "rif": "in_hand",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
}
_EXTRA_FIELDS = {"free slots": "free_slots", "free memory": "free_memory"}

_SUBMIT = Struct("<HQBIfHIfQH")
_NOTE = Struct("<HQH6sBf")
_SHEET = Struct("<HI")
_ENTRY = Struct("<6sHQfHHB")
_TARGETS = Struct("<HIBH")
_WAKEUP = Struct("<HI")
_STREAM = Struct("<HQH6sI")
_HALT = Struct("<H")
_RETURNED = Struct("<HQIBBHI6sB")
_BEGIN = Struct("<HQI")
_MAIL = Struct("<HHH")
_PROBED = Struct("<H6sBIB")
_EXPIRED = Struct("<HQ")
_FLOATS = [Struct(f"<{n}f") for n in range(256)]

_PASS_ON = Struct("<BHQ6sQ")
_OVERLOAD_REPLY = Struct("<BHQI")
_GIVE_UP = Struct("<BHQ")
_CALL_OFF = Struct("<BHQH")
_ARM = Struct("<BHII")
_PROBE = Struct("<BH6s")
_SHARE = Struct("<BHHH")
_TEXT = Struct("<BHH")
_TAIL = Struct("<BHB")
_GET_LIST = Struct("<BH")


class Decoder:
    """Turns batches into (instance, event) pairs; keeps the list banks and each instance's report fields."""

    def __init__(self) -> None:
        self._banks: dict[int, list[Entry]] = {}
        self._fields: dict[int, tuple[str | None, ...]] = {}

    def batch(self, count: int, body: bytes) -> list[tuple[int, Event | Begin | Halt]]:
        """Decode the `count` records of one batch."""
        out: list[tuple[int, Event | Begin | Halt]] = []
        at = 0
        code = -1
        try:
            for _ in range(count):
                code = body[at]
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown record code {code} at byte {at}")
                at = reader(self, body, at + 1, out)
        except (struct_error, IndexError):
            raise WireError(f"truncated record of code {code} at byte {at}") from None
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes left over after {count} records")
        return out

    def _report(self, instance: int, body: bytes, at: int, n: int) -> tuple[LoadReport | None, int]:
        if not n:
            return None, at
        values = _FLOATS[n].unpack_from(body, at)
        report = LoadReport()
        for name, value in zip(self._fields.get(instance, ()), values, strict=False):
            if name is not None:
                setattr(report, name, value)
        return report, at + 4 * n

    def _submit(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, job, cls, left, mem, tenant, hint, slots, key, opts = _SUBMIT.unpack_from(body, at)
        out.append((inst, JobArrived(job, cls, left, slots, mem, tenant,
                                     hint if opts & _HINTED else None, key, bool(opts & _REPEAT))))
        return at + _SUBMIT.size

    def _note(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, job, attempt, worker, kind, value = _NOTE.unpack_from(body, at)
        if kind == _NOTE_STARTED:
            out.append((inst, AttemptStarted(job, attempt, worker)))
        elif kind == _NOTE_PROGRESS:
            out.append((inst, AttemptProgress(job, attempt, worker, value)))
        return at + _NOTE.size

    def _sheet(self, body: bytes, at: int, out: list[Any]) -> int:
        bank, count = _SHEET.unpack_from(body, at)
        at += _SHEET.size
        if bank >= BANKS:
            raise WireError(f"list number {bank} is not below {BANKS}")
        if at + count * _ENTRY.size > len(body):
            raise struct_error
        entries = []
        for _ in range(count):
            worker, kind, started, size, cell, zone, state = _ENTRY.unpack_from(body, at)
            known = _known(_STATES, state, "worker state")
            entries.append(Entry(worker, known, kind, started, size, cell, zone))
            at += _ENTRY.size
        self._banks[bank] = entries
        return at

    def _targets(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, version, kind, bank = _TARGETS.unpack_from(body, at)
        list_kind = _known(_LIST_KINDS, kind, "list kind")
        entries: list[Entry] = []
        if list_kind is not ListKind.FAILED:
            entries = _known(self._banks, bank, "list number")
        out.append((inst, WorkerList(version, list_kind, entries)))
        return at + _TARGETS.size

    def _wakeup(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, token = _WAKEUP.unpack_from(body, at)
        out.append((inst, TimerFired(token)))
        return at + _WAKEUP.size

    def _stream(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, job, attempt, worker, _ = _STREAM.unpack_from(body, at)
        out.append((inst, StreamBegan(job, attempt, worker)))
        return at + _STREAM.size

    def _halt(self, body: bytes, at: int, out: list[Any]) -> int:
        out.append((_HALT.unpack_from(body, at)[0], Halt()))
        return at + _HALT.size

    def _returned(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, job, lag, final, verdict, attempt, _, worker, n = _RETURNED.unpack_from(body, at)
        report, end = self._report(inst, body, at + _RETURNED.size, n)
        outcome = _known(_OUTCOMES, verdict, "outcome code")
        out.append((inst, AttemptEnded(job, attempt, worker, outcome, bool(final), lag, report)))
        return end

    def _begin(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, seed, n = _BEGIN.unpack_from(body, at)
        info, at = _take(body, at + _BEGIN.size, n)
        settings, fields = decode_settings(info)
        self._fields[inst] = fields
        out.append((inst, Begin(seed, settings, fields)))
        return at

    def _mail(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, sender, n = _MAIL.unpack_from(body, at)
        payload, at = _take(body, at + _MAIL.size, n)
        out.append((inst, PeerMessage(sender, payload)))
        return at

    def _probed(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, worker, verdict, lag, n = _PROBED.unpack_from(body, at)
        report, end = self._report(inst, body, at + _PROBED.size, n)
        out.append((inst, ProbeEnded(worker, _known(_OUTCOMES, verdict, "outcome code"), lag, report)))
        return end

    def _expired(self, body: bytes, at: int, out: list[Any]) -> int:
        inst, job = _EXPIRED.unpack_from(body, at)
        out.append((inst, JobExpired(job)))
        return at + _EXPIRED.size


_READERS: dict[int, Callable[[Decoder, bytes, int, list[Any]], int]] = {
    0: Decoder._submit,
    1: Decoder._note,
    2: Decoder._sheet,
    3: Decoder._targets,
    4: Decoder._wakeup,
    5: Decoder._stream,
    6: Decoder._halt,
    7: Decoder._returned,
    8: Decoder._begin,
    9: Decoder._mail,
    10: Decoder._probed,
    11: Decoder._expired,
}


def _take(body: bytes, at: int, n: int) -> tuple[bytes, int]:
    if at + n > len(body):
        raise struct_error
    return body[at:at + n], at + n


def _known(table: dict[int, Any], number: int, what: str) -> Any:
    try:
        return table[number]
    except KeyError:
        raise WireError(f"unknown {what} {number}") from None


def encode(instance: int, action: Action) -> bytes:
    """The bytes of one action."""
    return _WRITERS[type(action)](instance, action)


def encode_exception(instance: int, text: str) -> bytes:
    """The bytes that report a crash of the decision code."""
    return _text(9, instance, text)


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:TEXT_LIMIT].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def _share(instance: int, action: Tell) -> bytes:
    peer = ALL_PEERS if action.peer is None else action.peer
    return _SHARE.pack(7, instance, peer, len(action.payload)) + action.payload


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Push: lambda i, a: _PASS_ON.pack(0, i, a.job, a.worker, a.timeout_at),
    Refuse: lambda i, a: _OVERLOAD_REPLY.pack(1, i, a.job, a.retry_after),
    Fail: lambda i, a: _GIVE_UP.pack(2, i, a.job),
    Cancel: lambda i, a: _CALL_OFF.pack(3, i, a.job, a.attempt),
    SetTimer: lambda i, a: _ARM.pack(4, i, min(a.after, ARM_LIMIT), a.token),
    Probe: lambda i, a: _PROBE.pack(5, i, a.worker),
    CloseIdle: lambda i, a: _PROBE.pack(6, i, a.worker),
    Tell: _share,
    Log: lambda i, a: _text(8, i, a.text),
    Subscribe: lambda i, a: _TAIL.pack(10, i, a.on),
    FetchList: lambda i, a: _GET_LIST.pack(11, i),
}

# Settings

_EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
_SOURCES = {"piggyback": ReportSource.ANSWERS, "pull": ReportSource.PROBES, "silent": ReportSource.NONE}
_MISSING: Any = object()


class _Section:
    """Reads one JSON object of the settings, naming what is missing or senseless."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise WireError(f"settings: {path or 'top level'} is not an object")
        self._data = data
        self._path = path

    def _name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def raw(self, key: str, default: Any = _MISSING) -> Any:
        value = self._data.get(key, default)
        if value is _MISSING:
            raise WireError(f"settings: {self._name(key)} is missing")
        return value

    def section(self, key: str) -> _Section:
        return _Section(self.raw(key, {}), self._name(key))

    def number(self, key: str, default: Any = _MISSING, least: float = 0) -> float:
        value = self.raw(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < math.inf:
            raise WireError(f"settings: {self._name(key)} is {value!r}, not a number of at least {least}")
        return float(value)

    def whole(self, key: str, default: Any = _MISSING, least: int = 0) -> int:
        return int(self.number(key, default, least))

    def flag(self, key: str) -> bool:
        value = self.raw(key, False)
        if not isinstance(value, bool):
            raise WireError(f"settings: {self._name(key)} is {value!r}, not true or false")
        return value

    def word(self, key: str, words: dict[str, Any], default: Any = _MISSING) -> Any:
        value = self.raw(key, default)
        if not isinstance(value, str) or value not in words:
            raise WireError(f"settings: {self._name(key)} is {value!r}, not one of {', '.join(words)}")
        return words[value]

    def items(self, key: str, default: Any = _MISSING) -> list[Any]:
        value = self.raw(key, default)
        if not isinstance(value, list):
            raise WireError(f"settings: {self._name(key)} is not a list")
        return value

    def sections(self, key: str, default: Any = _MISSING) -> list[_Section]:
        return [_Section(item, f"{self._name(key)}[{i}]") for i, item in enumerate(self.items(key, default))]


def decode_settings(info: bytes) -> tuple[Settings, tuple[str | None, ...]]:
    """The settings in `info`, and the attribute of a load report that each reported value goes to."""
    try:
        top = _Section(json.loads(info), "")
    except (UnicodeDecodeError, ValueError) as exc:
        raise WireError(f"settings: not JSON: {exc}") from None
    caps, family, duties = top.section("caps"), top.section("family-info"), top.section("obligations")
    prices, load = top.section("prices"), top.section("load-report")
    classes = [
        _job_class(item, family, i) for i, item in enumerate(top.sections("classes"))
    ]
    if not classes:
        raise WireError("settings: classes is empty")
    settings = Settings(
        classes=classes,
        dispatchers=top.whole("balancers", least=1),
        me=top.whole("me"),
        max_attempts=caps.whole("max-attempts", least=1),
        zone=top.whole("my-zone", 0),
        tenants=[
            Tenant(str(item.raw("name", i)), item.number("portion", 1.0), item.number("quota-per-s", 0.0))
            for i, item in enumerate(top.sections("customers", []))
        ],
        over_share_worth=top.number("over-share-worth", 1.0),
        by_work=top.raw("counted-by", "request") == "work",
        report_source=load.word("via", _SOURCES, "silent"),
        list_on_request=top.word("membership-mode", {"pushed": False, "on_request": True}),
        ask_every=duties.whole("ask-every", 10_000_000, least=1),
        probes=caps.flag("probes"),
        cancels=caps.flag("cancelling"),
        second_copies=caps.flag("second-copies"),
        peer_messages=caps.flag("peer-messages"),
        max_retry_after=caps.whole("max-retry-after", 0) if caps.flag("retry-after") else 0,
        connect_timeout=caps.whole("dial-timeout", 0),
        keepalive=caps.whole("keepalive", 0),
        progress=family.whole("progress", 0),
        tells_start=family.flag("tells-start"),
        drain_grace=duties.whole("drain-grace"),
        tip_multiple=duties.number("tip-multiple"),
        tip_window=duties.whole("fall"),
        cold_share=duties.number("cold-share"),
        ramp_time=duties.whole("ramp-time"),
        price_cross_zone=prices.number("cross-zone", 0.0),
        price_probe=prices.number("probe", 0.0),
        price_handshake=prices.number("handshake", 0.0),
        price_peer=prices.number("peer", 0.0),
    )
    names = dict(_REPORT_FIELDS)
    for extra in ("x0", "x1"):
        attribute = _EXTRA_FIELDS.get(family.raw(f"report-{extra}", ""))
        if attribute:
            names[extra] = attribute
    return settings, tuple(names.get(name) for name in load.items("fields", []))


def _job_class(item: _Section, family: _Section, i: int) -> JobClass:
    def each(key: str, default: Any) -> Any:
        values = family.items(key, [])
        return values[i] if i < len(values) else default

    return JobClass(
        name=str(item.raw("name", i)),
        effect=item.word("effect", _EFFECTS),
        aim=item.whole("aim", least=1),
        give_up=item.whole("give-up", least=1),
        worth=item.number("gain", 1.0),
        late_worth=item.number("late-worth", 0.0),
        scope=item.word("key-scope", {scope.value: scope for scope in Scope}, "all"),
        repeat_window=item.whole("repeat-window", 0),
        stretch=each("class-stretch", item.number("aim-stretch", 0.0)),
        kind=each("class-kind", -1),
        priority=each("class-priority", 0),
    )
