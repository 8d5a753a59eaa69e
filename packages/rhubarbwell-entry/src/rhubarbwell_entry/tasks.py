"""Run background tasks that end with their owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]

# A timeout that expires in the same iteration of the event loop may swallow a task's
# cancellation, so tasks that still run after this time are cancelled again.
RECANCEL_INTERVAL_S = 0.05


class BackgroundTasks:
    """Run coroutines in the background until closed."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the running tasks and wait for them to end."""
        running = set(self._tasks)
        while running:
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=RECANCEL_INTERVAL_S)
