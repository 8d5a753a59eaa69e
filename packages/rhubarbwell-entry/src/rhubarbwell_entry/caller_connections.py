"""Connections of callers that close only after a look at what has arrived."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from rhubarbwell_entry.listeners import end_connection, has_unread_bytes

__all__ = ["CallerConnection"]

# A caller sends its request within some round trips after it has connected, and the
# rest of one within some after its first bytes.
MIN_IDLE_S = 0.3
# Time in which a late event loop reads what a connection holds.
RECHECK_S = 0.02


class CallerConnection(web.RequestHandler):
    """Serve HTTP on a connection and tell whether it is idle and who ended it.

    An idle connection closes after the timeout in force when it was opened or the
    current one, whichever is longer.
    """

    last_data_s = 0.0
    # When the first bytes of the request in progress or arriving were read.
    request_began_s = 0.0
    # True if the caller or the network ended the connection, not this instance.
    is_lost = False
    lost_s = 0.0
    # None if the connection was closed, not reset.
    lost_error: BaseException | None = None
    _is_closed_here = False
    # Number of the connection's requests before the one that began last.
    _requests_before = -1

    def __init__(
        self, server: web.Server, idle_timeout_s: Callable[[], float], **options: Any
    ) -> None:
        super().__init__(server, keepalive_timeout=idle_timeout_s(), **options)
        self._idle_timeout_s = idle_timeout_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the start of the connection."""
        self.last_data_s = self._loop.time()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Record the time and pass on the data."""
        self.last_data_s = self._loop.time()
        is_first = self._request_count == 0 or self._waits_for_request
        if is_first and self._requests_before != self._request_count:
            self._requests_before = self._request_count
            self.request_began_s = self.last_data_s
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record who ended the connection and how, and cancel its request."""
        self.is_lost = not self._is_closed_here
        self.lost_s = self._loop.time()
        self.lost_error = exc
        super().connection_lost(exc)

    def force_close(self) -> None:
        """Close the connection, whatever is in progress on it."""
        self._is_closed_here = not self.is_lost
        super().force_close()

    def is_idle(self, now_s: float) -> bool:
        """Return True if nothing is open, has arrived or is arriving at now_s."""
        return (
            self._waits_for_request
            and self.transport is not None
            and self.last_data_s + MIN_IDLE_S <= now_s
            and not self.transport.get_write_buffer_size()
            and not has_unread_bytes(self.transport)
        )

    def end(self) -> None:
        """Close an idle connection; the caller learns of it at once."""
        if self.transport is not None:
            end_connection(self.transport)
        self.force_close()

    @property
    def _waits_for_request(self) -> bool:
        # aiohttp waits like this only between requests: not while one is parsed,
        # handled or answered, nor while the rest of its body is discarded.
        return self._waiter is not None and not self._waiter.done()

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless there is data to read."""
        longer_s = self._idle_timeout_s() - self._keepalive_timeout
        due_s = self._next_keepalive_close_time + max(longer_s, 0.0)
        now_s = self._loop.time()
        # A late event loop runs its timers before it reads.
        if due_s > now_s or has_unread_bytes(self.transport):
            self._keepalive_handle = self._loop.call_at(
                max(due_s, now_s + RECHECK_S), self._process_keepalive
            )
            return
        if self.is_idle(now_s):
            self.end()
        super()._process_keepalive()
