"""HTTP server for callers, which stops without cutting off requests."""

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from rhubarbwell_entry.direct.timeouts import RECHECK_S
from rhubarbwell_entry.listeners import (
    LISTEN_BACKLOG,
    accept_established,
    has_unread_bytes,
)
from rhubarbwell_entry.logs import log_event

__all__ = ["CallerConnection", "CallerServer", "Handler"]

_log = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Limits the request line and each header field.
MAX_HEADER_BYTES = 64 << 10
# A caller sends its request within some round trips after it has connected.
MIN_IDLE_S = 0.3
# Time to discard the rest of a body that was answered before it was read. Closing the
# connection with unread bytes would reset it, and the caller would lose the answer.
# The limit is for callers that send slowly or without end.
MAX_DISCARD_S = 5.0


class CallerConnection(web.RequestHandler):
    """Record when a caller last sent data and who ended the connection."""

    last_data_s = 0.0
    # True if the caller or the network ended the connection, not this instance.
    is_lost = False
    _is_closed_here = False

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
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record who ended the connection, and cancel its request."""
        self.is_lost = not self._is_closed_here
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        """Close the connection if it is idle and holds no unread bytes.

        aiohttp calls this when the idle timeout that was in force when the connection
        was opened is over. Callers keep to the one in force now.
        """
        longer_s = self._idle_timeout_s() - self._keepalive_timeout
        due_s = self._next_keepalive_close_time + max(longer_s, 0.0)
        now_s = self._loop.time()
        if due_s > now_s or has_unread_bytes(self.transport):
            self._keepalive_handle = self._loop.call_at(
                max(due_s, now_s + RECHECK_S), self._process_keepalive
            )
            return
        super()._process_keepalive()

    def force_close(self) -> None:
        """Close the connection, whatever is in progress on it."""
        self._is_closed_here = not self.is_lost
        super().force_close()


class CallerServer(web.Server):
    """Serve HTTP.

    An idle connection closes after the timeout in force when it was opened or the
    current one, whichever is longer.
    """

    def __init__(self, handle: Handler, idle_timeout_s: Callable[[], float]) -> None:
        super().__init__(self._serve, handler_cancellation=True)
        self._handle = handle
        self._idle_timeout_s = idle_timeout_s
        self._open_requests = Counter[web.RequestHandler]()
        self.closed_idle = 0
        # How often a connection stayed open only for the bytes that it held unread.
        self.kept_unread = 0
        self._sock: socket.socket | None = None
        self._site: web.SockSite | None = None

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        options: dict[str, Any] = {
            "access_log": None,
            "max_line_size": MAX_HEADER_BYTES,
            "max_field_size": MAX_HEADER_BYTES,
            "lingering_time": 0.0,
            # The body is the backend server's to decode.
            "auto_decompress": False,
        }
        return CallerConnection(self, self._idle_timeout_s, loop=self._loop, **options)

    @property
    def open_requests(self) -> int:
        """Return the number of requests whose response is not yet written."""
        return self._open_requests.total()

    @property
    def is_listening(self) -> bool:
        """Return True while new connections are accepted."""
        return self._site is not None

    async def listen(self, runner: web.ServerRunner, sock: socket.socket) -> None:
        """Accept connections on a listening socket of this server's runner."""
        self._sock = sock
        self._site = web.SockSite(runner, sock, backlog=LISTEN_BACKLOG)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Accept the connections that are already established and no others."""
        if self._site is None or self._sock is None:
            return
        accepted = accept_established(self._sock)
        await self._site.stop()
        self._site = None
        for sock in accepted:
            await self._loop.connect_accepted_socket(self, sock)

    def close_idle_connections(self) -> int:
        """Close idle connections and return the number of the remaining ones.

        A connection that holds unread bytes is not idle, as they may be a request.
        """
        oldest_s = self._loop.time() - MIN_IDLE_S
        for conn in self.connections:
            assert isinstance(conn, CallerConnection)
            is_open = conn.transport is not None
            if not is_open or self._open_requests[conn] or conn.last_data_s > oldest_s:
                continue
            if has_unread_bytes(conn.transport):
                self.kept_unread += 1
                continue
            self.closed_idle += 1
            conn.force_close()
        return len(self.connections)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        self._open_requests[conn] += 1
        try:
            resp = await self._handle(request)
            # Otherwise aiohttp writes the response when the request no longer counts
            # as open; it also handles a lost connection then.
            with contextlib.suppress(ConnectionError):
                await resp.prepare(request)
                await resp.write_eof()
        finally:
            self._open_requests[conn] -= 1
            if not self._open_requests[conn]:
                del self._open_requests[conn]
        await _discard_body(request)
        return resp


async def _discard_body(request: web.BaseRequest) -> None:
    """Read what is left of a request's body for at most MAX_DISCARD_S.

    aiohttp closes the connection of a body that has not ended by then.
    """
    content = request.content
    if content.is_eof() or content.exception() is not None:
        return
    try:
        async with asyncio.timeout(MAX_DISCARD_S):
            while not content.at_eof():
                await content.readany()
    except Exception as exc:
        # The response has been written; a second one must not follow.
        log_event(
            _log,
            logging.INFO,
            "body_not_discarded",
            "the rest of an answered request's body could not be read",
            error=repr(exc),
        )
