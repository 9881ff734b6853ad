"""Load shapes, and loads on small servers with a prescribed behaviour."""

import asyncio
import contextlib
import itertools
import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from pulleyroute.cli.app import app
from pulleyroute.emulator import EventLog, GrpcInstance
from pulleyroute.lab.arrivals import BadShape, Mix, arrivals, read_mix, read_shape
from pulleyroute.lab.load import (
    FAILED,
    LOST,
    REFUSED,
    SERVED,
    GrpcTarget,
    JobTarget,
    NotLoopback,
    closed_loop,
    open_loop,
    parse_loopback,
)

SINGLE_KIND = Mix((("a", 1.0),))
TIMEOUT_S = 60.0  # for an answer; only a broken program reaches it


@pytest.mark.parametrize("text", ["100/10s", "0-200/10s", "100~80@2s/10s", "burst:300,50/4s"])
def test_arrivals_are_as_many_as_the_shape_says_in_order_and_the_same_from_a_seed(text):
    shape = read_shape(text)
    drawn = [list(arrivals(shape, random.Random(seed))) for seed in range(20)]
    assert drawn[3] == list(arrivals(shape, random.Random(3))) != drawn[4]
    mean = statistics.mean(map(len, drawn))
    assert abs(mean - shape.expected) < 4 * (shape.expected / 20) ** 0.5 + 1
    for each in drawn:
        assert each == sorted(each) and each[0] >= 0 and each[-1] <= shape.span


def test_a_ramp_rises_a_wave_swings_a_burst_comes_at_once_and_even_is_even():
    ramp = list(arrivals(read_shape("0-400/10s"), random.Random(1)))
    assert sum(1 for at in ramp if at > 5) / len(ramp) == pytest.approx(0.75, abs=0.03)
    wave = list(arrivals(read_shape("200~200@10s/10s"), random.Random(1)))
    assert sum(1 for at in wave if at < 5) / len(wave) > 0.75
    assert list(arrivals(read_shape("1/2s,burst:3,1/1s"), random.Random(1), even=True)).count(2.0) == 3
    even = list(arrivals(read_shape("50/2s"), random.Random(1), even=True))
    gaps = {round(b - a, 9) for a, b in itertools.pairwise(even)}
    assert gaps == {0.02} and len(even) in (99, 100)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "x",
        "10",
        "10/0s",
        "-5/1s",
        "1..2/3s",
        "99999/1s",
        "1/9999s",
        "burst:",
        "burst:99999",
        "10~5/3s",
        "10~5@0s/3s",
        "1/1s;1/1s",
    ],
)
def test_an_invalid_shape_is_rejected(text):
    with pytest.raises(BadShape):
        read_shape(text)


@given(st.text("0123456789./-~@s,:burst ", max_size=20))
def test_no_text_breaks_the_parser(text):
    with contextlib.suppress(BadShape):
        assert read_shape(text).span >= 0


def test_a_mix_is_drawn_by_its_shares():
    mix, rng = read_mix("a=3, b"), random.Random(1)
    drawn = [mix.draw(rng) for _ in range(4000)]
    assert drawn.count("a") / 4000 == pytest.approx(0.75, abs=0.03)
    for wrong in ("", "a=", "a=x", "a=-1", "=2", "a=0"):
        if wrong != "a=":
            with pytest.raises(BadShape):
                read_mix(wrong)


def test_only_this_machine_is_loaded():
    assert parse_loopback("127.0.0.9:80") == ("127.0.0.9", 80)
    for wrong in ("10.0.0.1:80", "example.org:80", "127.0.0.1", "8.8.8.8:53"):
        with pytest.raises(NotLoopback):
            parse_loopback(wrong)


