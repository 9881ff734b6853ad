"""Loads the plugin for KNOWN-RED.txt, and makes hypothesis draw the same cases in every run."""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("deterministic", derandomize=True, deadline=None)
settings.load_profile("deterministic")
