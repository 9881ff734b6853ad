"""The arguments of the command, and one small point of each slope that runs in a single process."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity.series import Point, Series, read, write
from benchmarks.capacity.slope import MAX_ATTEMPTS, Cost, Run, Slope, SlopeError
from benchmarks.capacity.slopes import MODULES, slope

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(
    "arguments, message",
    [
        ([], "required: name"),
        (["lists"], "invalid choice: 'lists'"),
        (["list", "--size", "0"], "0 is not between 1 and"),
        (["list", "--size", "many"], "'many' is not a whole number"),
        (["all", "--size", "10"], "--size goes with one slope"),
        (["fits", "--quickly"], "unrecognized arguments"),
    ],
)
def test_bad_arguments_end_with_a_plain_line(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        command.main(arguments)
    assert ended.value.code == 2
    assert message in capsys.readouterr().err


@pytest.mark.parametrize("report", ["fits", "charts", "target"])
def test_a_report_without_series_fails_with_an_error(
    report: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main([report, "--out", str(tmp_path)]) == 1
    assert capsys.readouterr().err.startswith("capacity: ")


def test_a_size_beyond_what_a_slope_is_run_at_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["request", "--size", "2000000"]) == 1
    assert "request: a size is over" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["list", "decisions", "members", "reports", "reload"])
def test_a_small_point_has_a_value_above_zero_for_each_cost(name: str) -> None:
    found = slope(name)
    values = found.measure(20)
    assert values.keys() == found.costs.keys()
    assert all(value > 0 for value in values.values())


def test_every_slope_spans_two_powers_of_ten_in_five_sizes() -> None:
    for name in MODULES:
        sizes = slope(name).sizes
        assert len(sizes) >= 5 and sizes[-1] >= 100 * sizes[0], name
        assert set(slope(name).quick_sizes) <= set(sizes), name


def test_a_point_runs_in_a_process_of_its_own_and_a_failed_one_is_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    found = Slope("list", "list entries", (100,), (100,), {"whole": Cost("Whole", "us")}, lambda size: {})
    commands: list[list[str]] = []
    progress: list[str] = []

    def run_point(arguments: list[str], **options: object) -> subprocess.CompletedProcess[str]:
        commands.append(arguments)
        if len(commands) == 2 or len(commands) > 3:
            return subprocess.CompletedProcess(arguments, 1, "", "Traceback\nValueError: no answer\n")
        return subprocess.CompletedProcess(arguments, 0, '{"whole": 3.0}', "")

    monkeypatch.setattr(subprocess, "run", run_point)
    (series,) = Run(repeats=2, on_progress=progress.append).series(found)
    assert series.points == (Point(100, 3.0), Point(100, 3.0))
    assert commands[0] == [sys.executable, "-m", "benchmarks.capacity.point", "list", "100"]
    assert "list at 100: ValueError: no answer; measured again" in progress
    with pytest.raises(SlopeError, match="list at 100: ValueError: no answer"):
        Run(repeats=1).series(found)
    assert len(commands) == 3 + MAX_ATTEMPTS


def test_charts_and_fits_are_made_of_what_a_folder_holds(tmp_path: Path) -> None:
    points = tuple(Point(size, 2.0 * size) for size in (10, 100, 1000))
    whole = Series("a.whole", "Whole", "us", "members", "python -m a", points, limit=5000.0)
    write(tmp_path / "a.json", [whole, Series("a.few", "Few", "us", "members", "python -m a", points[:1])])
    assert read(tmp_path / "a.json")[0] == whole
    assert command.main(["charts", "--out", str(tmp_path)]) == 0
    assert command.main(["fits", "--out", str(tmp_path)]) == 0
    assert [path.name for path in tmp_path.glob("*.svg")] == ["a.whole.svg"]
    text = (tmp_path / "a.whole.svg").read_text()
    assert "limit: 5,000 us" in text and "target: 5,700, 6 times the largest measured" in text
    assert "| `a.whole` | 10 to 1000 members | us |" in (tmp_path / "fits.md").read_text()
