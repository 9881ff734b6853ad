"""Each case through the dispatcher, compared with the same case direct: `python -m benchmarks.grpc_matrix`.

A case is one call with grpcio's client to a grpcio instance: kind of call, status, metadata, sizes, deadline,
compression, TLS. Equal means the same code, details, initial and trailing metadata (in order), and messages,
byte for byte. `--write` stores the table in docs/measured/.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc

from benchmarks.fixture import certificates, channel, machine, program
from pulleyroute.emulator import EventLog, GrpcInstance

KINDS = ("Unary", "Gather", "Spread", "Echo")
HOP_METADATA = ("user-agent", "accept-encoding")  # set by grpcio itself on each hop


@dataclass(slots=True, frozen=True)
class Case:
    """One call. `messages` are those that the client sends; `timeout` is in seconds."""

    name: str
    kind: str
    metadata: tuple[tuple[str, str | bytes], ...] = ()
    messages: tuple[bytes, ...] = (b"hello",)
    timeout: float | None = 20.0
    compression: bool = False
    service: str = "test.Unsafe"


@dataclass(slots=True)
class Seen:
    """What a client can observe of a call."""

    code: int
    details: str
    initial: list[tuple[str, Any]]
    trailing: list[tuple[str, Any]]
    messages: list[bytes]


def cases() -> list[Case]:
    """Return all cases, the same in every run."""
    all_cases: list[Case] = []
    for kind in KINDS:
        many = (b"one", b"", b"three" * 10) if kind in ("Gather", "Echo") else (b"hello",)
        all_cases += [
            Case(f"{kind} ok", kind, messages=many),
            Case(f"{kind} initial metadata", kind, (("x-initial", "1"),), many),
            Case(
                f"{kind} repeated and binary metadata",
                kind,
                (("x-a", "1"), ("x-b-bin", b"\x00\x01\xff"), ("x-a", "2"), ("x-c-bin", b"")),
                many,
            ),
            Case(f"{kind} empty message", kind, messages=(b"",)),
            Case(f"{kind} 1 MiB", kind, messages=(b"\x05" * 1024**2,)),
            Case(f"{kind} 4 MiB", kind, messages=(b"\x06" * 4 * 1024**2,)),
            Case(f"{kind} compressed", kind, (("x-compress", "1"),), (b"a" * 10_000,), compression=True),
            Case(f"{kind} no deadline", kind, messages=many, timeout=None),
            Case(f"{kind} deadline over", kind, (("x-wait-ms", "3000"),), many, timeout=0.4),
            Case(f"{kind} unknown method", f"Nothing{kind.lower()}", messages=(b"x",)),
            Case(
                f"{kind} details that need escapes",
                kind,
                (("x-status", "9"), ("x-details", "50% done, a%20b")),
                many,
            ),
            Case(f"{kind} safe class", kind, messages=many, service="test.Safe"),
        ]
        for code in range(1, 17):
            all_cases.append(
                Case(
                    f"{kind} status {code}",
                    kind,
                    (("x-status", str(code)), ("x-details", f"code {code}")),
                    many,
                )
            )
    for code in (2, 5, 13, 14):
        all_cases.append(
            Case(
                f"Spread status {code} after 2 messages",
                "Spread",
                (("x-status", str(code)), ("x-fail-after", "2"), ("x-count", "5")),
            )
        )
        all_cases.append(
            Case(
                f"Echo status {code} after 2 messages",
                "Echo",
                (("x-status", str(code)), ("x-fail-after", "2")),
                (b"1", b"2", b"3", b"4"),
            )
        )
    all_cases.append(Case("Spread 1,000 messages", "Spread", (("x-count", "1000"), ("x-size", "100"))))
    all_cases.append(Case("Echo 1,000 messages", "Echo", messages=tuple(b"%d" % i for i in range(1000))))
    all_cases.append(
        Case("Gather answered early", "Gather", (("x-early", "1"),), tuple(b"x" for _ in range(5)))
    )
    return all_cases


def play(via: grpc.Channel, case: Case) -> Seen:
    """Make one call and wait for its end."""
    path = f"/{case.service}/{case.kind}"
    options: dict[str, Any] = {"timeout": case.timeout, "metadata": case.metadata}
    if case.compression:
        options["compression"] = grpc.Compression.Gzip
    streams_in, streams_out = case.kind in ("Gather", "Echo"), case.kind in ("Spread", "Echo")
    request: Any = iter(case.messages) if streams_in else case.messages[0]
    messages: list[bytes] = []
    call: Any
    try:
        if streams_out:
            make = via.stream_stream if streams_in else via.unary_stream
            call = make(path)(request, **options)
            messages.extend(call)
        elif streams_in:
            message, call = via.stream_unary(path).with_call(request, **options)
            messages.append(message)
        else:
            message, call = via.unary_unary(path).with_call(request, **options)
            messages.append(message)
    except grpc.RpcError as exc:
        call = exc
    return Seen(
        call.code().value[0],
        call.details() or "",
        _without_hop_metadata(call.initial_metadata()),
        _without_hop_metadata(call.trailing_metadata()),
        messages,
    )


def _without_hop_metadata(metadata: Any) -> list[tuple[str, Any]]:
    return [(key, value) for key, value in metadata or () if key not in HOP_METADATA]


def differences(direct: Seen, through: Seen, case: Case) -> list[str]:
    """Return what a client could distinguish; empty if the two calls are equal."""
    differing = []
    # If the deadline ends a call, the details come from grpcio or from the dispatcher, and its progress
    # depends on timing; only the code is compared.
    deadline_over = case.name.endswith("deadline over")
    for name in ("code", "details", "initial", "trailing", "messages"):
        a, b = getattr(direct, name), getattr(through, name)
        if a != b and not (deadline_over and name != "code"):
            differing.append(f"{name}: direct {str(a)[:80]}, through {str(b)[:80]}")
    return differing


def compare(tls: bool, folder: Path) -> Iterator[tuple[Case, list[str]]]:
    """Yield each case with its differences.

    All cases share one instance, one program, and one channel to each of the two.
    """
    files = certificates(folder) if tls else None
    credentials = None
    if files is not None:
        credentials = grpc.ssl_server_credentials([(files.key.read_bytes(), files.certificate.read_bytes())])
    instance = GrpcInstance("box", EventLog(), credentials=credentials)
    try:
        with (
            program(folder, {"box": instance.address}, files) as started,
            channel(instance.address, files) as direct,
            channel(started.address, files) as through,
        ):
            for case in cases():
                yield case, differences(play(direct, case), play(through, case), case)
    finally:
        instance.stop()


def main() -> int:
    lines = [
        "# gRPC through the dispatcher beside gRPC direct",
        "",
        "Command: `python -m benchmarks.grpc_matrix --write`: a grpcio box, grpcio's client.",
        f"Run on: {machine()}.",
        "",
    ]
    rows, unequal, count = [], 0, 0
    with tempfile.TemporaryDirectory() as folder:
        for tls in (False, True):
            for case, found in compare(tls, Path(folder)):
                count += 1
                unequal += bool(found)
                name = f"{case.name}{', TLS' if tls else ''}"
                rows.append(f"| {name} | {'; '.join(found) if found else 'equal'} |")
                if found:
                    print(name, found)
    lines += [
        f"{count} cases, none skipped: {count - unequal} equal, {unequal} not.",
        "",
        "| case | result |",
        "| --- | --- |",
        *rows,
    ]
    print(lines[5])
    if "--write" in sys.argv:
        path = Path("docs/measured/grpc-matrix.md")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("\n".join(lines) + "\n")
    return 1 if unequal else 0


if __name__ == "__main__":
    sys.exit(main())
