"""Run background tasks that end with their owner."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from rhubarbwell_entry.logs import log_exception

__all__ = ["BackgroundTasks"]

_log = logging.getLogger(__name__)

# A timeout that expires in the same iteration of the event loop may swallow a task's
# cancellation, so tasks that still run after this time are cancelled again.
RECANCEL_INTERVAL_S = 0.05
# The delay before a failed task starts again doubles with each failure.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
MAX_DOUBLINGS = 6
# A task that has run for this time has recovered from its earlier failures.
RECOVERY_S = 10.0
# Failures in a row after which a task counts as unable to run.
MAX_FAILURES_IN_ROW = 5


class BackgroundTasks:
    """Run coroutines in the background until closed.

    on_failure gets the name of each task that ended with an exception.
    """

    def __init__(self, on_failure: Callable[[str], None] = lambda name: None) -> None:
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        # Names of the essential tasks that fail again and again.
        self._unable: set[str] = set()

    @property
    def can_run(self) -> bool:
        """Return False if an essential task fails again and again."""
        return not self._unable

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task that runs once; log an exception that ends it."""
        task = self._start(self._run_once(coro))
        # A task that is cancelled before it runs leaves its coroutine unstarted.
        task.add_done_callback(lambda _: coro.close())

    def supervise(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        *,
        essential: bool = False,
    ) -> None:
        """Run a coroutine, and start it again after a delay if an exception ends it."""
        self._start(self._run_supervised(name, run, essential))

    async def close(self) -> None:
        """Cancel the running tasks and wait for them to end."""
        running = set(self._tasks)
        while running:
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=RECANCEL_INTERVAL_S)

    def _start(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_once(self, coro: Coroutine[Any, Any, None]) -> None:
        try:
            await coro
        except Exception as exc:
            name = getattr(coro, "__qualname__", type(coro).__name__)
            self._report_failure(name, exc, failures_in_row=1)

    async def _run_supervised(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]], essential: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        failures_in_row = 0
        while True:
            started_s = loop.time()
            recovery = loop.call_later(RECOVERY_S, self._unable.discard, name)
            try:
                await run()
            except Exception as exc:
                if loop.time() - started_s >= RECOVERY_S:
                    failures_in_row = 0
                failures_in_row += 1
                if essential and failures_in_row >= MAX_FAILURES_IN_ROW:
                    self._unable.add(name)
                self._report_failure(name, exc, failures_in_row=failures_in_row)
            else:
                return
            finally:
                recovery.cancel()
            doublings = min(failures_in_row - 1, MAX_DOUBLINGS)
            delay_s = min(MIN_RESTART_DELAY_S * 2.0**doublings, MAX_RESTART_DELAY_S)
            await asyncio.sleep(delay_s)

    def _report_failure(self, name: str, exc: Exception, failures_in_row: int) -> None:
        self._on_failure(name)
        log_exception(
            _log,
            "task_failed",
            "a background task ended with an unexpected exception",
            exc,
            task=name,
            failures_in_row=failures_in_row,
        )
