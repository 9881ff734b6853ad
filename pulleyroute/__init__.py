"""A dispatcher that pushes jobs to workers by weighted random choice and retries with Full Jitter backoff."""

from pulleyroute.rules import Dispatcher

__all__ = ["Dispatcher", "__version__"]

__version__ = "0.1.0"
