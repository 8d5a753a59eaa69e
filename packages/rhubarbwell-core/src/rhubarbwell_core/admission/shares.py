"""Guarantee each rank a minimum share of a service's slots."""

from collections.abc import Sequence

from rhubarbwell_core.model import Rank, RankFloors

__all__ = ["RankShares"]

# Bounds of a rank's credit and debt, in seconds of its floor.
MAX_CREDIT_S = 1.0
MAX_DEBT_S = 10.0


class RankShares:
    """Choose the next rank to serve by the ranks' guaranteed shares (floors).

    A rank that has used less than its floor goes first, else the most urgent one.
    The credit of a rank is the slot-seconds of its floor less those that it used
    while requests were waiting.

    >>> shares = RankShares(RankFloors(0.5, 0.2, 0.1), now_ms=0)
    >>> for _ in range(10):
    ...     shares.record_start(Rank.URGENT)
    >>> shares.advance(1_000, limit=10, waiting=(Rank.URGENT, Rank.BULK))
    >>> shares.next_rank((Rank.URGENT, Rank.BULK))
    <Rank.BULK: 2>
    """

    def __init__(self, floors: RankFloors, *, now_ms: int) -> None:
        self._floors = floors
        self._now_ms = now_ms
        self._in_flight = [0 for _ in Rank]
        self._credits_s = [0.0 for _ in Rank]

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight over all ranks."""
        return sum(self._in_flight)

    def set_floors(self, floors: RankFloors) -> None:
        """Set the guaranteed shares of the ranks."""
        self._floors = floors

    def record_start(self, rank: Rank) -> None:
        """Count a request that starts."""
        self._in_flight[rank] += 1

    def record_end(self, rank: Rank) -> None:
        """Count a request that has ended."""
        self._in_flight[rank] -= 1

    def advance(self, now_ms: int, *, limit: int, waiting: Sequence[Rank]) -> None:
        """Credit the floors and charge the slots used since the last call."""
        elapsed_s = (now_ms - self._now_ms) / 1_000
        self._now_ms = now_ms
        for rank in Rank:
            floor = self._floors.of(rank) * limit
            used = self._in_flight[rank] if waiting else 0
            credit_s = self._credits_s[rank] + (floor - used) * elapsed_s
            most_s = floor * MAX_CREDIT_S
            self._credits_s[rank] = max(-MAX_DEBT_S * floor, min(most_s, credit_s))

    def next_rank(self, waiting: Sequence[Rank]) -> Rank | None:
        """Return the rank to serve next, or None if no rank has a waiting request.

        waiting must list the most urgent rank first.
        """
        for rank in waiting:
            if self._credits_s[rank] > 0.0:
                return rank
        return waiting[0] if waiting else None
