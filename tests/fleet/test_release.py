"""Releases: what comes next by what is known, and whole ones by agents on a store."""

from dataclasses import replace

import pytest

from pulleyroute.config import InvalidConfig
from pulleyroute.config.plan import load_plan
from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import Heartbeat, Registration
from pulleyroute.fleet.operate import OperationRefused
from pulleyroute.fleet.records import Health, MemberRequest, Snapshot
from pulleyroute.fleet.release import OperationRefused as NotSo
from pulleyroute.fleet.release import Plan, ReleaseChange, State, WaveProgress, new_release, step
from pulleyroute.net.lifecycle import Phase
from tests.fleet.test_agent import together

SECOND = 1_000_000
PLAN = Plan(
    "r",
    "v2",
    (CountOrShare(count=1), CountOrShare(share=0.5), CountOrShare(share=1.0)),
    at_once=2,
    soak=2 * SECOND,
    patience=30 * SECOND,
)


def serving_snapshot(*names, version="v1", good=95):
    return Snapshot(
        {n: Registration(n, 1, f"z{i % 2}", "r") for i, n in enumerate(names)},
        dict.fromkeys(names, "t"),
        {n: Heartbeat(n, 1, "serving", version) for n in names},
        health={n: Health(1, good, 100) for n in names},
    )


def started(plan=PLAN, names="abcd", **more):
    now = serving_snapshot(*names, **more)
    now.release = step(
        Snapshot(heartbeats=now.heartbeats, health=now.health, release=new_release(plan, now)),
        WaveProgress(),
        0,
    ).release
    assert now.release.before == now.health[names[0]].good / 100
    return now


def changed(now, name, good=95, ended=100):
    """As after its restart, serving the new version."""
    now.member_requests.pop(name, None)
    now.registrations[name] = replace(now.registrations[name], incarnation=2)
    now.heartbeats[name] = Heartbeat(name, 2, "serving", "v2")
    now.health[name] = Health(2, good, ended)


def test_waves_meet_each_zone_and_end_with_everybody():
    release = started(names="abcdef").release
    assert release.members == ("a", "b", "c", "d", "e", "f") and release.counts == (1, 3, 6)
    assert started(replace(PLAN, zones=("z1",))).release.members == ("b", "d")
    assert started(replace(PLAN, waves=(CountOrShare(count=9),))).release.counts == (4,)


@pytest.mark.parametrize(
    ("plan", "why"),
    [
        (replace(PLAN, zones=("z9",)), "no member stands in zone z9"),
        (replace(PLAN, of_version="v0"), "no member is meant by it"),
        (
            replace(PLAN, waves=(CountOrShare(count=3), CountOrShare(count=1))),
            "a wave has fewer members than the one before",
        ),
    ],
)
def test_a_plan_that_can_not_be_carried_out_is_refused_at_its_start(plan, why):
    with pytest.raises(NotSo, match=why):
        new_release(plan, serving_snapshot("a", "b", "c"))


def test_a_silent_member_and_a_release_in_hand_refuse_another():
    now = serving_snapshot("a", "b")
    del now.heartbeats["b"]
    with pytest.raises(NotSo, match="b can't be reached"):
        new_release(PLAN, now)
    with pytest.raises(NotSo, match="release r is running"):
        new_release(PLAN, started())


def test_a_wave_is_wanted_soaked_and_followed_by_the_next():
    now, seen = started(), WaveProgress()
    (request,) = step(now, seen, 0).member_requests
    assert (request.name, request.version, request.incarnation) == ("a", "v2", 1)
    now.member_requests["a"] = request
    assert not step(now, seen, SECOND).member_requests
    changed(now, "a")
    assert step(now, seen, 5 * SECOND).wait == "soaking"
    move = step(now, seen, 7 * SECOND)
    assert move.release.wave == 1
    now.release = move.release
    assert [request.name for request in step(now, seen, 8 * SECOND).member_requests] == ["b"]


def test_no_more_are_wanted_at_once_than_the_plan_says():
    now = started(replace(PLAN, waves=(CountOrShare(share=1.0),)))
    assert len(step(now, WaveProgress(), 0).member_requests) == 2


def test_a_release_waits_for_everybodys_counts_and_not_for_ever():
    now, seen = serving_snapshot("a", "b"), WaveProgress()
    now.release = new_release(PLAN, now)
    told, now.health = now.health, {}
    assert step(now, seen, 0).wait == "waits for the counts of jobs"
    assert step(now, seen, 10 * SECOND).release.before == -2  # too few to compare with
    now.health = told
    assert step(now, seen, SECOND).release.before == 0.95


