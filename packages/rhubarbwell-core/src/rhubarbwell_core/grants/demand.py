"""A service's demand for capacity of other regions, from decaying averages."""

from math import ceil

from rhubarbwell_core.messages import Allowance, RequestArrived

__all__ = ["SpillDemand"]

DECAY_PER_TICK = 0.9
DEFAULT_LATENCY_MS = 150.0
LATENCY_WEIGHT = 0.1
HEADROOM_FACTOR = 1.3
DEFAULT_RESPONSE_BYTES = 16_384
MIN_BYTES_PER_S = 131_072


class SpillDemand:
    """Hold recent arrivals, refusals, bytes and the mean latency of a service.

    The counts decay over about a second, so they approximate rates per second.
    """

    def __init__(self) -> None:
        self.arrivals = 0.0
        self.refusals = 0.0
        self.latency_ms = DEFAULT_LATENCY_MS
        self._request_bytes = 0.0

    @property
    def refused_fraction(self) -> float:
        """Return the fraction of recent arrivals that the region refused."""
        return 0.0 if self.arrivals < 0.05 else self.refusals / self.arrivals

    def record_arrival(self, req: RequestArrived) -> None:
        """Count a request that arrived from a caller."""
        self.arrivals += 1.0
        self._request_bytes += req.body_bytes or 0

    def record_refusal(self) -> None:
        """Count a request that the region has no capacity for."""
        self.refusals += 1.0

    def record_latency(self, latency_ms: int) -> None:
        """Update the mean latency with that of a forwarded request."""
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def decay(self) -> None:
        """Decay the counts; call this every 100 ms."""
        self.arrivals *= DECAY_PER_TICK
        self.refusals *= DECAY_PER_TICK
        self._request_bytes *= DECAY_PER_TICK

    def wanted_allowance(self, fraction: float) -> Allowance:
        """Return the allowance needed for the fraction of the arrivals."""
        per_s = fraction * self.arrivals
        if per_s < 0.05:
            return Allowance()
        concurrent = ceil(per_s * self.latency_ms / 1_000 * HEADROOM_FACTOR) + 1
        mean_bytes = self._request_bytes / max(self.arrivals, 1.0)
        request_bytes = HEADROOM_FACTOR * per_s * mean_bytes
        response_bytes = HEADROOM_FACTOR * per_s * DEFAULT_RESPONSE_BYTES
        return Allowance(
            concurrent,
            max(MIN_BYTES_PER_S, int(request_bytes)),
            max(MIN_BYTES_PER_S, int(response_bytes)),
        )
