"""Calls through the dispatcher between scripted peers.

Covers endings, retries, deadlines, cancellation, draining and flow control.
"""

import gc
import socket

import pytest

from pulleyroute.grpc import FrontLimits, Status
from pulleyroute.grpc.call import Call
from pulleyroute.grpc.messages import framed
from pulleyroute.grpc.status import CLASSIFICATIONS
from pulleyroute.net import http2
from pulleyroute.net.http2 import Limits
from pulleyroute.net.requests import Ending
from tests.grpc.scene import HEAD, Scene
from tests.net.scene import MS, SECOND

SAFE, CHARGE = "/shop.Look/See", "/shop.Pay/Charge"


def test_a_unary_call_passes_whole_with_its_metadata_in_order():
    scene = Scene()
    call = scene.call(SAFE, b"hello", ("x-a", "1"), ("x-b-bin", "AAE"), ("x-a", "2"), ("connection-x", "k"))
    seen = scene.next_call()
    head = seen.wait_for_headers()
    assert head[":path"] == SAFE and head["te"] == "trailers" and head[":authority"] == "api"
    assert [v for k, v in seen.header_lists[0] if k == "x-a"] == ["1", "2"] and head["x-b-bin"] == "AAE"
    assert seen.wait_for_end().body == framed(b"hello")
    seen.send_headers([*HEAD, ("x-i", "1"), ("x-i", "2")]).send_data(framed(b"there"))
    seen.send_headers([("grpc-status", "0"), ("x-t-bin", "AAE,AAI"), ("x-t", "b"), ("x-t", "a")], end=True)
    assert call.status() == 0 and call.body == framed(b"there")
    assert [v for k, v in call.header_lists[0] if k == "x-i"] == ["1", "2"]
    assert call.header_lists[1] == [("grpc-status", "0"), ("x-t-bin", "AAE,AAI"), ("x-t", "b"), ("x-t", "a")]
    assert scene.released()


@pytest.mark.parametrize("status", list(Status))
@pytest.mark.parametrize("path", [SAFE, CHARGE])
def test_each_status_is_mapped_as_the_table_says(status, path):
    """A trailers-only response does not commit the call, so it is retried if its status allows that."""
    scene = Scene(instances=2)
    call = scene.call(path)
    seen = scene.next_call()
    seen.wait_for_end().send_trailers_only(status, ("grpc-message", "n%C3%A4h"), ("x-own", "yes"))
    if CLASSIFICATIONS[status].retryable and path == SAFE:
        again = scene.wait_for_retry()
        assert again.wait_for_headers()["grpc-previous-rpc-attempts"] == "1" and again.peer is not seen.peer
        assert again.wait_for_end().body == framed(b"hi")
        again.answer(b"served")
        assert call.status() == 0 and call.body == framed(b"served")
    else:
        assert call.status() == status and call.trailers["grpc-message"] == "n%C3%A4h"
        assert call.trailers["x-own"] == "yes" and len(call.header_lists) == 1
        assert scene.receives_no_call()
    assert scene.released()
    served = CLASSIFICATIONS[status].ending is Ending.SERVED
    assert served == (status in (0, 3, 5, 6, 7, 9, 10, 11, 16))


def test_a_charge_cut_after_some_messages_fails_and_is_never_sent_again():
    scene = Scene(instances=2)
    call = scene.call(CHARGE, end=False)
    seen = scene.next_call()
    seen.send_headers(HEAD).send_data(framed(b"one"))
    assert call.wait_for_headers() and not call.ended
    seen.send_reset(2)
    assert call.status() == Status.INTERNAL and call.body == framed(b"one")
    assert scene.receives_no_call() and scene.released()


def test_a_charge_whose_connection_breaks_before_any_answer_is_never_sent_again():
    scene = Scene(instances=2)
    call = scene.call(CHARGE)
    scene.next_call().wait_for_end().peer.sock.close()
    assert call.status() == Status.UNAVAILABLE
    assert scene.receives_no_call() and scene.released()


