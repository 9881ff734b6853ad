"""Stand-ins that the project writes itself: discovery, job boxes over HTTP, gRPC boxes. Loopback only.

Threads are fine here: none of it runs in the dispatcher. Needs the extra `lab` for the gRPC boxes.
"""

from pulleyroute.emulator.book import Book, Run
from pulleyroute.emulator.calls import CallBox
from pulleyroute.emulator.jobs import Discovery, JobBox

__all__ = ["Book", "CallBox", "Discovery", "JobBox", "Run"]
