"""Changes to a running service: they apply completely or not at all, and no open call is lost."""

import socket

import pytest
from loguru import logger

from pulleyroute.cli.serve import reload
from pulleyroute.config import load
from pulleyroute.grpc.messages import framed
from pulleyroute.service import CannotServe, Service
from tests.grpc.scene import Peer, ScriptedInstance
from tests.net.scene import SECOND, Listener, ManualClockLoop, operate

CONFIG = """
listener "calls" {{
  protocol = "grpc"
  address  = "127.0.0.1:{port}"
  limits {{
    message = "{message}"
    drain   = "5s"
  }}
}}
pool "apps" {{
  protocol = "grpc"
  attempts = {attempts}
{instances}}}
class "charge" {{
  effect  = "unsafe"
  aim     = "1s"
  give_up = "20s"
}}
route "pay" {{
  service = "{service}"
  pool    = "apps"
  class   = "charge"
}}
"""


class ServiceScene:
    """A service with scripted instances, on a clock that only the test advances."""

    def __init__(self, tmp_path, boxes=2):
        logger.remove()
        self.path, self.loop = tmp_path / "site.hcl", ManualClockLoop()
        self.boxes = {f"a-{i}": ScriptedInstance(self.loop) for i in range(boxes)}
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.values = {"message": "4MiB", "attempts": 4, "service": "shop.Pay", "port": self.port}
        self.listed = list(self.boxes)
        self.service = Service(self.loop, self.config())

    def config(self, **changes):
        """Write the configuration with changed values to the file, and load it."""
        self.values |= changes
        instances = "".join(
            '  instance "{}" {{\n    address = "{}:{}"\n  }}\n'.format(
                name, *self.boxes[name].sock.getsockname()
            )
            for name in self.listed
        )
        self.path.write_text(CONFIG.format(instances=instances, **self.values))
        return load(self.path)

    def apply(self, **changes):
        return self.service.apply(self.config(**changes))

    def client(self, port=None):
        return Peer(self.loop, socket.create_connection(("127.0.0.1", port or self.values["port"])), True)

    def next_call(self):
        """Wait for the next call at any instance; return the instance's name and the stream."""

        def pull_call():
            for name, box in self.boxes.items():
                for stream in box.pull():
                    box._taken.add(stream)
                    return name, stream
            return None

        return self.loop.until(pull_call)


def test_a_call_in_hand_ends_under_its_old_pool_and_new_ones_go_to_the_new(tmp_path):
    scene = ServiceScene(tmp_path)
    client = scene.client()
    call = client.call()
    _, seen = scene.next_call()
    old = scene.service.pools["apps"].host
    plan = scene.apply(attempts=2)  # a setting of the decision module, so the pool is replaced
    assert plan.new_pools == ["apps"] == plan.removed_pools and plan.kept_listeners == ["calls"]
    after = client.call()
    _, other = scene.next_call()
    assert other.peer is not seen.peer
    for each, message in ((seen, b"old"), (other, b"new")):
        each.wait_for_end().answer(message)
    assert call.status() == 0 and call.body == framed(b"old")
    assert after.status() == 0 and after.body == framed(b"new")
    scene.loop.skip(3 * SECOND)
    assert (
        not old.tracked_requests
        and not scene.service._retired_pools
        and old._dispatcher.now < scene.loop.now() - SECOND
    )


def test_an_instance_taken_out_gets_nothing_new_and_finishes_what_it_has(tmp_path):
    scene = ServiceScene(tmp_path)
    client = scene.client()
    calls = [client.call() for _ in range(4)]
    seen = [scene.next_call() for _ in range(4)]
    removed = scene.listed.pop()
    plan = scene.apply()
    assert plan.kept_pools == ["apps"] and not plan.new_pools
    later_calls = [client.call() for _ in range(6)]
    later_seen = [scene.next_call() for _ in range(6)]
    assert all(name != removed for name, _ in later_seen)
    for _, each in seen + later_seen:
        each.wait_for_end().answer(b"")
    assert [each.status() for each in calls + later_calls] == [0] * 10


def test_routes_and_limits_change_on_a_connection_that_stays(tmp_path):
    scene = ServiceScene(tmp_path)
    client = scene.client()
    assert client.call("/shop.New/Do").status() == 12
    scene.apply(service="shop.New", message="1KiB")
    call = client.call("/shop.New/Do")
    scene.next_call()[1].wait_for_end().answer(b"")
    assert call.status() == 0 and client.call("/shop.Pay/Do").status() == 12
    assert client.call("/shop.New/Do", b"x" * 2000, end=False).status() == 8 and not client.gone


