"""Versions of the metadata store in short form."""

from rhubarbwell_core.direct import StoreVersion

__all__ = ["at"]


def at(number: int, era: int = 0) -> StoreVersion:
    """Return a version of the store."""
    return StoreVersion(era, number)
