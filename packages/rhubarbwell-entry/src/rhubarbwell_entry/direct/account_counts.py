"""Counts of requests by client account, of which the largest have their own."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["AccountCounts", "AccountSeries"]

# Each account has a series for each result; more would burden the scraper.
MAX_NAMED = 20
# Number of requests after which the largest accounts are determined again, and the
# weight of those before it is halved.
RANKING_REQUESTS = 1_000
# A named account stays named unless another one has more requests by this factor.
MIN_CHANGE_FACTOR = 1.5
# Weight below which an account is forgotten.
MIN_WEIGHT = 0.5


class AccountSeries(NamedTuple):
    """Hold the requests of an account, or of the others if it is empty, by result."""

    account: str
    result: str
    requests: int


class AccountCounts:
    """Count requests by account and result, with at most max_named accounts by name.

    No count of a series falls while it exists: an account that becomes one of the
    largest starts at 0, and what it had before stays in the total of the others.

    >>> counts = AccountCounts(max_named=1)
    >>> for name in ("a", "a", "b"):
    ...     counts.add(name, "admitted")
    >>> [(series.account, series.requests) for series in counts.series()]
    [('', 1), ('a', 2)]
    """

    def __init__(self, max_named: int = MAX_NAMED) -> None:
        self._max_named = max_named
        self._named: dict[str, Counter[str]] = {}
        self._others = Counter[str]()
        self._weights: dict[str, float] = {}
        self._unranked = 0

    def add(self, account: str, result: str) -> None:
        """Count a request of an account."""
        self._weights[account] = self._weights.get(account, 0.0) + 1.0
        self._unranked += 1
        if self._unranked >= RANKING_REQUESTS:
            self._rank()
        if account not in self._named and len(self._named) < self._max_named:
            self._named[account] = Counter()
        self._named.get(account, self._others)[result] += 1

    def series(self) -> Iterator[AccountSeries]:
        """Yield the counts, first those of the accounts without their own."""
        for account, counts in {"": self._others, **self._named}.items():
            for result, requests in counts.items():
                yield AccountSeries(account, result, requests)

    @property
    def named(self) -> frozenset[str]:
        """Return the accounts that have their own series."""
        return frozenset(self._named)

    def _rank(self) -> None:
        self._unranked = 0

        def weight(name: str) -> float:
            factor = MIN_CHANGE_FACTOR if name in self._named else 1.0
            return factor * self._weights[name]

        largest = sorted(self._weights, key=weight, reverse=True)[: self._max_named]
        self._named = {name: self._named.get(name, Counter()) for name in largest}
        self._weights = {
            name: weight / 2
            for name, weight in self._weights.items()
            if weight / 2 >= MIN_WEIGHT or name in self._named
        }
