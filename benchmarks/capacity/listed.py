"""The real program at rest by the length of its list: resident memory, and processor time without a request.

The platform's dispatcher (`python -m pulleyroute`) watches a discovery that lists so many instances, all at
the address of one stand-in. What is traced of the list's parts in a benchmark's process is so held against a
process as it runs; 2,385 is the subset of the chosen design, and 6,500 about the most that a whole list
had when this was measured (1 MiB; 4 MiB since).
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

SETTLE_TIME_S, WINDOW_S = 1.0, 3.0  # seconds before the reading, and of it
LARGEST = 6_000


def measure(size: int) -> dict[str, float]:
    """The costs at rest with so many instances listed."""
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
