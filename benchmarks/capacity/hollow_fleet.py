"""The processes of one run: stand-ins of the store and discovery, hollow members, real dispatchers."""

from __future__ import annotations

import http.client
import json
import signal
import time
from base64 import b64encode
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.capacity.hollow_config import GROUP, config_text, member_name, zone_of
from benchmarks.capacity.hollow_process import NoAnswer, Process, Usage
from benchmarks.capacity.hollow_traffic import Count
from pulleyroute.fleet import records
from pulleyroute.fleet.records import Keys

ZONES = 9
TWO_PROCESS_MEMBERS = 150  # live members; from this number on one process falls behind during a start
RECORD_BATCH = 50  # members whose records are written in one transaction
RECORD_LEASE_S = 3600  # longer than a run, for the records of members that are not live
WATCHES_TIMEOUT_S = 30.0  # for opening the watches of all recorded members
POLL_INTERVAL_S = 0.2  # between checks of the number of open watches
STORE_TIMEOUT_S = 30.0  # for one call that writes or reads records


@dataclass(slots=True, frozen=True)
class Size:
    """The size of a fleet: live members, members that exist only as records in the store, and instances.

    `watched`: each recorded member also has a watch at the store, whose events are discarded.
    """

    members: int
    recorded: int
    instances: int
    watched: bool = False

    @property
    def fleet(self) -> int:
        """Members of which the store has records."""
        return self.members + self.recorded

    @property
    def zones(self) -> int:
        """`ZONES`, or one per live member where there are fewer of these."""
        return min(ZONES, self.members)

    @property
    def live_in_last_zone(self) -> int:
        """Live members of the last zone, which is lost during a run."""
        return len(range(self.zones - 1, self.members, self.zones))

    @property
    def in_last_zone(self) -> int:
        """Live and recorded members of the last zone."""
        return len(range(self.zones - 1, self.fleet, self.zones))

    @property
    def processes(self) -> int:
        """Processes for the live members of all zones but the last."""
        return 1 if self.members < TWO_PROCESS_MEMBERS else 2


