"""Rare conditions of the whole process: a signal at its start, discovery down, no free descriptors."""

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
TIMEOUT = 60  # seconds
SOCKETS = 64  # the lowest limit that a configuration may set
# A `sitecustomize` module: the interpreter waits at its start until the gate is opened and closed.
WAIT_AT_START = """
import os
if os.environ.get("START_GATE"):
    with open(os.environ.pop("START_GATE")) as gate:
        gate.read()
"""


def free_address(host):
    with socket.create_server((host, 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT)


def get(address, path):
    """Return the response to one request on a new connection, None if nothing listens."""
    try:
        with connect(address) as sock:
            sock.sendall(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)
            return b"".join(iter(lambda: sock.recv(65536), b""))
    except ConnectionError:
        return None


def ready(address):
    return (get(address, b"/-/ready") or b"").startswith(b"HTTP/1.1 200 ")


def ended(sock):
    """Return whether the peer has closed the connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False


def read_message(sock):
    """Read one complete HTTP message."""
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
        assert piece, "the peer closed the connection"
        data += piece


class Program:
    """The `run` command of the deploy file, with its own configuration and resource limits."""

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
        command = run.replace(".venv/bin/python", sys.executable)
        assert command != run
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**environ, "PROXY_CONFIG": str(path), **(env or {})},
            preexec_fn=lambda: [
                resource.setrlimit(getattr(resource, name), (limit, limit)) for name, limit in limits.items()
            ],
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.process.kill()
        self.process.communicate()


def test_a_reload_signal_before_the_program_runs_does_not_end_it(tmp_path):
    # SIGHUP ends a process by default, so a reload during a restart would end one that doesn't handle it yet.
    (tmp_path / "sitecustomize.py").write_text(WAIT_AT_START)
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    env = {"PYTHONPATH": str(tmp_path), "START_GATE": str(gate)}
    with Program(tmp_path, "127.77.13.6", "127.77.13.6:1", env) as program:
        with open(gate, "w"):  # opens when the interpreter waits, before any line of the program has run
            program.process.send_signal(signal.SIGHUP)
        until(lambda: ready(program.address))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: b"configuration read again" in program.process.stderr.readline())
        assert program.process.poll() is None


@pytest.mark.parametrize("fault", ["refuses", "hangs"])
def test_the_program_gets_ready_while_discovery_is_down(tmp_path, fault):
    with ExitStack() as stack:
        discovery = stack.enter_context(socket.create_server(("127.77.13.7", 0)))
        address = "{}:{}".format(*discovery.getsockname())
        if fault == "refuses":
            discovery.close()
        program = stack.enter_context(Program(tmp_path, "127.77.13.7", address))
        until(lambda: ready(program.address))


def test_idle_clients_take_no_descriptors_from_discovery_instances_or_callbacks(tmp_path):
    # Clients could take every descriptor while discovery is down, and keep their connections open.
    host = "127.77.13.8"
    with ExitStack() as stack:
        discovery = stack.enter_context(socket.create_server((host, 0)))
        runner = stack.enter_context(socket.create_server((host, 0)))
        address = "{}:{}".format(*discovery.getsockname())
        program = stack.enter_context(Program(tmp_path, host, address, RLIMIT_NOFILE=SOCKETS))
        until(lambda: ready(program.address))
        request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        for _ in range(3 * SOCKETS):  # idle after one request; discovery has not answered yet
            client = stack.enter_context(connect(program.address))
            client.sendall(request)
            assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
        for listener in (discovery, runner):
            listener.settimeout(TIMEOUT)
        while True:  # discovery is back: wait for a watch that has not been closed
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
        assert b"X-Txn: t1" in read_message(job)
        job.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        body = b'{"id":"t1","from":"s-0","state":"done","result":"r"}'
        call = stack.enter_context(connect(program.address))
        call.sendall(callback(body))
        assert b" 204 " in call.recv(65536)
        assert read_message(client).endswith(b"\r\n\r\nr")
        assert program.process.poll() is None