def test_a_safe_call_is_sent_again_until_its_answer_has_begun():
    scene = Scene(instances=2)
    call = scene.call(SAFE, b"a" * 20_000)
    scene.next_call().wait_for_end().send_reset(2)
    again = scene.wait_for_retry()
    assert again.wait_for_end().body == framed(b"a" * 20_000)
    again.send_headers(HEAD)  # gRFC A6: committed from here on
    assert call.wait_for_headers()
    again.send_reset(2)
    assert call.status() == Status.INTERNAL
    assert scene.receives_no_call() and scene.released()


def test_a_request_too_large_to_keep_is_committed_to_its_attempt():
    scene = Scene(instances=2, limits=FrontLimits(replay=10_000))
    call = scene.call(SAFE, b"a" * 30_000, end=False)
    seen = scene.next_call()
    scene.loop.until(lambda: scene.instances and seen.peer.pull() and len(seen.body) > 30_000)
    seen.send_reset(2)
    assert call.status() == Status.INTERNAL
    assert scene.receives_no_call() and scene.released()


@pytest.mark.parametrize("nack", ["refused stream", "marked", "goaway"])
def test_what_proves_that_it_never_ran_lets_even_a_charge_go_elsewhere(nack):
    scene = Scene(instances=2)
    call = scene.call(CHARGE)
    seen = scene.next_call().wait_for_end()
    if nack == "refused stream":
        seen.send_reset(7)
    elif nack == "marked":
        seen.send_trailers_only(14, ("x-turned-away", "1"))
    else:
        seen.peer.send_goaway(0)
    again = scene.wait_for_retry()
    assert again.peer is not seen.peer
    again.wait_for_end().answer(b"paid")
    assert call.status() == 0 and call.body == framed(b"paid")
    assert scene.released()


def test_unmarked_unavailable_after_headers_is_no_nack():
    scene = Scene(instances=2)
    call = scene.call(CHARGE)
    scene.next_call().wait_for_end().send_headers(HEAD).send_headers(
        [("grpc-status", "14"), ("x-turned-away", "1")], end=True
    )
    assert call.status() == 14 and len(call.header_lists) == 2
    assert scene.receives_no_call() and scene.released()


def test_refused_says_when_to_come_back():
    scene = Scene(instances=1, attempts=1)
    call = scene.call(SAFE)
    scene.next_call().wait_for_end().send_trailers_only(8, ("x-turned-away", "1"))
    assert call.status() == Status.UNAVAILABLE and int(call.trailers["grpc-retry-pushback-ms"]) > 0
    assert scene.released()


@pytest.mark.parametrize("pushback, again", [("700", True), ("-1", False), ("x", False), ("99999", False)])
def test_an_instances_pushback_is_obeyed(pushback, again):
    scene = Scene(instances=2)
    call = scene.call(SAFE)
    scene.next_call().wait_for_end().send_trailers_only(14, ("grpc-retry-pushback-ms", pushback))
    if not again:  # answered at once, without a retry
        assert call.status() == 14 and call.trailers["grpc-retry-pushback-ms"] == pushback
        return
    scene.loop.settle()
    scene.loop.skip(690 * MS)
    # The call is not retried before the pushback has passed.
    assert not any(instance.pull() for instance in scene.instances.values())
    scene.wait_for_retry().wait_for_end().answer(b"x")
    assert call.status() == 0 and scene.released()


def test_the_deadline_is_shortened_on_its_way_and_ends_the_call_once_on_both_sides():
    scene = Scene()
    call = scene.call(CHARGE, timeout="500m")
    seen = scene.next_call()
    assert (
        0 < int(seen.wait_for_headers()["grpc-timeout"][:-1]) <= 475_000
        and seen.wait_for_headers()["grpc-timeout"][-1] == "u"
    )
    seen.send_headers(HEAD)
    call.wait_for_headers()
    scene.loop.skip(600 * MS)
    assert call.status() == Status.DEADLINE_EXCEEDED and seen.wait_for_reset() == 8
    assert scene.released()


