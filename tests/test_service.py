"""A running service that is changed: all of a change or none of it, and nothing in hand is lost."""

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


class Play:
    """A service in front of scripted boxes, on a clock that stands still."""

    def __init__(self, tmp_path, boxes=2):
        logger.remove()
        self.path, self.loop = tmp_path / "site.hcl", ManualClockLoop()
        self.boxes = {f"a-{i}": ScriptedInstance(self.loop) for i in range(boxes)}
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.now = {"message": "4MiB", "attempts": 4, "service": "shop.Pay", "port": self.port}
        self.names = list(self.boxes)
        self.service = Service(self.loop, self.config())

    def config(self, **changes):
        self.now |= changes
        instances = "".join(
            '  instance "{}" {{\n    address = "{}:{}"\n  }}\n'.format(
                name, *self.boxes[name].sock.getsockname()
            )
            for name in self.names
        )
        self.path.write_text(CONFIG.format(instances=instances, **self.now))
        return load(self.path)

    def change(self, **changes):
        return self.service.apply(self.config(**changes))

    def client(self, port=None):
        return Peer(self.loop, socket.create_connection(("127.0.0.1", port or self.now["port"])), True)

    def arrived(self):
        def found():
            for name, box in self.boxes.items():
                for stream in box.pull():
                    box._taken.add(stream)
                    return name, stream
            return None

        return self.loop.until(found)


def test_a_call_in_hand_ends_under_its_old_pool_and_new_ones_go_to_the_new(tmp_path):
    play = Play(tmp_path)
    client = play.client()
    call = client.call()
    _, seen = play.arrived()
    old = play.service.pools["apps"].host
    made = play.change(attempts=2)  # the decisions' settings: another pool
    assert made.new_pools == ["apps"] == made.gone_pools and made.kept_listeners == ["calls"]
    after = client.call()
    _, other = play.arrived()
    assert other.peer is not seen.peer
    for each, message in ((seen, b"old"), (other, b"new")):
        each.wait_for_end().answer(message)
    assert call.status() == 0 and call.body == framed(b"old")
    assert after.status() == 0 and after.body == framed(b"new")
    play.loop.skip(3 * SECOND)
    assert (
        not old.tracked_requests
        and not play.service._retired
        and old._dispatcher.now < play.loop.now() - SECOND
    )


def test_an_instance_taken_out_gets_nothing_new_and_finishes_what_it_has(tmp_path):
    play = Play(tmp_path)
    client = play.client()
    calls = [client.call() for _ in range(4)]
    seen = [play.arrived() for _ in range(4)]
    keep = play.names.pop()
    made = play.change()
    assert made.kept_pools == ["apps"] and not made.new_pools
    more = [client.call() for _ in range(6)]
    later = [play.arrived() for _ in range(6)]
    assert all(name != keep for name, _ in later)
    for _, each in seen + later:
        each.wait_for_end().answer(b"")
    assert [each.status() for each in calls + more] == [0] * 10


def test_routes_and_limits_change_on_a_connection_that_stays(tmp_path):
    play = Play(tmp_path)
    client = play.client()
    assert client.call("/shop.New/Do").status() == 12
    play.change(service="shop.New", message="1KiB")
    call = client.call("/shop.New/Do")
    play.arrived()[1].wait_for_end().answer(b"")
    assert call.status() == 0 and client.call("/shop.Pay/Do").status() == 12
    assert client.call("/shop.New/Do", b"x" * 2000, end=False).status() == 8 and not client.gone


def test_a_listener_that_moves_drains_at_its_old_address(tmp_path):
    play = Play(tmp_path)
    client = play.client()
    call = client.call()
    _, seen = play.arrived()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    play.change(port=port)
    play.loop.until(lambda: client.pull() and client.goaways)
    other = play.client(port).call()
    play.arrived()[1].wait_for_end().answer(b"new")
    seen.wait_for_end().answer(b"old")
    assert call.status() == 0 and other.status() == 0
    with pytest.raises(ConnectionRefusedError):
        play.client(play.port)


def test_what_cannot_be_put_in_force_changes_nothing(tmp_path):
    play = Play(tmp_path)
    before = play.service.config, dict(play.service.pools), dict(play.service.fronts)
    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(CannotServe, match="cannot listen"):
        play.change(port=taken.getsockname()[1], attempts=1, service="shop.Other")
    assert (play.service.config, play.service.pools, play.service.fronts) == before
    play.now["port"] = play.port
    call = play.client().call()
    play.arrived()[1].wait_for_end().answer(b"")
    assert call.status() == 0


@pytest.mark.parametrize("lists", ["asked", "pushed"])
def test_a_pool_with_discovery_asks_it_at_once(tmp_path, lists):
    play = Play(tmp_path)
    discovery = Listener(play.loop)
    text = play.path.read_text()
    start, end = text.index("pool "), text.index("class ")
    pool = 'pool "apps" {{\n  protocol = "grpc"\n  discovery = "{}:{}"\n  lists = "{}"\n}}\n'.format(
        *discovery.address, lists
    )
    play.path.write_text(text[:start] + pool + text[end:])
    made = play.service.apply(load(play.path))
    assert made.new_pools == ["apps"]  # the decisions of a pool without discovery would never ask again
    before = play.loop.time
    head, _ = discovery.accept().message()
    assert head.startswith(b"GET /api/targets?watch=1") and play.loop.time == before
    assert play.service.pools["apps"].settings.list_on_request is (lists == "asked")


def test_a_stop_finishes_what_is_out_and_then_ends_the_loop(tmp_path):
    play = Play(tmp_path)
    client = play.client()
    call = client.call()
    _, seen = play.arrived()
    play.service.stop()
    play.loop.skip(2 * SECOND)
    assert not play.loop.stopped
    seen.wait_for_end().answer(b"")
    assert call.status() == 0
    play.loop.until(lambda: client.pull() and client.gone)
    play.loop.skip(SECOND)
    assert play.loop.stopped and play.loop.errors == []


def test_the_admin_listener_shows_calls_and_moves_health_and_job_listeners(tmp_path):
    play = Play(tmp_path)
    config = play.config()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        config.management = free.getsockname()
    config.listener["calls"].address = ("127.0.0.1", 0)
    service = Service(play.loop, config)

    def called(method, path):
        return operate(play.loop, config.management, method, path)

    call = play.client(service.fronts["calls"].address[1]).call()
    play.arrived()[1].wait_for_end().answer(b"done")
    assert call.status() == 0
    text = called("GET", "/status/metrics")[1].decode()
    for line in ("answered.charge:1|c", "errored.charge:0|c", "sends:1|c", "current:0|g", "cluster_size:2|g"):
        assert f"app.{line}\n" in text
    assert called("POST", "/standby") == (200, b"standby\n") and not service.health.serving
    assert called("GET", "/status") == (200, b"standby\n")
    assert called("POST", "/active") == (200, b"serving\n") and service.health.serving
    service.stop()
    assert called("POST", "/active")[0] == 409


def test_a_listener_that_comes_in_a_standby_is_on_standby_and_the_counts_of_reloads_are_told(tmp_path):
    play = Play(tmp_path)
    play.service.standby()
    text = (
        play.path.read_text()
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
    play.path.write_text(text)
    reload(play.service, play.path)
    assert not play.service.clients["jobs"].lifecycle.ready
    play.path.write_text("{")
    reload(play.service, play.path)
    assert (play.service.metrics.conf_loaded, play.service.metrics.conf_invalid) == (1, 1)
    play.service.active()
    assert play.service.clients["jobs"].lifecycle.ready
