"""Exceptions of the platform's services."""

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
    """Tell that the platform did not carry out the call."""


class AnswerLostError(PlatformError):
    """Tell that a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """Tell that a condition of a transaction did not hold; nothing was written."""

    def __init__(self, key: str) -> None:
        super().__init__(f"the condition on row {key!r} did not hold")
        self.key = key


class MissingObjectError(PlatformError):
    """Tell that the object store holds no object under the key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"there is no object {key!r}")
        self.key = key


class HistoryLostError(PlatformError):
    """Tell that the store no longer has the changes that were asked for."""