def test_trailers_that_cross_the_deadline_change_nothing():
    """If the instance's response arrives as the deadline expires, the client gets exactly one status."""
    scene = Scene()
    call = scene.call(SAFE, timeout="500m")
    seen = scene.next_call().wait_for_end()
    scene.loop.time += 480 * MS  # the timer is due, and the response is in transit
    seen.answer(b"late")
    scene.loop._timers and scene.loop.turn(0)
    scene.loop.skip(600 * MS)
    call.wait_for_end()
    ends = [head for head in call.header_lists if "grpc-status" in dict(head)]
    assert len(ends) == 1 and call.ended
    assert int(dict(ends[0])["grpc-status"]) in (0, 4)
    assert scene.released()


def test_a_deadline_of_zero_is_answered_and_sent_nowhere():
    scene = Scene()
    assert scene.call(SAFE, timeout="0m").status() == Status.DEADLINE_EXCEEDED
    assert scene.receives_no_call()


def test_a_clients_cancel_reaches_the_instance():
    scene = Scene()
    call = scene.call(CHARGE, end=False)
    seen = scene.next_call()
    call.send_reset(8)
    assert seen.wait_for_reset() == 8
    assert scene.released()


def test_a_client_that_vanishes_ends_its_calls_at_the_instance():
    scene = Scene()
    call = scene.call(CHARGE, end=False)
    seen = scene.next_call()
    call.peer.sock.close()
    assert seen.wait_for_reset() == 8
    assert scene.released()


def test_an_answer_before_the_requests_end_reaches_the_client_whole():
    scene = Scene()
    call = scene.call(CHARGE, end=False)
    seen = scene.next_call()
    seen.answer(b"enough", status=9)
    assert call.status() == 9 and call.body == framed(b"enough")
    assert call.wait_for_reset() == 0  # NO_ERROR: RFC 9113, 8.1
    assert seen.wait_for_reset() == 0
    assert scene.released()


def test_half_closed_by_the_client_the_answer_still_flows():
    scene = Scene()
    call = scene.call(SAFE, b"", end=True)
    seen = scene.next_call().wait_for_end()
    assert seen.body == framed(b"")
    seen.send_headers(HEAD)
    for i in range(3):
        seen.send_data(framed(b"%d" % i))
        scene.loop.until(lambda i=i: call.peer.pull() and call.body.endswith(b"%d" % i))
    seen.send_headers([("grpc-status", "0")], end=True)
    assert call.status() == 0 and scene.released()


def test_an_instance_that_falls_silent_halfway_ends_with_the_deadline():
    scene = Scene()
    call = scene.call(CHARGE, timeout="3S", end=False)
    seen = scene.next_call()
    seen.send_headers(HEAD).send_data(framed(b"one"))
    call.wait_for_headers()
    scene.loop.skip(4 * SECOND)
    assert call.status() == Status.DEADLINE_EXCEEDED and call.body == framed(b"one")
    assert seen.wait_for_reset() == 8 and scene.released()


def test_a_machine_that_vanished_is_noticed_by_a_ping_without_answer():
    scene = Scene(transport_limits=Limits(ping_after=SECOND, ping_timeout=SECOND))
    call = scene.call(CHARGE, timeout="9S")
    seen = scene.next_call().wait_for_end()
    assert seen.peer  # from now on the instance reads nothing, and so answers no PING
    scene.loop.skip(3 * SECOND)
    assert call.status() == Status.UNAVAILABLE and scene.released()


def test_goaway_lets_running_streams_finish_and_the_next_call_take_another_connection():
    scene = Scene()
    client = scene.client()
    first = client.call(CHARGE)
    seen = scene.next_call().wait_for_end()
    seen.peer.send_goaway(seen.id)
    scene.loop.settle()
    second = client.call(CHARGE)
    other = scene.next_call().wait_for_end()
    assert other.peer is not seen.peer
    seen.answer(b"1")
    other.answer(b"2")
    assert first.status() == 0 and second.status() == 0
    assert scene.released()


