"""A service's demand for other regions and the traffic shift that follows it."""

from collections.abc import Mapping

from rhubarbwell_core.grants.demand import SpillDemand
from rhubarbwell_core.messages import RequestArrived
from rhubarbwell_core.shifts import SpillWeights

__all__ = ["ServiceSpill"]

# Weight returns to this region once this fraction of its slots is free and no request
# has been refused for RETURN_AFTER_MS.
RETURN_FREE_FRACTION = 0.2
RETURN_AFTER_MS = 3_000
REFUSAL_MAX_AGE_MS = 1_000
IDLE_AFTER_MS = 10_000


class ServiceSpill:
    """Hold the demand and the shift weights of one service."""

    def __init__(self, region: str) -> None:
        self.demand = SpillDemand()
        self.weights = SpillWeights(region)
        self._region = region
        self._last_refusal_ms: int | None = None

    @property
    def is_active(self) -> bool:
        """Return True while weights are shifted or a refusal is recent.

        A refusal is recent for IDLE_AFTER_MS.
        """
        return self._last_refusal_ms is not None

    def record_request(
        self, req: RequestArrived, *, refused: bool, now_ms: int
    ) -> None:
        """Count a request that arrived or, if refused, that found no capacity."""
        if refused:
            self.demand.record_refusal()
            self._last_refusal_ms = now_ms
        else:
            self.demand.record_arrival(req)
            self.weights.record_arrival()

    def move_weights(
        self,
        granted: Mapping[str, int],
        free_fraction: float | None,
        *,
        step: float,
        now_ms: int,
    ) -> None:
        """Move the weights towards their target by at most step.

        The target's remote weight follows refusals and free slots and is divided among
        regions by their granted slots. A region that grants none loses its weight at
        once. free_fraction is the free part of this region's slots, None if not
        measured.
        """
        for region in self.weights.weights.keys() - {*granted, self._region}:
            self.weights.remove_region(region)
        total = sum(granted.values())
        remote_weight = (
            self._target_remote_weight(free_fraction, now_ms) if total else 0.0
        )
        target = {
            region: remote_weight * slots / total for region, slots in granted.items()
        }
        self.weights.move({**target, self._region: 1.0 - remote_weight}, step=step)
        if self.weights.remote_weight < 1e-9 and not self._refused_within(
            now_ms, IDLE_AFTER_MS
        ):
            self._last_refusal_ms = None

    def _target_remote_weight(self, free_fraction: float | None, now_ms: int) -> float:
        remote_weight = self.weights.remote_weight
        refused_fraction = self.demand.refused_fraction
        if refused_fraction > 0.0 and self._refused_within(now_ms, REFUSAL_MAX_AGE_MS):
            return min(1.0, remote_weight + refused_fraction)
        if free_fraction is None or free_fraction < RETURN_FREE_FRACTION:
            return remote_weight
        return remote_weight if self._refused_within(now_ms, RETURN_AFTER_MS) else 0.0

    def _refused_within(self, now_ms: int, age_ms: int) -> bool:
        return (
            self._last_refusal_ms is not None
            and now_ms < self._last_refusal_ms + age_ms
        )
