"""A grpcio box in a process of its own: `python -m benchmarks.box`; prints its address."""

from __future__ import annotations

import time

from pulleyroute.emulator import EventLog, GrpcInstance


class NullEventLog(EventLog):
    """A box that is measured against keeps no record."""

    def record_attempt(self, request: str, kind: str, instance: str) -> None: ...


if __name__ == "__main__":
    print(GrpcInstance("box", NullEventLog(), threads=64).address, flush=True)
    while True:
        time.sleep(3600)
