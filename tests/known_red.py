"""A pytest plugin for KNOWN-RED.txt: at most three tests that fail because of a known fault.

Each line is `test id | cause | issue number`. Such a test still runs: its failure is printed with its cause
and does not fail the run. If it passes, the summary asks to remove its line. Any other content of the file
is a usage error.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_LINES = 3
_LINE = re.compile(r"(\S+\.py::[^|]*\S) \| ([^|]*[^|\s]) \| (\d+)")


@dataclass(frozen=True)
class KnownFailure:
    test: str
    cause: str
    issue: int


def read(path: Path) -> list[KnownFailure]:
    """Return what the file lists, nothing if there is no file; raises ValueError on a malformed line."""
    failures: list[KnownFailure] = []
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        match = _LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"{path.name}:{number}: expected 'test id | cause | issue number', not {line!r}")
        failures.append(KnownFailure(match[1], match[2], int(match[3])))
    if len(failures) > MAX_LINES:
        raise ValueError(f"{path.name}:{MAX_LINES + 1}: expected {MAX_LINES} lines at most")
    if len({failure.test for failure in failures}) < len(failures):
        raise ValueError(f"{path.name}: expected each test once")
    return failures


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    try:
        failures = read(config.rootpath / FILE_NAME)
        known = {item.nodeid: item for item in items}
        files = {item.nodeid.partition("::")[0] for item in items}
        for failure in failures:
            file = failure.test.partition("::")[0]
            # A run of some files doesn't collect the tests of the others, but a listed file must exist.
            if failure.test not in known and (file in files or not (config.rootpath / file).is_file()):
                raise ValueError(f"{FILE_NAME}: expected the id of a test, not {failure.test}")
    except ValueError as exc:
        raise pytest.UsageError(str(exc)) from None
    for failure in failures:
        if failure.test in known:
            known[failure.test].add_marker(
                pytest.mark.xfail(reason=f"known red: {failure.cause}", strict=False)
            )
    config.stash[_FAILURES] = failures


_FAILURES = pytest.StashKey[list[KnownFailure]]()


def pytest_terminal_summary(terminalreporter, config):
    ended = {
        report.nodeid: way for way in ("xfailed", "xpassed") for report in terminalreporter.stats.get(way, [])
    }
    for failure in config.stash.get(_FAILURES, []):
        if ended.get(failure.test) == "xfailed":
            terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")
        elif ended.get(failure.test) == "xpassed":
            terminalreporter.write_line(f"known red passes: {failure.test}: take its line out of {FILE_NAME}")