def test_a_drain_warns_first_refuses_what_comes_later_and_lets_calls_finish():
    scene = Scene()
    client = scene.client()
    call = client.call(CHARGE)
    seen = scene.next_call().wait_for_end()
    scene.front.stop()
    scene.loop.until(lambda: client.pull() and client.goaways)
    assert client.goaways == [(2**31 - 1, 0)]
    crossing = client.call(CHARGE)  # in transit when the first GOAWAY arrived, so it is served
    other = scene.next_call().wait_for_end()
    scene.loop.skip(SECOND)
    scene.loop.until(lambda: client.pull() and len(client.goaways) == 2)
    assert client.goaways[1] == (crossing.id, 0)
    late = client.call(CHARGE)
    assert late.wait_for_reset() == 7  # REFUSED_STREAM: the call never ran
    seen.answer(b"1")
    other.answer(b"2")
    assert call.status() == 0 and crossing.status() == 0
    scene.loop.until(lambda: client.pull() and client.gone)
    assert scene.front.idle and scene.released()


def test_a_drain_is_bounded():
    scene = Scene(limits=FrontLimits(drain=2 * SECOND))
    call = scene.call(CHARGE, timeout="9S")
    seen = scene.next_call().wait_for_end()
    scene.front.stop()
    scene.loop.skip(3 * SECOND)
    assert call.status() == Status.UNAVAILABLE and seen.wait_for_reset() == 8
    assert scene.front.idle and scene.released()


def test_nothing_new_goes_to_an_instance_that_left_while_its_connection_came_up():
    scene = Scene()
    call = scene.call(CHARGE, timeout="1S")
    scene.loop.until(lambda: scene.host.tracked_requests)
    scene.set_members("s-0", phase="leaving")
    assert scene.receives_no_call()
    scene.loop.skip(SECOND)
    assert call.status() in (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED) and scene.released()


def test_an_instance_that_is_down_costs_nothing_but_a_second_try():
    scene = Scene(instances=2)
    gone = scene.instances.pop("s-0")
    gone.close()
    for _ in range(6):
        call = scene.call(CHARGE)
        scene.wait_for_retry().wait_for_end().answer(b"ok")
        assert call.status() == 0
    assert scene.released()


def test_an_unknown_method_is_unimplemented_and_sent_nowhere():
    scene = Scene()
    assert scene.call("/other.Thing/Do").status() == Status.UNIMPLEMENTED
    assert scene.call("/nonsense").status() == Status.UNIMPLEMENTED
    assert scene.receives_no_call()


@pytest.mark.parametrize(
    "extra, status",
    [
        (("grpc-timeout", "1S"), Status.INTERNAL),
        (("grpc-previous-rpc-attempts", "many"), Status.INTERNAL),
        (("x-large", "a" * 20_000), Status.RESOURCE_EXHAUSTED),
    ],
)
def test_invalid_request_headers_get_a_clear_status(extra, status):
    scene = Scene()
    call = scene.call(SAFE, b"hi", extra)
    assert call.status() == status and scene.receives_no_call()


def test_a_message_over_the_limit_ends_the_call_at_both_sides():
    scene = Scene(limits=FrontLimits(message_bytes=1000))
    call = scene.call(CHARGE, b"x" * 1001, end=False)
    assert call.status() == Status.RESOURCE_EXHAUSTED
    assert "larger" in call.trailers["grpc-message"] and scene.released()


def test_a_refusal_where_there_is_no_room_for_another_call():
    scene = Scene(limits=FrontLimits(calls=1))
    client = scene.client()
    client.call(CHARGE)
    scene.next_call()
    call = client.call(CHARGE)
    assert call.status() == Status.UNAVAILABLE and call.trailers["grpc-retry-pushback-ms"] == "1000"


