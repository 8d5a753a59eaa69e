"""The budget that keeps retries and hedges from multiplying load."""

from rhubarbwell_core.model import Rank

__all__ = ["RetryBudget"]

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 10.0
ROUNDING = 1e-9

_RESERVES = {Rank.URGENT: 0.0, Rank.STANDARD: 2.0, Rank.BULK: 5.0}


class RetryBudget:
    """Allow a tenth of first attempts as retries, per service.

    Lower ranks leave a reserve of saved retries to the higher ones.

    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.first_attempt("slotsvc")
    >>> budget.try_spend("slotsvc", Rank.BULK)
    False
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    True
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    False
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Earn a share of a retry."""
        saved = self._saved.get(service, 0.0) + RETRIES_PER_FIRST_ATTEMPT
        self._saved[service] = min(saved, MAX_SAVED_RETRIES)

    def try_spend(self, service: str, rank: Rank) -> bool:
        """Spend one retry or hedge; return False when none is left to the rank."""
        saved = self._saved.get(service, 0.0)
        if saved - _RESERVES[rank] < 1.0 - ROUNDING:
            return False
        self._saved[service] = saved - 1.0
        return True
