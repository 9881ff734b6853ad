"""Counts of a fleet, from logs that are written here."""

from __future__ import annotations

import pytest

from benchmarks import fleet_log

PUSH = "push txn={} index={} instance={} cls=read waited=0 zone=0 to={} free={} age={} near=1 up={}"
LOGS = {
    "n0": [
        (0.10, "INFO pulleyroute 0.1.0 as n0 on 10.0.0.1:8080"),
        (0.20, "DEBUG " + PUSH.format("a", 0, "s-1", 0, "2.0", 300_000, -1)),
        (0.21, "DEBUG started txn=a index=0 instance=s-1 took=3000"),
        (0.30, "DEBUG " + PUSH.format("b", 0, "s-1", 0, "0.0", 700_000, 500_000)),
        (0.90, "DEBUG " + PUSH.format("b", 1, "s-2", 1, "-", -1, 900_000)),
        (1.10, "DEBUG probe instance=s-1 outcome=ok took=900 free=1.0"),
    ],
    "n1": [
        (0.25, "DEBUG " + PUSH.format("c", 0, "s-1", 0, "0.0", 700_000, 450_000)),
        (0.26, "DEBUG list call=watch"),
        (0.27, "DEBUG connect instance=s-1"),
        (0.30, "(3 lines left out)"),
        (5.00, "DEBUG " + PUSH.format("d", 0, "s-1", 0, "1.0", 900_000, 5_200_000)),
    ],
}


@pytest.fixture
def fleet(tmp_path):
    for name, lines in LOGS.items():
        (tmp_path / f"{name}.log").write_text(
            "".join(f"{at:.3f} 2026-12-01T00:00:00.000 {text}\n" for at, text in lines)
        )
    return fleet_log.load(tmp_path)


def test_calls_are_counted_over_all_dispatchers_with_their_peak_second(fleet):
    assert fleet_log.calls(fleet) == {
        "first pushes": (4, 3, 2),
        "resubmissions": (1, 1, 1),
        "pushes to cold": (4, 3, 2),
        "probes": (1, 1, 1),
        "list calls": (1, 1, 1),
        "new connections": (1, 1, 1),
    }
    assert fleet_log.crossings(fleet) == {("read", "first"): (4, 0), ("read", "again"): (1, 1)}


def test_what_a_push_found_is_counted_by_the_load_report_that_it_used(fleet):
    assert fleet_log.found_by_report(fleet) == {
        ("room", "< 0.5 s"): (1, 1),
        ("full", "< 1 s"): (2, 0),
        ("room", "< 1 s"): (1, 0),
    }


def test_spread_and_cold_windows_go_across_dispatchers(fleet):
    assert fleet_log.spread(fleet) == {"s-1": (4, 1.0, 2), "s-2": (1, 1.0, 1)}
    assert fleet_log.cold_windows(fleet) == {"s-1": 2, "s-2": 1}
    assert "second" in fleet_log.seconds(fleet)[0] and len(fleet_log.seconds(fleet)) == 7
    assert any("| read again | 1 | 1 |" in line for line in fleet_log.report(fleet))


def test_a_directory_without_events_is_one_plain_line(tmp_path):
    with pytest.raises(SystemExit, match="no log with events"):
        fleet_log.load(tmp_path)
