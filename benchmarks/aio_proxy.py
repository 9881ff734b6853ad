"""A plain generic proxy on grpc.aio, as users of grpc.aio would write it; the baseline of `grpc_cost`.

Start it with `python -m benchmarks.aio_proxy LISTEN TARGET`. Methods whose names end in Unary are proxied as
unary calls, all others as bidirectional streams.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import grpc
import grpc.aio

OPTIONS = [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)]


class Proxy(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Forwards every call to one channel, with its messages as bytes, metadata, time-out and status."""

    def __init__(self, channel: Any) -> None:
        self._channel = channel

    def service(self, details: Any) -> Any:
        path = details.method
        if path.endswith("Unary"):
            call = self._channel.unary_unary(path)

            async def unary(request: bytes, context: Any) -> Any:
                upstream = call(
                    request, timeout=context.time_remaining(), metadata=context.invocation_metadata()
                )
                try:
                    answer = await upstream
                except grpc.aio.AioRpcError as exc:
                    await context.abort(exc.code(), exc.details(), exc.trailing_metadata() or ())
                await context.send_initial_metadata(await upstream.initial_metadata())
                context.set_trailing_metadata(await upstream.trailing_metadata())
                return answer

            return grpc.unary_unary_rpc_method_handler(unary)
        stream = self._channel.stream_stream(path)

        async def streams(requests: Any, context: Any) -> Any:
            upstream = stream(
                requests, timeout=context.time_remaining(), metadata=context.invocation_metadata()
            )
            try:
                async for answer in upstream:
                    yield answer
            except grpc.aio.AioRpcError as exc:
                await context.abort(exc.code(), exc.details(), exc.trailing_metadata() or ())
            context.set_trailing_metadata(await upstream.trailing_metadata())

        return grpc.stream_stream_rpc_method_handler(streams)


async def main(listen: str, target: str) -> None:
    async with grpc.aio.insecure_channel(target, OPTIONS) as channel:
        server = grpc.aio.server(options=OPTIONS)
        server.add_generic_rpc_handlers((Proxy(channel),))
        server.add_insecure_port(listen)
        await server.start()
        print("ready", flush=True)
        await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
