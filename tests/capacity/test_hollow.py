"""Hollow members in small fleets: registration, a zone lost and restored, and counts. No timing."""

import json

import pytest

from benchmarks.capacity import hollow, hollow_compare
from benchmarks.capacity.hollow_fleet import Size
from benchmarks.capacity.hollow_member import select
from benchmarks.capacity.hollow_play import Times, run_fleet
from benchmarks.capacity.hollow_results import (
    FleetRun,
    Results,
    quantiles,
    ratio,
    read_results,
    write_results,
)
from benchmarks.capacity.hollow_series import INSTANCES, series
from benchmarks.capacity.series import Point, read

LONG_TIMEOUT = Times(timeout=60.0, settle=0.0, window=1.0)
STAGES = ["start", "rest", "zone lost", "zone back"]


def stage(run, name):
    return next(each for each in run.stages if each.name == name)


@pytest.fixture(scope="module")
def five_members():
    return run_fleet(Size(members=5, recorded=0, instances=10), LONG_TIMEOUT)


def test_all_members_register_and_learn_of_a_zone_lost_and_restored(five_members):
    assert five_members.ended_by == "" and five_members.not_run == []
    assert [each.name for each in five_members.stages] == STAGES
    assert [each.members for each in five_members.stages] == [5, 5, 4, 5]
    assert [each.least_serving for each in five_members.stages] == [5, 5, 4, 5]
    assert [each.most_serving for each in five_members.stages] == [5, 5, 4, 5]
    assert [each.without_record for each in five_members.stages] == [0, 0, 0, 0]
    for each in five_members.stages:
        assert all(times.count == times.expected == each.members for times in each.times.values())


def test_messages_are_counted_at_the_members(five_members):
    start = stage(five_members, "start")
    # Calls of each member: a first read, a lease, the watch, registration and heartbeat, each with a reread.
    assert start.calls >= 5 * 7 and start.store.connections == start.calls
    assert start.discovery.connections == 5
    assert start.store.sent > 0 and start.store.received > 0
    lost = stage(five_members, "zone lost")
    assert lost.discovery.connections == 0  # changes arrive on the open watches
    # Two instances, reported to four members.
    assert lost.discovery.received >= 4 * len('"phase": "left"') * 2


def test_a_member_of_a_recorded_fleet_knows_all_of_it_and_each_change_of_a_zone():
    run = run_fleet(Size(members=2, recorded=20, instances=4, watched=True), LONG_TIMEOUT)
    assert run.ended_by == "" and run.not_run == []
    assert [each.least_serving for each in run.stages] == [22, 22, 11, 22]
    assert run.watches_lost == 0
    assert run.rest is not None and run.rest.range_bytes > 22 * 300


def test_real_dispatchers_are_counted_beside_hollow_members(monkeypatch):
    monkeypatch.setattr(hollow_compare, "SETTLE_TIME_S", 0.0)
    comparison = hollow_compare.compare(hollow=2, real=1, window=2.0)
    assert (comparison.hollow, comparison.real) == (2, 1)
    for each in (comparison.cpu, comparison.calls, comparison.store_bytes, comparison.discovery_bytes):
        assert len(each.hollow) == len(each.real) == hollow_compare.WINDOWS
    # Within the three windows each member extends its lease and gets data on the watch of discovery.
    for each in (comparison.cpu, comparison.calls, comparison.store_bytes, comparison.discovery_bytes):
        assert sum(each.hollow) > 0 and sum(each.real) > 0
    assert comparison.real_memory > 0


def test_a_run_that_fails_names_the_stage_and_the_stages_not_run():
    run = run_fleet(Size(members=2, recorded=0, instances=4), Times(timeout=0.0))
    assert run.ended_by.startswith("start: not within 0 s; of 2: ")
    assert run.not_run == ["rest", "zone lost", "zone back"]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--members", "0"], "expected a whole number from 1 to 5700, found '0'"),
        (["--members", "many"], "expected a whole number from 1 to 5700, found 'many'"),
        (["--members", "1e3"], "expected a whole number from 1 to 5700, found '1e3'"),
        (["--recorded", "9"], "expected a whole number from 10 to 20000, found '9'"),
        (["--live", "10"], "expected a whole number from 1 to 9, found '10'"),
        (["--instances", "-1"], "expected a whole number from 1 to 100000, found '-1'"),
        (["--compare", "51"], "expected a whole number from 1 to 50, found '51'"),
        (["--out", "/nowhere/at/all.json"], "there is no directory /nowhere/at"),
        (["--size", "3"], "unrecognized arguments"),
    ],
)
def test_bad_arguments_get_one_clear_error(arguments, message, capsys):
    with pytest.raises(SystemExit) as ended:
        hollow.main(arguments)
    assert ended.value.code == 2
    assert message in capsys.readouterr().err


def test_more_members_than_descriptors_are_an_error(monkeypatch, capsys):
    monkeypatch.setattr(hollow.resource, "getrlimit", lambda which: (1024, 1024))
    with pytest.raises(SystemExit) as ended:
        hollow.main(["--members", "309"])
    assert ended.value.code == 2
    assert "309 need 1027 descriptors, the limit is 1024" in capsys.readouterr().err


def test_a_file_of_something_else_is_not_written_over(tmp_path, capsys):
    path = tmp_path / "other.json"
    path.write_text('{"plays": 3}')
    with pytest.raises(SystemExit):
        hollow.main(["--quick", "--out", str(path)])
    assert "not a file of this command" in capsys.readouterr().err
    assert json.loads(path.read_text()) == {"plays": 3}


def test_results_keep_the_latest_run_of_each_size(tmp_path):
    path = tmp_path / "hollow.json"
    results = Results("a machine")
    for ended in ("first", "second"):
        results.add(FleetRun(10, 0, 90, ended_by=ended))
        results.add(FleetRun(9, 991, 90))
        write_results(results, path)
        results = read_results(path)
    assert [(each.members, each.recorded, each.ended_by) for each in results.plays] == [
        (10, 0, "second"),
        (9, 991, ""),
    ]


def test_a_run_makes_series_that_the_fits_read(five_members, tmp_path):
    five_members.instances = INSTANCES
    found = {
        each.name: each
        for each in series([five_members, FleetRun(9, 991, INSTANCES, watched=True)], "a machine")
    }
    assert found["hollow.range_bytes"].points == (Point(5, float(five_members.rest.range_bytes)),)
    assert found["hollow.zone_back_known"].sizes == [5]
    path = tmp_path / "hollow.json"
    write_results(Results(series=list(found.values())), path)
    assert read(path) == list(found.values())


def test_members_are_divided_among_processes_without_rest():
    numbers, last = range(20), {8, 17}
    assert set(select(numbers, 9, "last")) == last
    assert set(select(numbers, 9, "rest")) == set(numbers) - last
    assert select(numbers, 9, "all") == list(numbers)


def test_quantiles_and_ratios():
    assert quantiles([], 3).count == 0
    each = quantiles([3_000_000, 1_000_000, 2_000_000], 4)
    assert (each.count, each.expected, each.p50, each.longest) == (3, 4, 2.0, 3.0)
    ratios = ratio([2.0, 1.0], [[1.0, 3.0], [0.5, 1.5]])
    assert ratios.ratios == [1.0, 1.0] and (ratios.real_least, ratios.real_most) == (0.5, 1.5)
