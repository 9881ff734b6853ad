"""Converts HCL text to blocks of plain values, with the line numbers that error messages need.

python-hcl2 parses the text. Only literal values are accepted, because a person cannot check a configuration
with computed values by reading it.
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
    """A key and its value as a plain Python object; `line` is that of the key."""

    key: str
    value: Any
    line: int


@dataclass(slots=True)
class Block:
    """A block: its type (`kind`), its labels and its content."""

    kind: str
    labels: list[str]
    line: int
    attributes: list[Attribute] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


class _NotALiteral(Exception):
    """Raised for a value that is not a literal; the text describes what it is instead."""


def parse(text: str, file: str) -> Block:
    """Return the content of a file as one unnamed block; raises `InvalidConfig`."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedEOF:
        raise InvalidConfig(
            [Problem(file, text.count("\n") + 1, "syntax", "more: the file ends too early")]
        ) from None
    except UnexpectedInput as exc:
        line = exc.line if isinstance(exc.line, int) and exc.line > 0 else 1
        found = "a character that is not allowed here"
        if not isinstance(exc, UnexpectedCharacters):
            token = getattr(exc, "token", None)
            at_end = token is None or token.type == "$END"
            found = "the end of the file" if at_end else repr(str(token).strip() or "the end of the line")
        raise InvalidConfig(
            [Problem(file, line, "syntax", 'HCL: `key = value` or `kind "name" { ... }`', found)]
        ) from None
    problems: list[Problem] = []
    root = Block("", [], 1)
    _fill_block(root, tree.children[0], file, "", problems)
    if problems:
        raise InvalidConfig(problems)
    return root


def _fill_block(parent: Block, body: Tree[Token], file: str, path: str, problems: list[Problem]) -> None:
    for node in body.children:
        if not isinstance(node, Tree):
            continue
        if node.data == "attribute":
            name = _first_token(node)
            key = f"{path}{name}"
            if any(each.key == str(name) for each in parent.attributes):
                problems.append(Problem(file, _line_of(name), key, "each key once", "a second one"))
            try:
                parent.attributes.append(
                    Attribute(str(name), _literal_value(node.children[-1]), _line_of(name))
                )
            except _NotALiteral as exc:
                problems.append(Problem(file, _line_of(name), key, "a literal value", str(exc)))
        elif node.data == "block":
            name = _first_token(node)
            labels = [
                _label_text(each) for each in node.children[1:] if _is_node(each, "string", "identifier")
            ]
            block = Block(str(name), labels, _line_of(name))
            parent.blocks.append(block)
            bodies = [each for each in node.children if _is_node(each, "body")]
            if bodies:
                where = ".".join([str(name), *labels])
                _fill_block(block, bodies[0], file, f"{path}{where}.", problems)  # type: ignore[arg-type]


def _is_node(node: object, *kinds: str) -> bool:
    return isinstance(node, Tree) and node.data in kinds


def _first_token(node: Tree[Token]) -> Token:
    return next(node.scan_values(lambda value: isinstance(value, Token)))


def _line_of(token: Token) -> int:
    return token.line or 1


def _label_text(node: Any) -> str:
    return _string_text(node) if node.data == "string" else str(_first_token(node))


def _string_text(node: Tree[Token]) -> str:
    """Return the text of a quoted string, with its escape sequences resolved."""
    parts: list[str] = []
    for part in node.children:
        if isinstance(part, Tree):
            if any(not isinstance(each, Token) or each.type != "STRING_CHARS" for each in part.children):
                raise _NotALiteral("a template")
            parts.extend(str(each) for each in part.children)
    text = "".join(parts)
    try:
        return str(json.loads(f'"{text}"'))
    except ValueError:
        raise _NotALiteral(f"a string with an invalid escape sequence: {text!r}") from None


def _literal_value(node: Any) -> Any:
    if isinstance(node, Token):
        return _keyword_value(str(node))
    kind = node.data
    children = [each for each in node.children if not _is_node(each, "new_line_or_comment")]
    if kind in ("expr_term", "string_part") and len(children) == 1:
        return _literal_value(children[0])
    if kind == "string":
        return _string_text(node)
    if kind in ("int_lit", "float_lit"):
        text = "".join(str(each) for each in node.scan_values(lambda value: True))
        return int(text) if kind == "int_lit" else float(text)
    if kind == "unary_op" and str(children[0]) == "-":
        value = _literal_value(children[1])
        if isinstance(value, int | float):
            return -value
    if kind == "tuple":
        return [_literal_value(each) for each in children if isinstance(each, Tree)]
    if kind in ("keyword", "identifier") or all(isinstance(each, Token) for each in children):
        return _keyword_value("".join(str(each) for each in children))
    raise _NotALiteral(f"an expression ({kind})")


def _keyword_value(text: str) -> Any:
    keywords = {"true": True, "false": False, "null": None}
    if text.strip() in keywords:
        return keywords[text.strip()]
    raise _NotALiteral(f"{text.strip()!r} without quotes")
