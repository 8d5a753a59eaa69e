"""Limit the time of an exchange without discarding what has already arrived."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from rhubarbwell_entry.listeners import has_unread_bytes

__all__ = ["RECHECK_S", "read_timeout"]

# Time in which an event loop that was late reads what a socket holds.
RECHECK_S = 0.02
# A peer that sends without end does not hold up the timeout.
MAX_RECHECKS = 3


@asynccontextmanager
async def read_timeout(
    seconds: float, transport: Callable[[], asyncio.BaseTransport | None]
) -> AsyncIterator[None]:
    """Raise TimeoutError after a time, once the transport holds no unread bytes.

    An event loop that comes late runs its due timers before it reads its sockets.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.TimerHandle
    async with asyncio.timeout(None) as timeout:

        def expire(rechecks: int) -> None:
            nonlocal handle
            if rechecks and has_unread_bytes(transport()):
                handle = loop.call_later(RECHECK_S, expire, rechecks - 1)
            else:
                timeout.reschedule(loop.time())

        handle = loop.call_later(seconds, expire, MAX_RECHECKS)
        try:
            yield
        finally:
            handle.cancel()