def test_a_slow_reader_holds_back_its_sender_and_nobody_else():
    scene = Scene(limits=FrontLimits(connection=Limits(window=16_384)))
    client = scene.client()
    client.returns_windows = False
    stalled = client.call(SAFE)
    seen = scene.next_call().wait_for_end()
    seen.send_headers(HEAD)
    pushed = 0

    def push():
        nonlocal pushed
        seen.peer.pull()
        room = min(seen.peer.h2.local_flow_control_window(seen.id), 16_384)
        if room:
            seen.send_data(b"\0" * room)
            pushed += room
        return not room

    for _ in range(50):
        scene.loop.settle()
        push()
        client.pull()
    assert push() and pushed <= 65_535 + 65_535  # the windows of the client and of the dispatcher
    upstream = next(iter(scene.transport._upstreams.values()))
    assert upstream.call.stream.pending_bytes <= 65_535
    other = scene.client().call(SAFE)
    scene.next_call().wait_for_end().answer(b"ok")
    assert other.status() == 0
    (held,) = [call.stream for call in scene.front.calls]
    stalled.send_reset(8)
    assert seen.wait_for_reset() == 8 and scene.released()
    # Bytes that a timer kept until the deadline once took 28 MiB for 500 streams.
    assert held.pending_bytes == 0


def test_a_sender_is_held_back_by_an_instance_that_does_not_read():
    scene = Scene(limits=FrontLimits(replay=8_000))
    client = scene.client()
    call = client.call(CHARGE, end=False)
    seen = scene.next_call()
    seen.peer.returns_windows = False
    sent = 0
    for _ in range(60):
        client.pull()
        seen.peer.pull()
        scene.loop.settle()
        room = min(client.h2.local_flow_control_window(call.id), 16_384)
        if room:
            call.send_data(b"\0" * room)
            sent += room
    assert sent <= 65_535 * 2 + 8_000
    held = next(iter(scene.front.calls)).replay.buffered_bytes
    assert held <= 65_535 + 8_000
    call.send_reset(8)
    assert scene.released()


def test_a_thousand_streams_on_one_connection_with_one_stalled():
    scene = Scene(
        instances=1,
        instance_settings={3: 2000},
        limits=FrontLimits(connection=Limits(streams=1100)),
        slots=2000,
    )
    client = scene.client()
    client.returns_windows = False
    stalled = client.call(SAFE)
    scene.next_call().send_headers(HEAD).send_data(b"\0" * 65_535)
    scene.loop.until(lambda: client.pull() and len(stalled.body) > 65_000)
    client.h2.increment_flow_control_window(2**24)
    client.returns_windows = True
    calls = [client.call(SAFE, b"%d" % i, timeout="60S") for i in range(999)]
    for _ in range(999):
        seen = scene.next_call().wait_for_end()
        seen.answer(seen.body[5:])
    for i, call in enumerate(calls):
        assert call.status() == 0 and call.body == framed(b"%d" % i)
    assert not stalled.ended


def test_health_is_answered_by_the_dispatcher_itself():
    scene = Scene()
    check = "/grpc.health.v1.Health/Check"
    assert scene.call(check, b"").wait_for_end().body == framed(b"\x08\x01")
    assert scene.call(check, b"\x0a\x08shop.Pay").wait_for_end().body == framed(b"\x08\x01")
    assert scene.call(check, b"\x0a\x05other").status() == Status.NOT_FOUND
    assert scene.call(check, b"\xff").status() == Status.INVALID_ARGUMENT
    watch = scene.call("/grpc.health.v1.Health/Watch", b"")
    scene.loop.until(lambda: watch.peer.pull() and watch.body)
    scene.health.set_serving(False)
    scene.loop.until(lambda: watch.peer.pull() and watch.body == framed(b"\x08\x01") + framed(b"\x08\x02"))
    assert scene.receives_no_call()


def test_a_load_report_in_trailers_steers_the_choice_of_instance():
    scene = Scene(instances=2)
    first = scene.call(SAFE)
    full = scene.next_call().wait_for_end()
    full.answer(b"", **{"endpoint-load-metrics": "TEXT named_metrics.free_slots=0,named_metrics.queue=50"})
    assert first.status() == 0
    for _ in range(6):
        call = scene.call(SAFE)
        seen = scene.next_call().wait_for_end()
        assert seen.peer is not full.peer
        seen.answer(b"")
        assert call.status() == 0


