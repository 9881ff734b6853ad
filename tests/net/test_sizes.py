"""1,024 instances with long names: over a watch, as a complete list, and in a hand-over."""

import json

import pytest

from pulleyroute.net.http import BODY_LIMIT_BYTES
from tests.net.scene import Scene
from tests.net.test_discovery import CHUNKED_HEAD, chunk
from tests.net.test_handover import Process, advance_until, old

__all__ = ["old"]  # a fixture

COUNT = 1024
# Characters that make a name about as long as a DNS name, besides the part that makes it unique.
NAME_LENGTH = 240


def long_list(scene: Scene, revision: int = 2) -> dict:
    """List COUNT instances at the address of the scene's first one, with long names in every field."""
    (one,) = scene.table("s-0", revision=revision)["members"]
    one |= {"locality": "a" * NAME_LENGTH, "flavor": "f" * NAME_LENGTH}
    members = [{**one, "id": f"{'é' * NAME_LENGTH}-{number}"} for number in range(COUNT)]
    return {"revision": revision, "complete": True, "members": members}


@pytest.mark.parametrize("indent", [None, 8])
def test_a_watch_accepts_a_list_of_1024_with_long_names(indent):
    scene = Scene()
    scene.discovery.watch(True)
    peer = scene.discovery_peer.accept()
    peer.message()
    update = json.dumps(long_list(scene), indent=indent).encode() + b"\n"
    send(
        scene,
        peer,
        CHUNKED_HEAD
        + b"".join(
            chunk(update[at : at + BODY_LIMIT_BYTES]) for at in range(0, len(update), BODY_LIMIT_BYTES)
        ),
    )
    scene.loop.until(lambda: scene.discovery.version == 2)
    assert scene.discovery.size == COUNT
    assert scene.nonzero_metrics()["cluster_size"] == COUNT


def test_a_complete_list_of_1024_with_long_names_is_accepted():
    scene = Scene()
    scene.discovery.fetch()
    peer = scene.discovery_peer.accept()
    peer.message()
    body = json.dumps(long_list(scene), indent=8).encode()
    send(scene, peer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    scene.loop.until(lambda: scene.discovery.version == 2)
    assert scene.discovery.size == COUNT


def test_1024_instances_go_from_one_process_to_the_next(old):
    old.discovery.on_update(old.discovery.list.apply(long_list(old), cached=False))
    rules = old.host._dispatcher
    suspected = f"{'é' * NAME_LENGTH}-{COUNT - 1}".encode()
    rules.eject(rules.workers[suspected])
    new: Process = old.next()
    advance_until(old, lambda: new.discovery.size == COUNT)
    assert new.discovery.version == 2
    assert new.host.avoided == 1


def send(scene, peer, data):
    """Send more than the buffer of a socket holds, while the scene reads."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[peer.sock.send(rest) :]
        except BlockingIOError:
            scene.loop.turn(0.001)
