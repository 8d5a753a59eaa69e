"""Background calls that end with their owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]

# A call that swallowed its cancellation, as a time-out that expires in the same turn of
# the loop may, is cancelled again after this time.
RECANCEL_INTERVAL_S = 0.05


class BackgroundTasks:
    """Run calls in the background until closed."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, call: Coroutine[Any, Any, None]) -> None:
        """Start a call."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the calls that are under way."""
        running = set(self._tasks)
        while running:
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=RECANCEL_INTERVAL_S)
