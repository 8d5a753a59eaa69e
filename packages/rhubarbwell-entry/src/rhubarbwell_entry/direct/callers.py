"""HTTP server for callers, which stops without cutting off requests."""

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from rhubarbwell_entry.caller_connections import CallerConnection
from rhubarbwell_entry.direct.responses import AnswerResponse
from rhubarbwell_entry.listeners import LISTEN_BACKLOG, accept_established
from rhubarbwell_entry.logs import log_event, log_exception
from rhubarbwell_entry.memory import LineShare
from rhubarbwell_entry.pipelining import LinePlace, line_place

__all__ = ["CallerServer", "EarlyHandler", "Handler"]

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
# The same once the caller's own deadline has passed. A caller that reads gets more than
# one retransmission of a lost packet, the first after 1 s.
MAX_UNTAKEN_LATE_S = 2.0


class EarlyHandler(Protocol):
    """Handle requests before their turn on their connections."""

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return True if a request without a body may run beside others."""

    def enter_line(self) -> LineShare | None:
        """Return the memory of a request that starts early, None without any."""

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Return what the handler answers to a request, once its turn comes."""

    def drop(self, request: web.BaseRequest, task: asyncio.Task[Any]) -> None:
        """Cancel the task of a request whose connection ended before its turn."""

    def record_early_start(self) -> None:
        """Count a request that started before its turn."""

    def record_line_limit(self) -> None:
        """Count a connection that had as many started requests as are allowed."""


class CallerServer(web.Server):
    """Serve HTTP for callers; the timeouts are those now in force.

    With an early handler, a connection's requests may start before their turn.
    """

    def __init__(
        self,
        handle: Handler,
        idle_timeout_s: Callable[[], float],
        header_timeout_s: Callable[[], float],
        early: EarlyHandler | None = None,
    ) -> None:
        super().__init__(
            self._serve,
            request_factory=self._make_caller_request,
            handler_cancellation=True,
        )
        self._early = early
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
            None if self._early is None else self,
            loop=self._loop,
            **options,
        )

    def _make_caller_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        line = protocol.line if isinstance(protocol, CallerConnection) else None
        place = None if line is None else line.first_place(message)
        if place is not None and place.request is not None:
            return place.request
        request = self._make_request(message, payload, protocol, writer, task)
        return request if place is None else place.set_request(request)

    @property
    def open_requests(self) -> int:
        """Return the number of requests whose response is not yet written."""
        return self._open_requests.total()

    @property
    def waiting_in_line(self) -> int:
        """Return the number of requests that are behind others on a connection."""
        lines = (getattr(conn, "line", None) for conn in self.connections)
        return sum(line.waiting for line in lines if line is not None)

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return True if a request without a body may run beside others."""
        return self._early is not None and self._early.may_overtake(request)

    def start(self, place: LinePlace, *, is_early: bool) -> bool:
        """Start a request whose turn has not come; False if there is no memory for it.

        is_early is True if others are before it.
        """
        assert self._early is not None
        place.share = self._early.enter_line()
        if place.share is None:
            return False
        if is_early:
            self._early.record_early_start()
        request = place.request
        assert request is not None
        self._open_requests[request.protocol] += 1
        place.task = self._loop.create_task(self._early.prepare(request))
        return True

    def drop(self, request: web.BaseRequest, task: asyncio.Task[Any]) -> None:
        """Cancel a started request whose connection ended before its turn."""
        assert self._early is not None
        self._end_open_request(request.protocol)
        self._early.drop(request, task)

    def record_limit(self) -> None:
        """Count a connection that has as many started requests as are allowed."""
        assert self._early is not None
        self._early.record_line_limit()

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
            is_late = now_s >= resp.deadline_s
            limit_s = MAX_UNTAKEN_LATE_S if is_late else MAX_UNTAKEN_S
            is_dropped = is_memory_short and untaken_s >= min(limit_s, MAX_UNTAKEN_S)
            if is_dropped or untaken_s >= LOGGED_UNTAKEN_S:
                resp.log_untaken(untaken_s, is_dropped=is_dropped)
            if is_dropped:
                resp.drop()

    def end_left(self) -> None:
        """End the connections of callers that left behind requests in line."""
        for conn in self.connections:
            if isinstance(conn, CallerConnection):
                conn.end_if_left()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        place = line_place(request)
        if place is not None:
            place.began_s = self._loop.time()
        if place is None or place.task is None:
            self._open_requests[conn] += 1
        try:
            resp = await self._respond(request)
        finally:
            self._end_open_request(conn)
            if place is not None and isinstance(conn, CallerConnection):
                assert conn.line is not None
                conn.line.end_first(place)
        await _discard_body(request)
        return resp

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Write the response to a request and return it."""
        conn = request.protocol
        line = conn.line if isinstance(conn, CallerConnection) else None
        if line is None:
            resp = await self._handle(request)
            await self._write(request, resp)
            return resp
        try:
            resp = await self._handle(request)
        except BaseException as exc:
            # aiohttp closes the connection with its response to an error.
            line.is_stopped = True
            if not isinstance(exc, Exception) or not line.has_started_waiting:
                raise
            log_exception(
                _log,
                "handler_raised",
                "a request ended with an unexpected exception",
                exc,
            )
            resp = web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        if line.is_stopped and not line.has_started_waiting:
            resp.force_close()
        await self._write(request, resp)
        if not resp.keep_alive:
            line.is_stopped = True
        return resp

    async def _write(self, request: web.BaseRequest, resp: web.StreamResponse) -> None:
        # Otherwise aiohttp writes the response when the request no longer counts as
        # open; it also handles a lost connection then.
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

    def _end_open_request(self, conn: web.RequestHandler) -> None:
        self._open_requests[conn] -= 1
        if not self._open_requests[conn]:
            del self._open_requests[conn]


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
