"""Measure processor time and memory of this process or of another one, without wall-clock time."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

MIN_PROCESSOR_TIME_S = 0.05  # over which a measurement is averaged
MAX_CALLS = 200_000


def microseconds(work: Callable[[], object]) -> float:
    """Return the mean processor time of a call, over `MIN_PROCESSOR_TIME_S`, without the first call."""
    work()
    calls, began = 0, time.process_time()
    while (spent := time.process_time() - began) < MIN_PROCESSOR_TIME_S and calls < MAX_CALLS:
        work()
        calls += 1
    return spent / calls * 1e6


def traced_memory(work: Callable[[], object]) -> tuple[float, float]:
    """Return the bytes allocated by Python for the result of a call, and the peak during the call."""
    gc.collect()
    tracemalloc.start()
    try:
        result = work()
        held, peak = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return float(held), float(peak)


def processor_time(pid: int) -> float:
    """Return the seconds that all threads of a process have run, from the scheduler's nanosecond counters."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def resident_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) * 1024
