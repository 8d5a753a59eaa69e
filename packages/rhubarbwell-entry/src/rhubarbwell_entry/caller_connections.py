"""Connections of callers that close only after a look at what has arrived."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

from aiohttp import hdrs, web
from aiohttp.helpers import set_exception
from aiohttp.http import HttpProcessingError, RawRequestMessage, StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from rhubarbwell_core.errors import RhubarbwellError

from rhubarbwell_entry.listeners import (
    end_connection,
    has_ended_there,
    has_unread_bytes,
)
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.pipelining import EarlyStarter, RequestLine

__all__ = ["CallerConnection", "MalformedBodyError"]

_log = logging.getLogger(__name__)

# A caller sends its request within some round trips after it has connected, and the
# rest of one within some after its first bytes.
MIN_IDLE_S = 0.3
# Time in which a late event loop reads what a connection holds.
RECHECK_S = 0.02
# Closing the connection with unread bytes would reset it, and the caller would lose the
# answer. The limit is for callers that go on sending.
LINGER_S = 1.0
# aiohttp limits the size and the number of the header fields, together to 8 MB.
MAX_HEAD_BYTES = 256 << 10
LINE_ENDS = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Bodies in chunks and line ends between requests may hold any number of places where a
# message may end; those of one read must not hold up the event loop.
MAX_PIECES = 256
MS_PER_S = 1_000


class MalformedBodyError(RhubarbwellError):
    """Report a body in chunks that cannot be read any further."""


class CallerConnection(web.RequestHandler):
    """Serve HTTP on a connection and tell whether it is idle and who ended it.

    An idle connection closes after the timeout in force when it was opened or the
    current one, whichever is longer. A connection on which the head of a request has
    arrived in part is not idle. A head that is not complete header_timeout_s after its
    first byte is answered with 408, and the connection closes.

    With a starter, requests that may run beside others start before their turn. Once
    such requests are open, the connection closes with the response of the last of them.
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
    # When the first byte of an incomplete head was read, None without one.
    _head_since_s: float | None = None
    _head_timer: asyncio.TimerHandle | None = None
    # What was read after the read that brought that byte.
    _head_bytes = 0

    def __init__(
        self,
        server: web.Server,
        idle_timeout_s: Callable[[], float],
        header_timeout_s: Callable[[], float],
        starter: EarlyStarter | None = None,
        **options: Any,
    ) -> None:
        super().__init__(server, keepalive_timeout=idle_timeout_s(), **options)
        self._idle_timeout_s = idle_timeout_s
        self._header_timeout_s = header_timeout_s
        # Number of requests whose heads were read here, the body of the last one, and
        # its length, 0 if that is not known.
        self._heads_read = 0
        self._body = EMPTY_PAYLOAD
        self._body_bytes = 0
        # Requests in order; None if all of them wait for their turn.
        self.line: RequestLine | None = None
        if starter is not None:
            self.line = RequestLine(starter, self._make_request)
        # Bytes behind as many requests as aiohttp holds, and when they were read.
        self._held = b""
        self._read_s = 0.0
        # The end of an incomplete head, which its next bytes may complete.
        self._head_tail = b""
        self._is_discarding = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the start of the connection."""
        self.last_data_s = self._loop.time()
        super().connection_made(transport)
        # A response counts as sent once the kernel has all of it; what the transport
        # still holds would not be counted as memory of an open request.
        cast(asyncio.Transport, transport).set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Record the time, pass on the data and note whether a head is incomplete."""
        self.last_data_s = self._loop.time()
        is_first = self._request_count == 0 or self._is_waiting
        if is_first and self._requests_before != self._request_count:
            self._requests_before = self._request_count
            self.request_began_s = self.last_data_s
        had_head = self._head_since_s is not None
        if self._is_discarding:
            # Malformed bytes or a head that is too large came before.
            self._set_head_since(None)
        # aiohttp discards data on a connection that closes.
        elif self._close or self._force_close or not self._is_parser_known:
            super().data_received(data)
            self._set_head_since(None)
        else:
            if not self._held and data:
                self._read_s = self.last_data_s
            self._parse_all(data)
            if self.line is not None:
                self.line.start_early()
        self._count_head(len(data), had_head=had_head)

    def _parse_all(self, data: bytes) -> None:
        """Pass on data in pieces that end where a message may end.

        The parser reports malformed bytes in place of all messages of the same piece.
        What is behind as many requests as aiohttp holds waits here.
        """
        # Without data, aiohttp goes on with what it has held back.
        if not data and not self._parse(b""):
            self._set_head_since(None)
        data, self._held = self._held + data, b""
        at = pieces = 0
        while at < len(data):
            if self._is_discarding:
                return
            if not self._is_parser_known:
                super().data_received(data[at:])
                return
            if len(self._messages) >= self._max_msg_queue_size:
                self._held = data[at:]
                return
            end = len(data) if pieces == MAX_PIECES else self._piece_end(data, at)
            pieces += 1
            self._parse_piece(data if end - at == len(data) else data[at:end])
            at = end

    def _piece_end(self, data: bytes, at: int) -> int:
        """Return the end of the piece of data from at, where a message may end."""
        body_rest = self._body_bytes - self._body.total_bytes
        if not self._body.is_eof() and body_rest > 0:
            return min(at + body_rest, len(data))
        if at == 0 and self._head_since_s is not None:
            start = self._head_tail + data[: len(HEAD_END) - 1]
            if (index := start.find(HEAD_END)) >= 0:
                return index + len(HEAD_END) - len(self._head_tail)
        index = data.find(HEAD_END, at)
        return len(data) if index < 0 else index + len(HEAD_END)

    def _parse_piece(self, piece: bytes) -> None:
        if piece.endswith(HEAD_END) or self._ends_before_body(piece):
            self._parse(piece)
            self._set_head_since(None)
            self._head_tail = b""
        else:
            self._set_head_since(self._parse_in_pieces(piece))
            self._head_tail = (self._head_tail + piece)[1 - len(HEAD_END) :]

    def _count_head(self, size: int, *, had_head: bool) -> None:
        """Count what is read of an incomplete head; refuse one that is too large."""
        # The first read may have brought the body before the head as well.
        self._head_bytes = self._head_bytes + size if had_head else 0
        if self._head_since_s is None:
            self._head_bytes = 0
        elif self._head_bytes > MAX_HEAD_BYTES:
            self._refuse_large_head()

    def _refuse_large_head(self) -> None:
        """Refuse a head that is too large; it is read no further."""
        if self._is_waiting:
            self.refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        else:
            # An earlier request is open; the last started one is answered last.
            self._is_discarding = True
            self._close_after_started()

    def _parse_in_pieces(self, data: bytes) -> float | None:
        """Pass on data; return when the head began that is incomplete after it.

        The parser does not tell whether bytes follow the end of a message. So the last
        byte that is no line end is parsed by itself; line ends alone begin no head.
        """
        text = data.rstrip(LINE_ENDS)
        head_since_s = self._head_since_s
        for piece in (text[:-1], text[-1:], data[len(text) :]):
            if piece and not self._parse(piece):
                head_since_s = None
            elif head_since_s is None and piece.strip(LINE_ENDS):
                head_since_s = self.last_data_s
        return head_since_s

    def _parse(self, data: bytes) -> bool:
        """Pass on data; return True if all of it is part of an incomplete head."""
        was_in_body = not self._body.is_eof()
        super().data_received(data)
        if self._request_count == self._heads_read:
            return not was_in_body
        added = self._request_count - self._heads_read
        self._heads_read = self._request_count
        if self.line is not None:
            self._add_to_line(self.line, added)
        message, next_body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._is_discarding = True
            if not self._body.is_eof():
                # aiohttp keeps the error for later and lets the reader of the body
                # wait.
                set_exception(self._body, MalformedBodyError("the body is malformed"))
        self._body = next_body
        self._body_bytes = 0
        if isinstance(message, RawRequestMessage):
            self._body_bytes = int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
        return False

    def _add_to_line(self, line: RequestLine, added: int) -> None:
        """Add the requests that were read last to the line."""
        for number in range(-added, 0):
            message, payload = self._messages[number]
            if isinstance(message, RawRequestMessage):
                line.add(message, payload, self._read_s)

    def _make_request(
        self, message: RawRequestMessage, payload: StreamReader
    ) -> web.BaseRequest:
        """Return a request before aiohttp asks for it."""
        writer = StreamWriter(self, self._loop)
        task = cast("asyncio.Task[None]", self._task_handler)
        return web.BaseRequest(message, payload, self, writer, task, self._loop)

    def _ends_before_body(self, data: bytes) -> bool:
        return self._body.total_bytes + len(data) < self._body_bytes

    def _set_head_since(self, head_since_s: float | None) -> None:
        if head_since_s == self._head_since_s:
            return
        self._head_since_s = head_since_s
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        if head_since_s is not None:
            self._head_timer = self._loop.call_at(
                head_since_s + self._header_timeout_s(), self._end_head, False
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record who ended the connection and how, and cancel its requests."""
        self.is_lost = not self._is_closed_here
        self.lost_s = self._loop.time()
        self.lost_error = exc
        if self._head_timer is not None:
            self._head_timer.cancel()
        super().connection_lost(exc)

    def force_close(self) -> None:
        """Close the connection, whatever is in progress on it."""
        self._is_closed_here = not self.is_lost
        if self.line is not None:
            # What is still to be written delays the end of the connection.
            self.line.end()
        super().force_close()

    def abort(self) -> None:
        """End the connection at once, whatever is still to be written."""
        self._is_closed_here = not self.is_lost
        if self.transport is not None:
            self.transport.abort()

    def end_if_left(self) -> None:
        """End the connection if its caller has, which is not read behind a full line.

        aiohttp reads nothing while it holds as many requests as it may.
        """
        if self._buffer_paused and has_ended_there(self.transport):
            assert self.transport is not None
            self.transport.abort()

    def is_idle(self, now_s: float) -> bool:
        """Return True if nothing is open, has arrived or is arriving at now_s."""
        return (
            self._is_waiting
            and self.transport is not None
            and not self._has_head_part
            and self.last_data_s + MIN_IDLE_S <= now_s
            and not self.transport.get_write_buffer_size()
            and not has_unread_bytes(self.transport)
        )

    @property
    def _is_parser_known(self) -> bool:
        # aiohttp reads what follows an upgrade by itself, after which the state of the
        # parser is not known here.
        return self._heads_read == self._request_count and not self._upgraded

    @property
    def _has_head_part(self) -> bool:
        return self._head_since_s is not None and self._is_parser_known

    @property
    def _is_waiting(self) -> bool:
        # aiohttp waits like this only between requests: not while one is parsed,
        # handled or answered, nor while the rest of its body is discarded.
        return self._waiter is not None and not self._waiter.done()

    def close(self) -> None:
        """Accept no further request; refuse one of which a part has arrived."""
        self.refuse_head(HTTPStatus.SERVICE_UNAVAILABLE)
        self._close_after_started()

    def _close_after_started(self) -> None:
        if self.stop_line():
            super().close()

    def stop_line(self) -> bool:
        """Start no further request early; return True if none of those is left."""
        if self.line is None:
            return True
        self.line.is_stopped = True
        return not self.line.has_started_waiting

    def end(self) -> None:
        """Close an idle connection; the caller learns of it at once."""
        if self.transport is not None:
            end_connection(self.transport)
        self.force_close()

    def refuse_head(self, status: HTTPStatus) -> None:
        """Answer a head that is incomplete, and close the connection.

        Nothing is done without such a head, or while an earlier request is open.
        """
        transport = self.transport
        if not self._has_head_part or transport is None or not self._is_waiting:
            return
        assert self._head_since_s is not None
        log_event(
            _log,
            logging.WARNING,
            "request_head_refused",
            "the head of a request did not arrive in time or is too large",
            status=status.value,
            elapsed_ms=round((self._loop.time() - self._head_since_s) * MS_PER_S),
        )
        self._set_head_since(None)
        transport.write(
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        if transport.can_write_eof():
            transport.write_eof()
        self.close()
        self._head_timer = self._loop.call_later(LINGER_S, self.force_close)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that cannot be parsed or handled.

        What is said of a head that cannot be parsed quotes it, with the caller's key.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        log_event(
            _log,
            logging.WARNING,
            "request_malformed",
            "a request cannot be parsed",
            status=status,
            error=type(exc).__name__,
        )
        resp = web.Response(status=status, text=HTTPStatus(status).phrase)
        resp.force_close()
        return resp

    def _end_head(self, is_second_look: bool) -> None:
        """Refuse a head at its timeout, unless its rest may have arrived unread."""
        # A late event loop runs its timers before it reads. A caller that goes on
        # sending without end does not get a third look.
        is_unread = not is_second_look and has_unread_bytes(self.transport)
        if is_unread or not self._is_waiting:
            self._head_timer = self._loop.call_later(
                RECHECK_S, self._end_head, is_unread or is_second_look
            )
        else:
            self.refuse_head(HTTPStatus.REQUEST_TIMEOUT)

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
        if not self._has_head_part:
            super()._process_keepalive()
        else:
            # aiohttp sets the timer again after the request.
            self._keepalive_handle = None
