"""Memory and processor time of the real program without requests, by the length of its list.

The platform's dispatcher (`python -m pulleyroute`) watches a discovery that lists `size` instances, all at
the address of one stand-in. The result can be compared with the memory traced for the parts of the list in
other benchmarks. The size 2,385 is the subset of the chosen design. The largest size stays below about 6,500
instances, the most that a full list could have under the earlier line limit of 1 MiB; it is now 4 MiB.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from benchmarks.capacity import sample
from benchmarks.capacity.cost import processor_time, resident_memory
from benchmarks.capacity.probes import stand_in
from benchmarks.capacity.request import SLOTS, dispatcher_process
from benchmarks.capacity.slope import Cost, Slope
from pulleyroute.emulator import Discovery
from pulleyroute.lab.demo import free_port

SETTLE_TIME_S, WINDOW_S = 1.0, 3.0  # before the measurement, and of it
LARGEST = 6_000  # instances


def measure(size: int) -> dict[str, float]:
    """Return the costs at rest with `size` instances in the list."""
    listen, discovery = f"127.0.0.1:{free_port()}", Discovery()
    with tempfile.TemporaryDirectory() as folder, stand_in("box", listen, SLOTS) as address:
        for number in range(size):
            discovery.put(sample.instance_name(number), address)
        with dispatcher_process(Path(folder), listen, discovery) as pid:
            time.sleep(SETTLE_TIME_S)
            began, at = processor_time(pid), time.monotonic()
            time.sleep(WINDOW_S)
            spent, lasted = processor_time(pid) - began, time.monotonic() - at
            return {"time": spent / lasted * 1e6, "memory": float(resident_memory(pid))}


SLOPE = Slope(
    "listed",
    "list entries",
    (30, 300, 1_000, 2_385, 6_000),
    (2_385,),
    {
        "time": Cost("Program at rest: processor time a second", "us", 11_000.0),
        "memory": Cost("Program at rest: resident memory", "bytes"),
    },
    measure,
    LARGEST,
)
