"""Stand-ins that the project writes itself: discovery, job boxes over HTTP, gRPC boxes. Loopback only.

Threads are fine here: none of it runs in the dispatcher. Needs the extra `lab` for the gRPC boxes.
"""

from pulleyroute.emulator.book import EventLog, RecordedAttempt
from pulleyroute.emulator.calls import GrpcInstance
from pulleyroute.emulator.jobs import Discovery, ThreadedRunner

__all__ = ["Discovery", "EventLog", "GrpcInstance", "RecordedAttempt", "ThreadedRunner"]
