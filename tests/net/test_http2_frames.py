"""Merged frames give h2 the same bytes, windows and events as the original ones, however they are split."""

import h2.config
import h2.connection
import h2.events
import pytest
from hpack import Decoder
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.net.header_encoding import MAX_CACHED_HEADERS, StatelessEncoder
from pulleyroute.net.http2_frames import FrameMerger, FrameTooLong, data_frame, encode_item
from pulleyroute.net.wakeup_pacing import BURST_GAP_US, BURST_WAKEUPS, WakeupPacing

OPEN = [(":method", "POST"), (":scheme", "http"), (":path", "/a.B/C"), (":authority", "x")]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["data", "window", "whole window", "end", "reset", "ping", "padded", "trailers", "empty", "open"]
        ),
        st.integers(0, 3),
        st.integers(0, 4000),
    ),
    max_size=40,
)


def connect_h2(client):
    """Return an h2 connection in the given role that has sent its preface and settings."""
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=client))
    connection.initiate_connection()
    return connection


def client_bytes(steps):
    """Return the bytes that a client sends for these steps, without those that its states do not allow."""
    client, ids = connect_h2(True), []
    for step, which, size in [("open", 0, 0), *steps]:
        if step == "open":
            ids.append(client.get_next_available_stream_id())
            client.send_headers(ids[-1], OPEN)
            continue
        stream = ids[which % len(ids)]
        try:
            if step == "data":
                client.send_data(stream, b"d" * (size + 1))
            elif step == "padded":
                client.send_data(stream, b"p" * size, pad_length=size % 200)
            elif step == "empty":
                client.send_data(stream, b"")
            elif step == "window":
                client.increment_flow_control_window(size + 1, stream)
            elif step == "whole window":
                client.increment_flow_control_window(size + 1)
            elif step == "end":
                client.end_stream(stream)
            elif step == "reset":
                client.reset_stream(stream)
            elif step == "trailers":
                client.send_headers(stream, [("x", "y")], end_stream=True)
            else:
                client.ping(b"12345678")
        except (h2.exceptions.ProtocolError, KeyError):  # KeyError: h2 has dropped the state of the stream
            continue
    return client.data_to_send()


def summarize(events):
    """Return the data by stream, the other events in order, and the window increments summed by stream."""
    data, rest, windows = {}, [], {}
    for event in events:
        if isinstance(event, h2.events.DataReceived):
            data[event.stream_id] = data.get(event.stream_id, b"") + event.data
        elif isinstance(event, h2.events.WindowUpdated):
            windows[event.stream_id] = windows.get(event.stream_id, 0) + event.delta
        else:
            rest.append(str(event))
    return {number: body for number, body in data.items() if body}, rest, windows


@given(STEPS, st.lists(st.integers(1, 3000), min_size=1, max_size=8))
def test_h2_sees_the_same_through_the_merger_however_the_bytes_are_split(steps, cuts):
    wire = client_bytes(steps)
    plain = connect_h2(False)
    expected = summarize(plain.receive_data(wire))
    merged, merger, events = connect_h2(False), FrameMerger(16_384, True, lambda kind: None), []
    at = i = 0
    while at < len(wire):
        size = cuts[i % len(cuts)]
        for item in merger.feed(wire[at : at + size]):
            events += merged.receive_data(encode_item(*item) if isinstance(item, tuple) else item)
        at, i = at + size, i + 1
    assert summarize(events) == expected
    assert merged.outbound_flow_control_window == plain.outbound_flow_control_window
    assert merged.inbound_flow_control_window == plain.inbound_flow_control_window


def test_many_small_frames_become_few():
    counted = []
    merger = FrameMerger(16_384, False, counted.append)
    wire = b"".join(
        data_frame(1, b"x" * 10) + encode_item(1, 5) + data_frame(3, b"y" * 20) for _ in range(100)
    )
    assert merger.feed(wire) == [(1, b"x" * 1000), (3, b"y" * 2000), (1, 500)]
    assert counted.count("small") == 100 and counted.count("window") == 100
    assert [
        len(body) for _, body in merger.feed(b"".join(data_frame(1, b"z" * 10_000) for _ in range(2)))
    ] == [16_384, 20_000 - 16_384]


def test_a_frame_longer_than_allowed_is_rejected_by_its_header():
    merger = FrameMerger(16_384, False, lambda kind: None)
    assert merger.feed(data_frame(1, b"x" * 16_384)[:9]) == []
    with pytest.raises(FrameTooLong):
        FrameMerger(16_384, False, lambda kind: None).feed((16_385).to_bytes(3, "big") + b"\0" * 6)


def test_windows_that_would_overflow_are_left_to_h2():
    merger = FrameMerger(16_384, False, lambda kind: None)
    out = merger.feed(encode_item(1, 2**31 - 1) + encode_item(1, 1))
    assert out == [(1, 2**31 - 1), encode_item(1, 1)]


NAMES = st.sampled_from([b":status", b"grpc-status", b"x-a", b"x-bin", b"authorization", b"grpc-timeout"])


@given(st.lists(st.lists(st.tuples(NAMES, st.binary(max_size=300)), max_size=8), max_size=6))
def test_a_head_without_the_dynamic_table_is_read_the_same_by_any_decoder(heads):
    encoder, decoder = StatelessEncoder(), Decoder()
    for head in heads:
        block = encoder.encode(head)
        assert [(bytes(n), bytes(v)) for n, v in decoder.decode(block, raw=True)] == head
        assert StatelessEncoder().encode(head) == block  # the same bytes on any connection
    assert len(StatelessEncoder._cache) <= MAX_CACHED_HEADERS
    assert not any(name == b"authorization" for name, _ in StatelessEncoder._cache)


def test_rests_come_only_in_a_row_of_close_wake_ups_for_stream_data_alone():
    def rests(pacing, count, gap, other=None):
        found, now = [], 0
        for i in range(count):
            pacing.record_read(True)
            if i == other:
                pacing.record_read(False)
            found.append(pacing.next_pause(now))
            now += gap + found[-1]
        return found

    assert rests(WakeupPacing(50), BURST_WAKEUPS + 3, 40) == [0] * (BURST_WAKEUPS - 1) + [50] * 4
    assert not any(rests(WakeupPacing(50), 100, BURST_GAP_US))  # one message and its answer: never delayed
    assert not any(rests(WakeupPacing(0), 100, 40))
    assert rests(WakeupPacing(50), 2 * BURST_WAKEUPS + 4, 40, other=BURST_WAKEUPS + 1)[
        BURST_WAKEUPS : BURST_WAKEUPS + 3
    ] == [50, 0, 0]
    quiet = WakeupPacing(50)
    assert [quiet.next_pause(i) for i in range(100)] == [0] * 100  # wake-ups without a read from a connection
