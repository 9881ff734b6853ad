"""Fixture: a fleet on one loop with its store, which is closed after each test."""

import pytest

from tests.fleet.test_agent import Fleet


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path)
    yield started
    started.server.close()
    assert not started.loop.errors
