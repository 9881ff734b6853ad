"""The control plane's program: `python3 -m pulleyroute.controlplane`. Reads the settings, joins the parts,
runs.

It runs the core role; its data folder is `dataDir` of the settings.
"""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom

from loguru import logger

from pulleyroute.control.driver import CoreDriver
from pulleyroute.control.operator_api import OperatorApi
from pulleyroute.control.storage import DiskFolder, RecordStorage
from pulleyroute.net import log
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import parse_address
from pulleyroute.net.loop import Loop
from pulleyroute.net.process import catch_signals, handle_signals, on_error
from pulleyroute.peer.settings import VARIABLE, ProcessSettings, SettingsError, read_settings_file

SEED_BITS = 128


@dataclass(frozen=True)
class Core:
    """The parts of a running core member."""

    driver: CoreDriver
    api: OperatorApi

    def stop(self) -> None:
        """End all of them."""
        self.api.close()
        self.driver.stop()


def build_core(loop: Loop, settings: ProcessSettings) -> Core:
    """Start a core member; raises SettingsError, also for an address that is not available."""
    if settings.data_folder is None:
        raise SettingsError("dataDir: the core role needs a folder")
    if "control" not in settings.listen:
        raise SettingsError("listen.control: the core role needs an address for operators")
    random = Random(SystemRandom().getrandbits(SEED_BITS))
    driver = CoreDriver(
        loop,
        settings.peer_address,
        settings.seed_peers,
        settings.bootstrap,
        settings.tolerated_machines,
        RecordStorage(DiskFolder(settings.data_folder)),
        random,
    )
    api = OperatorApi(loop, BufferPool(), driver)
    for name, listen, address in (
        ("portRange", driver.transport.listen, settings.peer_address),
        ("listen.control", api.listen, settings.listen["control"]),
    ):
        try:
            listen(parse_address(address))
        except OSError as exc:
            raise SettingsError(f"{name}: cannot listen on {address}: {exc.strerror}") from None
    driver.start()
    return Core(driver, api)


def main() -> int:
    """Run the program; returns the exit status."""
    log.set_up(os.environ.get("PULLEYROUTE_LOG", "INFO"))
    source, sink = catch_signals()
    loop = Loop(on_error)
    try:
        if VARIABLE not in os.environ:
            raise SettingsError(f"{VARIABLE} is not set: expected the path of the settings file")
        core = build_core(loop, read_settings_file(Path(os.environ[VARIABLE])))
    except SettingsError as exc:
        print(f"pulleyroute: {exc}", file=sys.stderr)
        return 2

    def stop() -> None:
        core.stop()
        loop.stop()

    def reload() -> None:
        logger.bind(event="settings.kept").info("the core role takes no settings while it runs")

    loop.spawn(handle_signals(source, reload, stop), "signals")
    loop.run()
    sink.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
