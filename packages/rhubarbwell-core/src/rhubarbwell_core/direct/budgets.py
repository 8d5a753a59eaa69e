"""Divide the retry budgets of the fleet among its entry instances."""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudgetRule", "SharedRetryBudget", "SlidingWindowCounter"]

# Share of the budget that is spent. The rest covers differing views of the fleet and
# requests whose first attempt is counted in a later window.
BUDGET_SHARE_USED = 0.7


class RetryBudgetRule(NamedTuple):
    """Store the limit on retries per service and window, over all instances.

    Retries may number ratio times the requests of the window plus slack.
    """

    ratio: float
    slack: float
    window_ms: int


class SlidingWindowCounter:
    """Count the events of the last window_ms milliseconds.

    >>> count = SlidingWindowCounter(1_000)
    >>> count.add(0)
    >>> count.value(900), count.value(1_001)
    (1, 0)
    """

    __slots__ = ("_times", "window_ms")

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._times: deque[int] = deque()

    def __deepcopy__(self, _: object) -> "SlidingWindowCounter":
        """Return a copy; there may be thousands of events."""
        other = SlidingWindowCounter(self.window_ms)
        other._times = self._times.copy()
        return other

    def add(self, now_ms: int) -> None:
        """Count an event."""
        self._times.append(now_ms)

    @property
    def oldest_ms(self) -> int:
        """Return the time in ms of the oldest event that is still counted."""
        return self._times[0]

    def value(self, now_ms: int) -> int:
        """Return the number of events in the window that ends now."""
        times = self._times
        while times and times[0] < now_ms - self.window_ms:
            times.popleft()
        return len(times)


class SharedRetryBudget:
    """Limit an instance's retries per service to its share of the fleet's budget.

    The share is the rule's ratio of the instance's own requests plus slack_share of
    the rule's slack.

    >>> budget = SharedRetryBudget(RetryBudgetRule(0.2, 20, 10_000))
    >>> [budget.try_spend("s", 0.1, 0) for _ in range(3)]
    [True, False, False]
    """

    def __init__(self, rule: RetryBudgetRule) -> None:
        self._rule = rule
        self._requests: dict[str, SlidingWindowCounter] = {}
        self._retries: dict[str, SlidingWindowCounter] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request, which raises the budget by the rule's ratio."""
        self._counter(self._requests, service).add(now_ms)

    def try_spend(self, service: str, slack_share: float, now_ms: int) -> bool:
        """Return True and count a retry if this instance's share is not used up."""
        requests = self._counter(self._requests, service).value(now_ms)
        retries = self._counter(self._retries, service)
        share = self._rule.ratio * requests + self._rule.slack * slack_share
        if retries.value(now_ms) + 1 > BUDGET_SHARE_USED * share:
            return False
        retries.add(now_ms)
        return True

    def _counter(
        self, counts: dict[str, SlidingWindowCounter], service: str
    ) -> SlidingWindowCounter:
        if service not in counts:
            counts[service] = SlidingWindowCounter(self._rule.window_ms)
        return counts[service]
