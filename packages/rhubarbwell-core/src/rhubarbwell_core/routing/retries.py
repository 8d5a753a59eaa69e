"""Limit retries and hedges so that they do not multiply load."""

from collections import defaultdict

from rhubarbwell_core.model import Rank

__all__ = ["RetryBudget"]

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_RESERVED_RETRIES = 5.0
DEMAND_DECAY = 0.98  # factor per first attempt
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Allow retries up to a tenth of the first attempts, per service.

    Part of the budget is reserved for the recent demand of higher ranks.

    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.record_first_attempt("slotsvc")
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    True
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    False
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}
        self._demand: defaultdict[str, list[float]] = defaultdict(_zero_demand)

    def record_first_attempt(self, service: str) -> None:
        """Add RETRIES_PER_FIRST_ATTEMPT to the service's saved retries."""
        saved = self._saved.get(service, 0.0) + RETRIES_PER_FIRST_ATTEMPT
        self._saved[service] = min(saved, MAX_SAVED_RETRIES)
        self._demand[service] = [
            DEMAND_DECAY * count for count in self._demand[service]
        ]

    def try_spend(self, service: str, rank: Rank) -> bool:
        """Return True and spend one saved retry if enough are saved for the rank.

        Hedges spend saved retries too.
        """
        demand = self._demand[service]
        reserve = min(MAX_RESERVED_RETRIES, sum(demand[:rank]))
        demand[rank] += 1.0
        saved = self._saved.get(service, 0.0)
        if saved - reserve < 1.0 - ROUNDING_TOLERANCE:
            return False
        self._saved[service] = saved - 1.0
        return True


def _zero_demand() -> list[float]:
    return [0.0 for _ in Rank]
