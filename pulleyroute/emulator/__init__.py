"""Stand-ins for the systems around the dispatcher: discovery, job runners over HTTP, gRPC instances.

They listen on loopback only and may use threads, since none of them runs in the dispatcher's process. The
gRPC instances need the extra `lab`.
"""

from pulleyroute.emulator.book import EventLog, RecordedAttempt
from pulleyroute.emulator.calls import GrpcInstance
from pulleyroute.emulator.jobs import Discovery, ThreadedRunner

__all__ = ["Discovery", "EventLog", "GrpcInstance", "RecordedAttempt", "ThreadedRunner"]