class Fleet:
    """Owns the processes of one run; use as a context manager."""

    def __init__(self, size: Size, folder: Path) -> None:
        self.size, self.folder = size, folder
        self.other_zones: list[Process] = []  # live members of all zones but the last
        self.last_zone: Process | None = None  # live members of the last zone
        self.watches: Process | None = None  # watches of recorded members
        self.real: list[Process] = []
        self._all: list[Process] = []
        self._leases: dict[int, str] = {}  # lease of the recorded members of each zone
        self.store = self._start("store", ["-m", "pulleyroute.cli", "emulate", "store", "127.0.0.1:0"])
        self.store_port = int(self.store.read_line().rpartition(":")[2])
        self.discovery = self._start(
            "discovery", ["-m", "benchmarks.capacity.hollow_discovery", str(size.instances), str(size.zones)]
        )
        self.discovery_port = int(self.discovery.read()["port"])

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in reversed(self._all):
            process.stop()

    def _start(self, name: str, command: list[str]) -> Process:
        process = Process(name, command, self.folder)
        self._all.append(process)
        return process

    def _write_config(self, number: int) -> Path:
        path = self.folder / f"{member_name(number)}.hcl"
        text = config_text(number, self.size.fleet, self.size.zones, self.store_port, self.discovery_port)
        path.write_text(text)
        return path

    # Members

    def prepare(self, which: str, part: int = 0, parts: int = 1) -> Process:
        """Start a process for hollow members: `all` live ones, those of the `last` zone, or the `rest`.

        The process is ready when this returns; its members start at the command `start`.
        """
        path = self._write_config(0)
        live = ["0", str(self.size.members), str(self.size.zones)]
        command = ["-m", "benchmarks.capacity.hollow_member", str(path), *live, which, str(part), str(parts)]
        process = self._start(f"members-{which}-{part}", command)
        process.read()
        return process

    def prepare_all(self) -> None:
        """Prepare all live members; those of the last of several zones get a separate process."""
        if self.size.zones == 1:
            self.other_zones = [self.prepare("all")]
            return
        parts = self.size.processes
        self.other_zones = [self.prepare("rest", part, parts) for part in range(parts)]
        self.last_zone = self.prepare("last")

    @property
    def members(self) -> list[Process]:
        """The processes of hollow members that are running."""
        return self.other_zones if self.last_zone is None else [*self.other_zones, self.last_zone]

    def start_real(self, numbers: range) -> None:
        """Start `pulleyroute serve` processes for these members."""
        for number in numbers:
            command = ["-m", "benchmarks.capacity.hollow_real", str(self._write_config(number))]
            self.real.append(self._start(f"real-{number}", command))

    def lose_zone(self) -> None:
        """Kill the process of the last zone's live members, and revoke the lease of its recorded ones."""
        assert self.last_zone is not None
        self.last_zone.kill()
        self._all.remove(self.last_zone)
        self.last_zone = None
        lease = self._leases.pop(self.size.zones - 1, None)
        if lease is not None:
            self._call("/v3/lease/revoke", {"ID": lease})

    def change_instances(self, phase: str) -> int:
        """Set the phase of the last zone's instances; returns the list's revision after the change."""
        zone = zone_of(self.size.zones - 1, self.size.zones)
        return int(self.discovery.ask({"zone": zone, "phase": phase})["revision"])

    def real_count(self, process: Process, port: int) -> Count:
        """Return the traffic between a real dispatcher and a peer."""
        process.signal(signal.SIGUSR1)
        return peer_count(process.read()["traffic"], port)

    def usages(self) -> dict[str, Usage]:
        """Return what each process has used so far, by name."""
        return {process.name: process.usage() for process in self._all}

    def open_watches(self) -> None:
        """Open the recorded members' watches, and wait until each is open or lost; raises `NoAnswer`."""
        self.watches = self._start(
            "watches",
            ["-m", "benchmarks.capacity.hollow_watches", str(self.store_port), str(self.size.recorded)],
        )
        state = self.watches.read()
        until = time.monotonic() + WATCHES_TIMEOUT_S
        while state["standing"] + state["lost"] < self.size.recorded:
            if time.monotonic() > until:
                raise NoAnswer(
                    f"watches: {state['standing']} of {self.size.recorded} in {WATCHES_TIMEOUT_S:.0f} s"
                )
            time.sleep(POLL_INTERVAL_S)
            state = self.watches.ask({})

    # Records

    def record_members(self) -> None:
        """Write the records of the members that are not live, as their agents would write them."""
        for zone in range(self.size.zones):
            self.record_zone(zone)

    def record_zone(self, zone: int) -> None:
        """Write those of one zone with a common lease, whose end is one revision and not one per member."""
        numbers = [
            number for number in range(self.size.members, self.size.fleet) if number % self.size.zones == zone
        ]
        if not numbers:
            return
        lease = self._call("/v3/lease/grant", {"TTL": str(RECORD_LEASE_S)})["ID"]
        self._leases[zone] = lease
        keys = Keys(GROUP)
        for first in range(0, len(numbers), RECORD_BATCH):
            operations = []
            for number in numbers[first : first + RECORD_BATCH]:
                operations += _records(keys, number, self.size.zones, lease)
            self._call("/v3/kv/txn", {"compare": [], "success": operations, "failure": []})

    def range_bytes(self) -> int:
        """Return the size in bytes of the answer to an agent's read of the whole group."""
        keys = Keys(GROUP)
        return len(self._post("/v3/kv/range", {"key": _base64(keys.prefix), "range_end": _base64(keys.end)}))

    def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        value: dict[str, Any] = json.loads(self._post(path, body))
        return value

    def _post(self, path: str, body: dict[str, Any]) -> bytes:
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=STORE_TIMEOUT_S)
        try:
            connection.request("POST", path, json.dumps(body))
            return connection.getresponse().read()
        finally:
            connection.close()


def peer_count(traffic: dict[str, dict[str, int]], port: int) -> Count:
    """Return a report's count of one peer."""
    return Count(**traffic.get(str(port), {}))


def _base64(data: bytes) -> str:
    return b64encode(data).decode()


def _records(keys: Keys, number: int, zones: int, lease: str) -> list[dict[str, Any]]:
    name, token = member_name(number), f"{number:016x}"
    registration = records.encode(
        mark=f"{token}-1", incarnation=1, token=token, zone=zone_of(number, zones), region=""
    )
    heartbeat = records.encode(mark=f"{token}-2", incarnation=1, phase="serving", version="v1")
    return [
        {
            "request_put": {
                "key": _base64(keys.of("seat", name)),
                "value": _base64(registration),
                "lease": "0",
            }
        },
        {"request_put": {"key": _base64(keys.of("word", name)), "value": _base64(heartbeat), "lease": lease}},
    ]
