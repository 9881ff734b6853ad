"""New settings at SIGHUP: taken whole between two events or not at all; open jobs keep what they had."""

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
from tests.net.scene import INFO, Scene, StillLoop

GOOD = {
    "name": "n",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:9",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 300},
    "settings": INFO,
}


def adopt(scene, **changes):
    """What a reload does with its settings, here those of the scene but for the changes."""
    scene.parts.adopt(read_settings({**INFO, **changes})[0])


def classes(**effects):
    return [
        {"name": name, "effect": effect, "aim": 1000000, "give-up": 5000000}
        for name, effect in effects.items()
    ]


def test_a_new_class_serves_a_dropped_one_is_unknown_and_open_jobs_end_as_they_came():
    scene = Scene()
    old = scene.ask("/charge", "t1")
    scene.loop.until(lambda: scene.host.open)
    scene.runners["s-0"].accept().message()
    adopt(scene, classes=classes(gift="read_like", read="read_like"))
    assert b" 404 " in scene.ask("/charge", "t2").message()[0]
    new = scene.ask("/gift", "t3")
    scene.runners["s-0"].accept().message()
    for txn, peer in (("t1", old), ("t3", new)):
        scene.call(**{"id": txn, "from": "s-0", "state": "done", "result": txn})
        assert peer.message()[1] == txn.encode()
    assert scene.shown() == {"answered.charge": 1, "answered.gift": 1, "sends": 2, "cluster_size": 1}


@pytest.mark.parametrize("before", ["non_idempotent", "read_like"])
def test_an_open_job_keeps_its_effect_and_a_new_one_has_the_new(before):
    # Guards the rule on repeats: a charge that may have run is not sent again because a file says by now that
    # its class may be.
    after = {"non_idempotent": "read_like", "read_like": "non_idempotent"}[before]
    scene = Scene(instances=3)
    adopt(scene, classes=classes(x=before))
    jobs = {"t1": scene.ask("/x", "t1")}
    scene.loop.until(lambda: scene.host.knows("t1"))
    adopt(scene, classes=classes(other="read_like", x=after))
    jobs["t2"] = scene.ask("/x", "t2")
    scene.loop.until(lambda: scene.host.knows("t2"))
    for txn, effect in (("t1", before), ("t2", after)):
        instance, _ = scene.take(txn)
        scene.call(**{"id": txn, "from": instance, "state": "lost"})
        scene.loop.skip(1_000_000)
        again = scene.host.knows(txn) and len(scene.host._by_txn[txn].attempts) > 1
        assert again is (effect == "read_like")
        assert (b" 502 " in jobs[txn].pull()) is (effect == "non_idempotent")


@pytest.mark.parametrize(("before", "after"), [(1, 4), (3, 1)])
def test_an_open_job_keeps_its_number_of_attempts(before, after):
    scene = Scene(instances=4, **{"max-attempts": before})
    client = scene.ask()
    scene.loop.until(lambda: scene.host.open)
    adopt(scene, caps={**INFO["caps"], "max-attempts": after})
    job = scene.host._by_txn["t1"]
    while scene.host.open:
        out = [e for e in job.attempts if not e.over]
        if out:  # it is connected and reset: it may be repeated
            scene.runners[out[0].instance.decode()].accept().close()
            scene.loop.until(lambda e=out[0]: e.over)
        scene.loop.skip(20_000)
    assert len(job.attempts) == before and b" 502 " in client.message()[0]


def test_zones_and_kinds_keep_their_numbers_when_the_lists_change_their_order():
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
    yield build(config, StillLoop()), path
    del os.environ["PROXY_CONFIG"]


def state(parts):
    return (
        parts.host._settings,
        parts.clients._settings,
        parts.instances._settings,
        parts.discovery._discovery,
        parts.ledger.most,
        parts.config.sockets,
        parts.config.settings,
        dict(parts.clients._classes),
    )


def sent(parts, path: Path, text: str):
    """Whether a reload took the file; either way nothing may be half done."""
    before, counts = copy.deepcopy(state(parts)), (parts.metrics.conf_loaded, parts.metrics.conf_invalid)
    path.write_text(text)
    reload(parts)
    after = (parts.metrics.conf_loaded, parts.metrics.conf_invalid)
    if after == (counts[0], counts[1] + 1):
        assert state(parts) == before
        return False
    assert after == (counts[0] + 1, counts[1])
    wanted = load_config(os.environ)
    assert state(parts)[0] == state(parts)[1] == state(parts)[2] == parts.discovery.adopt(wanted.settings)
    assert state(parts)[3] == wanted.discovery
    return True


def test_the_budgets_of_the_start_are_those_of_a_reload(running):
    # Failure: a floor that is meant for two processes gave one of few descriptors more than its limit.
    config = replace(running[0].config, sockets=64, management=("127.0.0.1", 0))
    parts = build(config, StillLoop())
    before = parts.instances._most, parts.clients._most, parts.clients._most_jobs
    parts.apply_limits()
    assert (parts.instances._most, parts.clients._most, parts.clients._most_jobs) == before


def paths(value, at=()):
    """The place of every key and item of a JSON value."""
    for key, item in value.items() if isinstance(value, dict) else enumerate(value):
        yield (*at, key)
        if isinstance(item, dict | list):
            yield from paths(item, (*at, key))


PATHS = list(paths(GOOD))
VALUES = [0, -1, True, None, "4", "soon", float("nan"), float("inf"), 10**400, [], {}, 0.5, [[]], "1.2.3.4:5"]


def changed(path, value):
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
def test_a_mutilated_file_is_taken_whole_or_changes_nothing(running, text):
    parts, path = running
    sent(parts, path, text)
    assert sent(parts, path, json.dumps(GOOD)) or "limits" in text


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
def test_what_lacks_a_key_or_has_a_senseless_limit_is_turned_down(running, text):
    parts, path = running
    assert not sent(parts, path, text)
