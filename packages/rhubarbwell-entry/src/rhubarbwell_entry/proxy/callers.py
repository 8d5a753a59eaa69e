"""HTTP server for callers, which stops without losing requests that have arrived."""

import asyncio
from typing import Any
from weakref import WeakKeyDictionary

from aiohttp import web

from rhubarbwell_entry.caller_connections import CallerConnection

__all__ = ["CallerRunner"]

KEEPALIVE_S = 75.0
# Time from the first byte of a request's head to its last one.
HEADER_TIMEOUT_S = 10.0
# Time to discard the rest of a body that was answered before it was read. Closing the
# connection with unread bytes would reset it, and the caller would lose the answer.
# The limit is for callers that send slowly or without end.
LINGERING_S = 5.0
SHUTDOWN_TIMEOUT_S = 1.0
# A caller completes its TLS handshake within this time; a check of the port never does.
MAX_HANDSHAKE_S = 1.0
CONNECTION_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "lingering_time": LINGERING_S,
    # The body is the backend server's to decode.
    "auto_decompress": False,
}


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
        return len(server.connections) + server.count_opening(now_s)

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
        # When connections were accepted on which HTTP has not begun, in s.
        self._opening = WeakKeyDictionary[web.RequestHandler, float]()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        conn = CallerConnection(
            self,
            lambda: KEEPALIVE_S,
            lambda: HEADER_TIMEOUT_S,
            loop=self._loop,
            **CONNECTION_OPTIONS,
        )
        self._opening[conn] = self._loop.time()
        return conn

    def count_opening(self, now_s: float) -> int:
        """Return the number of connections whose TLS handshake may be in progress."""
        oldest_s = now_s - MAX_HANDSHAKE_S
        return sum(accepted_s > oldest_s for accepted_s in self._opening.values())

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Record a connection on which HTTP begins."""
        self._opening.pop(handler, None)
        super().connection_made(handler, transport)
