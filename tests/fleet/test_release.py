"""The next step of a release by the records, and complete releases by agents on a store."""

from dataclasses import replace

import pytest

from pulleyroute.config import InvalidConfig
from pulleyroute.config.plan import load_plan
from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.members import Heartbeat, Registration
from pulleyroute.fleet.operate import OperationRefused
from pulleyroute.fleet.records import Health, MemberRequest, Snapshot
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


def started_release(plan=PLAN, names="abcd", **more):
    snapshot = serving_snapshot(*names, **more)
    snapshot.release = step(
        Snapshot(heartbeats=snapshot.heartbeats, health=snapshot.health, release=new_release(plan, snapshot)),
        WaveProgress(),
        0,
    ).release
    assert snapshot.release.before == snapshot.health[names[0]].good / 100
    return snapshot


def update_member(snapshot, name, good=95, ended=100):
    """Change the records to those of a member that was restarted with the new version and serves."""
    snapshot.member_requests.pop(name, None)
    snapshot.registrations[name] = replace(snapshot.registrations[name], incarnation=2)
    snapshot.heartbeats[name] = Heartbeat(name, 2, "serving", "v2")
    snapshot.health[name] = Health(2, good, ended)


def test_waves_are_spread_over_the_zones_and_the_last_has_all_members():
    release = started_release(names="abcdef").release
    assert release.members == ("a", "b", "c", "d", "e", "f") and release.counts == (1, 3, 6)
    assert started_release(replace(PLAN, zones=("z1",))).release.members == ("b", "d")
    assert started_release(replace(PLAN, waves=(CountOrShare(count=9),))).release.counts == (4,)


@pytest.mark.parametrize(
    ("plan", "reason"),
    [
        (replace(PLAN, zones=("z9",)), "no member is in zone z9"),
        (replace(PLAN, of_version="v0"), "the plan selects no member"),
        (
            replace(PLAN, waves=(CountOrShare(count=3), CountOrShare(count=1))),
            "a wave has fewer members than the previous one",
        ),
    ],
)
def test_a_plan_that_can_not_be_carried_out_is_refused_at_its_start(plan, reason):
    with pytest.raises(OperationRefused, match=reason):
        new_release(plan, serving_snapshot("a", "b", "c"))


def test_a_silent_member_or_an_active_release_prevents_a_new_one():
    snapshot = serving_snapshot("a", "b")
    del snapshot.heartbeats["b"]
    with pytest.raises(OperationRefused, match="no heartbeat from b; see"):
        new_release(PLAN, snapshot)
    with pytest.raises(OperationRefused, match="release r is running"):
        new_release(PLAN, started_release())


def test_a_wave_is_requested_soaked_and_followed_by_the_next():
    snapshot, progress = started_release(), WaveProgress()
    (request,) = step(snapshot, progress, 0).member_requests
    assert (request.name, request.version, request.incarnation) == ("a", "v2", 1)
    snapshot.member_requests["a"] = request
    assert not step(snapshot, progress, SECOND).member_requests
    update_member(snapshot, "a")
    assert step(snapshot, progress, 5 * SECOND).wait == "soaking"
    change = step(snapshot, progress, 7 * SECOND)
    assert change.release.wave == 1
    snapshot.release = change.release
    assert [request.name for request in step(snapshot, progress, 8 * SECOND).member_requests] == ["b"]


def test_no_more_restarts_are_requested_at_once_than_the_plan_allows():
    snapshot = started_release(replace(PLAN, waves=(CountOrShare(share=1.0),)))
    assert len(step(snapshot, WaveProgress(), 0).member_requests) == 2


def test_a_release_waits_for_the_counts_of_all_members_up_to_a_timeout():
    snapshot, progress = serving_snapshot("a", "b"), WaveProgress()
    snapshot.release = new_release(PLAN, snapshot)
    reported, snapshot.health = snapshot.health, {}
    assert step(snapshot, progress, 0).wait == "waiting for job counts"
    assert step(snapshot, progress, 10 * SECOND).release.before == -2  # too few jobs to compare with
    snapshot.health = reported
    assert step(snapshot, progress, SECOND).release.before == 0.95


def test_a_release_is_done_after_the_last_wave():
    snapshot = started_release(names="ab")
    snapshot.release = replace(snapshot.release, wave=len(snapshot.release.counts) - 1)
    progress = WaveProgress()
    for name in "ab":
        update_member(snapshot, name)
    step(snapshot, progress, 0)
    assert step(snapshot, progress, 3 * SECOND).release.state == State.DONE.value


