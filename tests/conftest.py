"""The same cases in every run, whatever the machine's speed; and what KNOWN-RED.txt lists."""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
