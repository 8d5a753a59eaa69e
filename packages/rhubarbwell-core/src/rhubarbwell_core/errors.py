"""Exceptions raised by the decision core."""

__all__ = ["DuplicateRowError", "MissingRowError", "RhubarbwellError"]


class RhubarbwellError(Exception):
    """Base of every exception that rhubarbwell raises."""


class DuplicateRowError(RhubarbwellError):
    """Report that a table already holds a row with the key."""


class MissingRowError(RhubarbwellError):
    """Report that a table holds no row with the key."""
