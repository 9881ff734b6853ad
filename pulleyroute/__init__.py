"""Decisions of a dispatcher that pushes jobs to workers: paced resubmission over weighted random draws."""

from pulleyroute.rules import Dispatcher

__all__ = ["Dispatcher", "__version__"]

__version__ = "0.1.0"