@pytest.mark.parametrize(("on_failure", "state"), [("halt", State.HALTED), ("back", State.ROLLING_BACK)])
def test_a_member_that_does_not_return_halts_the_release_or_rolls_it_back(on_failure, state):
    snapshot, progress = started_release(replace(PLAN, on_failure=on_failure)), WaveProgress()
    step(snapshot, progress, 0)
    snapshot.member_requests["a"] = MemberRequest("a", "restart", 1, "v2", "release r")
    assert step(snapshot, progress, 30 * SECOND).release is None
    change = step(snapshot, progress, 31 * SECOND)
    assert change.release.state == state.value and "a did not come back as v2" in change.release.why
    assert change.dropped == ("a",)  # it has no permit, so its request is withdrawn


def test_a_version_that_serves_less_than_before_and_than_the_others_halts_the_release():
    snapshot, progress = started_release(), WaveProgress()
    step(snapshot, progress, 0)
    update_member(snapshot, "a", good=60)
    for name in "bcd":
        snapshot.health[name] = Health(1, 195, 200)
    change = step(snapshot, progress, SECOND)
    assert change.release.state == State.HALTED.value
    assert change.release.why == "v2 serves 0.60 of its jobs, where 0.95 were served without it"


def test_too_few_jobs_are_not_compared():
    snapshot, progress = started_release(), WaveProgress()
    step(snapshot, progress, 0)
    update_member(snapshot, "a", good=3, ended=19)
    assert step(snapshot, progress, SECOND).release is None


def test_a_degradation_on_both_versions_halts_nothing_but_starts_no_wave():
    snapshot, progress = started_release(), WaveProgress()
    step(snapshot, progress, 0)
    update_member(snapshot, "a", good=60)
    for name in "bcd":
        snapshot.health[name] = Health(1, 95 + 60, 200)
    assert step(snapshot, progress, SECOND).release is None
    assert step(snapshot, progress, 9 * SECOND).wait == "share of jobs served is low on both versions"


def test_the_counts_of_a_members_previous_process_are_not_those_of_the_new_version():
    snapshot, progress = started_release(), WaveProgress()
    step(snapshot, progress, 0)
    update_member(snapshot, "a")
    snapshot.health["a"] = Health(1, 10, 100)
    assert step(snapshot, progress, SECOND).release is None


def test_a_rollback_restores_versions_in_reverse_order_and_halts_where_it_fails():
    snapshot, progress = started_release(), WaveProgress()
    snapshot.release = replace(snapshot.release, wave=1, state=State.ROLLING_BACK.value)
    for name in "ab":
        update_member(snapshot, name)
    change = step(snapshot, progress, 0)
    assert [(request.name, request.version, request.incarnation) for request in change.member_requests] == [
        ("b", "v1", 2),
        ("a", "v1", 2),
    ]
    change = step(snapshot, progress, 31 * SECOND)
    assert change.release.state == State.HALTED.value and "b as v2, a as v2" in change.release.why
    for name in "ab":
        snapshot.heartbeats[name] = Heartbeat(name, 2, "serving", "v1")
    assert step(snapshot, progress, 32 * SECOND).release.state == State.ROLLED_BACK.value


def test_a_plan_is_read_from_hcl_and_checked(tmp_path):
    path = tmp_path / "plan.hcl"
    path.write_text('release "r" {\n version = "v2"\n waves = [1, "50%"]\n soak = "2s"\n at_once = 3\n}\n')
    assert load_plan(path) == Plan(
        "r", "v2", (CountOrShare(count=1), CountOrShare(share=0.5)), at_once=3, soak=2 * SECOND
    )
    for text, message in (
        ('waves = [1, "x"]', "2: release.r.waves: expected a list of numbers and shares"),
        ("waves = [1]\n version = 3", "3: release.r.version: expected a text"),
        ('waves = [1]\n soak = "soon"', "3: release.r.soak: expected a time"),
        ('waves = [1]\n on_failure = "cry"', "on_failure: expected one of 'halt', 'back'"),
    ):
        path.write_text(f'release "r" {{\n {text}\n}}\n')
        with pytest.raises(InvalidConfig) as error:
            load_plan(path)
        assert message in str(error.value)


# Complete releases, by agents on a store.


