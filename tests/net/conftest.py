"""Every scene is left in order, and what it still held is counted."""

import pytest

from tests.net.scene import Scene


@pytest.fixture(autouse=True)
def leaving():
    Scene.made.clear()
    yield
    for scene in Scene.made:
        scene.leave()
