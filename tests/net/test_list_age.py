"""How old the list may be: what discovery could tell is known in time, whatever ends a watch."""

import heapq
import json
from itertools import pairwise
from random import Random

import pytest

from pulleyroute.interface import ListKind
from pulleyroute.net import call_pacing
from pulleyroute.net.call_pacing import CallPacing
from pulleyroute.net.call_slots import CallSlots
from pulleyroute.net.http import Broken
from pulleyroute.net.json_lines import JsonLineSplitter
from pulleyroute.settings import read_settings
from tests.net.scene import INFO, MS, SECOND, Scene
from tests.net.test_discovery import CHUNKED_HEAD, chunk
from tests.net.test_pushed_list import Agent


def test_all_that_stands_between_a_silence_and_the_next_news_is_within_the_protocols_time():
    t = call_pacing
    for spent in (t.WATCH_TIMEOUT + t.FIRST_PAUSE_LIMIT, t.PAUSE_LIMIT, *range(0, t.PAUSE_LIMIT, 50 * MS)):
        answer = t.remaining_answer_timeout(spent)
        assert spent + t.CONNECT_TIMEOUT + answer <= t.UPDATE_DEADLINE
        assert t.ANSWER_TIMEOUT_MIN <= answer <= t.ANSWER_TIMEOUT_MAX
    assert t.remaining_answer_timeout(0) == t.ANSWER_TIMEOUT_MAX
    assert t.WATCH_TIMEOUT >= 2 * SECOND + 500 * MS  # an empty line comes every 2 s
    assert t.WATCH_TIMEOUT >= t.STABLE_WATCH  # so that one that has fallen silent counts as one that stood


