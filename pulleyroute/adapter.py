"""Runs many dispatchers for the simulator: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from pulleyroute.interface import Event
from pulleyroute.rules import Dispatcher
from pulleyroute.wire import (
    BATCH_HEADER,
    REPLY_HEADER,
    Begin,
    Decoder,
    Halt,
    WireError,
    encode,
    encode_exception,
)


class Host:
    """The dispatchers of a process, by instance number. They share the decoder's worker lists, read-only."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Dispatcher] = {}

    def reply(self, count: int, now: int, body: bytes) -> bytes:
        """Handle the `count` events of one batch and return the reply."""
        records: list[bytes] = []
        for instance, event in self._decoder.batch(count, body):
            if isinstance(event, Halt):
                self._instances.pop(instance, None)
                continue
            try:
                if isinstance(event, Begin):
                    self._instances[instance] = Dispatcher(event.settings, event.seed, now)
                else:
                    self._handle(instance, event, now, records)
            except WireError:
                raise
            except Exception as exc:  # reported to the simulator; the other instances go on
                records.append(encode_exception(instance, _describe(exc, event)))
        payload = b"".join(records)
        return REPLY_HEADER.pack(len(records), len(payload)) + payload

    def _handle(self, instance: int, event: Event, now: int, records: list[bytes]) -> None:
        dispatcher = self._instances.get(instance)
        if dispatcher is None:
            raise WireError(f"{type(event).__name__} for instance {instance}, which has not begun")
        for action in dispatcher.handle(now, event):
            records.append(encode(instance, action))


def _describe(exc: Exception, event: object) -> str:
    location = ""
    frames = traceback.extract_tb(exc.__traceback__)
    if frames:
        last = frames[-1]
        location = f" at {last.name}, line {last.lineno} of {last.filename.rsplit('/', 1)[-1]}"
    return f"{type(exc).__name__}: {exc}{location}, handling {event!r}"[:2000]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raises `WireError` on a malformed one."""
    host = Host()
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"truncated batch header: {len(header)} of {BATCH_HEADER.size} bytes")
        count, length, now = BATCH_HEADER.unpack(header)
        # The length counts the clock, which the header includes.
        length -= BATCH_HEADER.size - REPLY_HEADER.size
        if length < 0:
            raise WireError("truncated batch: shorter than its clock")
        body = source.read(length)
        if len(body) < length:
            raise WireError(f"truncated batch: {len(body)} of {length} bytes")
        sink.write(host.reply(count, now, body))
        sink.flush()


def main() -> int:
    """Serve standard input; a malformed batch ends the process with one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as exc:
        print(f"pulleyroute: {exc}", file=sys.stderr)
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
