"""Rejections answered twice: the second answer is taken for that of the connection's next request."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    TROUBLE,
    CannotRun,
    Clients,
    Discovery,
    Record,
    Runner,
    Scene,
    free_port,
    run,
    settings,
    until_yes,
)

DISPATCHERS, RUNNERS, BAY_SIZE = 28, 10, 4
SLOTS, QUEUE = 2, 10  # two cores, with 4.8 to 9.3 places in the queue for each
RATE, BURST, BASE_S, BURST_S = 32.0, 1.5, 8.0, 64.0  # of all dispatchers: about what the runners can do
REPORT_AGE_S = (0.48, 1.86)  # refreshed every 0.32 to 1.4 s, and 0.16 to 0.46 s late


async def play(scene: Scene) -> list[str]:
    record = scene.record
    dispatchers = [scene.dispatcher(f"n{i}", (HOST, free_port())) for i in range(DISPATCHERS)]
    runners = [Runner(record, f"s-{i}", i // BAY_SIZE, SLOTS, QUEUE) for i in range(RUNNERS)]
    for runner in runners:
        runner.report_age_s = REPORT_AGE_S
        runner.second_answers = 1.0 if TROUBLE else 0.0
        await runner.listen([each.address for each in dispatchers])
    for i, dispatcher in enumerate(dispatchers):
        view = Discovery(record, i, runners)
        await view.listen()
        dispatcher.write_config(
            name=f"n{i}", listen=f"{HOST}:{dispatcher.address[1]}", discovery=f"{HOST}:{view.port}",
            seed=f"{random.getrandbits(64):016x}", limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            known=view.known(), settings=settings(DISPATCHERS, i),
        )  # fmt: skip
        dispatcher.start()
    for dispatcher in dispatchers:
        await until_yes(dispatcher.address, "GET /-/ready", 30)

    clients = [Clients(record, each.address, random.getrandbits(32)) for each in dispatchers]
    await asyncio.gather(*(each.load(RATE / DISPATCHERS, BASE_S) for each in clients))
    await asyncio.gather(*(each.load(RATE * BURST / DISPATCHERS, BURST_S) for each in clients))
    for each in clients:
        await each.finish()
    rejections = [attempt for attempt in record.of("attempt") if not attempt["taken"]]
    record.write("summary", attempts=len(record.of("attempt")), rejected=len(rejections))
    if not rejections:
        raise CannotRun("no runner was full")
    return run_twice(record)


def run_twice(record: Record) -> list[str]:
    """Return the jobs that were sent again after a runner had taken them, where their class forbids it."""
    taken: dict[str, list[dict[str, Any]]] = {}
    for attempt in record.of("attempt"):
        if attempt["taken"]:
            taken.setdefault(attempt["txn"], []).append(attempt)
    faults = []
    for txn, attempts in taken.items():
        first, *later = attempts
        if first["cls"] == "voucher-apply":
            later = [each for each in later if each["cell"] != first["cell"]]
        if later and first["cls"] != "balance-check":
            where = [
                f"{each['runner']} in bay {each['cell']} at {each['at']:.2f}" for each in [first, *later]
            ]
            applied = [each["runner"] for each in record.of("applied") if each["txn"] == txn]
            faults.append(f"duplicate: {first['cls']} {txn} taken by {where}; applied by {applied}")
    return faults


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
