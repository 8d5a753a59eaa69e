"""Ranks of work."""

from enum import IntEnum

__all__ = ["Rank", "rank_from_name", "rank_name"]


class Rank(IntEnum):
    """Order the kinds of work; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


def rank_name(rank: Rank) -> str:
    """Return the name that files and reports use for the rank.

    >>> rank_name(Rank.URGENT)
    'urgent'
    """
    return rank.name.lower()


def rank_from_name(name: str) -> Rank:
    """Return the rank of that name; raise KeyError for an unknown name.

    >>> rank_from_name("bulk")
    <Rank.BULK: 2>
    """
    return Rank[name.upper()]
