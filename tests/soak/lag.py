"""Measure how late an event loop runs."""

import asyncio
import time
from bisect import bisect_left

TICK_S = 0.01


class LoopLag:
    """Record when the running event loop ran, in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._ticks: list[float] = []

    async def run(self) -> None:
        """Record until cancelled."""
        while True:
            self._ticks.append(time.monotonic())
            await asyncio.sleep(TICK_S)

    def earliest(self, at: float) -> float:
        """Return the earliest time at which what the loop saw at a time can have been.

        The loop has looked at its sockets between any two ticks.
        """
        number = bisect_left(self._ticks, at)
        return self._ticks[number - 2] if number > 1 else 0.0

    def between(self, start: float, end: float) -> float:
        """Return how long the loop was late between two times, in seconds."""
        first, last = bisect_left(self._ticks, start), bisect_left(self._ticks, end)
        return max(end - start - (last - first + 1) * TICK_S, 0.0)
