"""The mistakes found in a configuration, and the text that reports them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Problem:
    """One mistake. `line` counts from 1; `key` is the path of block and key names, joined by dots."""

    file: str
    line: int
    key: str
    expected: str
    found: str = ""
    near: str = ""  # the known name that is most similar to the one in the file, if any

    def __str__(self) -> str:
        text = f"{self.file}:{self.line}: {self.key}: expected {self.expected}"
        if self.found:
            text += f", found {self.found}"
        if self.near:
            text += f"; did you mean {self.near!r}?"
        return text


class InvalidConfig(Exception):
    """Raised for a configuration that cannot be used; holds all its mistakes in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.line, problem.key))
        super().__init__("\n".join(str(problem) for problem in self.problems))
