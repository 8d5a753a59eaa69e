"""Client protocol that accepts one bounded answer for each request."""

import asyncio
import logging
import re
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from aiohttp import hdrs
from aiohttp.helpers import set_exception

if TYPE_CHECKING:
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

from rhubarbwell_core.model import Address

from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.memory import READ_BYTES, AnswerLease, NoMemoryError
from rhubarbwell_entry.proxy.answer_ends import EndCheckingProtocol
from rhubarbwell_entry.proxy.answer_heads import InvalidHeadError, is_answer_head

__all__ = ["AnswerLimitError", "AnswerProtocol", "ExpectedAnswer", "IdleLostListener"]

# Gets the server's address and for how many seconds the connection was idle.
IdleLostListener = Callable[[Address, float], None]

_log = logging.getLogger(__name__)

# Limits the head of an answer, including interim answers before it. aiohttp limits the
# size and number of the header fields of each of them, but not the number of answers.
MAX_HEAD_BYTES = 256 << 10
# Heads end like this, and so do the trailers behind the last chunk, or that itself.
HEAD_END = b"\r\n\r\n"
# Longest part of HEAD_END that the previous read can end with.
OVERLAP_BYTES = len(HEAD_END) - 1
# Heads and chunks may hold any number of places where an answer may end. Those of one
# read are parsed in several iterations of the event loop if there are more than these.
MAX_PIECES = 256
# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})\b")
# Servers state their idle timeouts in whole seconds. Without a statement, a connection
# that was idle for less than this time was hardly closed by such a timeout.
MIN_IDLE_TIMEOUT_S = 1.0
# The timeouts of a server and this instance start at different moments.
IDLE_TIMEOUT_MARGIN_S = 0.1
FIRST_FINAL_STATUS = 200
# Answers to other requests that are skipped; servers that repeat answers send one or
# two, one that sends more would occupy the instance instead of answering.
MAX_SKIPPED_ANSWERS = 4


class ExpectedAnswer(NamedTuple):
    """Identify the answer to a request by a header that the server echoes.

    max_bytes limits the size of all that is received for it, None for any size of its
    body. With a lease, memory is reserved for it before it is read on.
    """

    id_header: str
    request_id: str
    max_bytes: int | None = None
    lease: AnswerLease | None = None


class AnswerLimitError(aiohttp.ClientPayloadError):
    """Report an answer that exceeds a size limit."""


