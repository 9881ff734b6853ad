"""The codec of the simulator's wire protocol: bytes to events, actions to bytes. No I/O and no decisions."""

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
    """A batch, or the settings in it, is malformed; the message says where."""


@dataclass(slots=True)
class Begin:
    """A dispatcher starts."""

    seed: int
    settings: Settings
    report_fields: tuple[str | None, ...]


@dataclass(slots=True)
class Halt:
    """A dispatcher stops."""


BATCH_HEADER = Struct("<IIQ")
REPLY_HEADER = Struct("<II")
LIST_COUNT = 16  # worker lists that a decoder keeps, by number
ALL_PEERS = 0xFFFF  # receiver of a message to all dispatchers
TIMER_LIMIT = 0xFFFFFFFF  # microseconds
TEXT_LIMIT = 0xFFFF  # bytes

_HAS_HINT, _IS_REPEAT = 1, 2  # bits of a job's options
_KIND_STARTED, _KIND_PROGRESS = 1, 2  # of an attempt's note

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

_JOB = Struct("<HQBIfHIfQH")
_ATTEMPT_NOTE = Struct("<HQH6sBf")
_LIST_HEAD = Struct("<HI")
_ENTRY = Struct("<6sHQfHHB")
_LIST_UPDATE = Struct("<HIBH")
_TIMER = Struct("<HI")
_STREAM_BEGAN = Struct("<HQH6sI")
_HALT = Struct("<H")
_ATTEMPT_ENDED = Struct("<HQIBBHI6sB")
_BEGIN = Struct("<HQI")
_PEER_MESSAGE = Struct("<HHH")
_PROBE_ENDED = Struct("<H6sBIB")
_EXPIRED = Struct("<HQ")
_FLOATS = [Struct(f"<{count}f") for count in range(256)]

_PUSH = Struct("<BHQ6sQ")
_REFUSE = Struct("<BHQI")
_FAIL = Struct("<BHQ")
_CANCEL = Struct("<BHQH")
_SET_TIMER = Struct("<BHII")
_PROBE = Struct("<BH6s")
_SEND_TO_PEER = Struct("<BHHH")
_TEXT = Struct("<BHH")
_SUBSCRIBE = Struct("<BHB")
_FETCH_LIST = Struct("<BH")


