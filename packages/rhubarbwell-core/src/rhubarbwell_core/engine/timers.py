"""The timer service that parts subscribe to."""

import heapq
from collections.abc import Callable, Sequence
from itertools import count
from typing import NamedTuple

from rhubarbwell_core.engine.messages import Action

__all__ = ["TimerCallback", "TimerService", "TimerSubscription"]

TimerCallback = Callable[[int], Sequence[Action]]


class TimerSubscription(NamedTuple):
    """Identify one subscription to the timer service."""

    subscription_id: int
    period_ms: int
    callback: TimerCallback


class TimerService:
    """Call subscribers when their time in ms has come.

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
        """Call back every period_ms, at first_ms for the first time.

        Periods that passed unserved are run once, not caught up one by one.
        """
        sub = TimerSubscription(next(self._ids), period_ms, callback)
        due_ms = self.now_ms + period_ms if first_ms is None else first_ms
        self._subscriptions[sub.subscription_id] = sub
        heapq.heappush(self._due, (due_ms, sub.subscription_id))
        return sub

    def call_at(self, due_ms: int, callback: TimerCallback) -> TimerSubscription:
        """Call back once, at due_ms."""
        return self.subscribe(0, callback, first_ms=due_ms)

    def cancel(self, sub: TimerSubscription) -> None:
        """End a subscription; one that has ended is left alone."""
        self._subscriptions.pop(sub.subscription_id, None)

    def advance(self, now_ms: int) -> list[Action]:
        """Move the clock on and return the actions of the callbacks that were due."""
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
        """Return the time in ms of the next callback, None without one."""
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
