"""A fleet on one loop with its store, closed in order after each test."""

import pytest

from tests.fleet.test_agent import Fleet


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    yield made
    made.server.close()
    assert not made.loop.errors