class AnswerProtocol(EndCheckingProtocol):
    """Receive the answer to one request at a time and reject all other bytes.

    Bytes that arrive after a complete answer belong to no request. They are not
    parsed, so that they neither spoil the answer nor fill the memory, and the
    connection is closed: at once if it is idle, else after the answer.

    A late copy of an answer may arrive where the next answer is expected. Answers that
    name another request are discarded, the own answer is read behind them, and the
    connection is closed after it.

    Nothing further is read while bytes wait to be parsed: for the next iteration of the
    event loop, or until the reader of the answer takes some of it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle_lost: IdleLostListener | None = None,
    ) -> None:
        super().__init__(loop)
        # The address and the time at which the connection was opened.
        self.address: Address | None = None
        self.opened_ms = 0
        self._on_idle_lost = on_idle_lost
        self._idle_since_s: float | None = None
        self._idle_timeout_s = MIN_IDLE_TIMEOUT_S
        self._is_idle = True
        self._has_rejected = False
        self._expected: ExpectedAnswer | None = None
        self._received_bytes = 0
        self._skipped_answers = 0
        # What was read last, if some of it is not parsed, and how much of it is.
        self._unparsed = b""
        self._parsed_bytes = 0
        self._is_parse_due = False
        self._waits_for_memory = False
        self._start_answer()

    def expect_answer(self, expected: ExpectedAnswer) -> None:
        """Accept one answer, which names the expected request or none."""
        self._is_idle = False
        self._idle_since_s = None
        self._has_rejected = False
        self._expected = expected
        self._received_bytes = 0
        self._skipped_answers = 0
        self._discard_unparsed()
        self.start_request()
        self._start_answer()

    @property
    def skipped_answers(self) -> int:
        """Return how many answers to other requests arrived before the expected one."""
        return self._skipped_answers

    def _start_answer(self, *, skipped_bytes: int = 0) -> None:
        """Set the state for the head of an answer behind skipped_bytes."""
        self._skipped_bytes = skipped_bytes
        self._head_is_complete = False
        self._is_other_answer = False
        self._answer_payload: StreamReader | None = None
        self._body_bytes_left: int | None = None
        self._is_chunked = False
        self._previous_end = b""

    def mark_idle(self) -> None:
        """Close the connection if bytes arrive before the next request."""
        self._is_idle = True
        self._idle_since_s = self._loop.time()
        # The parser may have held the rest of an answer that waited for memory.
        lease = None if self._expected is None else self._expected.lease
        if lease is not None and self._has_answer():
            lease.stop_waiting()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report an idle connection that ended before the server's idle timeout."""
        while self._unparsed and not self._reading_paused:
            self._parse_pieces()
        listener, idle_since_s = self._on_idle_lost, self._idle_since_s
        # The transport is None if this side has closed the connection.
        is_closed_here = self.transport is None
        if listener and self.address and idle_since_s is not None:
            idle_s = self._loop.time() - idle_since_s
            is_early = idle_s < self._idle_timeout_s - IDLE_TIMEOUT_MARGIN_S
            if is_early and not is_closed_here:
                listener(self.address, idle_s)
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; reset it if the answer is not complete."""
        self._discard_unparsed()
        self._prepare_reset()
        super().close()

    def abort(self) -> None:
        """Close the connection at once; reset it if the answer is not complete."""
        self._discard_unparsed()
        self._prepare_reset()
        super().abort()

    def feed_data(
        self, data: "tuple[RawResponseMessage, StreamReader]", size: int = 0
    ) -> None:
        """Queue the head of an answer and note how its body ends."""
        message, payload = data
        if not is_answer_head(message):
            self._answer_payload = payload
            self._has_rejected = True
            version = ".".join(map(str, message.version))
            self._abort(InvalidHeadError(f"HTTP/{version} {message.code} is no answer"))
            return
        if message.code >= FIRST_FINAL_STATUS:
            self._head_is_complete = True
            self._answer_payload = payload
            self._is_chunked = bool(message.chunked)
            keep_alive = message.headers.get(hdrs.KEEP_ALIVE, "")
            if stated := KEEP_ALIVE_TIMEOUT.search(keep_alive):
                self._idle_timeout_s = float(stated[1])
            length = message.headers.get(hdrs.CONTENT_LENGTH, "")
            if length.isdigit() and not self._is_chunked:
                self._body_bytes_left = int(length)
            if not (self._is_chunked or length.isdigit() or payload.is_eof()):
                self.end_with_connection(payload)
            self._is_other_answer = self._names_other_request(message)
        if not self._is_other_answer:
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes up to the end of the answer; reject those beyond it."""
        if data and self._is_idle:
            self._reject("bytes arrived on an idle connection", len(data))
            return
        self._received_bytes += len(data)
        limit_bytes = self._exceeded_limit()
        if limit_bytes is not None:
            self._abort(AnswerLimitError(f"answer exceeds {limit_bytes} bytes"))
            return
        if not data:
            # The parser goes on with what it has held back.
            super().data_received(data)
            self._parse_soon()
            return
        if self._unparsed:
            data = self._unparsed[self._parsed_bytes :] + data
            self._previous_end = b""
        self._unparsed, self._parsed_bytes = data, 0
        if not self._is_parse_due:
            self._parse_unparsed()

    def pause_answer(self) -> None:
        """Read no further until there is memory for the rest of the answer."""
        self._waits_for_memory = True
        self._pause_reading_for_buffer()

    def resume_answer(self) -> None:
        """Read on, unless nothing else of the answer is due."""
        self._waits_for_memory = False
        self._read_on()

    def _read_on(self) -> None:
        is_held = self._unparsed or self._waits_for_memory or self._has_rejected
        if not is_held:
            self._resume_reading_for_buffer()

    def _parse_soon(self) -> None:
        """Parse what is left of a read in the next iteration of the event loop."""
        if self._unparsed and not self._is_parse_due:
            self._is_parse_due = True
            self._loop.call_soon(self._parse_unparsed)

    def _parse_unparsed(self) -> None:
        """Parse what has been read, or some of it if that takes long."""
        self._is_parse_due = False
        if not self._unparsed or self._reading_paused:
            # The reader of the answer takes some of it first.
            return
        is_held = self._buffer_paused
        self._parse_pieces()
        if self._unparsed:
            self._pause_reading_for_buffer()
            self._parse_soon()
        elif is_held:
            self._read_on()
        self._cover_answer()

    def _parse_pieces(self) -> None:
        """Parse up to MAX_PIECES pieces that end where the answer may end.

        Bytes beyond the end of the answer are rejected, and those behind malformed ones
        discarded.
        """
        data, at = self._unparsed, self._parsed_bytes
        # The reader of another answer may call this meanwhile.
        self._discard_unparsed()
        for _ in range(MAX_PIECES):
            if at == len(data) or self._has_answer() or self.exception() is not None:
                break
            end = self._possible_end(data, at)
            part = data if end - at == len(data) else data[at:end]
            at = end
            had_head = self._head_is_complete
            super().data_received(part)
            if had_head and self._body_bytes_left is not None:
                self._body_bytes_left -= len(part)
            if self._is_other_answer:
                self._skip_answer(unread_bytes=len(data) - at)
            if self._reading_paused:
                break
        if at == len(data):
            self._previous_end = (self._previous_end + data[-OVERLAP_BYTES:])[
                -OVERLAP_BYTES:
            ]
        elif self._has_answer():
            if self.transport is not None:
                self._reject("bytes arrived after a complete answer", len(data) - at)
        elif self.exception() is None:
            self._unparsed, self._parsed_bytes = data, at

    def _discard_unparsed(self) -> None:
        self._unparsed, self._parsed_bytes = b"", 0

    def _cover_answer(self) -> None:
        """Hold the memory of what has arrived and reserve that of the next read."""
        lease = None if self._expected is None else self._expected.lease
        if lease is None or self.transport is None:
            return
        ahead = READ_BYTES
        if self._has_answer() or self._unparsed:
            ahead = 0
        elif self._body_bytes_left is not None:
            ahead = min(ahead, self._body_bytes_left)
        try:
            lease.cover(self._received_bytes, ahead, self)
        except NoMemoryError:
            self._abort(AnswerLimitError("no memory for the answer"))

    def _prepare_reset(self) -> None:
        """Let the kernel discard unsent bytes of a request that is given up.

        A partition may hold them up; the server would get the request seconds later.
        """
        if self.transport is None or self._expected is None or self._has_answer():
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _names_other_request(self, message: "RawResponseMessage") -> bool:
        if self._expected is None:
            return False
        request_id = message.headers.get(self._expected.id_header)
        return request_id is not None and request_id != self._expected.request_id

    def _skip_answer(self, *, unread_bytes: int) -> None:
        """Discard what has arrived of another request's answer; expect the next."""
        payload = self._answer_payload
        assert payload is not None
        self.force_close()
        if payload.exception() is None:
            payload.read_nowait()
        if not payload.is_eof():
            return
        skipped_bytes = self._received_bytes - unread_bytes
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            self._abort(
                AnswerLimitError(
                    f"more than {MAX_SKIPPED_ANSWERS} answers to other requests"
                )
            )
            return
        self._log_rejected("answer to another request", skipped_bytes)
        self._start_answer(skipped_bytes=skipped_bytes)

    def _has_answer(self) -> bool:
        payload = self._answer_payload
        return payload is not None and payload.is_eof()

    def _possible_end(self, data: bytes, at: int) -> int:
        """Return the end of the piece from at, where the answer may be complete."""
        if self._head_is_complete and self._body_bytes_left is not None:
            return min(at + max(self._body_bytes_left, 1), len(data))
        if self._head_is_complete and not self._is_chunked:
            return len(data)
        if at == 0 and self._previous_end:
            start = self._previous_end + data[:OVERLAP_BYTES]
            if (index := start.find(HEAD_END)) >= 0:
                return index + len(HEAD_END) - len(self._previous_end)
        index = data.find(HEAD_END, at)
        return len(data) if index < 0 else index + len(HEAD_END)

    def _exceeded_limit(self) -> int | None:
        unparsed_bytes = len(self._unparsed) - self._parsed_bytes
        head_bytes = self._received_bytes - self._skipped_bytes - unparsed_bytes
        if not self._head_is_complete and head_bytes > MAX_HEAD_BYTES:
            return MAX_HEAD_BYTES
        max_bytes = None if self._expected is None else self._expected.max_bytes
        if max_bytes is not None and self._received_bytes > max_bytes:
            return max_bytes
        return None

    def _reject(self, message: str, size: int) -> None:
        self.force_close()
        if self._is_idle:
            self._log_rejected(message, size)
            self.abort()
        elif not self._has_rejected:
            self._has_rejected = True
            self._log_rejected(message, size)
            # The parser cannot be paused behind an answer without a body.
            if self.transport is not None and not self._reading_paused:
                self.transport.pause_reading()

    def _abort(self, exc: aiohttp.ClientPayloadError) -> None:
        payload = self._answer_payload
        self._discard_unparsed()
        self._log_rejected(str(exc), self._received_bytes)
        self.set_exception(exc)
        if payload is not None:
            set_exception(payload, exc)
        self._prepare_reset()
        if self.transport is not None:
            self.transport.abort()

    def _log_rejected(self, message: str, size: int) -> None:
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info("peername")
        log_event(
            _log,
            logging.WARNING,
            "bytes_rejected",
            message,
            address=None if peer is None else f"{peer[0]}:{peer[1]}",
            size=size,
        )
