"""An upgrade after a runner's death, before its jobs are reported lost: a repeat goes to another bay."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

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
    Work,
    run,
    settings,
    until_yes,
)

BAYS, BAY_SIZE = 3, 3  # the runners of one bay drop a repeat
RATE, LOAD_S = 9.0, 50.0
JOIN_S, DEATH_S = 2.0, 14.0  # once it is warm
NOTICE_S = 1.0  # until discovery tells that a process has gone: seconds late
LOST_AFTER_S = 4.0  # until the machine's agent tells what was lost
WINDOW_S = 12.0 + 0.05  # repeats are dropped for so long


async def report_lost(runner: Runner, held: list[Work]) -> None:
    """The machine's agent has seen the process die, and tells so for each job that it held."""
    await asyncio.sleep(LOST_AFTER_S)
    for work in held:
        runner.record.write("lost", txn=work.txn, runner=runner.name)
        await runner.call_back(work, {"state": "lost"})


async def until_it_holds_a_voucher(runner: Runner, limit_s: float) -> None:
    """Wait until the runner runs a keyed job whose effect has been applied."""
    for _ in range(int(limit_s / 0.02)):
        if any(work.cls == "voucher-apply" and work.applied for work in runner.running.values()):
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"{runner.name} got no voucher-apply job")


async def upgrade(scene: Scene) -> None:
    """Start `run` once more, and end the old process when the new one says yes."""
    dispatcher = scene.dispatchers[0]
    old = dispatcher.processes[-1]
    new = dispatcher.start()
    scene.record.write("upgrade", old=old.popen.pid, new=new.popen.pid)
    await until_yes(new.management, "GET /status", 6.0)
    scene.record.write("new process says yes")
    old.popen.send_signal(signal.SIGTERM)

    async def kill() -> None:
        await asyncio.sleep(3.7)
        if old.popen.poll() is None:
            old.popen.send_signal(signal.SIGKILL)

    scene.tasks.append(asyncio.ensure_future(kill()))


async def play(scene: Scene) -> list[str]:
    record = scene.record
    dispatcher = scene.dispatcher("n0", scene.listener, inherits_listener=True)
    runners = [Runner(record, f"s-{i}", i // BAY_SIZE) for i in range(BAYS * BAY_SIZE)]
    for runner in runners:
        await runner.listen([dispatcher.address])
    discovery = Discovery(record, 0, runners)
    await discovery.listen()
    dispatcher.write_config(
        name="n0", listen=f"{HOST}:{dispatcher.address[1]}", discovery=f"{HOST}:{discovery.port}",
        seed=f"{random.getrandbits(64):016x}", limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        known=discovery.known(), settings=settings(1, 0),
    )  # fmt: skip
    await until_yes(dispatcher.start().management, "GET /status", 30)

    clients = Clients(record, dispatcher.address, random.getrandbits(32))
    load = asyncio.ensure_future(clients.load(RATE, LOAD_S))
    await asyncio.sleep(JOIN_S)
    # A later addition to the last bay: the configuration's list was written before it came.
    added = Runner(record, "s-new", BAYS - 1)
    await added.listen([dispatcher.address])
    discovery.change(added, "active")
    await asyncio.sleep(DEATH_S - JOIN_S)
    if TROUBLE:
        await until_it_holds_a_voucher(added, 20.0)
        scene.tasks.append(asyncio.ensure_future(report_lost(added, added.die())))
        await asyncio.sleep(NOTICE_S)
        discovery.change(added, "left")
        if os.environ.get("UPGRADE", "1") != "0":
            await upgrade(scene)
    await load
    await clients.finish()
    return repeats_elsewhere(record)


def repeats_elsewhere(record: Record) -> list[str]:
    """Return the keyed jobs that were sent outside the bay where an earlier attempt was taken."""
    taken: dict[str, list[dict[str, object]]] = {}
    for attempt in record.of("attempt"):
        if attempt["cls"] == "voucher-apply" and attempt["taken"]:
            taken.setdefault(attempt["txn"], []).append(attempt)
    sent = [entry["txn"] for entry in record.of("sent")]
    faults = []
    for txn, attempts in taken.items():
        if sent.count(txn) > 1:
            continue  # sent again by its client, after a close that crossed it
        first = attempts[0]
        for later in attempts[1:]:
            applied = [each["runner"] for each in record.of("applied") if each["txn"] == txn]
            where = f"{first['runner']} in bay {first['cell']}, then {later['runner']} in bay {later['cell']}"
            if later["cell"] != first["cell"] or later["at"] > first["at"] + WINDOW_S:
                faults.append(f"duplicate: voucher-apply {txn}: {where}; applied by {applied}")
    return faults


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play, holds_listener=True))
