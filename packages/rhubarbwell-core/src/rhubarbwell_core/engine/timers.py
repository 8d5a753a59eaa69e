"""Schedule the periodic and single callbacks of a core."""

import heapq
from collections.abc import Callable, Sequence
from itertools import count
from typing import NamedTuple

from rhubarbwell_core.engine.messages import Action

__all__ = ["TimerCallback", "TimerService", "TimerSubscription"]

TimerCallback = Callable[[int], Sequence[Action]]


class TimerSubscription(NamedTuple):
    """Store the period in ms and the callback of a subscription."""

    subscription_id: int
    period_ms: int
    callback: TimerCallback


class TimerService:
    """Hold subscriptions and call those that are due at a time in ms.

    >>> timers = TimerService(now_ms=0)
    >>> seen = []
    >>> _ = timers.subscribe(100, lambda now_ms: seen.append(now_ms) or [])
    >>> timers.advance(250)
    []
    >>> seen, timers.next_due_ms()
    ([250], 300)
    """

    def __init__(self, *, now_ms: int = 0) -> None:
        self.now_ms = now_ms
        self._ids = count()
        self._due: list[tuple[int, int]] = []
        self._subscriptions: dict[int, TimerSubscription] = {}

    def subscribe(
        self, period_ms: int, callback: TimerCallback, *, first_ms: int | None = None
    ) -> TimerSubscription:
        """Add and return a subscription that is called every period_ms.

        The first call is at first_ms, by default after one period. If several
        periods pass between two calls of advance, the callback runs only once.
        """
        sub = TimerSubscription(next(self._ids), period_ms, callback)
        due_ms = self.now_ms + period_ms if first_ms is None else first_ms
        self._subscriptions[sub.subscription_id] = sub
        heapq.heappush(self._due, (due_ms, sub.subscription_id))
        return sub

    def call_at(self, due_ms: int, callback: TimerCallback) -> TimerSubscription:
        """Add and return a subscription that is called once, at due_ms."""
        return self.subscribe(0, callback, first_ms=due_ms)

    def cancel(self, sub: TimerSubscription) -> None:
        """Remove a subscription; do nothing if it has already ended."""
        self._subscriptions.pop(sub.subscription_id, None)

    def advance(self, now_ms: int) -> list[Action]:
        """Advance the clock to now_ms and return the actions of due callbacks."""
        self.now_ms = max(self.now_ms, now_ms)
        actions: list[Action] = []
        while self._due and self._due[0][0] <= self.now_ms:
            due_ms, subscription_id = heapq.heappop(self._due)
            sub = self._subscriptions.get(subscription_id)
            if sub is None:
                continue
            self._schedule_next(sub, due_ms)
            actions.extend(sub.callback(self.now_ms))
        return actions

    def next_due_ms(self) -> int | None:
        """Return the time in ms of the next callback, or None if none is scheduled."""
        while self._due and self._due[0][1] not in self._subscriptions:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def _schedule_next(self, sub: TimerSubscription, due_ms: int) -> None:
        if sub.period_ms == 0:
            del self._subscriptions[sub.subscription_id]
            return
        missed = (self.now_ms - due_ms) // sub.period_ms
        next_ms = due_ms + (missed + 1) * sub.period_ms
        heapq.heappush(self._due, (next_ms, sub.subscription_id))
