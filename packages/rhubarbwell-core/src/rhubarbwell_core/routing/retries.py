"""The budget that keeps retries and hedges from multiplying load."""

from collections import defaultdict

from rhubarbwell_core.model import Rank

__all__ = ["RetryBudget"]

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_RESERVE = 5.0
CLAIMS_KEPT = 0.98
ROUNDING = 1e-9


class RetryBudget:
    """Allow a tenth of first attempts as retries, per service.

    Lower ranks leave to the higher ones what those have lately asked for.

    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.first_attempt("slotsvc")
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    True
    >>> budget.try_spend("slotsvc", Rank.URGENT)
    False
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}
        self._claims: defaultdict[str, list[float]] = defaultdict(_no_claims)

    def first_attempt(self, service: str) -> None:
        """Earn a share of a retry."""
        saved = self._saved.get(service, 0.0) + RETRIES_PER_FIRST_ATTEMPT
        self._saved[service] = min(saved, MAX_SAVED_RETRIES)
        self._claims[service] = [CLAIMS_KEPT * c for c in self._claims[service]]

    def try_spend(self, service: str, rank: Rank) -> bool:
        """Spend one retry or hedge; return False when none is left to the rank."""
        claims = self._claims[service]
        reserve = min(MAX_RESERVE, sum(claims[:rank]))
        claims[rank] += 1.0
        saved = self._saved.get(service, 0.0)
        if saved - reserve < 1.0 - ROUNDING:
            return False
        self._saved[service] = saved - 1.0
        return True


def _no_claims() -> list[float]:
    return [0.0 for _ in Rank]
