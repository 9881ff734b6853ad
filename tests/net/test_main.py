"""Tests the program as users start it, with the examples' configurations and toy server, until SIGTERM."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from pulleyroute.__main__ import ensure_descriptors

ROOT = Path(__file__).parent.parent.parent
HOST = "127.77.13.5"  # a loopback address that nothing else uses
TIMEOUT = 60  # seconds


def exchange(data):
    """Send a request on its own connection; return the full answer, or None while no process listens."""
    try:
        with socket.create_connection((HOST, 8080), timeout=TIMEOUT) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))
    except ConnectionError:
        return None


def get(path):
    return exchange(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)


def read_log_until(node, text):
    """Return the program's log up to and including the line that contains `text`."""
    lines = b""
    while text not in lines:
        line = node.stderr.readline()
        assert line, "the program ended"
        lines += line
    return lines


def until(condition):
    end = time.monotonic() + TIMEOUT
    while not (value := condition()):
        assert time.monotonic() < end, "the condition was not met in time"
        time.sleep(0.02)
    return value


@pytest.mark.parametrize(
    ("example", "path_of_class"), [("config.json", b"/balance-check"), ("pushed.json", b"/show-menu")]
)
def test_the_examples_serve_and_sigterm_ends_them_cleanly(tmp_path, example, path_of_class):
    text = (ROOT / "examples" / example).read_text().replace("127.0.0.1", HOST)
    assert json.loads(text)["listen"] == f"{HOST}:8080"
    path, old = tmp_path / "config.json", json.loads(text)["discovery"]
    path.write_text(text)
    env = dict(os.environ)
    for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PYTHONPATH"):
        env.pop(name, None)
    toy = subprocess.Popen(
        [sys.executable, "-m", "examples.toy_server", HOST], cwd=ROOT, env=env, stdout=subprocess.PIPE
    )
    node = subprocess.Popen(
        [sys.executable, "-m", "pulleyroute"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**env, "PROXY_CONFIG": str(path), "PROXY_DISCOVERY": old},
    )
    try:
        assert [toy.stdout.readline() for _ in range(3)][-1].startswith(b"s-two listens")
        until(lambda: (get(b"/-/ready") or b"").startswith(b"HTTP/1.1 200 "))
        answer = exchange(
            b"POST " + path_of_class + b" HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 60000\r\n"
            b"Content-Length: 5\r\nConnection: close\r\n\r\nhello"
        )
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b" did hello")
        # A reload with an invalid file changes nothing. With a valid file the program switches to the new
        # discovery, although the environment variable names the old one.
        path.write_text("{")
        node.send_signal(signal.SIGHUP)
        log = read_log_until(node, b"configuration not read again")
        with socket.create_server((HOST, 0)) as discovery:
            discovery.settimeout(TIMEOUT)
            address = "{}:{}".format(*discovery.getsockname())
            path.write_text(json.dumps(json.loads(text) | {"discovery": address, "name": "other"}))
            node.send_signal(signal.SIGHUP)
            with discovery.accept()[0] as call:
                assert call.recv(65536).startswith(b"GET /api/targets HTTP")
            log += read_log_until(node, b"a change of name needs a restart")
            assert b"configuration read again: discovery %s:" % HOST.encode() in log
        assert get(b"/-/ready").startswith(b"HTTP/1.1 200 ")
        node.send_signal(signal.SIGTERM)
        until(lambda: not (get(b"/-/ready") or b"").startswith(b"HTTP/1.1 200 "))
        assert node.wait(TIMEOUT) == 0
        assert b"all requests are answered, stopping" in node.stderr.read()
    finally:
        for process in (node, toy):
            process.kill()
            process.wait()


def test_the_budget_respects_the_descriptor_limit_of_the_process(monkeypatch):
    limits = {"now": (256, 512)}
    monkeypatch.setattr(resource, "getrlimit", lambda which: limits["now"])
    monkeypatch.setattr(resource, "setrlimit", lambda which, new: limits.update(now=new))
    assert ensure_descriptors(128) == 128 and limits["now"] == (256, 512)
    assert ensure_descriptors(400) == 400 and limits["now"] == (400, 512)
    assert ensure_descriptors(1024) == 512 and limits["now"] == (512, 512)
