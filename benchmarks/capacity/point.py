"""Measure one point of a slope and print it as JSON: `python -m benchmarks.capacity.point NAME SIZE`."""

from __future__ import annotations

import json
import sys

from loguru import logger

from benchmarks.capacity.slopes import slope


def main() -> None:
    """Measure the point in this process."""
    name, size = sys.argv[1], int(sys.argv[2])
    logger.remove()
    print(json.dumps(dict(slope(name).measure(size))))


if __name__ == "__main__":
    main()
