"""Builds the types of `types.py` from the blocks of a file, and checks what concerns several blocks.

All mistakes are collected and reported at once.
"""

from __future__ import annotations

import types
import typing
from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar, Union

import msgspec

from pulleyroute.config.problems import InvalidConfig, Problem
from pulleyroute.config.tree import Attribute, Block, parse
from pulleyroute.config.types import Config, ConfigBlock, ValueParser
from pulleyroute.grpc.routes import Match, Routes

# Keys whose field has another name, because the key is a keyword of Python.
_FIELD_OF_KEY = {"class": "job_class"}
_KEY_OF_FIELD = {field: key for key, field in _FIELD_OF_KEY.items()}
_TYPE_TEXTS = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}

LineNumbers = dict[tuple[int, str], int]
BlockT = TypeVar("BlockT", bound=ConfigBlock)


def load(path: str | Path) -> Config:
    """Return the configuration in a file; raises `InvalidConfig`, which lists every mistake with its line."""
    return read(path, Config)


def read(path: str | Path, kind: type[BlockT]) -> BlockT:
    """Return the blocks of a file as one object of type `kind`; raises `InvalidConfig`."""
    file = str(path)
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise InvalidConfig(
            [Problem(file, 1, "file", "a readable file", (exc.strerror or "error").lower())]
        ) from None
    except UnicodeDecodeError:
        raise InvalidConfig([Problem(file, 1, "file", "UTF-8 text", "something else")]) from None
    reader = _ConfigReader(file)
    built_file = reader.build_block(parse(text, file), kind, "")
    if isinstance(built_file, Config):
        reader.check_references(built_file)
    if reader.problems or not isinstance(built_file, kind):
        raise InvalidConfig(reader.problems)
    return built_file


