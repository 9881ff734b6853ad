"""Converts a checked configuration to the settings of the decision module. Pure."""

from __future__ import annotations

from typing import Any

from pulleyroute import interface as api
from pulleyroute.config.types import Config, Pool

_EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
_REPORT_SOURCES = {
    "answers": api.ReportSource.ANSWERS,
    "probes": api.ReportSource.PROBES,
    "none": api.ReportSource.NONE,
}


def pool_settings(config: Config, pool: Pool) -> api.Settings:
    """Return the settings of one pool's decision module. Every pool has all classes, in the file's order."""
    grpc = pool.protocol == "grpc"
    halls = sorted({each.hall for each in pool.instance.values()} | {pool.hall})
    return api.Settings(
        classes=[
            api.JobClass(
                name,
                _EFFECTS[each.effect],
                each.aim,
                each.give_up,
                each.worth,
                stretch=each.stretch,
                scope=api.Scope(each.scope),
                repeat_window=each.repeat_window,
            )
            for name, each in config.job_class.items()
        ],
        dispatchers=pool.dispatchers,
        me=pool.number,
        max_attempts=pool.attempts,
        zone=halls.index(pool.hall),
        zones=halls,
        kinds=sorted({each.kit for each in pool.instance.values()}),
        report_names={} if grpc else dict(pool.report),
        # A gRPC instance is not asked for its load. The process counts its own open calls there, and reports
        # that count to the decision module with each answer.
        report_source=api.ReportSource.ANSWERS if grpc else _REPORT_SOURCES[pool.reports],
        probes=grpc or pool.probes,
        cancels=pool.cancels,
        tells_start=pool.tells_start and not grpc,
        progress=0 if grpc else pool.progress,
        keepalive=pool.keepalive,
        list_on_request=pool.discovery is not None and pool.lists == "asked",
        max_retry_after=pool.max_retry_after,
        connect_timeout=pool.connect_timeout,
        drain_grace=pool.drain_grace,
        cold_share=pool.cold_share,
        ramp_time=pool.ramp,
        tip_multiple=pool.tip_multiple,
        tip_window=pool.tip_window,
        price_cross_zone=pool.price_crossing,
    )


def static_instance_list(pool: Pool, revision: int) -> dict[str, Any]:
    """Return the instances that the file itself names, in the form of discovery's list."""
    return {
        "revision": revision,
        "complete": True,
        "members": [
            {
                "id": name,
                "host_port": "{}:{}".format(*each.address),
                "locality": each.hall,
                "flavor": each.kit,
                "cell": each.bay,
                "phase": "leaving" if each.drain else "active",
                "size": each.size,
                "up_since_ms": 0,
            }
            for name, each in pool.instance.items()
        ],
    }
