"""Which failures KNOWN-RED.txt excuses. Each case is a separate run of pytest."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
def test_red():
    assert False

def test_green():
    pass

def test_other():
    assert {other}
"""
RED = "test_a.py::test_red | the list is late | 29"


def run(tmp_path: Path, lines: str | None, other: bool = True) -> tuple[int, str]:
    (tmp_path / "test_a.py").write_text(TESTS.format(other=other))
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "KNOWN-RED.txt").unlink(missing_ok=True)
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", "-q"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parent), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
        text=True,
        capture_output=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_test_runs_and_is_printed_with_its_cause(tmp_path):
    code, out = run(tmp_path, RED + "\n")
    assert code == 0 and "1 xfailed" in out
    assert "known red: test_a.py::test_red: the list is late (issue 29)" in out


def test_only_the_listed_test_may_fail(tmp_path):
    assert run(tmp_path, RED + "\n", other=False)[0] == 1
    assert run(tmp_path, None)[0] == run(tmp_path, "")[0] == 1


def test_a_listed_test_that_passes_is_printed_as_such(tmp_path):
    code, out = run(tmp_path, RED + "\ntest_a.py::test_green | long mended | 8\n")
    assert code == 0 and "known red passes: test_a.py::test_green: take its line out" in out


@pytest.mark.parametrize(
    "lines, message",
    [
        ("test_a.py::test_red | no issue", "KNOWN-RED.txt:1: expected 'test id | cause | issue number'"),
        (RED + "\n\n", "KNOWN-RED.txt:2: expected"),
        (RED + "\n# a remark\n", "KNOWN-RED.txt:2: expected"),
        ("test_a.py::test_red |  | 29", "KNOWN-RED.txt:1: expected"),
        ("test_a.py::test_gone | it was renamed | 29", "expected the id of a test, not test_a.py::test_gone"),
        ("test_b.py::test_red | its file went | 29", "expected the id of a test, not test_b.py::test_red"),
        (
            "\n".join(f"test_a.py::test_{i} | many | {i}" for i in range(4)),
            "KNOWN-RED.txt:4: expected 3 lines at most",
        ),
        (RED + "\n" + RED, "expected each test once"),
    ],
)
def test_a_malformed_file_is_a_usage_error(tmp_path, lines, message):
    code, out = run(tmp_path, lines)
    assert code == 4 and message in out and "Traceback" not in out
