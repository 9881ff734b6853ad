"""Clients that stop in the middle of a request and stay; the usual clients' requests are never answered."""

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
    message,
    read_message,
    run,
    settings,
    until_yes,
)

RUNNERS, RATE, LOAD_S = 10, 8.0, 42.0
DESCRIPTORS = 256  # "256 to 1,024 descriptors"
STOPPING_CLIENTS = 200  # "others connect by hundreds"
COME_S, COME_FROM_S = 4.0, 8.0  # they come one after another
LATE_S = 0.5 + 0.05  # "up to half a second after its time", and the slack of each limit


async def stopping_client(scene: Scene, address: tuple[str, int], number: int) -> None:
    """Send one valid request and take its answer, then half of the next one, and stay. Twice.

    Without the disruption the client rests on its connection instead.
    """
    for turn in range(2):
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return
        try:
            first, second = (request(f"b{number:06d}{turn}{part}") for part in range(2))
            writer.write(first)
            got = await read_message(reader)
            if got is None:
                continue
            if TROUBLE:
                writer.write(second[: len(second) // 2])
            began = scene.record.write("stopped in the middle" if TROUBLE else "rests", client=number)
            got = await read_message(reader)
            waited = round(scene.record.now() - began, 2)
            scene.record.write("let go", client=number, after_s=waited, answer=got[0] if got else "closed")
            if not TROUBLE:
                return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()


def request(txn: str) -> bytes:
    headers = {"Host": "api", "X-Txn": txn, "X-Remaining-Ms": "5000"}
    return message("POST /balance-check HTTP/1.1", headers, b"0.05")


async def play(scene: Scene) -> list[str]:
    record = scene.record
    dispatcher = scene.dispatcher("n0", (HOST, free_port()))
    runners = [Runner(record, f"s-{i}", i // 4) for i in range(RUNNERS)]
    for runner in runners:
        await runner.listen([dispatcher.address])
    discovery = Discovery(record, 0, runners)
    await discovery.listen()
    dispatcher.write_config(
        name="n0", listen=f"{HOST}:{dispatcher.address[1]}", discovery=f"{HOST}:{discovery.port}",
        seed=f"{random.getrandbits(64):016x}",
        limits={"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS},
        known=discovery.known(), settings=settings(1, 0),
    )  # fmt: skip
    dispatcher.start()
    await until_yes(dispatcher.address, "GET /-/ready", 30)

    clients = Clients(record, dispatcher.address, random.getrandbits(32))
    load = asyncio.ensure_future(clients.load(RATE, LOAD_S))
    await asyncio.sleep(COME_FROM_S)
    others = []
    for number in range(STOPPING_CLIENTS):
        others.append(asyncio.ensure_future(stopping_client(scene, dispatcher.address, number)))
        await asyncio.sleep(COME_S / STOPPING_CLIENTS)
    await load
    await clients.finish()
    for task in others:
        task.cancel()
    if dispatcher.processes[0].popen.poll() is not None:
        return ["the dispatcher ended by itself"]
    if len(clients.calls) < RATE * LOAD_S / 2:
        raise CannotRun("too few requests were sent")

    faults = []
    for call in clients.calls:
        if call.closed:
            continue  # not let in, or its connection was shut unread
        end = call.sent_at + call.left_s + LATE_S
        if call.ended_at is None or call.ended_at > end:
            faults.append(f"lost: {call.cls} {call.txn}, sent at {call.sent_at:.2f}, no answer by {end:.2f}")
    kinds = [call.status for call in clients.calls]
    counts = {f"status {status}": kinds.count(status) for status in sorted(set(kinds))}
    shut = sum(call.closed for call in clients.calls)
    record.write(
        "summary", requests=len(kinds), **counts, closed=shut, lost=len(faults), most=clients.most_waiting
    )
    return faults


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
