"""Fixtures that close each test's scenes and check that nothing is left open."""

import pytest
from loguru import logger

from tests.net.scene import Scene


@pytest.fixture(autouse=True)
def close_scenes():
    """Close the scenes that the test has created, and check that they leave nothing open."""
    Scene.created.clear()
    yield
    for scene in Scene.created:
        scene.close()


@pytest.fixture
def logged():
    """The messages that the program logs during a test."""
    lines = []
    sink = logger.add(lines.append, level="INFO", format="{message}")
    yield lines
    logger.remove(sink)
