"""Virtual clock that runs callbacks in order of their due times."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["VirtualClock"]


class VirtualClock:
    """Run callbacks by due time; equal times keep the order of scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._sequence_numbers = count()
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []

    def call_at(self, due_ms: int, callback: Callable[[], None]) -> None:
        """Schedule the callback at due_ms, or now if that time has passed."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(
            self._scheduled, (due_ms, next(self._sequence_numbers), callback)
        )

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule the callback delay_ms from now."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run_until(self, end_ms: int) -> None:
        """Run every callback due by end_ms and set the clock to end_ms."""
        while self._scheduled and self._scheduled[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._scheduled)
            self.now_ms = due_ms
            callback()
        self.now_ms = end_ms
