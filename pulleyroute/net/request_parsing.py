"""Parses what clients and instances send: the requests of clients and the call-backs of instances. No I/O."""

from __future__ import annotations

import json
import re
import zlib
from urllib.parse import parse_qsl

from loguru import logger

from pulleyroute.interface import Settings, WorkerId
from pulleyroute.net.http import Message
from pulleyroute.net.instance import read_report
from pulleyroute.net.requests import CallbackState, InstanceCallback, Request

KNOWN_LABELS = ("slots", "memory")
FORWARDED_HEADERS = (b"idempotency-key", b"content-type", b"x-labels")
_TXN_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
_WHOLE_NUMBER = re.compile(rb"[0-9]{1,12}")


def read_request(message: Message, job_class: int) -> Request:
    """Parse the request of a client; raises ValueError or Malformed if it is invalid."""
    txn, remaining = message.single_header(b"x-txn"), message.single_header(b"x-remaining-ms")
    if txn is None or not _TXN_PATTERN.fullmatch(txn):
        raise ValueError("X-Txn is missing or not an id")
    if remaining is None or not _WHOLE_NUMBER.fullmatch(remaining):
        raise ValueError("X-Remaining-Ms is missing or not whole milliseconds")
    labels = read_labels(message.single_header(b"x-labels") or b"")
    pairs = dict(parse_qsl(message.target.partition(b"?")[2].decode("latin-1"), keep_blank_values=True))
    return Request(
        txn=txn.decode(),
        job_class=job_class,
        remaining=int(remaining) * 1000,
        method=message.method,
        target=message.target,
        body=message.body,
        headers=[(name, value) for name, value in message.headers if name in FORWARDED_HEADERS],
        slots=labels.get("slots", 1.0),
        memory=labels.get("memory", 0.0),
        key=read_key(pairs.get("k", "")),
        is_repeat=message.single_header(b"x-resent") == b"1",
        cost_hint=read_estimate(message),
    )


def read_estimate(message: Message) -> int | None:
    """Return the client's estimate of the work of its job in microseconds, None if there is none.

    An invalid estimate is logged and ignored: it is no reason to reject the job.
    """
    values = [value for name, value in message.headers if name == b"x-estimate"]
    if len(values) == 1 and _WHOLE_NUMBER.fullmatch(values[0]) and int(values[0]) > 0:
        return int(values[0])
    if values:
        logger.bind(event="request.estimate").info("ignoring an invalid estimate: {!r}", values[0][:40])
    return None


def read_labels(data: bytes) -> dict[str, float]:
    """Parse the known labels of `name=value,name=value`; raises ValueError for an invalid value."""
    labels: dict[str, float] = {}
    for pair in data.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name.strip() in KNOWN_LABELS:
            number = float(value)
            if not 0 <= number < 1e9:
                raise ValueError(f"label {name.strip()!r} is out of range")
            labels[name.strip()] = number
    return labels


def read_key(text: str) -> int:
    """Return the key of a request as a number: its hexadecimal digits, or a CRC of any other text."""
    if re.fullmatch(r"[0-9a-fA-F]{1,16}", text):
        return int(text, 16)
    return zlib.crc32(text.encode()) if text else 0


def read_call(data: bytes, settings: Settings) -> InstanceCallback:
    """Parse a call-back of an instance; raises ValueError if it is invalid."""
    try:
        value = json.loads(data)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(value, dict):
        raise ValueError("not a JSON object")
    txn, instance = value.get("id"), value.get("from")
    if not isinstance(txn, str) or not isinstance(instance, str):
        raise ValueError("id or from is missing")
    state = CallbackState(value.get("state"))
    result, share = value.get("result"), value.get("share", 0.0)
    if state is CallbackState.DONE and not isinstance(result, str):
        raise ValueError("done without a result")
    if isinstance(share, bool) or not isinstance(share, int | float):
        raise ValueError("share is not a number")
    return InstanceCallback(
        txn,
        WorkerId(instance.encode("utf-8", "surrogatepass")),
        state,
        float(share),
        result.encode("utf-8", "surrogatepass") if isinstance(result, str) else b"",
        read_report(value.get("load"), settings.report_names, instance),
    )
