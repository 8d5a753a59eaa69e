"""Measure what the requests of a service ask for and what is sent of them."""

from collections import defaultdict
from collections.abc import Iterable
from math import exp

from rhubarbwell_core.direct.requests import ActiveRequest

__all__ = ["DecayingCount", "ServiceDemand"]

# An objective counts for this time after the last request of its route.
OBJECTIVE_MEMORY_MS = 5_000
# Weight of a sent request in the mean processing time.
MEAN_SMOOTHING = 0.02
# Time constant of the counts of requests.
COUNT_MEMORY_MS = 1_000.0


class DecayingCount:
    """Count events, each with a weight that decays exponentially.

    >>> count = DecayingCount()
    >>> count.add(0)
    >>> count.add(0)
    >>> count.value(0), round(count.value(1_000), 2)
    (2.0, 0.74)
    """

    __slots__ = ("_updated_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0

    def add(self, now_ms: int) -> None:
        """Count an event."""
        self._value = self.value(now_ms) + 1.0
        self._updated_ms = now_ms

    def value(self, now_ms: int) -> float:
        """Return the decayed count."""
        return self._value * exp((self._updated_ms - now_ms) / COUNT_MEMORY_MS)


class ServiceDemand:
    """Measure the requests of one service at this instance.

    mean_ms is the mean expected processing time of the requests sent, of all kinds;
    None before the first of them.
    """

    def __init__(self) -> None:
        self.mean_ms: float | None = None
        self.sent = DecayingCount()
        self.refused = DecayingCount()
        self._arrived = defaultdict[int, DecayingCount](DecayingCount)
        # Time of the last request and objective in ms, by priority and route.
        self._objectives: dict[tuple[int, str], tuple[int, float]] = {}

    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Count a request that arrived."""
        key = (req.priority, req.route.name)
        self._objectives[key] = (now_ms, req.route.objective_ms)
        self._arrived[req.priority].add(now_ms)

    def record_sent(self, processing_ms: float, now_ms: int) -> None:
        """Count a request that is sent, with its expected processing time in ms."""
        self.sent.add(now_ms)
        if self.mean_ms is None:
            self.mean_ms = processing_ms
        self.mean_ms += MEAN_SMOOTHING * (processing_ms - self.mean_ms)

    def min_objective_ms(
        self, now_ms: int, priority: int | None = None
    ) -> float | None:
        """Return the shortest recent objective, None without a recent request.

        With a priority, only requests of this and of more urgent ones count.
        """
        recent: Iterable[float] = (
            objective_ms
            for (other, _), (used_ms, objective_ms) in self._objectives.items()
            if now_ms - used_ms < OBJECTIVE_MEMORY_MS
            and (priority is None or other <= priority)
        )
        return min(recent, default=None)

    def rank(self, priority: int, position: float, now_ms: int) -> float:
        """Return the place of a request among the recent ones, from 0 to 1.

        More urgent requests come first; position, from 0 to 1, is the place among those
        of the same priority.
        """
        counts = {other: count.value(now_ms) for other, count in self._arrived.items()}
        before = sum(count for other, count in counts.items() if other < priority)
        own = counts.get(priority, 0.0)
        return (before + position * own) / max(sum(counts.values()), 1e-9)
