"""Which requests are sent on and which are refused at once."""

from typing import NamedTuple

from rhubarbwell_core.direct.model import Route

__all__ = ["AdmissionRule", "admits", "retry_after_ms"]

MIN_RETRY_AFTER_MS = 50
# Callers honour at most a third of the time that they have left.
MAX_RETRY_AFTER_SHARE = 0.3


class AdmissionRule(NamedTuple):
    """Bound the queue at a backend server by the priority of a request.

    The load of the server, against its slots, up to which a request of each
    priority is sent; the last entry holds for all lower priorities.
    """

    max_load_by_priority: tuple[float, ...] = (4.0, 3.0, 2.0)

    def max_load(self, priority: int) -> float:
        """Return the load against slots up to which the priority is sent."""
        limits = self.max_load_by_priority
        return limits[min(priority, len(limits) - 1)]


def admits(
    rule: AdmissionRule,
    route: Route,
    *,
    load: float,
    slots: int,
    finish_ms: float,
    remaining_ms: float,
) -> bool:
    """Tell whether a request is to be sent to the best backend server for it.

    A server with a free slot takes any request that it may finish in time.
    """
    if load < slots:
        return remaining_ms > 0
    if finish_ms > remaining_ms:
        return False
    return load < slots * rule.max_load(route.priority)


def retry_after_ms(finish_ms: float, objective_ms: float, remaining_ms: float) -> int:
    """Return when a refused caller is to come back.

    >>> retry_after_ms(900.0, 300.0, 1_500.0)
    450
    """
    excess = max(finish_ms - objective_ms, MIN_RETRY_AFTER_MS)
    return round(max(min(excess, MAX_RETRY_AFTER_SHARE * remaining_ms), 0.0))
