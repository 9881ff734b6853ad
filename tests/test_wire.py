"""The codec of the wire and the host of many dispatchers, on hand-made bytes."""

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from pulleyroute import adapter
from pulleyroute.adapter import Host, serve
from pulleyroute.interface import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    Cancel,
    CloseIdle,
    Effect,
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
    ReportSource,
    SendToPeer,
    SetTimer,
    StreamBegan,
    Subscribe,
    TimerFired,
    WorkerList,
    WorkerState,
)
from pulleyroute.settings import SettingsError, decode_settings
from pulleyroute.wire import BATCH_HEADER, Begin, Decoder, WireError, encode

WORKER = bytes.fromhex("0a124a072b23")
SUBMIT = (  # a job's record without its options
    "00 0300 c4913a5d063a0300 00 80a90300 00000000 0000 e02e0000 00000040 640ad2557c3bf091 "
)
INFO = {
    "balancers": 3,
    "me": 1,
    "membership-mode": "pushed",
    "my-zone": 0,
    "unheard-of": {"x": 1},
    "caps": {
        "max-attempts": 3,
        "probes": True,
        "cancelling": True,
        "retry-after": True,
        "max-retry-after": 7,
    },
    "classes": [
        {"name": "read", "effect": "read_like", "aim": 200000, "give-up": 5000000, "gain": 2.0},
        {"name": "pay", "effect": "idempotency_key", "aim": 1, "give-up": 2, "key-scope": "cell"},
    ],
    "family-info": {
        "class-kind": [-1, 1],
        "class-stretch": [2.0, 2.5],
        "report-x0": "free slots",
        "report-x1": "free memory",
        "tells-start": True,
        "progress": 1000000,
    },
    "load-report": {"fields": ["rif", "x0", "strange", "x1"], "via": "pull"},
    "obligations": {
        "drain-grace": 250000,
        "fall": 1000000,
        "cold-share": 0.12,
        "ramp-time": 22000000,
        "tip-multiple": 4.0,
    },
}


def begin(instance=3, info=None):
    text = json.dumps(INFO if info is None else info).encode()
    return struct.pack("<BHQI", 8, instance, 42, len(text)) + text


def decode(count, *parts):
    return Decoder().batch(count, b"".join(parts))


def decode_one(hex_text, decoder=None):
    ((instance, event),) = (decoder or Decoder()).batch(1, bytes.fromhex(hex_text))
    return instance, event


def test_submit():
    instance, event = decode_one(SUBMIT + "0100")
    assert instance == 3
    assert event == JobArrived(0x33A065D3A91C4, 0, 240000, 2.0, 0.0, 0, 12000, 0x91F03B7C55D20A64, False)


def test_a_hint_without_its_option_bit_is_ignored():
    _, event = decode_one(SUBMIT + "0200")
    assert event.cost_hint is None and event.is_repeat


def test_notes():
    job = 0x33A065D3A91C4
    attempt = "0300 c4913a5d063a0300 0000 0a124a07 2b23 "
    assert decode_one("01" + attempt + "01 0000003f") == (3, AttemptStarted(job, 0, WORKER))
    assert decode_one("01" + attempt + "02 0000003f") == (3, AttemptProgress(job, 0, WORKER, 0.5))
    assert decode_one("05" + attempt + "22240000") == (3, StreamBegan(job, 0, WORKER))


def test_lists_are_sent_once_and_referred_to_by_number():
    decoder = Decoder()
    list_record = bytes.fromhex(
        "02 0000 02000000 0a124a07 2b23 0000 0000000000000000 0000803f 0000 0000 01"
        "0a9011f2 5423 0000 20145d0000000000 0000c03f 0000 0100 02"
    )
    update = bytes.fromhex("03 0300 29000000 02 0000")
    ((instance, event),) = decoder.batch(2, list_record + update)
    assert (instance, type(event), event.version, event.kind) == (3, WorkerList, 41, ListKind.CACHED)
    assert [(e.worker, e.state, e.started, e.size, e.zone) for e in event.entries] == [
        (WORKER, WorkerState.READY, 0, 1.0, 0),
        (bytes.fromhex("0a9011f25423"), WorkerState.DRAINING, 0x5D1420, 1.5, 1),
    ]
    other = bytes.fromhex("02 0000 00000000")
    events = decoder.batch(3, update + other + update)
    assert [len(e.entries) for _, e in events] == [2, 0]


def test_a_failed_list_needs_no_number():
    assert decode_one("03 0300 29000000 03 0900") == (3, WorkerList(41, ListKind.FAILED, []))


def test_small_events():
    assert decode_one("04 0300 4d000000") == (3, TimerFired(77))
    assert decode_one("0b 0500 192b6f0e57ee0100") == (5, JobExpired(0x1EE570E6F2B19))
    assert decode_one("09 0300 0200 0400 68692037") == (3, PeerMessage(2, b"hi 7"))


def test_outcomes_and_reports():
    decoder = Decoder()
    decoder.batch(1, begin())
    report = LoadReport(in_hand=7.0, free_slots=0.5, free_memory=2.0)
    values = struct.pack("<B4f", 4, 7.0, 0.5, 9.0, 2.0).hex()
    _, probed = decode_one("0a 0300 0a124a07 2b23 00 78050000" + values, decoder)
    assert probed == ProbeEnded(WORKER, Outcome.OK, 1400, report)
    for code, outcome in {0: 0, 5: 1, 11: 2, 110: 3, 111: 4, 104: 5, 125: 6, 114: 7}.items():
        head = f"07 0300 c4913a5d063a0300 44480000 01 {code:02x} "
        _, ended = decode_one(head + "0000 00000000 0a124a07 2b23 00", decoder)
        assert ended == AttemptEnded(0x33A065D3A91C4, 0, WORKER, Outcome(outcome), True, 0x4844, None)


