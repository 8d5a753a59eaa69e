"""An event loop whose clock stands still while other processes have the processor."""

import asyncio
import selectors
import time

__all__ = ["UnloadedLoop", "run_unloaded"]


class UnloadedLoop(asyncio.SelectorEventLoop):
    """Count the time that the loop waits for timers, and its processor time.

    Bounds on time hold on any machine then, and what is tested still spends all the
    time that it asks for. All peers must run on this loop, too.
    """

    def __init__(self):
        self._waits = _CountingSelector()
        super().__init__(self._waits)

    def time(self):
        """Return the time in s."""
        return self._waits.waited_s + time.thread_time()

    def time_ms(self):
        """Return the time in ms, as the clock of an instance."""
        return int(self.time() * 1_000)


class _CountingSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout=None):
        # What is ready needs no wait, however late this process gets to it.
        if (events := super().select(0)) or timeout == 0:
            return events
        started_s = time.monotonic()
        events = super().select(timeout)
        elapsed_s = time.monotonic() - started_s
        self.waited_s += elapsed_s if timeout is None else min(elapsed_s, timeout)
        return events


def run_unloaded(coro):
    """Run a coroutine on an UnloadedLoop and return its result."""
    with asyncio.Runner(loop_factory=UnloadedLoop) as runner:
        return runner.run(coro)
