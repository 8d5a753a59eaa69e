"""Background calls that end with their owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["TaskGroup"]


class TaskGroup:
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
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
