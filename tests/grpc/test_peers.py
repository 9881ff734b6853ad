"""grpcio clients and servers, synchronous and asyncio, through the program as users start it.

Also covers TLS and the rotation of certificates.
"""

import asyncio
import time
from concurrent import futures

import grpc
import grpc.aio
import pytest

from benchmarks.fixture import certificates, channel, program
from benchmarks.grpc_matrix import Case, Seen, compare, differences, play
from pulleyroute.emulator import EventLog, GrpcInstance
from pulleyroute.lab.demo import free_port


@pytest.mark.parametrize("tls", [False, True], ids=["cleartext", "tls"])
def test_every_case_of_the_matrix_is_equal_to_direct(tls, tmp_path):
    results = list(compare(tls, tmp_path))
    assert len(results) > 120
    assert [(case.name, found) for case, found in results if found] == []


def test_the_matrix_tells_any_difference():
    seen = Seen(0, "", [("a", "1"), ("a", "2")], [("t", "1")], [b"x"])
    case = Case("x", "Unary")
    assert differences(seen, seen, case) == []
    for change in (
        {"code": 1},
        {"details": "d"},
        {"initial": [("a", "2"), ("a", "1")]},
        {"trailing": []},
        {"messages": [b"y"]},
    ):
        fields = {
            name: getattr(seen, name) for name in ("code", "details", "initial", "trailing", "messages")
        }
        assert len(differences(seen, Seen(**fields | change), case)) == 1


def test_aio_on_both_sides(tmp_path):
    """The four kinds of calls with grpc.aio, and a cancellation that reaches the handler."""

    async def scene():
        cancelled = asyncio.Event()

        class Handler(grpc.GenericRpcHandler):
            def service(self, details):
                async def unary(request, context):
                    if request == b"wait":
                        try:
                            await asyncio.sleep(60)
                        except asyncio.CancelledError:
                            cancelled.set()
                            raise
                    return request * 2

                async def gather(requests, context):
                    return b"".join([each async for each in requests])

                async def spread(request, context):
                    for i in range(5):
                        yield request + b"%d" % i

                async def echo(requests, context):
                    async for each in requests:
                        yield each
                    await context.abort(grpc.StatusCode.ABORTED, "enough", (("x-end", "1"),))

                return {
                    "Unary": grpc.unary_unary_rpc_method_handler(unary),
                    "Gather": grpc.stream_unary_rpc_method_handler(gather),
                    "Spread": grpc.unary_stream_rpc_method_handler(spread),
                    "Echo": grpc.stream_stream_rpc_method_handler(echo),
                }[details.method.rsplit("/", 1)[1]]

        server = grpc.aio.server()
        server.add_generic_rpc_handlers((Handler(),))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        with program(tmp_path, {"a": f"127.0.0.1:{port}"}) as started:
            async with grpc.aio.insecure_channel(started.address) as via:
                assert await via.unary_unary("/test.Unsafe/Unary")(b"ab", timeout=30) == b"abab"
                assert await via.stream_unary("/test.Unsafe/Gather")(iter([b"a", b"b"]), timeout=30) == b"ab"
                spread = via.unary_stream("/test.Unsafe/Spread")(b"x", timeout=30)
                assert [each async for each in spread] == [b"x%d" % i for i in range(5)]
                echo = via.stream_stream("/test.Unsafe/Echo")(timeout=30)
                for word in (b"one", b"two"):
                    await echo.write(word)
                    assert await echo.read() == word
                await echo.done_writing()
                assert await echo.code() is grpc.StatusCode.ABORTED and await echo.details() == "enough"
                waiting = via.unary_unary("/test.Unsafe/Unary")(b"wait", timeout=60)
                await asyncio.sleep(0.2)
                waiting.cancel()
                await asyncio.wait_for(cancelled.wait(), 30)
        await server.stop(0)

    asyncio.run(scene())


def test_a_certificate_is_rotated_without_dropping_a_connection(tmp_path):
    box = GrpcInstance("box", EventLog())
    files = certificates(tmp_path)
    config = {"box": box.address}
    try:
        with program(tmp_path, config, None) as started:
            text = started.config.read_text()
            tls = f'  tls {{\n    certificate = "{files.certificate}"\n    key = "{files.key}"\n  }}\n'
            # A reload adds a second listener, with TLS.
            address = f"127.0.0.1:{free_port()}"  # the next port may already be in use by a connection
            more = f'listener "safe" {{\n  protocol = "grpc"\n  address = "{address}"\n{tls}}}\n'
            started.config.write_text(text + more)
            started.hang_up()
            old_ca = files.ca.read_bytes()
            with channel(address, files) as before:
                grpc.channel_ready_future(before).result(30)
                stream = before.stream_stream("/test.Unsafe/Echo")
                go_on = futures.Future()

                def requests():
                    yield b"one"
                    go_on.result(60)
                    yield b"two"

                answers = stream(requests(), timeout=60)
                assert next(answers) == b"one"
                certificates(tmp_path)  # replaces the CA and the certificate in the same files
                assert files.ca.read_bytes() != old_ca
                started.hang_up()
                end = time.monotonic() + 60
                while True:
                    with channel(address, files) as after:
                        try:
                            grpc.channel_ready_future(after).result(2)
                            assert after.unary_unary("/test.Unsafe/Unary")(b"new", timeout=30) == b"new"
                            break
                        except grpc.FutureTimeoutError:
                            assert time.monotonic() < end
                go_on.set_result(None)  # the stream on the connection with the old certificate continues
                assert next(answers) == b"two" and list(answers) == []
                assert play(before, Case("x", "Unary")).messages == [b"hello"]
    finally:
        box.stop()
