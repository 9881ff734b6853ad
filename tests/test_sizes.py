"""Configurations with 1,024 dispatchers or instances."""

import json

import pytest

from pulleyroute.config import load, pool_settings
from pulleyroute.config.build import static_instance_list
from pulleyroute.net.config import load_config
from tests.net.scene import INFO, Scene
from tests.test_config import GOOD

COUNT = 1024
TARGET = 5700  # dispatchers of the largest deployment that the design supports


def test_a_file_may_list_1024_instances_and_as_many_dispatchers(tmp_path):
    instances = "".join(
        f'  instance "r{number}" {{\n    address = "127.0.0.1:{20_000 + number}"\n  }}\n'
        for number in range(COUNT)
    )
    head = f'  protocol = "jobs"\n  dispatchers = {COUNT}\n  number = {COUNT - 1}\n'
    pool = f'pool "many" {{\n{head}{instances}}}\n'
    path = tmp_path / "site.hcl"
    path.write_text(GOOD + pool)
    many = load(path).pool["many"]
    assert len(static_instance_list(many, 1)["members"]) == COUNT
    settings = pool_settings(load(path), many)
    assert (settings.dispatchers, settings.me) == (COUNT, COUNT - 1)


@pytest.mark.parametrize("dispatchers", [COUNT, TARGET])
def test_the_last_of_so_many_dispatchers_begins_with_a_list_of_1024(tmp_path, dispatchers):
    scene = Scene(info={**INFO, "balancers": dispatchers, "me": dispatchers - 1})
    (one,) = scene.table("s-0")["members"]
    members = [{**one, "id": f"s-{number}"} for number in range(COUNT)]
    data = {
        "name": "n",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "known": {"revision": 2, "complete": True, "members": members},
        "settings": {**INFO, "balancers": dispatchers, "me": dispatchers - 1},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(data))
    config = load_config({"PROXY_CONFIG": str(path)})
    assert (config.settings.dispatchers, config.settings.me) == (dispatchers, dispatchers - 1)
    scene.discovery.load_known(config.known)
    assert scene.nonzero_metrics()["cluster_size"] == COUNT
    scene.runners = {member["id"]: scene.runners["s-0"] for member in members}
    client = scene.ask()
    instance, _ = scene.take("t1")
    scene.call(**{"id": "t1", "state": "done", "result": "r", "from": instance})
    assert b" 200 " in client.message()[0]
    scene.close()
