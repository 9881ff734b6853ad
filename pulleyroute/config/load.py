"""A file's blocks into the types of `types.py`, and the checks that go across them. All mistakes are told at
once."""

from __future__ import annotations

import types
import typing
from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar, Union

import msgspec

from pulleyroute.config.problems import InvalidConfig, Problem
from pulleyroute.config.tree import Attribute, Block, parse
from pulleyroute.config.types import Config, Reader, Strict
from pulleyroute.grpc.routes import Match, Routes

# Where a name in the file is a word of the language it is kept under.
_NAMES = {"class": "job_class"}
_SHOWN = {kept: shown for shown, kept in _NAMES.items()}
_EXPECTED = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}

Lines = dict[tuple[int, str], int]
S = TypeVar("S", bound=Strict)


def load(path: str | Path) -> Config:
    """The configuration in a file; raises `InvalidConfig`, which names every mistake with its line."""
    return read(path, Config)


def read(path: str | Path, kind: type[S]) -> S:
    """A file's blocks as one object of a kind; raises `InvalidConfig`."""
    file = str(path)
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise InvalidConfig(
            [Problem(file, 1, "file", "a readable file", (exc.strerror or "error").lower())]
        ) from None
    except UnicodeDecodeError:
        raise InvalidConfig([Problem(file, 1, "file", "UTF-8 text", "something else")]) from None
    reading = _Reading(file)
    whole = reading.block(parse(text, file), kind, "")
    if isinstance(whole, Config):
        reading.across(whole)
    if reading.problems or not isinstance(whole, kind):
        raise InvalidConfig(reading.problems)
    return whole


