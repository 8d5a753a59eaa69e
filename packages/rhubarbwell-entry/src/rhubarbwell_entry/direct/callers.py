"""HTTP server for callers, which stops without cutting off requests."""

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from rhubarbwell_entry.caller_connections import CallerConnection
from rhubarbwell_entry.direct.responses import AnswerResponse
from rhubarbwell_entry.listeners import LISTEN_BACKLOG, accept_established
from rhubarbwell_entry.logs import log_event

__all__ = ["CallerServer", "Handler"]

_log = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Limits the request line and each header field.
MAX_HEADER_BYTES = 64 << 10
# A connection reads up to twice as much of a body, and what arrives with it, before
# the body has memory; none of this is counted.
UNREAD_BODY_BYTES = 64 << 10
# Time to discard the rest of a body that was answered before it was read. Closing the
# connection with unread bytes would reset it, and the caller would lose the answer.
# The limit is for callers that send slowly or without end.
MAX_DISCARD_S = 5.0
# A caller that has taken nothing of its response for this time is logged, and after the
# second one given up if others wait for the memory.
LOGGED_UNTAKEN_S = 5.0
MAX_UNTAKEN_S = 10.0


class CallerServer(web.Server):
    """Serve HTTP for callers; the arguments return the timeouts now in force."""

    def __init__(
        self,
        handle: Handler,
        idle_timeout_s: Callable[[], float],
        header_timeout_s: Callable[[], float],
    ) -> None:
        super().__init__(self._serve, handler_cancellation=True)
        self._handle = handle
        self._idle_timeout_s = idle_timeout_s
        self._header_timeout_s = header_timeout_s
        self._open_requests = Counter[web.RequestHandler]()
        # Responses that are being written.
        self._responses: set[AnswerResponse] = set()
        self.closed_idle = 0
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
            "read_bufsize": UNREAD_BODY_BYTES,
        }
        return CallerConnection(
            self,
            self._idle_timeout_s,
            self._header_timeout_s,
            loop=self._loop,
            **options,
        )

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
        """Close idle connections and return the number of the remaining ones."""
        now_s = self._loop.time()
        for conn in self.connections:
            assert isinstance(conn, CallerConnection)
            if conn.is_idle(now_s):
                self.closed_idle += 1
                conn.end()
        return len(self.connections)

    def check_untaken(self, *, is_memory_short: bool) -> None:
        """Log callers that take nothing; end those whose memory others wait for."""
        now_s = self._loop.time()
        for resp in list(self._responses):
            untaken_s = resp.untaken_s(now_s)
            is_dropped = is_memory_short and untaken_s >= MAX_UNTAKEN_S
            if is_dropped or untaken_s >= LOGGED_UNTAKEN_S:
                resp.log_untaken(untaken_s, is_dropped=is_dropped)
            if is_dropped:
                resp.drop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        self._open_requests[conn] += 1
        try:
            resp = await self._handle(request)
            # Otherwise aiohttp writes the response when the request no longer counts
            # as open; it also handles a lost connection then.
            if isinstance(resp, AnswerResponse):
                self._responses.add(resp)
            try:
                with contextlib.suppress(ConnectionError):
                    await resp.prepare(request)
                    await resp.write_eof()
            finally:
                if isinstance(resp, AnswerResponse):
                    self._responses.discard(resp)
                    resp.release()
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
