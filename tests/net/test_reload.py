"""Tests a reload at SIGHUP: new settings apply as a whole or not at all, and open jobs keep the old ones."""

import copy
import json
import os
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.__main__ import build, reload
from pulleyroute.net.config import load_config
from pulleyroute.settings import read_settings
from tests.net.scene import INFO, ManualClockLoop, Scene

GOOD = {
    "name": "n",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:9",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 300},
    "settings": INFO,
}


def adopt(scene, **changes):
    """Apply the scene's settings with `changes`, as a reload does."""
    scene.parts.adopt(read_settings({**INFO, **changes})[0])


def classes(**effects):
    """Return job classes for the settings, from names and effects."""
    return [
        {"name": name, "effect": effect, "aim": 1000000, "give-up": 5000000}
        for name, effect in effects.items()
    ]


def test_a_new_class_is_served_a_removed_one_is_unknown_and_open_jobs_keep_theirs():
    scene = Scene()
    old = scene.ask("/charge", "t1")
    scene.loop.until(lambda: scene.host.open_requests)
    scene.runners["s-0"].accept().message()
    adopt(scene, classes=classes(gift="read_like", read="read_like"))
    assert b" 404 " in scene.ask("/charge", "t2").message()[0]
    new = scene.ask("/gift", "t3")
    scene.runners["s-0"].accept().message()
    for txn, peer in (("t1", old), ("t3", new)):
        scene.call(**{"id": txn, "from": "s-0", "state": "done", "result": txn})
        assert peer.message()[1] == txn.encode()
    assert scene.nonzero_metrics() == {
        "answered.charge": 1,
        "answered.gift": 1,
        "sends": 2,
        "cluster_size": 1,
    }


@pytest.mark.parametrize("before", ["non_idempotent", "read_like"])
def test_an_open_job_keeps_its_effect_and_a_new_job_has_the_new_one(before):
    # A charge that may have run must not be repeated just because a new configuration allows repeats of its
    # class.
    after = {"non_idempotent": "read_like", "read_like": "non_idempotent"}[before]
    scene = Scene(instances=3)
    adopt(scene, classes=classes(x=before))
    jobs = {"t1": scene.ask("/x", "t1")}
    scene.loop.until(lambda: scene.host.has_request("t1"))
    adopt(scene, classes=classes(other="read_like", x=after))
    jobs["t2"] = scene.ask("/x", "t2")
    scene.loop.until(lambda: scene.host.has_request("t2"))
    for txn, effect in (("t1", before), ("t2", after)):
        instance, _ = scene.take(txn)
        scene.call(**{"id": txn, "from": instance, "state": "lost"})
        scene.loop.skip(1_000_000)
        again = scene.host.has_request(txn) and len(scene.host._by_txn[txn].attempts) > 1
        assert again is (effect == "read_like")
        assert (b" 502 " in jobs[txn].pull()) is (effect == "non_idempotent")


@pytest.mark.parametrize(("before", "after"), [(1, 4), (3, 1)])
def test_an_open_job_keeps_its_number_of_attempts(before, after):
    scene = Scene(instances=4, **{"max-attempts": before})
    client = scene.ask()
    scene.loop.until(lambda: scene.host.open_requests)
    adopt(scene, caps={**INFO["caps"], "max-attempts": after})
    job = scene.host._by_txn["t1"]
    while scene.host.open_requests:
        open_attempts = [attempt for attempt in job.attempts if not attempt.over]
        if open_attempts:  # the instance accepts and resets the connection, so a repeat is allowed
            scene.runners[open_attempts[0].instance.decode()].accept().close()
            scene.loop.until(lambda attempt=open_attempts[0]: attempt.over)
        scene.loop.skip(20_000)
    assert len(job.attempts) == before and b" 502 " in client.message()[0]