def test_a_listener_that_moves_drains_at_its_old_address(tmp_path):
    scene = ServiceScene(tmp_path)
    client = scene.client()
    call = client.call()
    _, seen = scene.next_call()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    scene.apply(port=port)
    scene.loop.until(lambda: client.pull() and client.goaways)
    other = scene.client(port).call()
    scene.next_call()[1].wait_for_end().answer(b"new")
    seen.wait_for_end().answer(b"old")
    assert call.status() == 0 and other.status() == 0
    with pytest.raises(ConnectionRefusedError):
        scene.client(scene.port)


def test_what_cannot_be_put_in_force_changes_nothing(tmp_path):
    scene = ServiceScene(tmp_path)
    before = scene.service.config, dict(scene.service.pools), dict(scene.service.grpc_listeners)
    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(CannotServe, match="cannot listen"):
        scene.apply(port=taken.getsockname()[1], attempts=1, service="shop.Other")
    assert (scene.service.config, scene.service.pools, scene.service.grpc_listeners) == before
    scene.values["port"] = scene.port
    call = scene.client().call()
    scene.next_call()[1].wait_for_end().answer(b"")
    assert call.status() == 0


@pytest.mark.parametrize("lists", ["asked", "pushed"])
def test_a_pool_with_discovery_asks_it_at_once(tmp_path, lists):
    scene = ServiceScene(tmp_path)
    discovery = Listener(scene.loop)
    text = scene.path.read_text()
    start, end = text.index("pool "), text.index("class ")
    pool = 'pool "apps" {{\n  protocol = "grpc"\n  discovery = "{}:{}"\n  lists = "{}"\n}}\n'.format(
        *discovery.address, lists
    )
    scene.path.write_text(text[:start] + pool + text[end:])
    plan = scene.service.apply(load(scene.path))
    assert plan.new_pools == ["apps"]  # the decision module of a pool without discovery never asks again
    before = scene.loop.time
    head, _ = discovery.accept().message()
    assert head.startswith(b"GET /api/targets?watch=1") and scene.loop.time == before
    assert scene.service.pools["apps"].settings.list_on_request is (lists == "asked")


def test_a_stop_finishes_what_is_out_and_then_ends_the_loop(tmp_path):
    scene = ServiceScene(tmp_path)
    client = scene.client()
    call = client.call()
    _, seen = scene.next_call()
    scene.service.stop()
    scene.loop.skip(2 * SECOND)
    assert not scene.loop.stopped
    seen.wait_for_end().answer(b"")
    assert call.status() == 0
    scene.loop.until(lambda: client.pull() and client.gone)
    scene.loop.skip(SECOND)
    assert scene.loop.stopped and scene.loop.errors == []


def test_the_admin_listener_shows_calls_and_moves_health_and_job_listeners(tmp_path):
    scene = ServiceScene(tmp_path)
    config = scene.config()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        config.management = free.getsockname()
    config.listener["calls"].address = ("127.0.0.1", 0)
    service = Service(scene.loop, config)

    def admin_request(method, path):
        return operate(scene.loop, config.management, method, path)

    call = scene.client(service.grpc_listeners["calls"].address[1]).call()
    scene.next_call()[1].wait_for_end().answer(b"done")
    assert call.status() == 0
    text = admin_request("GET", "/status/metrics")[1].decode()
    for line in ("answered.charge:1|c", "errored.charge:0|c", "sends:1|c", "current:0|g", "cluster_size:2|g"):
        assert f"app.{line}\n" in text
    assert admin_request("POST", "/standby") == (200, b"standby\n") and not service.health.serving
    assert admin_request("GET", "/status") == (200, b"standby\n")
    assert admin_request("POST", "/active") == (200, b"serving\n") and service.health.serving
    service.stop()
    assert admin_request("POST", "/active")[0] == 409


def test_a_listener_that_comes_in_a_standby_is_on_standby_and_the_counts_of_reloads_are_told(tmp_path):
    scene = ServiceScene(tmp_path)
    scene.service.standby()
    text = (
        scene.path.read_text()
        + """
listener "jobs" {
  protocol = "jobs"
  address  = "127.0.0.1:0"
  pool     = "boxes"
}
pool "boxes" {
  protocol  = "jobs"
  discovery = "127.0.0.1:9"
}
"""
    )
    scene.path.write_text(text)
    reload(scene.service, scene.path)
    assert not scene.service.job_listeners["jobs"].lifecycle.ready
    scene.path.write_text("{")
    reload(scene.service, scene.path)
    assert (scene.service.metrics.conf_loaded, scene.service.metrics.conf_invalid) == (1, 1)
    scene.service.active()
    assert scene.service.job_listeners["jobs"].lifecycle.ready
