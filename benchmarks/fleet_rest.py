"""The cost of agreement at rest: calls to the store for each member, for fleets of several sizes.

    python -m benchmarks.fleet_rest [SIZES ...]

The agents and the store's stand-in run over loopback sockets in one process, on a simulated clock that jumps
from one timer to the next. Calls are counted over a minute of that clock, after all members have joined.
"""

from __future__ import annotations

import argparse
import time

from loguru import logger

from pulleyroute.emulator.store import Server
from pulleyroute.emulator.virtual import VirtualLoop
from pulleyroute.fleet import records
from pulleyroute.fleet.agent import Agent, MemberSettings
from pulleyroute.fleet.runners import Runner
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.lifecycle import Phase

MINUTE = 60_000_000  # microseconds


class IdleService:
    """A service that is serving and has no work."""

    phase = Phase.SERVING

    def standby(self) -> None: ...
    def active(self) -> None: ...
    def leave(self, version: str) -> None: ...
    def withhold(self, marked: set[records.RunnerKey]) -> None: ...

    def runners(self, pool: str) -> list[Runner] | None:
        return None

    def jobs(self) -> tuple[int, int]:
        return 0, 0

    def busy(self, pool: str, runner: str) -> bool:
        return False


def measure(size: int) -> tuple[float, float]:
    """Return the store calls of each member per second at rest.

    The second value is the processor time in microseconds per member and second.
    """
    loop = VirtualLoop()
    server = Server(loop)
    agents = [
        Agent(
            loop, BufferPool(), [server.address], MemberSettings("g", f"m{i}", f"z{i % 3}"), IdleService(), i
        )
        for i in range(size)
    ]
    for agent in agents:
        agent.start()

    def joined() -> bool:
        return len(agents[0].snapshot.heartbeats) == size

    if not loop.run_until(joined, 10 * MINUTE):
        raise SystemExit(f"{size} members did not all join within 10 simulated minutes")
    loop.run_until(lambda: False, MINUTE // 6)
    before, began = sum(agent.client.calls for agent in agents), time.process_time()
    loop.run_until(lambda: False, MINUTE)
    calls = sum(agent.client.calls for agent in agents) - before
    spent = time.process_time() - began
    server.close()
    return calls / size / 60, spent * 1e6 / size / 60


def main() -> None:
    parser = argparse.ArgumentParser(description="Calls to the store at rest.")
    parser.add_argument("sizes", type=int, nargs="*", default=[3, 12, 50, 200])
    logger.remove()
    print("| members | calls a second and member | processor time, the store's too, us a second and member |")
    print("| --- | --- | --- |")
    for size in parser.parse_args().sizes:
        calls, spent = measure(size)
        print(f"| {size} | {calls:.2f} | {spent:.0f} |", flush=True)


if __name__ == "__main__":
    main()
