"""Order the versions of the metadata store, which has eras."""

from typing import NamedTuple

__all__ = ["NO_VERSION", "StoreVersion"]


class StoreVersion(NamedTuple):
    """Represent a version of the metadata store.

    A store that comes back from a copy begins a new era, in which it gives out
    numbers again. Every version of a later era is newer.

    >>> StoreVersion(0, 900) < StoreVersion(1, 7) < StoreVersion(1, 8)
    True
    """

    era: int
    number: int


# Lower than each version of a store.
NO_VERSION = StoreVersion(0, 0)
