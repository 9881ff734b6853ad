"""How a cost is read: processor time and memory of this process or of another, never the wall clock."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

MIN_PROCESSOR_TIME_S = 0.05  # seconds of processor time that one reading rests on
MAX_CALLS = 200_000


def microseconds(work: Callable[[], object]) -> float:
    """Processor time of one call, on the mean of as many as take `LEAST`; the first one is not counted."""
    work()
    calls, began = 0, time.process_time()
    while (spent := time.process_time() - began) < MIN_PROCESSOR_TIME_S and calls < MAX_CALLS:
        work()
        calls += 1
    return spent / calls * 1e6


def traced_memory(work: Callable[[], object]) -> tuple[float, float]:
    """Bytes that Python's allocator holds for what a call returns, and the most while it was called."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = work()
        held, most = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(held), float(most)


def processor_time(pid: int) -> float:
    """Seconds that the threads of a process have run, to the nanosecond; the scheduler's own count."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def resident_memory(pid: int) -> int:
    """Resident bytes of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) * 1024
