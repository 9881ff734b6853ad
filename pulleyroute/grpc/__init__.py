"""gRPC between clients and instances: calls pass as they are, the decisions are the dispatcher's own.

`Front` accepts client connections, `Calls` holds those to instances; both stand on `net.http2`.
Needs the extra `grpc` (h2, protobuf).
"""

from pulleyroute.grpc.back import GrpcTransport
from pulleyroute.grpc.front import Front, FrontLimits
from pulleyroute.grpc.routes import Match, Routes
from pulleyroute.grpc.status import Status

__all__ = ["Front", "FrontLimits", "GrpcTransport", "Match", "Routes", "Status"]