class Platform:
    """Restarts processes that have ended, with the version that was requested."""

    def __init__(self, fleet, broken=()):
        self.fleet, self.broken, self.most_out = fleet, set(broken), 0

    def run(self, until, seconds=120):
        for _ in range(int(seconds * 10)):
            self.fleet.skip(0.1)
            out = self.fleet.out()
            self.most_out = max(self.most_out, len(out))
            for name in out:
                service = self.fleet.services[name]
                if service.phase is Phase.ENDING:
                    version = service.versions[-1]
                    self.fleet.agents[name]._task.cancel()
                    good = 0 if version in self.broken else 95
                    self.fleet.join(name, version=version).job_counts = (good, 100)
            if until():
                return
        raise AssertionError(self.release())

    def release(self):
        return self.fleet.do(self.fleet.operator.read_snapshot())[0].release

    def versions(self):
        return {row["version"] for row in self.fleet.rows().values()}


def test_a_release_reaches_all_members_one_at_a_time(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    fleet.do(fleet.operator.start_release(PLAN))
    platform.run(lambda: platform.release().state == "done")
    assert platform.versions() == {"v2"} and platform.most_out == 1


def test_a_release_continues_after_its_leader_dies_and_a_resumed_old_leader_changes_nothing(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    fleet.do(fleet.operator.start_release(PLAN))
    fleet.until(lambda: fleet.do(fleet.operator.read_snapshot())[0].leader_token)
    token = fleet.do(fleet.operator.read_snapshot())[0].leader_token
    leader = next(name for name, agent in fleet.agents.items() if agent._token == token)
    platform.run(lambda: platform.release().wave == 1)
    old = fleet.agents[leader]
    if old._token == token:
        old._task.cancel()
        fleet.skip(8)
        fleet.join(leader, version=fleet.rows()[leader]["version"] or "v1")
    platform.run(lambda: platform.release().state == "done")
    assert platform.versions() == {"v2"} and platform.most_out == 1


def test_a_bad_version_is_halted_and_a_manual_rollback_leaves_it_on_no_member(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet, broken=["v2"])
    fleet.do(fleet.operator.start_release(PLAN))
    platform.run(lambda: platform.release().state == "halted")
    assert "v2 serves 0.00" in platform.release().why
    assert [row["version"] for row in fleet.rows().values()].count("v2") == 1  # only the first wave has it
    fleet.do(fleet.operator.change_release_state(State.ROLLING_BACK, "it errs"))
    platform.run(lambda: platform.release().state == "back")
    assert platform.versions() == {"v1"} and platform.most_out == 1


def test_a_manual_halt_and_resume_and_commands_that_are_refused(fleet):
    together(fleet, *"abcd")
    platform = Platform(fleet)
    with pytest.raises(OperationRefused, match="there is no release"):
        fleet.do(fleet.operator.change_release_state(State.HALTED, ""))
    fleet.do(fleet.operator.start_release(PLAN))
    platform.run(lambda: platform.release().wave == 1)
    fleet.do(fleet.operator.change_release_state(State.HALTED, "lunch"))
    platform.run(lambda: not fleet.out())
    before = platform.versions(), sorted(row["version"] for row in fleet.rows().values())
    for _ in range(3):
        fleet.skip(3)
    assert sorted(row["version"] for row in fleet.rows().values()) == before[1]
    with pytest.raises(OperationRefused, match="release r is halted"):
        fleet.do(fleet.operator.start_release(PLAN))
    fleet.do(fleet.operator.change_release_state(State.RUNNING, ""))
    platform.run(lambda: platform.release().state == "done")
    with pytest.raises(OperationRefused, match="release r is done"):
        fleet.do(fleet.operator.change_release_state(State.RUNNING, ""))


def test_a_paused_leader_changes_nothing_after_its_election_has_ended(fleet, monkeypatch):
    together(fleet, *"abc")
    fleet.do(fleet.operator.start_release(PLAN))
    fleet.until(lambda: fleet.do(fleet.operator.read_snapshot())[0].leader_token)
    snapshot, items = fleet.do(fleet.operator.read_snapshot())
    agent = next(agent for agent in fleet.agents.values() if agent._token == snapshot.leader_token)
    fleet.until(lambda: agent.snapshot.leader_token)
    for each in fleet.agents.values():  # no agent runs on, so that their mirrors stay as they are
        each._task.cancel()
    agent._health_at = 2**62
    monkeypatch.setattr(
        "pulleyroute.fleet.release.step",
        lambda snapshot, progress, now: ReleaseChange(replace(snapshot.release, wave=1)),
    )
    lead = agent._mirror[agent._keys.leader]
    assert fleet.do(fleet.operator._client.commit(lead, None, fleet.loop.now() + 5 * SECOND)) is None
    fleet.do(agent._run_release())
    assert fleet.do(fleet.operator.read_snapshot())[0].release.wave == 0
