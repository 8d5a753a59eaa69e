"""The demand of one service for other regions and the shift that it causes."""

from collections.abc import Mapping

from rhubarbwell_core.grants.demand import SpillDemand
from rhubarbwell_core.messages import RequestArrived
from rhubarbwell_core.shifts import SpillWeights

__all__ = ["ServiceSpill"]

RETURN_FREE_PART = 0.2
RETURN_AFTER_MS = 3_000
REFUSAL_COUNTS_MS = 1_000
IDLE_AFTER_MS = 10_000


class ServiceSpill:
    """Hold the demand and the shift weights of one service."""

    def __init__(self, region: str) -> None:
        self.demand = SpillDemand()
        self.weights = SpillWeights(region)
        self._region = region
        self._refused_ms: int | None = None

    @property
    def is_active(self) -> bool:
        """Tell whether the region has refused requests not long ago."""
        return self._refused_ms is not None

    def count(self, req: RequestArrived, *, refused: bool, now_ms: int) -> None:
        """Count a request that arrives or that the region has no room for."""
        if refused:
            self.demand.refused()
            self._refused_ms = now_ms
        else:
            self.demand.arrived(req)
            self.weights.request_arrived()

    def move(
        self,
        granted: Mapping[str, int],
        free_part: float | None,
        *,
        step: float,
        now_ms: int,
    ) -> None:
        """Move the weights towards the regions that grant slots.

        free_part is that of the own region's slots, None without measurements.
        """
        for region in self.weights.weights.keys() - {*granted, self._region}:
            self.weights.leave(region)
        total = sum(granted.values())
        away = self._wanted_away(free_part, now_ms) if total else 0.0
        target = {region: away * slots / total for region, slots in granted.items()}
        self.weights.move({**target, self._region: 1.0 - away}, step=step)
        if self.weights.away < 1e-9 and not self._is_recent(now_ms, IDLE_AFTER_MS):
            self._refused_ms = None

    def _wanted_away(self, free_part: float | None, now_ms: int) -> float:
        away = self.weights.away
        refused_part = self.demand.refused_part
        if refused_part > 0.0 and self._is_recent(now_ms, REFUSAL_COUNTS_MS):
            return min(1.0, away + refused_part)
        if free_part is None or free_part < RETURN_FREE_PART:
            return away
        return away if self._is_recent(now_ms, RETURN_AFTER_MS) else 0.0

    def _is_recent(self, now_ms: int, age_ms: int) -> bool:
        return self._refused_ms is not None and now_ms < self._refused_ms + age_ms
