"""The demand for capacity elsewhere, as fading averages of a service's requests."""

from math import ceil

from rhubarbwell_core.messages import Allowance, RequestArrived

__all__ = ["SpillDemand"]

FADING_PER_TICK = 0.9
DEFAULT_LATENCY_MS = 150.0
LATENCY_WEIGHT = 0.1
ROOM_FACTOR = 1.3
DEFAULT_RESPONSE_BYTES = 16_384
MIN_BYTES_PER_S = 131_072


class SpillDemand:
    """Average arrivals, refusals, sizes and latencies over about a second."""

    def __init__(self) -> None:
        self.arrivals = 0.0
        self.refusals = 0.0
        self.latency_ms = DEFAULT_LATENCY_MS
        self._request_bytes = 0.0

    @property
    def refused_part(self) -> float:
        """Return the part of recent arrivals that the region refused."""
        return 0.0 if self.arrivals < 0.05 else self.refusals / self.arrivals

    def arrived(self, req: RequestArrived) -> None:
        """Count a request of a caller."""
        self.arrivals += 1.0
        self._request_bytes += req.body_bytes or 0

    def refused(self) -> None:
        """Count a request that the region has no room for."""
        self.refusals += 1.0

    def ended(self, latency_ms: int) -> None:
        """Take in the latency of a forwarded request."""
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def fade(self) -> None:
        """Let what lies back count less; called every 100 ms."""
        self.arrivals *= FADING_PER_TICK
        self.refusals *= FADING_PER_TICK
        self._request_bytes *= FADING_PER_TICK

    def wanted(self, part: float) -> Allowance:
        """Return the allowance that the part of the arrivals needs."""
        per_s = part * self.arrivals
        if per_s < 0.05:
            return Allowance()
        concurrent = ceil(per_s * self.latency_ms / 1_000 * ROOM_FACTOR) + 1
        mean_bytes = self._request_bytes / max(self.arrivals, 1.0)
        request_bytes = ROOM_FACTOR * per_s * mean_bytes
        response_bytes = ROOM_FACTOR * per_s * DEFAULT_RESPONSE_BYTES
        return Allowance(
            concurrent,
            max(MIN_BYTES_PER_S, int(request_bytes)),
            max(MIN_BYTES_PER_S, int(response_bytes)),
        )