@pytest.mark.parametrize("dispatchers", [1, 200])
@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_a_drain_that_a_silent_watch_missed_is_known_within_six_seconds(mode, dispatchers):
    for seed in range(5):
        agent = Agent(info={**INFO, "membership-mode": mode, "balancers": dispatchers})
        agent.scene.discovery._random.seed(seed)
        agent.loop.skip(2 * SECOND)
        agent.accept_watch(1).send(chunk(b"\n"))
        agent.loop.settle()
        silent = agent.loop.time  # from here on nothing comes, and then s-0 drains
        while agent.listener.untouched_now():
            agent.loop.skip(20 * MS)
        assert agent.loop.time - silent <= call_pacing.WATCH_TIMEOUT + call_pacing.FIRST_PAUSE_LIMIT + 20 * MS
        agent.accept_watch(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
        agent.loop.until(lambda agent=agent: agent.ready() == [b"s-1"])


class Turns:
    """A discovery for all, in simulated time: it works through calls in turn, and each is work.

    What has waited too long gets 503 when its turn comes; what its caller has given up is work too. When to
    call is what the real clients decide.
    """

    def __init__(self, seed: int, each: int, patience: int, callers: int, outage: int = 10 * SECOND) -> None:
        self.each, self.patience, self.free = each, patience, 0
        self.pacings, self.calls, self.done = [], [], {}
        unix = Random(seed).randrange(10**15)
        for i in range(callers):
            settings = read_settings({**INFO, "balancers": callers, "me": i})[0]
            self.pacings.append(CallPacing(settings, unix, Random(1000 * seed + i)))
            at = -outage
            while at < 0:  # it is down until 0, and says so at once
                at += self.pacings[i].after_failure(at, 0)
            self.calls.append((at, i))

    def run(self, until: int) -> None:
        heapq.heapify(self.calls)
        while self.calls and self.calls[0][0] < until:
            at, i = heapq.heappop(self.calls)
            begun = max(at, self.free)
            self.free = begun + self.each
            patience = min(self.patience, self.pacings[i].answer_timeout)
            if begun - at <= patience:
                self.done[i] = self.free
            else:
                given_up = at + patience
                heapq.heappush(self.calls, (given_up + self.pacings[i].after_failure(given_up, patience), i))


def ends_of(patience, outage=10 * SECOND):
    """When each caller of a discovery got through that came back at 0, for two fleets and ten seeds."""
    for callers, rate in ((200, 50), (40, 10)):
        for seed in range(10):
            turns = Turns(seed, SECOND // rate, patience, callers, outage)
            turns.run(60 * SECOND)
            assert len(turns.done) == callers, (callers, seed)
            yield max(turns.done.values())


@pytest.mark.parametrize("patience", [1, 2, 3])
def test_a_discovery_with_too_many_callers_does_not_stay_so(patience):
    # Failure: 40 dispatchers called 130 times a second, and not one got through: a call that was turned away
    # after a long wait began its pauses anew, and others were given up just when their turn came.
    assert max(ends_of(patience * SECOND)) <= 20 * SECOND


@pytest.mark.parametrize("patience", [1, 2, 3])
def test_the_callers_of_a_slow_discovery_are_each_through_within_six_seconds_of_its_return(patience):
    assert max(ends_of(patience * SECOND)) <= call_pacing.UPDATE_DEADLINE


@pytest.mark.parametrize("outage", [1, 2, 3, 5, 20])
def test_so_they_are_however_long_it_was_away(outage):
    # Failure: pauses drawn at random bunch, the more so while they still grow: the last needed 18 s and more.
    assert max(ends_of(SECOND, outage * SECOND)) <= call_pacing.UPDATE_DEADLINE


def test_callers_that_share_a_clock_call_evenly_each_in_its_own_slot():
    period, callers = 4 * SECOND, 100
    slots = [CallSlots(period, number, callers) for number in range(callers)]
    draw = Random(1).random
    times = sorted(each.next(123_456_789, draw()) for each in slots)
    assert times[0] > 123_456_789 and times[-1] <= 123_456_789 + period
    assert all(late - early >= period // callers // 2 - 1 for early, late in pairwise(times))
    assert CallSlots(period, 7, callers).next(times[3], 0.0) % period == 7 * period // callers
    assert CallSlots(period, callers + 7, callers).next(0, 0.0) == CallSlots(period, 7, callers).next(0, 0.0)
    assert CallSlots(period, 0, 0).next(0, 0.0) == period  # never at once: a call has just been in vain


@pytest.mark.parametrize(
    ("dispatchers", "waited", "least"),
    [
        (40, 2500 * MS, 2 * SECOND),  # longer than any pause where discovery is merely away
        (2, 500 * MS, 70 * MS),  # longer than any first pause
    ],
)
def test_a_call_turned_away_after_a_long_wait_does_not_begin_the_pauses_anew(dispatchers, waited, least):
    agent = Agent(info={**INFO, "balancers": dispatchers})
    pauses, since = [], agent.loop.time
    for _ in range(12):
        while agent.listener.untouched_now():
            agent.loop.skip(10 * MS)
        pauses.append(agent.loop.time - since)
        peer = agent.listener.accept()
        peer.message()
        agent.loop.skip(waited)  # it waits for its turn
        peer.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        agent.loop.settle()
        since = agent.loop.time
    assert sum(pauses[4:]) / 8 > least, pauses


@pytest.mark.parametrize(
    "spoilt",
    [
        b'{"revision":2,"complete":false,"members":[\n',  # and then byte by byte, for ever
        b"                    ",
    ],
)
def test_a_word_that_never_ends_breaks_the_watch_though_bytes_keep_coming(spoilt):
    # Guards the list against a discovery that trickles: each chunk by itself is in time.
    agent = Agent()
    peer = agent.accept_watch(1)
    peer.send(chunk(spoilt))
    for _ in range(4):
        agent.loop.settle()
        agent.loop.skip(800 * MS)
        if not peer.ended:
            peer.send(chunk(b" "))
    assert agent.reported == [ListKind.FAILED]
    agent.accept_watch(1).send(agent.line("s-0", phase="leaving", complete=False, revision=2))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])


def test_an_object_that_never_closes_holds_a_bounded_few_lines():
    # Guards the memory against a discovery that floods: until a word has to be whole, much can come.
    splitter = JsonLineSplitter()
    assert not list(splitter.feed(b"{\n"))
    with pytest.raises((Broken, ValueError)):
        for _ in range(4 * 1024):
            for word in splitter.feed(b"\n" * 1024):
                json.loads(word)


def test_lists_may_come_indented_and_in_any_pieces():
    agent = Agent()
    peer = agent.accept_watch(1)
    text = json.dumps(agent.scene.table("s-0", phase="leaving", complete=False, revision=2), indent=2)
    tricky = json.dumps({"revision": 1, "note": 'a "}" and a \\" in a text', "members": []}, indent=1)
    data = (text + "\n\n").encode()
    for at in range(0, len(data), 7):
        peer.send(chunk(data[at : at + 7]))
    agent.loop.until(lambda: agent.ready() == [b"s-1"])
    assert [json.loads(word) for word in JsonLineSplitter().feed(tricky.encode() + b"\n")] == [
        json.loads(tricky)
    ]


def test_a_request_for_a_watch_does_not_cut_off_one_that_is_being_opened():
    # Guards against settings by which the decisions ask again sooner than a busy discovery answers.
    scene = Scene()
    scene.discovery.watch(True)
    peer = scene.discovery_peer.accept()
    peer.message()
    scene.discovery.watch(True)
    scene.loop.settle()
    assert scene.discovery_peer.untouched() and not peer.ended
    peer.send(
        CHUNKED_HEAD + chunk(json.dumps(scene.table("s-0", phase="leaving", revision=2)).encode() + b"\n")
    )
    scene.loop.until(lambda: not scene.discovery.active(b"s-0"))
