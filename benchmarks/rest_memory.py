"""Memory at rest of the platform's dispatcher, of an earlier revision and of the work tree.

    python -m benchmarks.rest_memory REVISION [--write]

Starts `python -m pulleyroute` of the git revision and of the work tree alternately, with the example's
configuration, and reads /proc after two seconds. Of four starts each, the last three count.
"""

from __future__ import annotations

import io
import json
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path

from benchmarks.fixture import machine
from pulleyroute.lab.demo import free_port

ROOT = Path(__file__).parent.parent


def resident(folder: Path) -> int:
    """Return the resident memory in KiB of the program in a folder, at rest."""
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config["listen"], config["discovery"] = (f"127.0.0.1:{free_port()}" for _ in range(2))
    with tempfile.TemporaryDirectory() as place:
        path = Path(place) / "config.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "pulleyroute"],
            cwd=folder,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": str(path), "PYTHONPATH": str(folder)},
        )
        try:
            time.sleep(2)
            text = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
            process.wait()
    return int(text.split("VmRSS:")[1].split()[0])


def main() -> int:
    revision = sys.argv[1]
    archive = subprocess.run(["git", "archive", revision], cwd=ROOT, capture_output=True, check=True).stdout
    with tempfile.TemporaryDirectory() as old:
        with tarfile.open(fileobj=io.BytesIO(archive)) as files:
            files.extractall(old, filter="data")
        readings_by_folder: dict[Path, list[int]] = {Path(old): [], ROOT: []}
        for _ in range(4):
            for folder, readings in readings_by_folder.items():
                readings.append(resident(folder))
        # The first start is left out, since it compiles the modules.
        before, now = (statistics.median(each[1:]) for each in readings_by_folder.values())
    lines = [
        "| revision | resident at rest |",
        "| --- | --- |",
        f"| {revision} | {before / 1024:.1f} MiB |",
        f"| work tree | {now / 1024:.1f} MiB |",
    ]
    print("\n".join(lines))
    if "--write" in sys.argv:
        Path("docs/measured/rest-memory.md").write_text(
            "\n".join(
                [
                    "# Memory at rest of the platform's dispatcher",
                    "",
                    f"Command: `python -m benchmarks.rest_memory {revision} --write`: medians of",
                    "three starts.",
                    f"Run on: {machine()}.",
                    "",
                    *lines,
                    "",
                ]
            )
        )
    return 0 if now <= before * 1.01 else 1


if __name__ == "__main__":
    sys.exit(main())
