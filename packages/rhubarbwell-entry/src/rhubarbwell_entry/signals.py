"""Receive the signals of an entry instance's process."""

import asyncio
import contextlib
import signal
from types import FrameType

__all__ = ["StopSignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Tell when signals ask the process to stop, from before its event loop runs.

    The first SIGTERM or SIGINT sets `requested`, a second SIGINT sets `forced`.
    Further SIGTERMs and SIGHUP have no effect, as supervisors may send them in a
    series. The handlers are Python's: an event loop that closes restores those that it
    replaced.
    """

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()
        self._has_interrupt = False
        self._loop: asyncio.AbstractEventLoop | None = None

    def install(self) -> None:
        """Receive the signals in place of their default actions."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for signum in STOP_SIGNALS:
            signal.signal(signum, self._receive)

    def ignore(self) -> None:
        """Ignore the signals until the process has ended."""
        for signum in STOP_SIGNALS:
            signal.signal(signum, signal.SIG_IGN)

    async def wait(self) -> None:
        """Return once a stop is requested."""
        self._loop = asyncio.get_running_loop()
        await self.requested.wait()

    def _receive(self, signum: int, _frame: FrameType | None) -> None:
        if signum == signal.SIGINT:
            if self._has_interrupt:
                self._set(self.forced)
            self._has_interrupt = True
        self._set(self.requested)

    def _set(self, event: asyncio.Event) -> None:
        if self._loop is None:
            event.set()
            return
        # The loop may have closed.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(event.set)
