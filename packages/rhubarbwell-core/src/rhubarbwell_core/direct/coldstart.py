"""Limit the rate of requests to backend servers with cold caches."""

from collections.abc import Sequence

from rhubarbwell_core.direct.budgets import SlidingWindowCounter
from rhubarbwell_core.hashing import rendezvous

__all__ = ["ColdStartLimiter"]

# Window in which an instance sends its share of one second's requests. It is longer
# than 1 s, so that a delayed request does not reach the server in the same second as
# the next one.
SHARE_WINDOW_MS = 1_150


class ColdStartLimiter:
    """Limit requests to each cold server to this instance's share of the rate.

    The rate of a server applies to all instances together. If it is below one request
    per second for each instance, rendezvous hashing selects the instances that may
    send a request. An instance that does not share the rate may send nothing.

    >>> limiter = ColdStartLimiter("a")
    >>> limiter.configure(["a"])
    >>> [limiter.try_send("b-1", 2.0, 0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        # Until the registrations are known, this instance has no share.
        self._instances: Sequence[str] = ()
        self._sent: dict[str, SlidingWindowCounter] = {}
        self._is_chosen: dict[tuple[str, int], bool] = {}

    def configure(self, instances: Sequence[str]) -> None:
        """Set the ids of the instances that share the rate."""
        if set(instances) != set(self._instances):
            self._instances = tuple(instances)
            self._is_chosen.clear()

    def may_send(self, backend_id: str, rate_per_s: float, now_ms: int) -> bool:
        """Return True if the instance's share allows a request now."""
        allowed = self._allowed_requests(backend_id, rate_per_s)
        sent = self._sent.get(backend_id)
        return allowed > (sent.value(now_ms) if sent is not None else 0)

    def try_send(self, backend_id: str, rate_per_s: float, now_ms: int) -> bool:
        """Return True and count a request if this instance's share is not used up."""
        if not self.may_send(backend_id, rate_per_s, now_ms):
            return False
        self._sent.setdefault(backend_id, SlidingWindowCounter(SHARE_WINDOW_MS)).add(
            now_ms
        )
        return True

    def forget(self, backend_id: str) -> None:
        """Delete the count of a removed backend server."""
        self._sent.pop(backend_id, None)

    def _allowed_requests(self, backend_id: str, rate_per_s: float) -> int:
        instances = len(self._instances)
        if self._instance_id not in self._instances:
            return 0
        if rate_per_s >= instances:
            return int(rate_per_s / instances)
        key = (backend_id, int(rate_per_s))
        if key not in self._is_chosen:
            chosen = rendezvous(backend_id, self._instances, int(rate_per_s))
            self._is_chosen[key] = self._instance_id in chosen
        return 1 if self._is_chosen[key] else 0
