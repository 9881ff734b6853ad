"""The messages that the dispatcher itself encodes or decodes: gRPC's health protocol and ORCA load reports.

Sources: `grpc.health.v1` ("GRPC Health Checking Protocol") and `xds.data.orca.v3.OrcaLoadReport` (gRFC A51,
A64). The message classes are built at import from descriptors. The messages of forwarded calls are never
decoded.
"""

from __future__ import annotations

import binascii
import json
import math
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message, message_factory

from pulleyroute.grpc.head import first_value
from pulleyroute.interface import LoadReport
from pulleyroute.net.http import Headers

_DOUBLE, _STRING, _INT32, _MESSAGE = 1, 9, 5, 11


def _build_message_types() -> tuple[Any, Any, Any]:
    file = descriptor_pb2.FileDescriptorProto(
        name="pulleyroute/messages.proto", package="pulleyroute", syntax="proto3"
    )

    def add(name: str, fields: list[tuple[str, int, int]]) -> Any:
        message_type = file.message_type.add(name=name)
        for field_name, number, field_type in fields:
            message_type.field.add(name=field_name, number=number, type=field_type, label=1)
        return message_type

    add("HealthCheckRequest", [("service", 1, _STRING)])
    add("HealthCheckResponse", [("status", 1, _INT32)])
    report = add(
        "OrcaLoadReport",
        [
            ("cpu_utilization", 1, _DOUBLE),
            ("mem_utilization", 2, _DOUBLE),
            ("rps_fractional", 6, _DOUBLE),
            ("eps", 7, _DOUBLE),
            ("application_utilization", 9, _DOUBLE),
        ],
    )
    for name, number in (("request_cost", 4), ("utilization", 5), ("named_metrics", 8)):
        entry = report.nested_type.add(name=name.title().replace("_", "") + "Entry")
        entry.options.map_entry = True
        entry.field.add(name="key", number=1, type=_STRING, label=1)
        entry.field.add(name="value", number=2, type=_DOUBLE, label=1)
        report.field.add(
            name=name,
            number=number,
            type=_MESSAGE,
            label=3,
            type_name=f".pulleyroute.OrcaLoadReport.{entry.name}",
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file) if hasattr(pool, "Add") else pool.AddSerializedFile(file.SerializeToString())
    descriptors = [
        pool.FindMessageTypeByName(f"pulleyroute.{name}")
        for name in ("HealthCheckRequest", "HealthCheckResponse", "OrcaLoadReport")
    ]
    request_class, response_class, report_class = (
        message_factory.GetMessageClass(each) for each in descriptors
    )
    return request_class, response_class, report_class


HealthRequest, HealthResponse, OrcaReport = _build_message_types()
SERVING, NOT_SERVING, SERVICE_UNKNOWN = 1, 2, 3


def framed(data: bytes) -> bytes:
    """Return a message as a Length-Prefixed-Message of "gRPC over HTTP2", not compressed."""
    return b"\0" + len(data).to_bytes(4, "big") + data


def encode_health_response(status: int) -> bytes:
    """Return a framed `HealthCheckResponse`."""
    return framed(HealthResponse(status=status).SerializeToString())


def decode_health_request(data: bytes) -> str | None:
    """Return the service named by a framed `HealthCheckRequest`, or None if it is malformed."""
    if len(data) < 5 or data[0] or int.from_bytes(data[1:5], "big") != len(data) - 5:
        return None
    try:
        return str(HealthRequest.FromString(data[5:]).service)
    except message.DecodeError:
        return None


def parse_load_report(trailers: Headers, slots: float) -> LoadReport | None:
    """Return the load report in the trailers of a response, or None if there is no readable one.

    `endpoint-load-metrics-bin` contains a base64-encoded protobuf, `endpoint-load-metrics` the same report as
    `TEXT name=value,...` or `JSON {...}`. Free slots are derived from the utilisation and `slots`, the
    capacity of the instance, unless the named metric `free_slots` is given. The named metrics `queue` and
    `inflight` become the queue length and the number of calls in flight.
    """
    values: dict[str, float] = {}
    data = first_value(trailers, b"endpoint-load-metrics-bin")
    text = first_value(trailers, b"endpoint-load-metrics")
    try:
        if data is not None:
            values = _report_values(OrcaReport.FromString(_decode_base64(data)))
        elif text is not None and text[:4] == b"TEXT":
            pairs = (pair.partition("=") for pair in text[4:].decode().split(",") if pair.strip())
            values = {name.strip(): float(value) for name, _, value in pairs}
        elif text is not None and text[:4] == b"JSON":
            for name, value in json.loads(text[4:]).items():
                if isinstance(value, dict):
                    values.update({str(key): float(each) for key, each in value.items()})
                else:
                    values[str(name)] = float(value)
    except (ValueError, AttributeError, TypeError, RecursionError, message.DecodeError):
        return None  # a load report is optional: an unreadable one is ignored
    values = {
        name.removeprefix("named_metrics."): value for name, value in values.items() if math.isfinite(value)
    }
    if not values:
        return None
    report = LoadReport(
        in_hand=values.get("inflight"),
        queued=values.get("queue"),
        rate=values.get("rps_fractional"),
        errors=values.get("eps"),
        busy=values.get("cpu_utilization"),
    )
    if "free_slots" in values:
        report.free_slots = values["free_slots"]
    else:
        used = values.get("application_utilization") or values.get("cpu_utilization")
        if used is not None:
            report.free_slots = max(0.0, slots * (1 - used))
    return report


def _decode_base64(data: bytes) -> bytes:
    return binascii.a2b_base64(data + b"=" * (-len(data) % 4))


def _report_values(report: Any) -> dict[str, float]:
    values = {
        name: getattr(report, name)
        for name in ("cpu_utilization", "mem_utilization", "rps_fractional", "eps", "application_utilization")
    }
    values = {name: value for name, value in values.items() if value}
    return {**values, **report.named_metrics}