def test_the_last_wave_ends_it():
    now = started(names="ab")
    now.release = replace(now.release, wave=len(now.release.counts) - 1)
    seen = WaveProgress()
    for name in "ab":
        changed(now, name)
    step(now, seen, 0)
    assert step(now, seen, 3 * SECOND).release.state == State.DONE.value


@pytest.mark.parametrize(("on_failure", "state"), [("halt", State.HALTED), ("back", State.ROLLING_BACK)])
def test_a_member_that_does_not_come_back_halts_it_or_takes_it_back(on_failure, state):
    now, seen = started(replace(PLAN, on_failure=on_failure)), WaveProgress()
    step(now, seen, 0)
    now.member_requests["a"] = MemberRequest("a", "restart", 1, "v2", "release r")
    assert step(now, seen, 30 * SECOND).release is None
    move = step(now, seen, 31 * SECOND)
    assert move.release.state == state.value and "a did not come back as v2" in move.release.why
    assert move.dropped == ("a",)  # it has no permit: it does not go any more


def test_a_version_that_serves_less_than_before_and_than_the_others_is_to_blame():
    now, seen = started(), WaveProgress()
    step(now, seen, 0)
    changed(now, "a", good=60)
    for name in "bcd":
        now.health[name] = Health(1, 195, 200)
    move = step(now, seen, SECOND)
    assert move.release.state == State.HALTED.value
    assert move.release.why == "v2 serves 0.60 of its jobs, where 0.95 were served without it"


def test_few_jobs_prove_nothing():
    now, seen = started(), WaveProgress()
    step(now, seen, 0)
    changed(now, "a", good=3, ended=19)
    assert step(now, seen, SECOND).release is None


def test_a_slowdown_that_all_share_is_not_blamed_but_starts_no_wave():
    now, seen = started(), WaveProgress()
    step(now, seen, 0)
    changed(now, "a", good=60)
    for name in "bcd":
        now.health[name] = Health(1, 95 + 60, 200)
    assert step(now, seen, SECOND).release is None
    assert step(now, seen, 9 * SECOND).wait == "service is low everywhere"


def test_the_counts_of_a_members_process_before_are_not_the_new_versions():
    now, seen = started(), WaveProgress()
    step(now, seen, 0)
    changed(now, "a")
    now.health["a"] = Health(1, 10, 100)
    assert step(now, seen, SECOND).release is None


def test_back_wants_the_versions_before_in_reverse_and_halts_where_it_fails():
    now, seen = started(), WaveProgress()
    now.release = replace(now.release, wave=1, state=State.ROLLING_BACK.value)
    for name in "ab":
        changed(now, name)
    move = step(now, seen, 0)
    assert [(request.name, request.version, request.incarnation) for request in move.member_requests] == [
        ("b", "v1", 2),
        ("a", "v1", 2),
    ]
    move = step(now, seen, 31 * SECOND)
    assert move.release.state == State.HALTED.value and "b as v2, a as v2" in move.release.why
    for name in "ab":
        now.heartbeats[name] = Heartbeat(name, 2, "serving", "v1")
    assert step(now, seen, 32 * SECOND).release.state == State.ROLLED_BACK.value


def test_a_plan_is_read_from_hcl_and_checked(tmp_path):
    path = tmp_path / "plan.hcl"
    path.write_text('release "r" {\n version = "v2"\n waves = [1, "50%"]\n soak = "2s"\n at_once = 3\n}\n')
    assert load_plan(path) == Plan(
        "r", "v2", (CountOrShare(count=1), CountOrShare(share=0.5)), at_once=3, soak=2 * SECOND
    )
    for text, said in (
        ('waves = [1, "x"]', "2: release.r.waves: expected a list of numbers and shares"),
        ("waves = [1]\n version = 3", "3: release.r.version: expected a text"),
        ('waves = [1]\n soak = "soon"', "3: release.r.soak: expected a time"),
        ('waves = [1]\n on_failure = "cry"', "on_failure: expected one of 'halt', 'back'"),
    ):
        path.write_text(f'release "r" {{\n {text}\n}}\n')
        with pytest.raises(InvalidConfig) as told:
            load_plan(path)
        assert said in str(told.value)


# Whole releases, by agents on a store.