class _ConfigReader:
    """Builds objects from the blocks of one file, and collects the mistakes in them."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self._lines: LineNumbers = {}  # by the id of a built object and the key; "" for the object itself

    def report(self, line: int, key: str, expected: str, found: str = "", near: str = "") -> None:
        self.problems.append(Problem(self.file, line, key, expected, found, near))

    def build_block(self, block: Block, kind: type[ConfigBlock], path: str) -> ConfigBlock | None:
        """Return one block as an object; None if it contains a mistake."""
        problems_before = len(self.problems)
        hints = typing.get_type_hints(kind, include_extras=True)
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        known_keys = [_KEY_OF_FIELD.get(name, name) for name in fields if name != "name" or not block.labels]
        values: dict[str, Any] = {}
        lines: dict[str, int] = {}
        children: dict[str, list[Block]] = {}
        for attribute in block.attributes:
            name = _FIELD_OF_KEY.get(attribute.key, attribute.key)
            if attribute.key not in known_keys:
                self._report_unknown_key(attribute.key, attribute.line, path, known_keys)
            elif _has_blocks(hints[name]) and not _is_plain_map(hints[name]):
                self.report(
                    attribute.line, path + attribute.key, f"a block: {attribute.key} {{ ... }}", "a value"
                )
            else:
                lines[name] = attribute.line
                self._read_value(attribute, hints[name], path, values, name)
        for child in block.blocks:
            name = _FIELD_OF_KEY.get(child.kind, child.kind)
            if child.kind not in known_keys:
                self._report_unknown_key(child.kind, child.line, path, known_keys)
            elif not _has_blocks(hints[name]):
                self.report(child.line, path + child.kind, f"a value: {child.kind} = ...", "a block")
            else:
                children.setdefault(name, []).append(child)
                lines.setdefault(name, child.line)
        for name, blocks in children.items():
            self._build_children(blocks, hints[name], path, values, name)
        for name, field in fields.items():
            if field.required and name not in values and name not in lines:
                missing_key = _KEY_OF_FIELD.get(name, name)
                expected = "at least one block of it" if _has_blocks(hints[name]) else "a value"
                self.report(block.line, path + missing_key, expected, "none")
        if len(self.problems) > problems_before:
            return None
        if block.labels:
            values["name"] = block.labels[0]
        built = kind(**values)
        self._lines[id(built), ""] = block.line
        for name, line in lines.items():
            self._lines[id(built), name] = line
        return built

    def _report_unknown_key(self, key: str, line: int, path: str, known: list[str]) -> None:
        matches = get_close_matches(key, known, 1)
        self.report(line, path + key, "a known key", "an unknown one", matches[0] if matches else "")

    def _read_value(
        self, attribute: Attribute, hint: Any, path: str, values: dict[str, Any], name: str
    ) -> None:
        value_parser = next(
            (each for each in getattr(hint, "__metadata__", ()) if isinstance(each, ValueParser)), None
        )
        try:
            if value_parser is not None:
                values[name] = value_parser.parse(attribute.value)
            else:
                values[name] = msgspec.convert(attribute.value, hint)
        except msgspec.ValidationError as exc:
            self.report(
                attribute.line, path + attribute.key, _expected(hint, str(exc)), repr(attribute.value)
            )
        except ValueError as exc:
            assert value_parser is not None
            detail = f" ({exc})" if str(exc).startswith("at least") else ""
            self.report(
                attribute.line, path + attribute.key, value_parser.expected + detail, repr(attribute.value)
            )

    def _build_children(
        self, blocks: list[Block], hint: Any, path: str, values: dict[str, Any], name: str
    ) -> None:
        kind = _block_type(hint)
        if typing.get_origin(hint) is dict:
            by_name: dict[str, Any] = {}
            if kind is None:  # plain values under names
                for block in blocks:
                    by_name.update({each.key: each.value for each in block.attributes})
                try:
                    values[name] = msgspec.convert(by_name, hint)
                except msgspec.ValidationError as exc:
                    self.report(blocks[0].line, path + blocks[0].kind, "strings", str(exc))
                return
            for block in blocks:
                where = path + block.kind
                if len(block.labels) != 1:
                    self.report(
                        block.line,
                        where,
                        f'one name: {block.kind} "name" {{ ... }}',
                        f"{len(block.labels)} names",
                    )
                    continue
                label = block.labels[0]
                if label in by_name:
                    self.report(block.line, f"{where}.{label}", "each name once", "a second one")
                by_name[label] = self.build_block(block, kind, f"{where}.{label}.")
            values[name] = by_name
            return
        assert kind is not None
        if len(blocks) > 1:
            self.report(blocks[1].line, path + blocks[1].kind, "one block of it", f"{len(blocks)}")
        values[name] = self.build_block(blocks[0], kind, f"{path}{blocks[0].kind}.")

    # Checks that concern several keys or blocks

    def line_of(self, built: object, key: str) -> int:
        """Return the line of a key in the file; that of the block if the key is not written there."""
        return self._lines.get((id(built), key)) or self._lines.get((id(built), "")) or 1

    def check_references(self, config: Config) -> None:
        """Check that names refer to existing blocks, and that related values are consistent."""
        if not config.listener:
            self.report(1, "listener", "at least one", "none")
        listener_by_address: dict[tuple[str, int], str] = {}
        for name, listener in config.listener.items():
            path = f"listener.{name}"
            if listener.address in listener_by_address and listener.address[1]:
                self.report(
                    self.line_of(listener, "address"),
                    f"{path}.address",
                    "an address that no other listener has",
                    f"that of listener {listener_by_address[listener.address]!r}",
                )
            listener_by_address[listener.address] = name
            if listener.protocol == "jobs":
                pool = config.pool.get(listener.pool)
                if pool is None or pool.protocol != "jobs":
                    names = [
                        other for other, candidate in config.pool.items() if candidate.protocol == "jobs"
                    ]
                    self._report_unknown_name(
                        self.line_of(listener, "pool"), f"{path}.pool", "a pool of jobs", listener.pool, names
                    )
                if listener.tls is not None:
                    self.report(
                        self.line_of(listener, "tls"),
                        f"{path}.tls",
                        "protocol grpc, which tls requires",
                        "protocol jobs",
                    )
            elif listener.pool:
                self.report(
                    self.line_of(listener, "pool"),
                    f"{path}.pool",
                    "no pool, because routes select the pools of grpc calls",
                    "a pool",
                )
        for name, pool in config.pool.items():
            path = f"pool.{name}"
            if pool.discovery is None and not pool.instance:
                self.report(self.line_of(pool, ""), path, "discovery or an instance", "neither")
            if pool.discovery is not None and pool.instance:
                self.report(
                    self.line_of(pool, "instance"),
                    f"{path}.instance",
                    "either discovery or instances",
                    "both",
                )
            if pool.number >= pool.dispatchers:
                self.report(
                    self.line_of(pool, "number"), f"{path}.number", "less than dispatchers", str(pool.number)
                )
        for name, each in config.job_class.items():
            if each.give_up < each.aim:
                self.report(
                    self.line_of(each, "give_up"),
                    f"class.{name}.give_up",
                    "at least aim",
                    f"{each.give_up} us",
                )
            if each.effect != "keyed" and each.repeat_window:
                self.report(
                    self.line_of(each, "repeat_window"),
                    f"class.{name}.repeat_window",
                    "effect keyed, which repeat_window requires",
                    f"effect {each.effect}",
                )
        if config.fleet is not None and config.fleet.lease % 1_000_000:
            self.report(
                self.line_of(config.fleet, "lease"),
                "fleet.lease",
                "whole seconds",
                f"{config.fleet.lease} us",
            )
        self._check_routes(config)

    def _check_routes(self, config: Config) -> None:
        seen: list[tuple[Match, str]] = []
        for name, route in config.route.items():
            path = f"route.{name}"
            pool = config.pool.get(route.pool)
            if pool is None or pool.protocol != "grpc":
                names = [other for other, candidate in config.pool.items() if candidate.protocol == "grpc"]
                self._report_unknown_name(
                    self.line_of(route, "pool"), f"{path}.pool", "a pool of grpc", route.pool, names
                )
            if route.job_class not in config.job_class:
                self._report_unknown_name(
                    self.line_of(route, "job_class"),
                    f"{path}.class",
                    "a class",
                    route.job_class,
                    list(config.job_class),
                )
            match = Match(route.service, route.method, route.prefix)
            problem = match.problem()
            if problem is None:
                try:
                    Routes([*seen, (match, name)])
                    seen.append((match, name))
                except ValueError as exc:
                    problem = f"{exc}"
            if problem is not None:
                self.report(
                    self.line_of(route, ""),
                    path,
                    "service, service and method, or prefix, each once",
                    problem,
                )
        if not config.route and any(each.protocol == "grpc" for each in config.listener.values()):
            self.report(1, "route", "at least one, because a listener has protocol grpc", "none")

    def _report_unknown_name(self, line: int, key: str, expected: str, found: str, names: list[str]) -> None:
        matches = get_close_matches(found, names, 1)
        self.report(line, key, expected, repr(found) if found else "none", matches[0] if matches else "")


def _block_type(hint: Any) -> type[ConfigBlock] | None:
    """Return the type of the blocks that a field takes; None if it takes none, or a map of plain values."""
    for each in (hint, *typing.get_args(hint)):
        if isinstance(each, type) and issubclass(each, ConfigBlock):
            return each
    return None


def _has_blocks(hint: Any) -> bool:
    """Whether a field is written as a block in the file, not as a key with a value."""
    return _block_type(hint) is not None or typing.get_origin(hint) is dict


def _is_plain_map(hint: Any) -> bool:
    """Whether a field is a block whose keys are not fixed, such as `report`."""
    return typing.get_origin(hint) is dict and _block_type(hint) is None


def _expected(hint: Any, message: str) -> str:
    """Return a description of the valid values; `message` is the error of msgspec, which has the limit."""
    while typing.get_origin(hint) is typing.Annotated:
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) is typing.Literal:
        return "one of " + ", ".join(repr(each) for each in typing.get_args(hint))
    if typing.get_origin(hint) in (Union, types.UnionType):
        inner = [each for each in typing.get_args(hint) if each is not type(None)]
        return _expected(inner[0], message)
    words = _TYPE_TEXTS.get(hint, "another value") if isinstance(hint, type) else "another value"
    for bound in (">= ", "<= ", "> ", "length >= ", "length <= "):
        if f" {bound}" in message:
            return f"{words} {bound}{message.rsplit(bound, 1)[1].split(' ')[0].rstrip('`')}"
    return words
