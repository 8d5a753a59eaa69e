"""Exceptions raised by the platform's services."""

from rhubarbwell_core.errors import RhubarbwellError

__all__ = [
    "AnswerLostError",
    "ConflictError",
    "HistoryLostError",
    "MissingObjectError",
    "PlatformError",
    "UnavailableError",
]


class PlatformError(RhubarbwellError):
    """Base of the exceptions that calls to the platform raise."""


class UnavailableError(PlatformError):
    """Signal that a call was not carried out, or that a read got no answer."""


class AnswerLostError(PlatformError):
    """Signal that a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """Signal that a condition of a write did not hold; nothing was written.

    For an object, the key already holds another text.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"the condition on row {key!r} did not hold")
        self.key = key


class MissingObjectError(PlatformError):
    """Signal that the object store holds no object under a key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"object {key!r} does not exist")
        self.key = key


class HistoryLostError(PlatformError):
    """Signal that the store no longer holds the requested changes."""