class _Reading:
    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.lines: Lines = {}  # of a built object's keys, by its id; "" for the object itself

    def tell(self, line: int, key: str, expected: str, found: str = "", near: str = "") -> None:
        self.problems.append(Problem(self.file, line, key, expected, found, near))

    def block(self, block: Block, kind: type[Strict], path: str) -> Strict | None:
        """One block as one object; None where something in it could not be read."""
        before = len(self.problems)
        hints = typing.get_type_hints(kind, include_extras=True)
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        shown = [_SHOWN.get(name, name) for name in fields if name != "name" or not block.labels]
        values: dict[str, Any] = {}
        lines: dict[str, int] = {}
        inner: dict[str, list[Block]] = {}
        for attribute in block.attributes:
            name = _NAMES.get(attribute.key, attribute.key)
            if attribute.key not in shown:
                self._unknown(attribute.key, attribute.line, path, shown)
            elif _holds_blocks(hints[name]) and not _plain_map(hints[name]):
                self.tell(
                    attribute.line, path + attribute.key, f"a block: {attribute.key} {{ ... }}", "a value"
                )
            else:
                lines[name] = attribute.line
                self._value(attribute, hints[name], path, values, name)
        for child in block.blocks:
            name = _NAMES.get(child.kind, child.kind)
            if child.kind not in shown:
                self._unknown(child.kind, child.line, path, shown)
            elif not _holds_blocks(hints[name]):
                self.tell(child.line, path + child.kind, f"a value: {child.kind} = ...", "a block")
            else:
                inner.setdefault(name, []).append(child)
                lines.setdefault(name, child.line)
        for name, blocks in inner.items():
            self._inner(blocks, hints[name], path, values, name)
        for name, field in fields.items():
            if field.required and name not in values and name not in lines:
                what = _SHOWN.get(name, name)
                kind_of = "at least one block of it" if _holds_blocks(hints[name]) else "a value"
                self.tell(block.line, path + what, kind_of, "none")
        if len(self.problems) > before:
            return None
        if block.labels:
            values["name"] = block.labels[0]
        built = kind(**values)
        self.lines[id(built), ""] = block.line
        for name, line in lines.items():
            self.lines[id(built), name] = line
        return built

    def _unknown(self, key: str, line: int, path: str, known: list[str]) -> None:
        near = get_close_matches(key, known, 1)
        self.tell(line, path + key, "a known key", "an unknown one", near[0] if near else "")

    def _value(self, attribute: Attribute, hint: Any, path: str, values: dict[str, Any], name: str) -> None:
        reader = next((each for each in getattr(hint, "__metadata__", ()) if isinstance(each, Reader)), None)
        try:
            if reader is not None:
                values[name] = reader.read(attribute.value)
            else:
                values[name] = msgspec.convert(attribute.value, hint)
        except msgspec.ValidationError as exc:
            self.tell(attribute.line, path + attribute.key, _expected(hint, str(exc)), repr(attribute.value))
        except ValueError as exc:
            assert reader is not None
            more = f" ({exc})" if str(exc).startswith("at least") else ""
            self.tell(attribute.line, path + attribute.key, reader.expected + more, repr(attribute.value))

    def _inner(self, blocks: list[Block], hint: Any, path: str, values: dict[str, Any], name: str) -> None:
        kind = _struct(hint)
        if typing.get_origin(hint) is dict:
            many: dict[str, Any] = {}
            if kind is None:  # plain values under names
                for block in blocks:
                    many.update({each.key: each.value for each in block.attributes})
                try:
                    values[name] = msgspec.convert(many, hint)
                except msgspec.ValidationError as exc:
                    self.tell(blocks[0].line, path + blocks[0].kind, "texts", str(exc))
                return
            for block in blocks:
                where = path + block.kind
                if len(block.labels) != 1:
                    self.tell(
                        block.line,
                        where,
                        f'one name: {block.kind} "name" {{ ... }}',
                        f"{len(block.labels)} names",
                    )
                    continue
                label = block.labels[0]
                if label in many:
                    self.tell(block.line, f"{where}.{label}", "each name once", "it again")
                many[label] = self.block(block, kind, f"{where}.{label}.")
            values[name] = many
            return
        assert kind is not None
        if len(blocks) > 1:
            self.tell(blocks[1].line, path + blocks[1].kind, "one block of it", f"{len(blocks)}")
        values[name] = self.block(blocks[0], kind, f"{path}{blocks[0].kind}.")

    # What goes across blocks

    def line(self, of: object, key: str) -> int:
        return self.lines.get((id(of), key)) or self.lines.get((id(of), "")) or 1

    def across(self, config: Config) -> None:
        """Names that must exist, and what must agree."""
        if not config.listener:
            self.tell(1, "listener", "at least one", "none")
        taken: dict[tuple[str, int], str] = {}
        for name, listener in config.listener.items():
            path = f"listener.{name}"
            if listener.address in taken and listener.address[1]:
                self.tell(
                    self.line(listener, "address"),
                    f"{path}.address",
                    "an address of its own",
                    f"that of listener {taken[listener.address]!r}",
                )
            taken[listener.address] = name
            if listener.protocol == "jobs":
                pool = config.pool.get(listener.pool)
                if pool is None or pool.protocol != "jobs":
                    names = [each for each, kept in config.pool.items() if kept.protocol == "jobs"]
                    self._no_name(
                        self.line(listener, "pool"), f"{path}.pool", "a pool of jobs", listener.pool, names
                    )
                if listener.tls is not None:
                    self.tell(
                        self.line(listener, "tls"), f"{path}.tls", "protocol grpc with it", "protocol jobs"
                    )
            elif listener.pool:
                self.tell(
                    self.line(listener, "pool"), f"{path}.pool", "routes to say where calls go", "a pool"
                )
        for name, pool in config.pool.items():
            path = f"pool.{name}"
            if pool.discovery is None and not pool.instance:
                self.tell(self.line(pool, ""), path, "discovery or an instance", "neither")
            if pool.discovery is not None and pool.instance:
                self.tell(
                    self.line(pool, "instance"), f"{path}.instance", "either discovery or instances", "both"
                )
            if pool.number >= pool.dispatchers:
                self.tell(
                    self.line(pool, "number"), f"{path}.number", "less than dispatchers", str(pool.number)
                )
        for name, each in config.job_class.items():
            if each.give_up < each.aim:
                self.tell(
                    self.line(each, "give_up"), f"class.{name}.give_up", "at least aim", f"{each.give_up} us"
                )
            if each.effect != "keyed" and each.repeat_window:
                self.tell(
                    self.line(each, "repeat_window"),
                    f"class.{name}.repeat_window",
                    "effect keyed with it",
                    f"effect {each.effect}",
                )
        if config.fleet is not None and config.fleet.lease % 1_000_000:
            self.tell(
                self.line(config.fleet, "lease"), "fleet.lease", "whole seconds", f"{config.fleet.lease} us"
            )
        self._routes(config)

    def _routes(self, config: Config) -> None:
        seen: list[tuple[Match, str]] = []
        for name, route in config.route.items():
            path = f"route.{name}"
            pool = config.pool.get(route.pool)
            if pool is None or pool.protocol != "grpc":
                names = [each for each, kept in config.pool.items() if kept.protocol == "grpc"]
                self._no_name(self.line(route, "pool"), f"{path}.pool", "a pool of grpc", route.pool, names)
            if route.job_class not in config.job_class:
                self._no_name(
                    self.line(route, "job_class"),
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
                    problem = f"found {exc}"
            if problem is not None:
                self.tell(
                    self.line(route, ""), path, "service, service and method, or prefix, each once", problem
                )
        if not config.route and any(each.protocol == "grpc" for each in config.listener.values()):
            self.tell(1, "route", "at least one for the listeners of grpc", "none")

    def _no_name(self, line: int, key: str, expected: str, found: str, names: list[str]) -> None:
        near = get_close_matches(found, names, 1)
        self.tell(line, key, expected, repr(found) if found else "none", near[0] if near else "")


def _struct(hint: Any) -> type[Strict] | None:
    """The type of block that a field holds, if it holds blocks."""
    for each in (hint, *typing.get_args(hint)):
        if isinstance(each, type) and issubclass(each, Strict):
            return each
    return None


def _holds_blocks(hint: Any) -> bool:
    return _struct(hint) is not None or typing.get_origin(hint) is dict


def _plain_map(hint: Any) -> bool:
    return typing.get_origin(hint) is dict and _struct(hint) is None


def _expected(hint: Any, said: str) -> str:
    """What a value should be, in a person's words."""
    while typing.get_origin(hint) is typing.Annotated:
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) is typing.Literal:
        return "one of " + ", ".join(repr(each) for each in typing.get_args(hint))
    if typing.get_origin(hint) in (Union, types.UnionType):
        inner = [each for each in typing.get_args(hint) if each is not type(None)]
        return _expected(inner[0], said)
    words = _EXPECTED.get(hint, "another value") if isinstance(hint, type) else "another value"
    for mark in (">= ", "<= ", "> ", "length >= ", "length <= "):
        if f" {mark}" in said:
            return f"{words} {mark}{said.rsplit(mark, 1)[1].split(' ')[0].rstrip('`')}"
    return words