def test_a_clients_own_retry_is_known_as_a_repeat_and_its_count_goes_on():
    scene = Scene(instances=2)
    call = scene.call(SAFE, b"hi", ("grpc-previous-rpc-attempts", "2"))
    seen = scene.next_call()
    assert seen.wait_for_headers()["grpc-previous-rpc-attempts"] == "2"
    assert next(iter(scene.front.calls)).job.request.is_repeat
    seen.wait_for_end().send_reset(7)
    again = scene.wait_for_retry()
    assert again.wait_for_headers()["grpc-previous-rpc-attempts"] == "3"
    again.wait_for_end().answer(b"")
    assert call.status() == 0 and scene.released()


def test_connections_to_an_instance_that_left_are_closed_once_nothing_runs_there():
    scene = Scene(instances=2)
    client = scene.client()
    calls, seen = [], []
    while len({each.peer for each in seen}) < 2:  # until each instance has a connection
        calls.append(client.call(SAFE, timeout="60S"))
        seen.append(scene.next_call())
    left = scene.instances["s-1"].peers[0]
    scene.set_members("s-0")
    scene.loop.skip(7 * SECOND)
    assert not left.pull() or not left.gone  # its calls continue
    for each in seen:
        each.wait_for_end().answer(b"")
    assert [call.status() for call in calls] == [0] * len(calls)
    scene.loop.skip(7 * SECOND)
    scene.loop.until(lambda: left.pull() and left.gone)
    assert not scene.instances["s-0"].peers[0].gone and b"s-1" not in scene.transport._instances


def test_ended_calls_are_not_kept_in_memory():
    """Ended calls, 500 in each round of a load, once stayed in memory until their deadlines, 100 s later."""
    scene = Scene()
    client = scene.client()
    for _ in range(20):
        call = client.call(SAFE, timeout="100S")
        scene.next_call().wait_for_end().answer(b"x" * 100)
        assert call.status() == 0
    scene.loop.skip(3 * SECOND)
    assert scene.released() and not scene.front._unread_responses
    gc.collect()
    assert sum(isinstance(each, Call) for each in gc.get_objects()) <= 1


def test_an_unread_response_is_discarded_after_the_deadline():
    scene = Scene()
    client = scene.client({4: 0})  # with an initial window of 0 nothing can be sent to it
    client.call(SAFE, timeout="2S")
    scene.next_call().wait_for_end().answer(b"x" * 100)
    scene.loop.until(lambda: scene.front._unread_responses)
    (stream,) = scene.front._unread_responses
    scene.loop.skip(5 * SECOND)
    assert stream.open and stream.pending_bytes
    scene.loop.skip(4 * SECOND)
    assert not stream.open and not stream.pending_bytes and scene.released()


def test_h2_keeps_no_streams_that_are_closed(monkeypatch):
    """h2 kept closed streams that this side had opened: 24,000 unary calls left 30 MiB behind."""
    monkeypatch.setattr(http2, "COUNTS_PER_CLEANUP", 4)
    scene = Scene()
    client = scene.client()
    for _ in range(30):
        call = client.call(SAFE)
        scene.next_call().wait_for_end().answer(b"")
        assert call.status() == 0
    for connection in (*scene.front.connections, *scene.transport._instances[b"s-0"].connections):
        assert len(connection._h2.streams) <= 8


def test_a_lack_of_descriptors_blames_no_instance_and_the_call_goes_out_once_there_are_some(monkeypatch):
    # An OSError once ended the coroutine that connects, and the attempts that waited for the connection were
    # stuck until their deadline.
    scene = Scene()
    client, real = scene.client(), socket.socket
    with monkeypatch.context() as patch:

        def fail_for_new_sockets(*args, fileno=None, **kwargs):
            if fileno is None:  # a new socket; an accepted one already has its descriptor
                raise OSError(24, "Too many open files")
            return real(*args, fileno=fileno, **kwargs)

        patch.setattr("pulleyroute.net.http.socket.socket", fail_for_new_sockets)
        call = client.call(CHARGE, b"x")
        scene.loop.until(lambda: scene.host.tracked_requests and not scene.transport.open_attempts)
    assert not scene.host.avoided and not scene.loop.errors
    scene.wait_for_retry().wait_for_end().answer(b"y")
    assert call.status() == 0 and scene.released()
