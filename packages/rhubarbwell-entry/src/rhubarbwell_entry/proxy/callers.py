"""HTTP server for callers, which stops without losing requests that have arrived."""

import asyncio
from typing import Any
from weakref import WeakSet

from aiohttp import web

from rhubarbwell_entry.listeners import end_connection, has_unread_bytes

__all__ = ["CallerConnection", "CallerRunner"]

KEEPALIVE_S = 75.0
# Time to discard the rest of a body that was answered before it was read. Closing the
# connection with unread bytes would reset it, and the caller would lose the answer.
# The limit is for callers that send slowly or without end.
LINGERING_S = 5.0
SHUTDOWN_TIMEOUT_S = 1.0
# A caller sends its request within some round trips after it has connected, and the
# rest of one within some after its first bytes.
MIN_IDLE_S = 0.3
CONNECTION_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "keepalive_timeout": KEEPALIVE_S,
    "lingering_time": LINGERING_S,
    # The body is the backend server's to decode.
    "auto_decompress": False,
}


class CallerConnection(web.RequestHandler):
    """Record when a caller last sent data."""

    last_data_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the start of the connection."""
        self.last_data_s = self._loop.time()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Record the time and pass on the data."""
        self.last_data_s = self._loop.time()
        super().data_received(data)

    def is_idle(self, now_s: float) -> bool:
        """Return True if nothing is open, has arrived or is arriving at now_s."""
        # aiohttp waits like this only between requests: not while one is parsed,
        # handled or answered, nor while the rest of its body is discarded.
        waits = self._waiter is not None and not self._waiter.done()
        return (
            waits
            and self.transport is not None
            and self.last_data_s + MIN_IDLE_S <= now_s
            and not self.transport.get_write_buffer_size()
            and not has_unread_bytes(self.transport)
        )

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless there is data to read."""
        # A late event loop runs its timers before it reads.
        if has_unread_bytes(self.transport):
            self._keepalive_handle = self._loop.call_later(
                MIN_IDLE_S, self._process_keepalive
            )
            return
        now_s = self._loop.time()
        if now_s >= self._next_keepalive_close_time and self.is_idle(now_s):
            self.end()
        super()._process_keepalive()

    def end(self) -> None:
        """Close an idle connection."""
        if self.transport is not None:
            end_connection(self.transport)
        self.force_close()


class CallerRunner(web.AppRunner):
    """Serve an application; cancel a request's handler if its caller disconnects."""

    def __init__(self, app: web.Application) -> None:
        super().__init__(app, shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    def close_idle_connections(self) -> int:
        """Close idle connections and return the number of the remaining ones.

        Those count as remaining whose TLS handshake or last answer is in progress.
        """
        server = self.server
        if not isinstance(server, _CallerServer):
            return 0
        now_s = asyncio.get_running_loop().time()
        for conn in server.connections:
            if isinstance(conn, CallerConnection) and conn.is_idle(now_s):
                conn.end()
        return len(server.connections) + len(server.opening)

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return _CallerServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=True,
        )


class _CallerServer(web.Server):
    """Create callers' connections."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Accepted connections on which HTTP has not begun.
        self.opening = WeakSet[web.RequestHandler]()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        conn = CallerConnection(
            self,
            loop=self._loop,
            **CONNECTION_OPTIONS,
        )
        self.opening.add(conn)
        return conn

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Record a connection on which HTTP begins."""
        self.opening.discard(handler)
        super().connection_made(handler, transport)
