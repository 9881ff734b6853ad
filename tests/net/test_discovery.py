"""Tests the discovery client against a scripted discovery, and the reading of the configuration."""

import json
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pulleyroute.interface import ListKind, Subscribe, WorkerState
from pulleyroute.net.config import ConfigError, load_config
from tests.net.scene import INFO, SECOND, Listener, Scene

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def record_updates(scene):
    """Record the updates that the client reports, in place of the host that handles them."""
    updates = []
    scene.discovery.on_update = updates.append
    scene.host._action_handlers[Subscribe] = (
        lambda action: None
    )  # the test makes the calls, not the decision logic
    return updates


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.lists(st.integers(0, 600), max_size=8))
def test_a_watch_reports_its_lines_however_they_are_split(positions):
    scene = Scene(instances=2)
    updates = record_updates(scene)
    scene.discovery.watch(True)
    peer = scene.discovery_peer.accept()
    assert b"GET /api/targets?watch=1&from=1 " in peer.message()[0]
    lines = [
        json.dumps(scene.table("s-0", phase="leaving", complete=False, revision=2)),
        "",
        json.dumps(scene.table("s-1", revision=3)),
    ]
    data = "".join(line + "\n" for line in lines).encode()
    cuts = sorted({position % len(data) for position in positions} | {0, len(data)})
    peer.send(CHUNKED_HEAD + b"".join(chunk(data[a:b]) for a, b in pairwise(cuts)))
    scene.loop.until(lambda: len(updates) == 2)
    assert [(update.version, update.kind) for update in updates] == [(2, ListKind.DELTA), (3, ListKind.FULL)]
    assert updates[0].entries[0].state is WorkerState.DRAINING
    assert not scene.discovery.active(b"s-0") and scene.discovery.active(b"s-1")
    assert scene.discovery.member(b"s-0") is not None  # an instance that has left stays known
    for end in (scene.discovery_peer.sock, peer, *(r.sock for r in scene.runners.values())):
        end.close()


def test_a_watch_without_a_line_for_three_seconds_is_broken():
    # When the network to discovery is cut, the connection stays open but carries no data.
    scene = Scene()
    updates = record_updates(scene)
    scene.discovery.watch(True)
    peer = scene.discovery_peer.accept()
    peer.message()
    peer.send(CHUNKED_HEAD)
    for _ in range(3):
        scene.loop.settle()
        scene.loop.skip(2 * SECOND)
        peer.send(chunk(b"\n"))
    scene.loop.settle()
    assert not updates
    scene.loop.skip(3 * SECOND)
    assert [update.kind for update in updates] == [ListKind.FAILED]


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        CHUNKED_HEAD + b"0\r\n\r\n",
        CHUNKED_HEAD + chunk(b"{}\n"),
        CHUNKED_HEAD + chunk(b"garbage\n"),
        CHUNKED_HEAD + chunk(b'{"revision":1,"complete":true,"members":[{}]}\n'),
    ],
)
@pytest.mark.parametrize("call", ["watch", "fetch"])
def test_failed_calls_are_reported_and_leave_the_list_unchanged(answer, call):
    scene = Scene()
    updates = record_updates(scene)
    scene.discovery.watch(True) if call == "watch" else scene.discovery.fetch()
    peer = scene.discovery_peer.accept()
    peer.message()
    peer.send(answer)
    peer.close()
    scene.loop.until(lambda: updates)
    assert [update.kind for update in updates] == [ListKind.FAILED] and scene.discovery.active(b"s-0")


def test_a_fetch_reports_the_full_list():
    scene = Scene(instances=2)
    updates = record_updates(scene)
    scene.discovery.fetch()
    peer = scene.discovery_peer.accept()
    peer.message()
    body = json.dumps(scene.table("s-1", revision=7)).encode()
    peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    scene.loop.until(lambda: updates)
    assert (updates[0].version, updates[0].kind) == (7, ListKind.FULL) and not scene.discovery.active(b"s-0")


