"""Every scene is left in order, and what it still held is counted."""

import pytest
from loguru import logger

from tests.net.scene import Scene


@pytest.fixture(autouse=True)
def leaving():
    Scene.made.clear()
    yield
    for scene in Scene.made:
        scene.close()


@pytest.fixture
def logged():
    """The lines that the program logs in a test."""
    lines = []
    sink = logger.add(lines.append, level="INFO", format="{message}")
    yield lines
    logger.remove(sink)
