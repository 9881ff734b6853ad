"""Memory at rest of the platform's dispatcher, before and now: `python -m benchmarks.rest_memory REVISION
[--write]`.

Starts `python -m pulleyroute` of a git revision and of the work tree in turn, three times each, with the
example's configuration, and reads /proc after two seconds.
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
    """KiB that the program of a folder holds at rest."""
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
        seen: dict[Path, list[int]] = {Path(old): [], ROOT: []}
        for _ in range(4):
            for folder, readings in seen.items():
                readings.append(resident(folder))
        before, now = (statistics.median(each[1:]) for each in seen.values())  # the first one compiles
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