def test_actions():
    job = 0x33A065D3A91C4
    cases = {
        "00 0300 c4913a5d063a0300 0a124a07 2b23 da94810000000000": Push(job, WORKER, 0x8194DA),
        "06 0300 0a124a07 2b23": CloseIdle(WORKER),
        "01 0300 c4913a5d063a0300 90d00300": Refuse(job, 250000),
        "02 0300 c4913a5d063a0300": Fail(job),
        "03 0300 c4913a5d063a0300 0000": Cancel(job, 0),
        "0b 0300": FetchList(),
        "05 0300 0a124a07 2b23": Probe(WORKER),
        "04 0300 20a10700 4d000000": SetTimer(500000, 77),
        "08 0300 1100 74776f2073657276657273206b6e6f776e": Log("two servers known"),
        "0a 0300 01": Subscribe(True),
        "07 0300 ffff 0400 68692037": SendToPeer(b"hi 7"),
    }
    for hex_text, action in cases.items():
        assert encode(3, action) == bytes.fromhex(hex_text)


def test_settings():
    settings, fields = decode_settings(json.dumps(INFO).encode())
    assert settings.report_source is ReportSource.PROBES and settings.max_retry_after == 7
    assert [(c.effect, c.kind, c.stretch) for c in settings.classes] == [
        (Effect.SAFE, -1, 2.0),
        (Effect.KEYED, 1, 2.5),
    ]
    assert fields == ("in_hand", "free_slots", None, "free_memory")


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (["caps", "max-attempts"], None, "caps.max-attempts"),
        (["caps", "max-attempts"], 0, "caps.max-attempts"),
        (["obligations", "tip-multiple"], "many", "obligations.tip-multiple"),
        (["classes"], [], "classes"),
        (["classes"], None, "classes"),
        (["membership-mode"], "telepathy", "membership-mode"),
        (["balancers"], float("nan"), "balancers"),
    ],
)
def test_a_missing_or_invalid_setting_is_named(path, value, named):
    info = json.loads(json.dumps(INFO))
    section = info
    for key in path[:-1]:
        section = section[key]
    if value is None:
        del section[path[-1]]
    else:
        section[path[-1]] = value
    with pytest.raises(SettingsError, match=named.replace(".", r"\.")):
        decode_settings(json.dumps(info).encode())


@pytest.mark.parametrize(
    ("count", "body", "text"),
    [
        (1, b"\x63", "unknown record code 99"),
        (1, bytes.fromhex("04 0300 4d00"), "truncated record of code 4"),
        (2, bytes.fromhex("04 0300 4d000000"), "truncated record"),
        (1, bytes.fromhex("04 0300 4d000000 00"), "left over"),
        (1, bytes.fromhex("03 0300 29000000 01 0700"), "unknown list number 7"),
        (1, bytes.fromhex("02 0000 ffffffff"), "truncated record of code 2"),
        (1, begin()[:-3], "truncated record of code 8"),
    ],
)
def test_malformed_records_are_named(count, body, text):
    with pytest.raises(WireError, match=text):
        decode(count, body)


def batch(count, body, now=1000):
    return BATCH_HEADER.pack(count, len(body) + 8, now) + body


def test_an_empty_batch_gets_an_empty_reply():
    sink = io.BytesIO()
    serve(io.BytesIO(bytes.fromhex("00000000 08000000 5a5c800000000000")), sink)
    assert sink.getvalue() == bytes(8)


def test_halt_and_begin_in_one_batch_start_a_new_dispatcher():
    host = Host()
    list_record = bytes.fromhex("02 0000 01000000 0a124a07 2b23 0000 0000000000000000 0000803f 0000 0000 01")
    update = bytes.fromhex("03 0300 29000000 02 0000")
    job = bytes.fromhex(SUBMIT + "0100")
    halt = bytes.fromhex("06 0300")
    host.reply(4, 0, begin() + list_record + update + job)
    reply = host.reply(4, 10, halt + begin() + update + job)
    assert reply.count(WORKER) == 2  # a probe of the newly listed worker and a push
    with pytest.raises(WireError, match="not begun"):
        host.reply(2, 20, halt + job)


def test_a_crash_becomes_an_exception_record(monkeypatch):
    def crash(self, now, event):
        raise IndexError("out of range")

    monkeypatch.setattr(adapter.Dispatcher, "handle", crash)
    host = Host()
    reply = host.reply(2, 0, begin() + bytes.fromhex("04 0300 4d000000"))
    assert reply[8] == 9 and b"IndexError: out of range" in reply and b"TimerFired(token=77)" in reply


@pytest.mark.parametrize(
    "stream",
    [
        b"\x01\x00",
        batch(1, b"\x63"),
        batch(1, bytes.fromhex("04 0300 4d000000")),
        batch(0, b"")[:12],
        BATCH_HEADER.pack(1, 100, 0) + b"short",
        BATCH_HEADER.pack(0, 3, 0),
        batch(1, begin(info={})),
    ],
)
def test_a_malformed_batch_ends_the_process_with_one_line(stream):
    root = Path(__file__).parent.parent
    done = subprocess.run(
        [sys.executable, "-m", "pulleyroute.adapter"],
        input=stream,
        cwd=root,
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 1
    assert done.stderr.count(b"\n") == 1 and done.stderr.startswith(b"pulleyroute: ")


def test_begin_carries_the_seed():
    ((instance, event),) = decode(1, begin())
    assert instance == 3 and isinstance(event, Begin) and event.seed == 42
