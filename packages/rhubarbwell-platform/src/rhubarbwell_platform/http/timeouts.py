"""Limit the time of an exchange without discarding what has already arrived."""

import asyncio
from collections.abc import Callable
from types import TracebackType

__all__ = ["SocketTimeout", "polled_sleep"]

# What a socket holds reaches the task that waits in the second iteration of the event
# loop, a new connection in the fourth, an answer of several MB in the third.
LAST_ITERATIONS = 8
# A busy loop, whose iterations take long, ends the wait after these.
MIN_ITERATIONS = 4
MAX_POLLS_S = 0.05
# A loop that comes in time for a timer has polled its sockets just before.
PUNCTUAL_ITERATIONS = 2
# Above the rounding of the loop's clock, which counts whole milliseconds.
MAX_PUNCTUAL_DELAY_S = 0.005


class SocketTimeout:
    """Raise TimeoutError after a time in s, once sockets were polled; None is no limit.

    An event loop that comes late runs its due timers before it polls its sockets. The
    block may still end within some iterations of the loop after the time, but only if
    is_connected returns True then: else it has nothing to receive, and would send a
    request too late.
    """

    def __init__(
        self,
        seconds: float | None,
        *,
        is_connected: Callable[[], bool] = lambda: True,
    ) -> None:
        self._seconds = seconds
        self._is_connected = is_connected
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> None:
        """Start the time."""
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._loop = asyncio.get_running_loop()
            self._due_s = self._loop.time() + self._seconds
            self._handle = self._loop.call_at(self._due_s, self._end)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the time; raise TimeoutError if it has ended the block."""
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _end(self) -> None:
        self._end_s = self._loop.time()
        is_late = self._end_s - self._due_s > MAX_PUNCTUAL_DELAY_S
        iterations = LAST_ITERATIONS if is_late else PUNCTUAL_ITERATIONS
        self._await_polls(iterations if self._is_connected() else 0)

    def _await_polls(self, iterations: int) -> None:
        is_slow = self._loop.time() - self._end_s > MAX_POLLS_S
        if iterations == 0 or (
            is_slow and iterations <= LAST_ITERATIONS - MIN_ITERATIONS
        ):
            self._timeout.reschedule(self._loop.time())
        else:
            self._handle = self._loop.call_soon(self._await_polls, iterations - 1)


async def polled_sleep(seconds: float) -> None:
    """Return after a time in s, once the event loop has polled its sockets."""
    await asyncio.sleep(seconds)
    for _ in range(LAST_ITERATIONS):
        await asyncio.sleep(0)
