"""The program as users start it, with the example's configuration and toy server, until SIGTERM."""

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
HOST = "127.77.13.5"  # an address that nothing else uses
GIVEN_TIME = 60


def exchange(data):
    """One request on a connection of its own: the whole answer, or None while nobody listens."""
    try:
        with socket.create_connection((HOST, 8080), timeout=GIVEN_TIME) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))
    except ConnectionError:
        return None


def get(path):
    return exchange(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)


def until_line(node, mark):
    """What the program logs up to the line with this in it."""
    lines = b""
    while mark not in lines:
        line = node.stderr.readline()
        assert line, "it ended"
        lines += line
    return lines


def until(condition):
    end = time.monotonic() + GIVEN_TIME
    while not (value := condition()):
        assert time.monotonic() < end, "it did not come"
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
        # A reload: a file that can't be used changes nothing; a good one moves it to the new discovery,
        # though the variable names the old one.
        path.write_text("{")
        node.send_signal(signal.SIGHUP)
        log = until_line(node, b"configuration not read again")
        with socket.create_server((HOST, 0)) as discovery:
            discovery.settimeout(GIVEN_TIME)
            address = "{}:{}".format(*discovery.getsockname())
            path.write_text(json.dumps(json.loads(text) | {"discovery": address, "name": "other"}))
            node.send_signal(signal.SIGHUP)
            with discovery.accept()[0] as call:
                assert call.recv(65536).startswith(b"GET /api/targets HTTP")
            log += until_line(node, b"a change of name needs a restart")
            assert b"configuration read again: discovery %s:" % HOST.encode() in log
        assert get(b"/-/ready").startswith(b"HTTP/1.1 200 ")
        node.send_signal(signal.SIGTERM)
        until(lambda: not (get(b"/-/ready") or b"").startswith(b"HTTP/1.1 200 "))
        assert node.wait(GIVEN_TIME) == 0
        assert b"all is answered, leaving" in node.stderr.read()
    finally:
        for process in (node, toy):
            process.kill()
            process.wait()


def test_the_budget_follows_the_limit_of_the_process(monkeypatch):
    limits = {"now": (256, 512)}
    monkeypatch.setattr(resource, "getrlimit", lambda which: limits["now"])
    monkeypatch.setattr(resource, "setrlimit", lambda which, new: limits.update(now=new))
    assert ensure_descriptors(128) == 128 and limits["now"] == (256, 512)
    assert ensure_descriptors(400) == 400 and limits["now"] == (400, 512)
    assert ensure_descriptors(1024) == 512 and limits["now"] == (512, 512)
