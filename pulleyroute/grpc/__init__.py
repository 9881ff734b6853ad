"""The gRPC proxy: forwards calls unchanged to the instances that the dispatcher chooses.

`Front` accepts connections from clients, `GrpcTransport` manages those to instances. Both are built on
`net.http2`. Requires the extra `grpc` (h2, protobuf).
"""

from pulleyroute.grpc.back import GrpcTransport
from pulleyroute.grpc.front import Front, FrontLimits
from pulleyroute.grpc.routes import Match, Routes
from pulleyroute.grpc.status import Status

__all__ = ["Front", "FrontLimits", "GrpcTransport", "Match", "Routes", "Status"]