def test_zones_and_kinds_keep_their_numbers_when_the_settings_reorder_them():
    scene = Scene()
    before = scene.host._dispatcher.workers[b"s-0"]
    adopt(
        scene,
        **{
            "areas": ["b", "new", "a"],
            "my-zone": 2,
            "flavors": ["old", "new"],
            "family-info": {"class-kind": [1, 0]},
        },
    )
    settings = scene.host._settings
    assert (settings.zone, before.zone) == (0, 0)
    assert [cls.kind for cls in settings.classes] == [before.kind, 1]


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    path = tmp_path_factory.mktemp("config") / "config.json"
    path.write_text(json.dumps(GOOD))
    os.environ["PROXY_CONFIG"] = str(path)
    config = load_config(os.environ)
    config.listen = ("127.0.0.1", 0)
    yield build(config, ManualClockLoop()), path
    del os.environ["PROXY_CONFIG"]


def state(parts):
    """Return everything that a reload may change."""
    return (
        parts.host._settings,
        parts.clients._settings,
        parts.instances._settings,
        parts.discovery._discovery,
        parts.ledger.limit,
        parts.config.sockets,
        parts.config.settings,
        dict(parts.clients._classes),
    )


def reload_file(parts, path: Path, text: str):
    """Reload with a file of this text; return whether it was applied. Nothing may be applied in part."""
    before, counts = copy.deepcopy(state(parts)), (parts.metrics.conf_loaded, parts.metrics.conf_invalid)
    path.write_text(text)
    reload(parts)
    after = (parts.metrics.conf_loaded, parts.metrics.conf_invalid)
    if after == (counts[0], counts[1] + 1):
        assert state(parts) == before
        return False
    assert after == (counts[0] + 1, counts[1])
    expected = load_config(os.environ)
    assert state(parts)[0] == state(parts)[1] == state(parts)[2] == parts.discovery.adopt(expected.settings)
    assert state(parts)[3] == expected.discovery
    return True


def test_the_budgets_after_a_reload_equal_those_of_the_start(running):
    # Regression: a lower bound meant for two processes gave one process with few descriptors more than its
    # limit.
    config = replace(running[0].config, sockets=64, management=("127.0.0.1", 0))
    parts = build(config, ManualClockLoop())
    before = parts.instances._max_connections, parts.clients._max_connections, parts.clients._max_requests
    parts.apply_limits()
    assert (
        parts.instances._max_connections,
        parts.clients._max_connections,
        parts.clients._max_requests,
    ) == before


def paths(value, prefix=()):
    """Yield the path of every key and item of a JSON value."""
    for key, item in value.items() if isinstance(value, dict) else enumerate(value):
        yield (*prefix, key)
        if isinstance(item, dict | list):
            yield from paths(item, (*prefix, key))


PATHS = list(paths(GOOD))
VALUES = [0, -1, True, None, "4", "soon", float("nan"), float("inf"), 10**400, [], {}, 0.5, [[]], "1.2.3.4:5"]


def changed(path, value):
    """Return a valid file with the value at `path` replaced, or removed if `value` is None."""
    data = copy.deepcopy(GOOD)
    inner = data
    for key in path[:-1]:
        inner = inner[key]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return json.dumps(data)


@given(
    st.one_of(
        st.builds(changed, st.sampled_from(PATHS), st.sampled_from(VALUES)),
        st.integers(0, len(json.dumps(GOOD)) - 1).map(lambda at: json.dumps(GOOD)[:at]),
    )
)
def test_a_damaged_file_applies_as_a_whole_or_changes_nothing(running, text):
    parts, path = running
    reload_file(parts, path, text)
    assert reload_file(parts, path, json.dumps(GOOD)) or "limits" in text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "null",
        "[]",
        json.dumps(GOOD)[:-1],
        *(changed(path, None) for path in PATHS if isinstance(path[-1], str)),
        *(
            changed(("settings", *path), value)
            for value in (0, -1, True, "4", float("nan"), float("inf"), 10**400)
            for path in (("classes", 0, "give-up"), ("classes", 1, "aim"), ("caps", "max-attempts"))
        ),
        changed(("settings", "classes", 1, "name"), "read"),
    ],
)
def test_a_file_without_a_key_or_with_an_invalid_limit_is_rejected(running, text):
    parts, path = running
    assert not reload_file(parts, path, text)