class Decoder:
    """Decodes batches to (instance, event) pairs; keeps worker lists, and report fields of each instance."""

    def __init__(self) -> None:
        self._lists: dict[int, list[Entry]] = {}
        self._fields: dict[int, tuple[str | None, ...]] = {}

    def batch(self, count: int, body: bytes) -> list[tuple[int, Event | Begin | Halt]]:
        """Decode the `count` records of one batch; raises `WireError`."""
        events: list[tuple[int, Event | Begin | Halt]] = []
        offset = 0
        code = -1
        try:
            for _ in range(count):
                code = body[offset]
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown record code {code} at byte {offset}")
                offset = reader(self, body, offset + 1, events)
        except (struct_error, IndexError):
            raise WireError(f"truncated record of code {code} at byte {offset}") from None
        if offset != len(body):
            raise WireError(f"{len(body) - offset} bytes left over after {count} records")
        return events

    def _report(self, instance: int, body: bytes, offset: int, count: int) -> tuple[LoadReport | None, int]:
        if not count:
            return None, offset
        values = _FLOATS[count].unpack_from(body, offset)
        report = LoadReport()
        for name, value in zip(self._fields.get(instance, ()), values, strict=False):
            if name is not None:
                setattr(report, name, value)
        return report, offset + 4 * count

    def _job(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, job, cls, time_left, memory, tenant, hint, slots, key, options = _JOB.unpack_from(
            body, offset
        )
        events.append(
            (
                instance,
                JobArrived(
                    job,
                    cls,
                    time_left,
                    slots,
                    memory,
                    tenant,
                    hint if options & _HAS_HINT else None,
                    key,
                    bool(options & _IS_REPEAT),
                ),
            )
        )
        return offset + _JOB.size

    def _attempt_note(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, job, attempt, worker, kind, value = _ATTEMPT_NOTE.unpack_from(body, offset)
        if kind == _KIND_STARTED:
            events.append((instance, AttemptStarted(job, attempt, worker)))
        elif kind == _KIND_PROGRESS:
            events.append((instance, AttemptProgress(job, attempt, worker, value)))
        return offset + _ATTEMPT_NOTE.size

    def _store_list(self, body: bytes, offset: int, events: list[Any]) -> int:
        list_number, count = _LIST_HEAD.unpack_from(body, offset)
        offset += _LIST_HEAD.size
        if list_number >= LIST_COUNT:
            raise WireError(f"list number {list_number} is not below {LIST_COUNT}")
        if offset + count * _ENTRY.size > len(body):
            raise struct_error
        entries = []
        for _ in range(count):
            worker, kind, started, size, cell, zone, state = _ENTRY.unpack_from(body, offset)
            worker_state = _lookup(_STATES, state, "worker state")
            entries.append(Entry(worker, worker_state, kind, started, size, cell, zone))
            offset += _ENTRY.size
        self._lists[list_number] = entries
        return offset

    def _list_update(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, version, kind, list_number = _LIST_UPDATE.unpack_from(body, offset)
        list_kind = _lookup(_LIST_KINDS, kind, "list kind")
        entries: list[Entry] = []
        if list_kind is not ListKind.FAILED:
            entries = _lookup(self._lists, list_number, "list number")
        events.append((instance, WorkerList(version, list_kind, entries)))
        return offset + _LIST_UPDATE.size

    def _timer(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, token = _TIMER.unpack_from(body, offset)
        events.append((instance, TimerFired(token)))
        return offset + _TIMER.size

    def _stream_began(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, job, attempt, worker, _ = _STREAM_BEGAN.unpack_from(body, offset)
        events.append((instance, StreamBegan(job, attempt, worker)))
        return offset + _STREAM_BEGAN.size

    def _halt(self, body: bytes, offset: int, events: list[Any]) -> int:
        events.append((_HALT.unpack_from(body, offset)[0], Halt()))
        return offset + _HALT.size

    def _attempt_ended(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, job, took, final, outcome_code, attempt, _, worker, count = _ATTEMPT_ENDED.unpack_from(
            body, offset
        )
        report, end = self._report(instance, body, offset + _ATTEMPT_ENDED.size, count)
        outcome = _lookup(_OUTCOMES, outcome_code, "outcome code")
        events.append((instance, AttemptEnded(job, attempt, worker, outcome, bool(final), took, report)))
        return end

    def _begin(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, seed, count = _BEGIN.unpack_from(body, offset)
        info, offset = _take_bytes(body, offset + _BEGIN.size, count)
        try:
            settings, fields = decode_settings(info)
        except SettingsError as exc:
            raise WireError(str(exc)) from None
        self._fields[instance] = fields
        events.append((instance, Begin(seed, settings, fields)))
        return offset

    def _peer_message(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, sender, count = _PEER_MESSAGE.unpack_from(body, offset)
        payload, offset = _take_bytes(body, offset + _PEER_MESSAGE.size, count)
        events.append((instance, PeerMessage(sender, payload)))
        return offset

    def _probe_ended(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, worker, outcome_code, took, count = _PROBE_ENDED.unpack_from(body, offset)
        report, end = self._report(instance, body, offset + _PROBE_ENDED.size, count)
        events.append(
            (instance, ProbeEnded(worker, _lookup(_OUTCOMES, outcome_code, "outcome code"), took, report))
        )
        return end

    def _expired(self, body: bytes, offset: int, events: list[Any]) -> int:
        instance, job = _EXPIRED.unpack_from(body, offset)
        events.append((instance, JobExpired(job)))
        return offset + _EXPIRED.size


_READERS: dict[int, Callable[[Decoder, bytes, int, list[Any]], int]] = {
    0: Decoder._job,
    1: Decoder._attempt_note,
    2: Decoder._store_list,
    3: Decoder._list_update,
    4: Decoder._timer,
    5: Decoder._stream_began,
    6: Decoder._halt,
    7: Decoder._attempt_ended,
    8: Decoder._begin,
    9: Decoder._peer_message,
    10: Decoder._probe_ended,
    11: Decoder._expired,
}


def _take_bytes(body: bytes, offset: int, count: int) -> tuple[bytes, int]:
    if offset + count > len(body):
        raise struct_error
    return body[offset : offset + count], offset + count


def _lookup(table: dict[int, Any], number: int, what: str) -> Any:
    try:
        return table[number]
    except KeyError:
        raise WireError(f"unknown {what} {number}") from None


def encode(instance: int, action: Action) -> bytes:
    """Return the record of one action."""
    return _WRITERS[type(action)](instance, action)


def encode_exception(instance: int, text: str) -> bytes:
    """Return the record that reports an exception in the decision code."""
    return _text(9, instance, text)


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:TEXT_LIMIT].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def _send_to_peer(instance: int, action: SendToPeer) -> bytes:
    peer = ALL_PEERS if action.peer is None else action.peer
    return _SEND_TO_PEER.pack(7, instance, peer, len(action.payload)) + action.payload


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Push: lambda i, a: _PUSH.pack(0, i, a.job, a.worker, a.timeout_at),
    Refuse: lambda i, a: _REFUSE.pack(1, i, a.job, a.retry_after),
    Fail: lambda i, a: _FAIL.pack(2, i, a.job),
    Cancel: lambda i, a: _CANCEL.pack(3, i, a.job, a.attempt),
    SetTimer: lambda i, a: _SET_TIMER.pack(4, i, min(a.after, TIMER_LIMIT), a.token),
    Probe: lambda i, a: _PROBE.pack(5, i, a.worker),
    CloseIdle: lambda i, a: _PROBE.pack(6, i, a.worker),
    SendToPeer: _send_to_peer,
    Log: lambda i, a: _text(8, i, a.text),
    Subscribe: lambda i, a: _SUBSCRIBE.pack(10, i, a.on),
    FetchList: lambda i, a: _FETCH_LIST.pack(11, i),
}
