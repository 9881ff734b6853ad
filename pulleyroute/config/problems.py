"""Mistakes in a configuration, as a person reads them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Problem:
    """One mistake. `line` counts from 1; `key` is the path of names to it, joined by dots."""

    file: str
    line: int
    key: str
    expected: str
    found: str = ""
    near: str = ""  # a key that may have been meant

    def __str__(self) -> str:
        text = f"{self.file}:{self.line}: {self.key}: expected {self.expected}"
        if self.found:
            text += f", found {self.found}"
        if self.near:
            text += f"; did you mean {self.near!r}?"
        return text


class InvalidConfig(Exception):
    """A configuration that can't be used, with all its mistakes in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.line, problem.key))
        super().__init__("\n".join(str(problem) for problem in self.problems))
