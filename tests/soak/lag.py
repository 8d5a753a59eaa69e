"""Measure how late an event loop runs."""

import asyncio
import time

TICK_S = 0.01


class LoopLag:
    """Record the spans in which the running event loop came late."""

    def __init__(self) -> None:
        self._late_spans: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Record until cancelled."""
        while True:
            due_at = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now > due_at:
                self._late_spans.append((due_at, now))

    def between(self, start: float, end: float) -> float:
        """Return how long the loop was late between two times, in seconds."""
        return sum(
            max(min(end, late_until) - max(start, due_at), 0.0)
            for due_at, late_until in self._late_spans
        )
