"""The fraction of a service's requests that is forwarded to other regions."""

from collections.abc import Mapping

from rhubarbwell_core.shifts.weights import move_weights

__all__ = ["SpillWeights"]

MAX_CREDIT_REQUESTS = 2.0


class SpillWeights:
    """Limit the forwarded fraction of arrivals by weights that move under a cap.

    >>> spill = SpillWeights("north")
    >>> spill.move({"north": 0.5, "south": 0.5}, step=0.05)
    >>> for _ in range(20):
    ...     spill.record_arrival()
    >>> spill.can_forward("south"), round(spill.remote_weight, 2)
    (True, 0.05)
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self.weights: dict[str, float] = {region: 1.0}
        self._credits: dict[str, float] = {}

    @property
    def remote_weight(self) -> float:
        """Return the sum of the weights of other regions."""
        return 1.0 - self.weights.get(self._region, 0.0)

    def record_arrival(self) -> None:
        """Add each region's weight to its credit; a forwarded request costs 1."""
        for region, weight in self.weights.items():
            credit = self._credits.get(region, 0.0) + weight
            self._credits[region] = min(credit, MAX_CREDIT_REQUESTS)

    def can_forward(self, region: str) -> bool:
        """Return True if the region's credit covers a request."""
        return region != self._region and self._credits.get(region, 0.0) >= 1.0 - 1e-9

    def record_forward(self, region: str) -> None:
        """Subtract a forwarded request from the region's credit."""
        self._credits[region] -= 1.0

    def move(self, target: Mapping[str, float], *, step: float) -> None:
        """Move the weights towards the target by at most step in total."""
        self.weights = move_weights(self.weights, target, step=step)
        for region in [name for name in self._credits if name not in self.weights]:
            del self._credits[region]

    def remove_region(self, region: str) -> None:
        """Remove a region and give its weight to this instance's region at once."""
        weight = self.weights.pop(region, 0.0)
        self._credits.pop(region, None)
        self.weights[self._region] = self.weights.get(self._region, 0.0) + weight