class Server:
    """Answers each job as its class is named: with that status, or by closing the connection (`cut`).

    From the request number `after` on, it answers nothing for `pause` seconds. It closes the connection after
    every `close_every` requests.
    """

    def __init__(self, pause=0.0, after=0, close_every=0):
        self.pause, self.after, self.close_every = pause, after, close_every
        self.seen = 0
        self.connections = 0
        self.resume_at = None

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(size)
                self.seen += 1
                if self.seen == self.after:
                    self.resume_at = asyncio.get_running_loop().time() + self.pause
                if self.resume_at is not None:
                    await asyncio.sleep(max(0.0, self.resume_at - asyncio.get_running_loop().time()))
                kind = head.split(b" ")[1][1:].decode()
                if kind == "cut":
                    return
                status = int(kind) if kind.isdigit() else 200
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok" % status)
                if self.close_every and self.seen % self.close_every == 0:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def run_against(server, load):
    async def run():
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        target = JobTarget("{}:{}".format(*listener.sockets[0].getsockname()))
        try:
            return await load(target)
        finally:
            await target.close()
            listener.close()

    return asyncio.run(run())


def test_each_answer_is_counted_as_what_it_is():
    mix = read_mix("200,429,503,502,404,cut")
    report = run_against(
        Server(), lambda target: closed_loop(target, 4, 60, mix, 1, TIMEOUT_S, max_requests=300)
    )
    endings = {kind: row.endings for kind, row in report.kinds.items()}
    assert {kind: next(iter(each)) for kind, each in endings.items()} == {
        "200": SERVED,
        "429": REFUSED,
        "503": REFUSED,
        "502": FAILED,
        "404": FAILED,
        "cut": LOST,
    }
    assert all(len(each) == 1 for each in endings.values())
    assert sum(sum(each.values()) for each in endings.values()) == 300 == report.due


def test_connections_are_kept_and_one_that_was_closed_unread_costs_nothing():
    server = Server(close_every=10)
    report = run_against(
        server, lambda target: closed_loop(target, 1, 60, SINGLE_KIND, 1, TIMEOUT_S, max_requests=100)
    )
    assert report.kinds["a"].endings == {SERVED: 100} and 10 <= server.connections <= 12


def test_an_open_loop_shows_a_stall_in_every_request_that_it_held_up():
    """A closed loop with one client would show the stall in one request only ("coordinated omission")."""
    shape, server = read_shape("100/1s"), Server(pause=0.5, after=20)
    report = run_against(
        server, lambda target: open_loop(target, shape, SINGLE_KIND, 1, TIMEOUT_S, even=True)
    )
    delayed = sum(
        1
        for each in report.kinds["a"].all.get_recorded_iterator()
        for _ in range(each.count_at_value_iterated_to if each.value_iterated_to > 100_000 else 0)
    )
    assert delayed >= 30 and report.kinds["a"].endings[SERVED] == report.due and not report.unsent


def test_calls_are_loaded_too_and_the_report_can_be_read_by_a_program():
    instance = GrpcInstance("box", EventLog())
    try:

        async def run_loads():
            failing = GrpcTarget(instance.address, metadata=(("x-status", "5"),))
            good = GrpcTarget(instance.address)
            try:
                return (
                    await open_loop(good, read_shape("burst:40"), read_mix("test.S,test.S/Unary"), 1, 30.0),
                    await closed_loop(failing, 2, 60, read_mix("test.S"), 1, 30.0, max_requests=10),
                )
            finally:
                await failing.close()
                await good.close()

        first, second = asyncio.run(run_loads())
        assert sum(row["served"] for row in first.rows()) == 40 == first.due and len(first.rows()) == 2
        assert second.rows()[0]["failed"] == 10 and second.rows()[0]["histogram"]
    finally:
        instance.stop()


def test_the_command_refuses_other_machines_and_invalid_shapes():
    run = CliRunner().invoke
    assert run(app, ["load", "jobs", "10.1.2.3:80", "--mix", "a"]).exit_code == 2
    assert run(app, ["load", "jobs", "127.0.0.1:80", "--mix", "a", "--shape", "fast"]).exit_code == 2
    done = run(app, ["load", "jobs", "127.0.0.1:9", "--mix", "a", "--shape", "burst:3", "--json"])
    assert done.exit_code == 0 and '"lost": 3' in done.output
