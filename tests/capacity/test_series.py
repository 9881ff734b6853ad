"""Series as JSON, and the errors of files without series."""

from pathlib import Path

import pytest

from benchmarks.capacity.series import Point, Series, SeriesError, read, write

ONE = Series("list.take", "List taken", "us", "list entries", "python -m x", (Point(10, 1.5), Point(10, 2.0)))


def test_a_file_gives_back_what_was_written(tmp_path: Path) -> None:
    write(tmp_path / "new" / "list.json", [ONE])
    assert read(tmp_path / "new" / "list.json") == [ONE]
    assert ONE.sizes == [10] and ONE.values(10) == [1.5, 2.0]


@pytest.mark.parametrize("text", ["", "[]", '{"series": [{}]}', '{"series": [{"points": 1}]}'])
def test_a_malformed_file_is_named(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.json"
    path.write_text(text)
    with pytest.raises(SeriesError, match=r"bad\.json"):
        read(path)


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(SeriesError, match="none"):
        read(tmp_path / "none.json")