class Platform:
    """Starts again what has left, as the version that was named."""

    def __init__(self, fleet, broken=()):
        self.fleet, self.broken, self.most, self.led = fleet, set(broken), 0, set()

    def play(self, until, seconds=120):
        for _ in range(int(seconds * 10)):
            self.fleet.skip(0.1)
            out = self.fleet.out()
            self.most = max(self.most, len(out))
            for name in out:
                service = self.fleet.services[name]
                if service.phase is Phase.ENDING:
                    version = service.told[-1]
                    self.fleet.agents[name]._task.cancel()
                    good = 0 if version in self.broken else 95
                    self.fleet.join(name, version=version).served = (good, 100)
            if until():
                return
        raise AssertionError(self.state())

    def state(self):
        return self.fleet.do(self.fleet.operator.read_snapshot())[0].release

    def versions(self):
        return {row["version"] for row in self.fleet.rows().values()}


def test_a_release_reaches_everybody_one_at_a_time(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    fleet.do(fleet.operator.start_release(PLAN))
    platform.play(lambda: platform.state().state == "done")
    assert platform.versions() == {"v2"} and platform.most == 1


def test_a_release_goes_on_when_its_leader_dies_and_an_old_leader_that_wakes_changes_nothing(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    fleet.do(fleet.operator.start_release(PLAN))
    fleet.until(lambda: fleet.do(fleet.operator.read_snapshot())[0].leader_token)
    token = fleet.do(fleet.operator.read_snapshot())[0].leader_token
    leader = next(name for name, agent in fleet.agents.items() if agent._token == token)
    platform.play(lambda: platform.state().wave == 1)
    old = fleet.agents[leader]
    if old._token == token:
        old._task.cancel()
        fleet.skip(8)
        fleet.join(leader, version=fleet.rows()[leader]["version"] or "v1")
    platform.play(lambda: platform.state().state == "done")
    assert platform.versions() == {"v2"} and platform.most == 1


def test_a_bad_version_is_halted_taken_back_by_hand_and_nobody_is_left_with_it(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet, broken=["v2"])
    fleet.do(fleet.operator.start_release(PLAN))
    platform.play(lambda: platform.state().state == "halted")
    assert "v2 serves 0.00" in platform.state().why
    assert [row["version"] for row in fleet.rows().values()].count("v2") == 1  # the first wave alone met it
    fleet.do(fleet.operator.change_release_state(State.ROLLING_BACK, "it errs"))
    platform.play(lambda: platform.state().state == "back")
    assert platform.versions() == {"v1"} and platform.most == 1


def test_halt_and_resume_by_hand_and_what_can_not_be_done_now(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    with pytest.raises(OperationRefused, match="no release is in hand"):
        fleet.do(fleet.operator.change_release_state(State.HALTED, ""))
    fleet.do(fleet.operator.start_release(PLAN))
    platform.play(lambda: platform.state().wave == 1)
    fleet.do(fleet.operator.change_release_state(State.HALTED, "lunch"))
    platform.play(lambda: not fleet.out())
    before = platform.versions(), sorted(row["version"] for row in fleet.rows().values())
    for _ in range(3):
        fleet.skip(3)
    assert sorted(row["version"] for row in fleet.rows().values()) == before[1]
    with pytest.raises(OperationRefused, match="release r is halted"):
        fleet.do(fleet.operator.start_release(PLAN))
    fleet.do(fleet.operator.change_release_state(State.RUNNING, ""))
    platform.play(lambda: platform.state().state == "done")
    with pytest.raises(OperationRefused, match="release r is done"):
        fleet.do(fleet.operator.change_release_state(State.RUNNING, ""))


def test_a_leader_that_was_paused_changes_nothing_once_its_election_is_over(fleet, monkeypatch):
    together(fleet, *"abc")
    fleet.do(fleet.operator.start_release(PLAN))
    fleet.until(lambda: fleet.do(fleet.operator.read_snapshot())[0].leader_token)
    snapshot, items = fleet.do(fleet.operator.read_snapshot())
    agent = next(agent for agent in fleet.agents.values() if agent._token == snapshot.leader_token)
    fleet.until(lambda: agent.snapshot.leader_token)
    for each in fleet.agents.values():  # all stand still, and what they know with them
        each._task.cancel()
    agent._health_at = 2**62
    monkeypatch.setattr(
        "pulleyroute.fleet.release.step",
        lambda snapshot, seen, now: ReleaseChange(replace(snapshot.release, wave=1)),
    )
    lead = agent._mirror[agent._keys.leader]
    assert fleet.do(fleet.operator._client.commit(lead, None, fleet.loop.now() + 5 * SECOND)) is None
    fleet.do(agent._release())
    assert fleet.do(fleet.operator.read_snapshot())[0].release.wave == 0
