"""The program in its rarest moments: a signal before it runs, descriptors full while discovery is down."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tomllib
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.net.scene import INFO, callback
from tests.net.test_discovery import CHUNKED_HEAD, chunk
from tests.net.test_main import until

ROOT = Path(__file__).parent.parent
GIVEN_TIME = 60
SOCKETS = 64  # the fewest that a configuration may name
HELD_BACK = """
import os
if os.environ.get("HELD_BACK"):
    with open(os.environ.pop("HELD_BACK")) as gate:
        gate.read()
"""


def free_address(host):
    with socket.create_server((host, 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=GIVEN_TIME)


def get(address, path):
    """The answer to one request on a connection of its own, None while nobody listens."""
    try:
        with connect(address) as sock:
            sock.sendall(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)
            return b"".join(iter(lambda: sock.recv(65536), b""))
    except ConnectionError:
        return None


def ready(address):
    return (get(address, b"/-/ready") or b"").startswith(b"HTTP/1.1 200 ")


def ended(sock):
    """Whether the other end has closed the connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False


def whole(sock):
    """One whole message."""
    data = b""
    while True:
        head, mark, rest = data.partition(b"\r\n\r\n")
        lengths = [
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        ]
        if mark and len(rest) >= sum(lengths):
            return data
        piece = sock.recv(65536)
        assert piece, "it ended"
        data += piece


class Program:
    """`run` of the deploy file, with a configuration of its own."""

    def __init__(self, tmp_path, host, discovery, env=None, **limits):
        self.address, path = free_address(host), tmp_path / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": self.address,
                    "seed": "1",
                    "discovery": discovery,
                    "settings": INFO,
                    "limits": {"sockets": SOCKETS},
                }
            )
        )
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        here = run.replace(".venv/bin/python", sys.executable)
        assert here != run
        clean = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", here],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**clean, "PROXY_CONFIG": str(path), **(env or {})},
            preexec_fn=lambda: [
                resource.setrlimit(getattr(resource, name), (most, most)) for name, most in limits.items()
            ],
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.process.kill()
        self.process.communicate()


def test_a_new_configuration_told_before_the_program_runs_does_not_end_it(tmp_path):
    # Guards a restart: until the program hears signals, SIGHUP would end it, as it does by default.
    (tmp_path / "sitecustomize.py").write_text(HELD_BACK)
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    env = {"PYTHONPATH": str(tmp_path), "HELD_BACK": str(gate)}
    with Program(tmp_path, "127.77.13.6", "127.77.13.6:1", env) as program:
        with open(gate, "w"):  # opens once the interpreter stands there, before a line of the program has run
            program.process.send_signal(signal.SIGHUP)
        until(lambda: ready(program.address))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: b"configuration read again" in program.process.stderr.readline())
        assert program.process.poll() is None


@pytest.mark.parametrize("way", ["refuses", "hangs"])
def test_it_is_ready_whatever_discovery_does(tmp_path, way):
    with ExitStack() as stack:
        discovery = stack.enter_context(socket.create_server(("127.77.13.7", 0)))
        address = "{}:{}".format(*discovery.getsockname())
        if way == "refuses":
            discovery.close()
        program = stack.enter_context(Program(tmp_path, "127.77.13.7", address))
        until(lambda: ready(program.address))


def test_idle_clients_take_no_descriptor_from_discovery_instances_or_call_backs(tmp_path):
    # Guards the service against clients that fill every descriptor while discovery is down and stay.
    host = "127.77.13.8"
    with ExitStack() as stack:
        discovery = stack.enter_context(socket.create_server((host, 0)))
        runner = stack.enter_context(socket.create_server((host, 0)))
        address = "{}:{}".format(*discovery.getsockname())
        program = stack.enter_context(Program(tmp_path, host, address, RLIMIT_NOFILE=SOCKETS))
        until(lambda: ready(program.address))
        known = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        for _ in range(3 * SOCKETS):  # known ones, that rest from then on: discovery has not answered yet
            client = stack.enter_context(connect(program.address))
            client.sendall(known)
            assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
        for listener in (discovery, runner):
            listener.settimeout(GIVEN_TIME)
        while True:  # it is back: a watch gets through, of which the caller still waits for the answer
            watch = stack.enter_context(discovery.accept()[0])
            if b"watch=1" in watch.recv(65536) and not ended(watch):
                break
        members = [
            {
                "id": "s-0",
                "host_port": "{}:{}".format(*runner.getsockname()),
                "locality": "a",
                "flavor": "new",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
        ]
        line = json.dumps({"revision": 1, "complete": True, "members": members}).encode() + b"\n"
        watch.sendall(CHUNKED_HEAD + chunk(line))
        client = stack.enter_context(connect(program.address))
        client.sendall(
            b"POST /read HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 60000\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        job = stack.enter_context(runner.accept()[0])
        assert b"X-Txn: t1" in whole(job)
        job.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        body = b'{"id":"t1","from":"s-0","state":"done","result":"r"}'
        call = stack.enter_context(connect(program.address))
        call.sendall(callback(body))
        assert b" 204 " in call.recv(65536)
        assert whole(client).endswith(b"\r\n\r\nr")
        assert program.process.poll() is None
