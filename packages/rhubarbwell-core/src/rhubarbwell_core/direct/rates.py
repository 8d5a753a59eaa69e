"""Divide rates of requests to backend servers among the entry instances."""

from collections.abc import Sequence
from typing import NamedTuple

from rhubarbwell_core.direct.budgets import SlidingWindowCounter
from rhubarbwell_core.hashing import rendezvous

__all__ = ["SharedRateLimiter"]

MS_PER_S = 1_000
# Bounds of the time between two probes of an instance that was not chosen. A server
# that stops naming a limit is used again by all instances after this time.
MIN_PROBE_PERIOD_MS = 10_000
MAX_PROBE_PERIOD_MS = 60_000


class _Share(NamedTuple):
    """Hold the requests that an instance may send in a window."""

    requests: int
    window_ms: float


class _Choice(NamedTuple):
    """Hold how many instances send to a server and whether this one is among them."""

    chosen: int
    is_own: bool


class SharedRateLimiter:
    """Limit requests to each backend server to this instance's share of its rate.

    The rate of a server applies to all instances together. If it is below one request
    per second for each instance, rendezvous hashing chooses the instances that may
    send requests, as many as the rate has whole requests. The others, and those that
    are not configured, send none, or with probe_share together this share of the rate.

    An instance sends its share within windows of at least min_window_ms.

    >>> limiter = SharedRateLimiter("a")
    >>> limiter.configure(["a"])
    >>> [limiter.try_send("b-1", 2.0, 0) for _ in range(3)]
    [True, True, False]
    >>> limiter.pause_ms("b-1", 2.0, 400)
    601
    """

    def __init__(
        self, instance_id: str, *, min_window_ms: int = 0, probe_share: float = 0.0
    ) -> None:
        self._instance_id = instance_id
        self._min_window_ms = min_window_ms
        self._probe_share = probe_share
        # Until the registrations are known, this instance has no share.
        self._instances: Sequence[str] = ()
        self._sent: dict[str, SlidingWindowCounter] = {}
        self._choices: dict[str, _Choice] = {}

    def configure(self, instances: Sequence[str]) -> None:
        """Set the ids of the instances that share the rates."""
        if set(instances) != set(self._instances):
            self._instances = tuple(instances)
            self._choices.clear()

    def may_send(self, backend_id: str, rate_per_s: float, now_ms: int) -> bool:
        """Return True if the instance's share allows a request now."""
        share = self._share(backend_id, rate_per_s)
        return share.requests > self._requests_in_window(backend_id, share, now_ms)

    def try_send(self, backend_id: str, rate_per_s: float, now_ms: int) -> bool:
        """Return True and count a request if this instance's share is not used up."""
        if not self.may_send(backend_id, rate_per_s, now_ms):
            return False
        self._sent.setdefault(backend_id, SlidingWindowCounter(0)).add(now_ms)
        return True

    def pause_ms(self, backend_id: str, rate_per_s: float, now_ms: int) -> int:
        """Return the time in ms until a request is allowed.

        This is MAX_PROBE_PERIOD_MS for an instance without a share.
        """
        share = self._share(backend_id, rate_per_s)
        if not share.requests:
            return MAX_PROBE_PERIOD_MS
        if self._requests_in_window(backend_id, share, now_ms) < share.requests:
            return 0
        return self._sent[backend_id].oldest_ms + round(share.window_ms) + 1 - now_ms

    def has_share(self, backend_id: str, rate_per_s: float) -> bool:
        """Return True if this instance ever sends a part of a server's rate."""
        return self._share(backend_id, rate_per_s).requests > 0

    def forget(self, backend_id: str) -> None:
        """Delete what is known of a removed backend server."""
        self._sent.pop(backend_id, None)
        self._choices.pop(backend_id, None)

    def _requests_in_window(self, backend_id: str, share: _Share, now_ms: int) -> int:
        sent = self._sent.get(backend_id)
        if sent is None:
            return 0
        sent.window_ms = round(share.window_ms)
        return sent.value(now_ms)

    def _share(self, backend_id: str, rate_per_s: float) -> _Share:
        instances = len(self._instances)
        chosen = min(instances, max(1, int(rate_per_s))) if rate_per_s > 0 else 0
        if chosen and self._is_chosen(backend_id, chosen):
            requests = max(1, int(rate_per_s / instances))
            own_rate_per_s = (1.0 - self._probe_share) * rate_per_s / chosen
            window_ms = MS_PER_S * requests / own_rate_per_s
            return _Share(requests, max(window_ms, self._min_window_ms))
        if not self._probe_share:
            return _Share(0, self._min_window_ms)
        probes_per_s = self._probe_share * rate_per_s
        period_ms = MAX_PROBE_PERIOD_MS
        if probes_per_s * period_ms > MS_PER_S * instances:
            period_ms = round(MS_PER_S * instances / probes_per_s)
        return _Share(1, max(period_ms, MIN_PROBE_PERIOD_MS))

    def _is_chosen(self, backend_id: str, chosen: int) -> bool:
        known = self._choices.get(backend_id)
        if known is None or known.chosen != chosen:
            names = rendezvous(backend_id, self._instances, chosen)
            known = _Choice(chosen, self._instance_id in names)
            self._choices[backend_id] = known
        return known.is_own
