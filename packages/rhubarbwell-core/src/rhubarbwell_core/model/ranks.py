"""Priority ranks of requests."""

from enum import IntEnum

__all__ = ["Rank", "rank_from_name", "rank_name"]


class Rank(IntEnum):
    """Rank requests by priority; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


def rank_name(rank: Rank) -> str:
    """Return the name of the rank in files and reports.

    >>> rank_name(Rank.URGENT)
    'urgent'
    """
    return rank.name.lower()


def rank_from_name(name: str) -> Rank:
    """Return the rank with the name; raise KeyError for an unknown name.

    >>> rank_from_name("bulk")
    <Rank.BULK: 2>
    """
    return Rank[name.upper()]
