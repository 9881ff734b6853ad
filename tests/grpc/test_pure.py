"""The parts of the gRPC package without I/O.

Covers headers, timeouts, statuses, routes, the message meter, the replay buffer, load reports and the
classification of attempts.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.grpc.decide import ReplayBuffer, classify_abort, classify_trailers, parse_pushback
from pulleyroute.grpc.head import (
    InvalidRequestHead,
    first_value,
    format_timeout,
    parse_request_head,
    parse_timeout,
    request_headers,
    status_trailers,
)
from pulleyroute.grpc.messages import OrcaReport, framed, parse_load_report
from pulleyroute.grpc.meter import MessageMeter
from pulleyroute.grpc.routes import Match, Routes
from pulleyroute.grpc.status import (
    Status,
    parse_status,
    percent_decode,
    percent_encode,
    status_from_http,
    status_from_reset,
)
from pulleyroute.interface import Outcome
from pulleyroute.net.flood_limits import ALLOWED, FloodLimits
from pulleyroute.net.requests import Ending

GOOD = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/a.B/C"),
    (b":authority", b"x"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc+proto"),
]


@given(st.integers(0, 10**17))
def test_a_timeout_is_never_written_longer_than_it_is_and_nearly_whole(span):
    text = format_timeout(span)
    assert len(text) <= 9
    back = parse_timeout(text)
    assert back <= span and (span >= 10**8 * 3600 * 10**6 or span - back <= max(1, span // 10**4))


@pytest.mark.parametrize("text", [b"", b"1", b"S", b"123456789S", b"-1S", b"1.5S", b"1 S", b"1s"])
def test_a_malformed_timeout_is_rejected(text):
    with pytest.raises(InvalidRequestHead):
        parse_timeout(text)


def test_a_head_is_read_and_passed_on_without_what_belongs_to_the_hop():
    head = parse_request_head(
        [
            *GOOD,
            (b"x-a", b"1"),
            (b"grpc-timeout", b"2S"),
            (b"grpc-previous-rpc-attempts", b"2"),
            (b"grpc-encoding", b"gzip"),
            (b"connection", b"close"),
            (b"x-a", b"2"),
            (b"authorization", b"secret"),
        ]
    )
    assert (head.service, head.method, head.timeout_us, head.previous_attempts) == (
        b"a.B",
        b"C",
        2_000_000,
        2,
    )
    out = request_headers(head, b"https", 1_500_000, 3)
    assert [(name, value) for name, value, *_ in out] == [
        (b":method", b"POST"),
        (b":scheme", b"https"),
        (b":path", b"/a.B/C"),
        (b":authority", b"x"),
        (b"te", b"trailers"),
        (b"grpc-timeout", b"1500000u"),
        (b"grpc-previous-rpc-attempts", b"3"),
        (b"content-type", b"application/grpc+proto"),
        (b"x-a", b"1"),
        (b"grpc-encoding", b"gzip"),
        (b"x-a", b"2"),
        (b"authorization", b"secret"),
    ]
    assert out[-1][2:] == (True,)  # never indexed, so kept out of the HPACK tables


@pytest.mark.parametrize(
    "change, http, status",
    [
        ({b":method": b"GET"}, 405, Status.INTERNAL),
        ({b"content-type": b"text/html"}, 415, Status.UNKNOWN),
        ({b"content-type": b"application/grpcweb"}, 415, Status.UNKNOWN),
        ({b":path": b"/only"}, 200, Status.UNIMPLEMENTED),
        ({b":path": b"*"}, 200, Status.UNIMPLEMENTED),
    ],
)
def test_a_head_that_is_no_call_is_refused(change, http, status):
    with pytest.raises(InvalidRequestHead) as caught:
        parse_request_head([(name, change.get(name, value)) for name, value in GOOD])
    assert (caught.value.http_status, caught.value.status) == (http, status)


@given(st.text())
def test_a_status_message_survives_percent_encoding(text):
    encoded = percent_encode(text)
    assert all(0x20 <= byte <= 0x7E for byte in encoded)
    assert percent_decode(encoded) == text.encode(errors="replace").decode()


def test_statuses_from_elsewhere():
    assert [parse_status(text) for text in (b"0", b"16", b"17", b"-1", b"x", b"")] == [0, 16, 2, 2, 2, 2]
    assert [status_from_http(code) for code in (400, 401, 403, 404, 429, 502, 503, 504, 500, 302)] == [
        13,
        16,
        7,
        12,
        14,
        14,
        14,
        14,
        2,
        2,
    ]
    assert [status_from_reset(code) for code in (None, 0, 1, 2, 3, 5, 6, 7, 8, 9, 11, 12)] == [
        14,
        13,
        13,
        13,
        13,
        13,
        13,
        14,
        1,
        13,
        8,
        7,
    ]


def test_the_most_exact_route_wins_whatever_the_order():
    routes = Routes(
        [
            (Match(prefix=""), 0),
            (Match(prefix="a."), 1),
            (Match(prefix="a.b"), 2),
            (Match("a.b.C"), 3),
            (Match("a.b.C", "Do"), 4),
        ]
    )
    assert [
        routes.find(*each)
        for each in (
            (b"a.b.C", b"Do"),
            (b"a.b.C", b"Else"),
            (b"a.b.D", b"Do"),
            (b"a.x", b"Do"),
            (b"z", b"Do"),
        )
    ] == [4, 3, 2, 1, 0]
    assert Routes([(Match("a"), 1)]).find(b"ab", b"c") is None
    assert routes.serves(b"a.b.C") and not Routes([(Match("a"), 1)]).serves(b"b")
    for wrong in ([(Match("a"), 1), (Match("a"), 2)], [(Match(), 1)], [(Match("a", prefix="b"), 1)]):
        with pytest.raises(ValueError):
            Routes(wrong)


@given(st.lists(st.binary(max_size=40), max_size=20), st.lists(st.integers(1, 30), min_size=1))
def test_the_meter_counts_messages_however_they_are_cut(messages, cuts):
    data, meter, i = b"".join(framed(message) for message in messages), MessageMeter(40), 0
    while data:
        size = cuts[i % len(cuts)]
        assert meter.feed(data[:size])
        data, i = data[size:], i + 1
    assert meter.message_count == len(messages) and meter.at_boundary


def test_the_meter_refuses_a_message_as_soon_as_its_length_is_read():
    assert MessageMeter(10).feed(framed(b"x" * 10)) and not MessageMeter(10).feed(framed(b"x" * 11)[:5])


@given(st.lists(st.binary(min_size=1, max_size=30), max_size=20), st.data())
def test_a_replay_gives_back_what_came_from_any_offset_that_is_kept(chunks, data):
    replay = ReplayBuffer(50)
    for chunk in chunks:
        replay.append(chunk)
    whole = b"".join(chunks)
    offset = data.draw(st.integers(0, len(whole)))
    assert b"".join(replay.chunks_from(offset)) == whole[offset:] and replay.over_limit == (len(whole) > 50)
    replay.discard_before(offset)
    assert replay.start_offset <= offset and b"".join(replay.chunks_from(offset)) == whole[offset:]
    if not replay.complete:
        with pytest.raises(ValueError):
            replay.chunks_from(replay.start_offset - 1)


def trailers(status, *more):
    return [(b"grpc-status", b"%d" % status), *more]


def test_the_end_of_an_attempt_is_classified():
    nack = (b"x-turned-away", b"1")
    wait = (b"grpc-retry-pushback-ms", b"200")
    defaults = {"committed": False, "time_left": 1_000_000, "unsafe": False, "last_attempt": False}
    assert classify_trailers(200, trailers(0), **defaults).ending is Ending.SERVED
    assert classify_trailers(200, trailers(13), **defaults).ending is Ending.FAILED
    # The decision module decides on a retry.
    assert classify_trailers(200, trailers(14), **defaults).ending is None
    assert classify_trailers(200, trailers(8), **defaults).ending is Ending.FAILED
    assert classify_trailers(200, trailers(8, wait), **defaults) == classify_trailers(
        200, trailers(8, wait), **defaults
    )
    assert classify_trailers(200, trailers(8, wait), **defaults).delay_us == 200_000
    marked = classify_trailers(200, trailers(14, nack), **defaults | {"unsafe": True})
    assert marked.outcome is Outcome.FULL and marked.nacked and marked.ending is None
    assert not classify_trailers(200, trailers(5, nack), **defaults).nacked
    committed = classify_trailers(200, trailers(14, nack, wait), **defaults | {"committed": True})
    assert committed.ending is Ending.FAILED and not committed.nacked and not committed.delay_us
    # The call is not sent again, so there is no delay.
    assert classify_trailers(200, trailers(14, wait), **defaults | {"unsafe": True}).delay_us == 0
    assert classify_trailers(200, trailers(14, wait), **defaults | {"last_attempt": True}).delay_us == 0
    assert (
        classify_trailers(200, trailers(14, wait), **defaults | {"time_left": 100_000}).ending
        is Ending.FAILED
    )
    assert classify_trailers(503, [], **defaults).status is Status.UNAVAILABLE
    assert classify_trailers(200, [], **defaults).status is Status.INTERNAL
    assert (
        classify_abort(7, True).outcome is Outcome.FULL and classify_abort(None, True).outcome is Outcome.MOOT
    )
    assert classify_abort(None, False).outcome is Outcome.RESET
    assert classify_abort(2, False).outcome is Outcome.ERROR
    texts = (b"0", b"5", b"-1", b"", b"1.5")
    assert [parse_pushback([(b"grpc-retry-pushback-ms", text)]) for text in texts] == [0, 5000, -1, -1, -1]
    assert parse_pushback([]) is None


def test_load_reports_in_all_three_forms():
    import base64

    report = OrcaReport(application_utilization=0.25, rps_fractional=3)
    report.named_metrics["queue"] = 2
    encoded = base64.b64encode(report.SerializeToString()).rstrip(b"=")
    for name, value in (
        (b"endpoint-load-metrics-bin", encoded),
        (b"endpoint-load-metrics", b"TEXT application_utilization=0.25,queue=2"),
        (b"endpoint-load-metrics", b'JSON {"application_utilization":0.25,"named_metrics":{"queue":2}}'),
    ):
        load = parse_load_report([(name, value)], 8)
        assert load.free_slots == 6 and load.queued == 2
    for name, value in (
        (b"endpoint-load-metrics-bin", b"!!"),
        (b"endpoint-load-metrics", b"TEXT a=b"),
        (b"endpoint-load-metrics", b"JSON ["),
        (b"endpoint-load-metrics", b"TEXT cpu_utilization=nan"),
        (b"other", b""),
    ):
        assert parse_load_report([(name, value)], 8) is None


@pytest.mark.parametrize("kind", list(ALLOWED))
def test_a_flood_is_one_that_lasts_beyond_its_burst(kind):
    limits, burst = FloodLimits(), int(ALLOWED[kind].burst)
    assert all(limits.take(kind, 0) for _ in range(burst)) and not limits.take(kind, 0)
    assert limits.take(kind, 10_000_000) and FloodLimits().take("unknown", 0)


def test_pushback_is_rounded_up_so_that_no_client_retries_early():
    assert first_value(status_trailers(Status.UNAVAILABLE, "x", 1), b"grpc-retry-pushback-ms") == b"1"
    assert (
        first_value(status_trailers(Status.UNAVAILABLE, "x", 1_500_001), b"grpc-retry-pushback-ms") == b"1501"
    )
