"""A grpcio instance in a process of its own: `python -m benchmarks.box`. Prints its address."""

from __future__ import annotations

import time

from pulleyroute.emulator import EventLog, GrpcInstance


class NullEventLog(EventLog):
    """An event log that records nothing, so that measurements do not include the cost of recording."""

    def record_attempt(self, request: str, kind: str, instance: str) -> None: ...


if __name__ == "__main__":
    print(GrpcInstance("box", NullEventLog(), threads=64).address, flush=True)
    while True:
        time.sleep(3600)
