"""The computed target: the committed tables match the committed series."""

import shutil
from pathlib import Path

import pytest

from benchmarks.capacity import tables, target
from benchmarks.capacity.series import FOLDER, SeriesError, read

MEASURED = Path(__file__).parent.parent.parent / FOLDER


def test_the_committed_tables_are_made_of_the_committed_series(tmp_path: Path) -> None:
    for path in MEASURED.glob("*.json"):
        shutil.copy(path, tmp_path)
    tables.fits(tmp_path)
    target.report(tmp_path)
    for name in (tables.TABLE, target.TABLE):
        assert (tmp_path / name).read_text() == (MEASURED / name).read_text(), name


def test_the_chosen_design_keeps_every_limit_of_a_dispatcher() -> None:
    rows = target.dispatcher_rows(target.FittedCosts(MEASURED))
    for unit, limit in (("of a core", 0.011), ("bytes", 32e6), ("bytes/s", 11_000.0)):
        assert (
            sum(row.chosen for row in rows if row.unit == unit)
            < limit
            < sum(row.today for row in rows if row.unit == unit)
        )


def test_a_series_that_is_missing_is_named(tmp_path: Path) -> None:
    shutil.copy(MEASURED / "list.json", tmp_path)
    with pytest.raises(SeriesError, match=r"no series reports\.read; measure it first"):
        target.report(tmp_path)


def test_every_series_names_its_command_and_its_machine() -> None:
    for path in MEASURED.glob("*.json"):
        for series in read(path):
            assert series.command.startswith("python -m benchmarks.capacity") and series.machine, series.name
