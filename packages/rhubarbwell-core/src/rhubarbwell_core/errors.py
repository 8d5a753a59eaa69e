"""Exceptions raised by the decision core."""

__all__ = ["DuplicateRowError", "MissingRowError", "RhubarbwellError"]


class RhubarbwellError(Exception):
    """Base of every exception that rhubarbwell raises."""


class DuplicateRowError(RhubarbwellError):
    """Tell that a table already holds a row under the key."""


class MissingRowError(RhubarbwellError):
    """Tell that a table holds no row under the key."""