def test_an_address_change_fetches_the_full_list_and_retries_in_time():
    # After a reload, the old address's versions may be meaningless at the new one, and the end of the old
    # watch is not a failure. The regular pauses after a failure are longer than a change of address may take.
    scene = Scene(instances=2)
    updates = record_updates(scene)
    scene.discovery.watch(True)
    old, new = scene.discovery_peer.accept(), Listener(scene.loop)
    old.message()
    old.send(CHUNKED_HEAD)
    scene.discovery.set_address(new.address)
    first = new.accept()
    assert first.message()[0].startswith(b"GET /api/targets HTTP")
    first.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    old.close()
    scene.loop.settle()
    scene.loop.skip(SECOND)
    second = new.accept()
    assert second.message()[0].startswith(b"GET /api/targets HTTP")
    body = json.dumps(scene.table("s-1", revision=1)).encode()
    second.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    watch = new.accept()
    assert b"?watch=1&from=1 " in watch.message()[0]
    assert [update.kind for update in updates] == [ListKind.FULL] and scene.discovery.active(b"s-1")
    assert not scene.discovery.active(b"s-0") and scene.discovery.member(b"s-0") is not None
    scene.discovery.set_address(new.address)  # the address is unchanged
    assert new.untouched()
    scene.discovery.set_address(scene.discovery_peer.address)
    scene.discovery_peer.sock.close()
    scene.loop.settle()
    scene.loop.skip(6 * SECOND)
    # From here on the regular pauses apply.
    assert [update.kind for update in updates] == [ListKind.FULL, ListKind.FAILED]


def test_a_list_requested_before_an_address_change_is_rejected():
    scene = Scene(instances=2)
    updates = record_updates(scene)
    scene.discovery.fetch()
    peer = scene.discovery_peer.accept()
    peer.message()
    scene.discovery.set_address(Listener(scene.loop).address)
    body = json.dumps(scene.table("s-1", revision=9)).encode()
    peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    scene.loop.until(lambda: updates)
    assert [update.kind for update in updates] == [ListKind.FAILED] and scene.discovery.active(b"s-0")


def test_start_times_are_converted_to_the_loops_clock():
    scene = Scene()
    scene.discovery.list._epoch = 5_000 * SECOND
    table = scene.table("s-0")
    for unix_ms, expected in ((0, 0), (5_000_000, 1), (5_000_250, 250_000), (4_999_999, -1000)):
        table["members"][0]["up_since_ms"] = unix_ms
        assert scene.discovery.list.apply(table, cached=False).entries[0].started == expected


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=4),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["revision", "complete", "members", "id", "phase", "host_port", "size", "cell"]),
            inner,
            max_size=6,
        ),
    )
)
def test_garbage_in_a_list_is_a_value_error(data):
    client = SCENE.discovery
    for item in (data, {"revision": 1, "complete": True, "members": [data]}):
        try:
            client.list.apply(item, cached=False)
        except ValueError:
            continue


SCENE = Scene()
CONFIG = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ff", "settings": INFO}


@pytest.mark.parametrize(
    ("change", "mentioned"),
    [
        (None, "not JSON"),
        ([], "not a JSON object"),
        ({"listen": "x"}, "HOST:PORT"),
        ({"name": 3}, "name"),
        ({"seed": "zz"}, "seed"),
        ({"settings": {}}, "classes"),
        ({"settings": None}, "settings"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"known": [], "listen": "127.0.0.1:1234"}, "known"),
        ({}, "PROXY_FD"),
    ],
)
def test_a_bad_configuration_exits_with_a_one_line_message(tmp_path, change, mentioned):
    path = tmp_path / "config.json"
    good = {**CONFIG, "listen": "127.0.0.1:8080"}
    text = "{" if change is None else json.dumps({**good, **change} if isinstance(change, dict) else change)
    path.write_text(text)
    env = {"PROXY_CONFIG": str(path)} | ({"PROXY_FD": "77"} if mentioned == "PROXY_FD" else {})
    finished = subprocess.run(
        [sys.executable, "-m", "pulleyroute"],
        env=env,
        capture_output=True,
        cwd=Path(__file__).parent.parent.parent,
        timeout=60,
        check=False,
    )
    assert (
        finished.returncode == 2
        and finished.stderr.count(b"\n") == 1
        and mentioned.encode() in finished.stderr
    )


def test_the_variables_take_precedence_over_the_file(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, "listen": "127.0.0.1:8080", "limits": {"sockets": 512}}))
    config = load_config({"PROXY_CONFIG": str(path), "PROXY_NAME": "m", "PROXY_LISTEN": "127.0.0.2:81"})
    assert (config.name, config.listen, config.seed, config.sockets) == ("m", ("127.0.0.2", 81), 255, 512)
    at_start = load_config({"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": "127.0.0.3:5"})
    reloaded = load_config({"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": "127.0.0.3:5"}, at_start)
    assert (at_start.discovery, reloaded.discovery) == (("127.0.0.3", 5), ("127.0.0.1", 9))
    with pytest.raises(ConfigError, match="PROXY_CONFIG"):
        load_config({})
