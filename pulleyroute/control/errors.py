"""The errors of the control side."""

from __future__ import annotations


class ControlError(Exception):
    """The base of all errors of the control side."""


class InvalidConfiguration(ControlError):
    """A configuration can't be taken whatever is in force; the text names the key and what was expected."""


class StorageError(ControlError):
    """The record of a member could not be stored, or none of the stored ones is whole."""
