"""The codec of the wire: bytes to events, actions to bytes. No decisions, no input or output."""

from __future__ import annotations

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
    Entry,
    Event,
    Fail,
    FetchList,
    JobArrived,
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
    SendToPeer,
    SetTimer,
    Settings,
    StreamBegan,
    Subscribe,
    TimerFired,
    WorkerList,
    WorkerState,
)
from pulleyroute.settings import SettingsError, decode_settings


class WireError(Exception):
    """Something on the wire, or in the settings it carries, is malformed; the text names it."""


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
        out.append(
            (
                inst,
                JobArrived(
                    job,
                    cls,
                    left,
                    slots,
                    mem,
                    tenant,
                    hint if opts & _HINTED else None,
                    key,
                    bool(opts & _REPEAT),
                ),
            )
        )
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
        try:
            settings, fields = decode_settings(info)
        except SettingsError as exc:
            raise WireError(str(exc)) from None
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
    return body[at : at + n], at + n


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


def _share(instance: int, action: SendToPeer) -> bytes:
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
    SendToPeer: _share,
    Log: lambda i, a: _text(8, i, a.text),
    Subscribe: lambda i, a: _TAIL.pack(10, i, a.on),
    FetchList: lambda i, a: _GET_LIST.pack(11, i),
}
