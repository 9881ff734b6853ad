"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet, three at most.

One line each: `test id | cause | issue`. Such a test still runs. Its failure is printed with its cause and
does not fail the run; when it passes, that is printed, and its line is to go. Whatever else the file holds
ends the run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
_LINE = re.compile(r"(\S+\.py::[^|]*\S) \| ([^|]*[^|\s]) \| (\d+)")


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: int


def read(path: Path) -> list[Red]:
    """What the file lists, nothing where there is no file; raises ValueError on what is not in form."""
    reds: list[Red] = []
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        match = _LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"{path.name}:{number}: expected 'test id | cause | issue number', not {line!r}")
        reds.append(Red(match[1], match[2], int(match[3])))
    if len(reds) > MOST:
        raise ValueError(f"{path.name}:{MOST + 1}: expected {MOST} lines at most")
    if len({red.test for red in reds}) < len(reds):
        raise ValueError(f"{path.name}: expected each test once")
    return reds


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    try:
        reds = read(config.rootpath / NAME)
        known = {item.nodeid: item for item in items}
        files = {item.nodeid.partition("::")[0] for item in items}
        for red in reds:
            file = red.test.partition("::")[0]
            # Of a run of some files, an id of another file can't be told; that file has to be there at least.
            if red.test not in known and (file in files or not (config.rootpath / file).is_file()):
                raise ValueError(f"{NAME}: expected the id of a test, not {red.test}")
    except ValueError as exc:
        raise pytest.UsageError(str(exc)) from None
    for red in reds:
        if red.test in known:
            known[red.test].add_marker(pytest.mark.xfail(reason=f"known red: {red.cause}", strict=False))
    config.stash[_REDS] = reds


_REDS = pytest.StashKey[list[Red]]()


def pytest_terminal_summary(terminalreporter, config):
    ended = {
        report.nodeid: way for way in ("xfailed", "xpassed") for report in terminalreporter.stats.get(way, [])
    }
    for red in config.stash.get(_REDS, []):
        if ended.get(red.test) == "xfailed":
            terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")
        elif ended.get(red.test) == "xpassed":
            terminalreporter.write_line(f"known red passes: {red.test}: take its line out of {NAME}")
