"""Load reports, and executions against scripted instances on loopback."""

import pytest

from pulleyroute.interface import LoadReport
from pulleyroute.net.instance import read_report

NAMES = {"q": "queued", "rif": "in_hand", "x0": "free_slots"}


@pytest.mark.parametrize(("values", "report"), [
    ({"queue": 2, "inflight": 3.5, "x0": 0}, LoadReport(free_slots=0, in_hand=3.5, queued=2)),
    ({"q": 2, "rif": 3, "x0": 1, "new": 9}, LoadReport(free_slots=1, in_hand=3, queued=2)),
    ({"x0": float("nan"), "inflight": True}, LoadReport()),
    # A reading that has not been taken yet: no report, or the instance would seem full.
    ({"queue": 0, "inflight": 0, "x0": 0}, None),
    ([], None),
])
def test_load_reports_under_the_names_of_the_sockets(values, report):
    assert read_report(values, NAMES) == report
