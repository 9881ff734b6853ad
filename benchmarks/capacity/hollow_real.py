"""One real `pulleyroute serve` process whose traffic is counted like that of the hollow members.

    python -m benchmarks.capacity.hollow_real CONFIG

On SIGUSR1 the process prints its counts by peer port, as one JSON object on a line.
"""

from __future__ import annotations

import json
import signal
import sys
from dataclasses import asdict
from pathlib import Path

from benchmarks.capacity.hollow_traffic import count_traffic
from pulleyroute.cli import serve


def main() -> None:
    """Serve until SIGTERM."""
    traffic = count_traffic()

    def report(*_: object) -> None:
        counts = {port: asdict(count) for port, count in traffic.peers.items()}
        print(json.dumps({"traffic": counts}), flush=True)

    signal.signal(signal.SIGUSR1, report)
    serve.run(Path(sys.argv[1]), log_format="json", log_level="warning")


if __name__ == "__main__":
    main()
