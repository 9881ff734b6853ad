"""HCL text to plain blocks with their lines: python-hcl2 parses, this keeps what a message to a person needs.

Only literal values are taken: a configuration that computes is one that a person can't check by reading it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

from pulleyroute.config.problems import InvalidConfig, Problem


@dataclass(slots=True)
class Attribute:
    """A key with its value as plain Python; `line` is the key's."""

    key: str
    value: Any
    line: int


@dataclass(slots=True)
class Block:
    """A block: its kind, its labels, and what stands in it."""

    kind: str
    labels: list[str]
    line: int
    attributes: list[Attribute] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


class _NotLiteral(Exception):
    pass


def parse(text: str, file: str) -> Block:
    """The file as one block without a name; raises `InvalidConfig`."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedEOF:
        raise InvalidConfig(
            [Problem(file, text.count("\n") + 1, "syntax", "more: the file ends too early")]
        ) from None
    except UnexpectedInput as exc:
        line = exc.line if isinstance(exc.line, int) and exc.line > 0 else 1
        found = "a character that cannot stand here"
        if not isinstance(exc, UnexpectedCharacters):
            token = getattr(exc, "token", None)
            ends = token is None or token.type == "$END"
            found = "the end of the file" if ends else repr(str(token).strip() or "the end of the line")
        raise InvalidConfig(
            [Problem(file, line, "syntax", 'HCL: `key = value` or `kind "name" { ... }`', found)]
        ) from None
    problems: list[Problem] = []
    root = Block("", [], 1)
    _fill(root, tree.children[0], file, "", problems)
    if problems:
        raise InvalidConfig(problems)
    return root


def _fill(into: Block, body: Tree[Token], file: str, path: str, problems: list[Problem]) -> None:
    for node in body.children:
        if not isinstance(node, Tree):
            continue
        if node.data == "attribute":
            name = _first(node)
            key = f"{path}{name}"
            if any(each.key == str(name) for each in into.attributes):
                problems.append(Problem(file, _line(name), key, "each key once", "it again"))
            try:
                into.attributes.append(Attribute(str(name), _value(node.children[-1]), _line(name)))
            except _NotLiteral as exc:
                problems.append(Problem(file, _line(name), key, "a literal value", str(exc)))
        elif node.data == "block":
            name = _first(node)
            labels = [_label(each) for each in node.children[1:] if _is(each, "string", "identifier")]
            block = Block(str(name), labels, _line(name))
            into.blocks.append(block)
            inner = [each for each in node.children if _is(each, "body")]
            if inner:
                where = ".".join([str(name), *labels])
                _fill(block, inner[0], file, f"{path}{where}.", problems)  # type: ignore[arg-type]


def _is(node: object, *kinds: str) -> bool:
    return isinstance(node, Tree) and node.data in kinds


def _first(node: Tree[Token]) -> Token:
    return next(node.scan_values(lambda value: isinstance(value, Token)))


def _line(token: Token) -> int:
    return token.line or 1


def _label(node: Any) -> str:
    return _text(node) if node.data == "string" else str(_first(node))


def _text(node: Tree[Token]) -> str:
    """A quoted string with its escapes read."""
    parts: list[str] = []
    for part in node.children:
        if isinstance(part, Tree):
            if any(not isinstance(each, Token) or each.type != "STRING_CHARS" for each in part.children):
                raise _NotLiteral("a template")
            parts.extend(str(each) for each in part.children)
    text = "".join(parts)
    try:
        return str(json.loads(f'"{text}"'))
    except ValueError:
        raise _NotLiteral(f"a string with an escape that is none: {text!r}") from None


def _value(node: Any) -> Any:
    if isinstance(node, Token):
        return _word(str(node))
    kind = node.data
    children = [each for each in node.children if not _is(each, "new_line_or_comment")]
    if kind in ("expr_term", "string_part") and len(children) == 1:
        return _value(children[0])
    if kind == "string":
        return _text(node)
    if kind in ("int_lit", "float_lit"):
        text = "".join(str(each) for each in node.scan_values(lambda value: True))
        return int(text) if kind == "int_lit" else float(text)
    if kind == "unary_op" and str(children[0]) == "-":
        value = _value(children[1])
        if isinstance(value, int | float):
            return -value
    if kind == "tuple":
        return [_value(each) for each in children if isinstance(each, Tree)]
    if kind in ("keyword", "identifier") or all(isinstance(each, Token) for each in children):
        return _word("".join(str(each) for each in children))
    raise _NotLiteral(f"an expression ({kind})")


def _word(text: str) -> Any:
    words = {"true": True, "false": False, "null": None}
    if text.strip() in words:
        return words[text.strip()]
    raise _NotLiteral(f"{text.strip()!r} without quotes")
