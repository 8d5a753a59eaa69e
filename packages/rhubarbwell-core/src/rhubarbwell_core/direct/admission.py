"""Which requests are sent on and which are refused at once."""

from typing import NamedTuple

from rhubarbwell_core.direct.model import Route

__all__ = ["AdmissionRule", "admits", "retry_after_ms"]

MIN_RETRY_AFTER_MS = 50
# Callers honour at most a third of the time that they have left.
MAX_RETRY_AFTER_SHARE = 0.3


class AdmissionRule(NamedTuple):
    """Bound the queue at a backend server by the priority of a request.

    Servers that are never idle answer as many requests with a short queue as with a
    long one, but sooner. A request that would wait is sent if it is expected to end
    within its objective times a factor, and if the load of the server against its
    slots leaves the rest of the queue to more urgent requests. The most urgent leave
    some of it too: views of the load are late, and a full queue turns away all. The
    last entries hold for all lower priorities.
    """

    objective_factors: tuple[float, ...] = (4.0, 1.1, 1.0)
    max_loads: tuple[float, ...] = (3.0, 3.0, 2.0)
    # Requests beyond the slots that keep a server busy while the next is on its way.
    min_queue_length: int = 1

    def max_expected_ms(self, route: Route) -> float:
        """Return the expected time up to which a request is sent to wait."""
        return _value_for(self.objective_factors, route.priority) * route.objective_ms

    def max_load(self, route: Route) -> float:
        """Return the load against slots up to which a request is sent to wait."""
        return _value_for(self.max_loads, route.priority)


def admits(
    rule: AdmissionRule,
    route: Route,
    *,
    load: float,
    slots: int,
    expected_ms: float,
    remaining_ms: float,
) -> bool:
    """Tell whether a request is to be sent to the best backend server for it."""
    if load < slots + rule.min_queue_length:
        return remaining_ms > 0
    if load >= slots * rule.max_load(route):
        return False
    return expected_ms <= min(remaining_ms, rule.max_expected_ms(route))


def retry_after_ms(expected_ms: float, objective_ms: float, remaining_ms: float) -> int:
    """Return when a refused caller is to come back.

    >>> retry_after_ms(900.0, 300.0, 1_500.0)
    450
    """
    excess = max(expected_ms - objective_ms, MIN_RETRY_AFTER_MS)
    return round(max(min(excess, MAX_RETRY_AFTER_SHARE * remaining_ms), 0.0))


def _value_for(values: tuple[float, ...], priority: int) -> float:
    return values[min(priority, len(values) - 1)]
