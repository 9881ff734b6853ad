"""Watches fall silent and discovery is slow: runners that drain get new work past the grace."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    TROUBLE,
    CannotRun,
    Clients,
    Discovery,
    Runner,
    Scene,
    free_port,
    run,
    settings,
    until_yes,
)

DISPATCHERS, RUNNERS, DRAINING = 3, 9, 4  # nearly half of the runners
RATE, LOAD_S = 8.0, 40.0  # of each dispatcher
SILENT_FROM_S, DRAIN_AFTER_S = 12.0, 0.3
ANSWER_S = 2.95  # calls that wait for more than 3 s fail (timeout_ms of the second customer's site)
TOLD_S, GRACE_S = 6.0, 1.5 + 0.05


async def stop(runner: Runner) -> None:
    """The platform ends a drained runner once all is done that it had when nothing new may come any more."""
    await asyncio.sleep(TOLD_S + GRACE_S)
    held = {*runner.running, *(work.txn for work in runner.waiting)}
    while held.intersection([*runner.running, *(work.txn for work in runner.waiting)]):
        await asyncio.sleep(0.01)
    for work in runner.die():
        runner.record.write("lost", txn=work.txn, cls=work.cls, runner=runner.name)
        await runner.call_back(work, {"state": "lost"})


async def play(scene: Scene) -> list[str]:
    record = scene.record
    dispatchers = [scene.dispatcher(f"n{i}", (HOST, free_port())) for i in range(DISPATCHERS)]
    runners = [Runner(record, f"s-{i}", i // 3, slots=4) for i in range(RUNNERS)]
    for runner in runners:
        await runner.listen([each.address for each in dispatchers])
    views = [Discovery(record, i, runners) for i in range(DISPATCHERS)]
    for i, (dispatcher, view) in enumerate(zip(dispatchers, views, strict=True)):
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
    load = asyncio.gather(*(each.load(RATE, LOAD_S) for each in clients))
    await asyncio.sleep(SILENT_FROM_S)
    told_by = {}  # by dispatcher: what a silent watch misses counts as told then
    for i, view in enumerate(views):
        if TROUBLE:
            told_by[i] = view.fall_silent() + TOLD_S
            view.answers_after_s = ANSWER_S
    await asyncio.sleep(DRAIN_AFTER_S)
    for runner in runners[:DRAINING]:
        for view in views:
            view.change(runner, "leaving")
        scene.tasks.append(asyncio.ensure_future(stop(runner)))
    await load
    for each in clients:
        await each.finish()
    if not all(runner.name in view.told for view in views for runner in runners[:DRAINING]):
        raise CannotRun("a dispatcher did not ask discovery again")

    faults = []
    index = {dispatcher.address[1]: i for i, dispatcher in enumerate(dispatchers)}
    for attempt in record.of("attempt"):
        i, name = index[attempt["dispatcher"]], attempt["runner"]
        if name not in views[i].told:
            continue  # it does not drain
        told = min(views[i].told[name], told_by.get(i, views[i].told[name]))
        if attempt["at"] > told + GRACE_S:
            late = attempt["at"] - told
            faults.append(f"drain: {attempt['cls']} {attempt['txn']} sent to {name} {late:.2f} s after told")
    return faults


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
