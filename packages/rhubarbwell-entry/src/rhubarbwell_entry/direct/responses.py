"""Responses to callers that hold the memory of an answer until it is taken."""

import logging
import math

from aiohttp import web

from rhubarbwell_entry.caller_connections import CallerConnection
from rhubarbwell_entry.direct.bodies import SENT_PIECE_BYTES, BodyPayload
from rhubarbwell_entry.direct.sending import Answer
from rhubarbwell_entry.logs import log_event

__all__ = ["AnswerResponse"]

_log = logging.getLogger(__name__)

MS_PER_S = 1_000


class AnswerResponse(web.Response):
    """Hold a backend server's answer and its memory until a caller has taken it.

    deadline_s is that of the caller, in s of the event loop's clock.
    """

    def __init__(
        self, answer: Answer, request: web.BaseRequest, deadline_s: float = math.inf
    ) -> None:
        body = answer.body
        is_large = len(body) > SENT_PIECE_BYTES
        try:
            super().__init__(
                status=answer.status,
                headers=answer.headers,
                body=BodyPayload(body) if is_large else body,
            )
        except BaseException:
            answer.lease.release()
            raise
        self.deadline_s = deadline_s
        self._lease = answer.lease
        self._request = request
        self._taken_bytes = 0
        self._since_s: float | None = None
        self._is_logged = False

    @property
    def held_bytes(self) -> int:
        """Return the memory that is held for the response."""
        return self._lease.size

    def untaken_s(self, now_s: float) -> float:
        """Return for how long the caller has taken nothing, since the last calls."""
        writer, transport = self._payload_writer, self._request.transport
        if writer is None or transport is None:
            return 0.0
        taken_bytes = writer.output_size - transport.get_write_buffer_size()
        if self._since_s is None or taken_bytes != self._taken_bytes:
            self._since_s, self._taken_bytes = now_s, taken_bytes
        return now_s - self._since_s

    def log_untaken(self, untaken_s: float, *, is_dropped: bool) -> None:
        """Log once that the caller takes nothing, and whether it is given up."""
        if self._is_logged and not is_dropped:
            return
        self._is_logged = True
        log_event(
            _log,
            logging.WARNING,
            "response_dropped" if is_dropped else "response_not_taken",
            "a caller that took nothing of its response was given up for want of memory"
            if is_dropped
            else "a caller takes nothing of its response",
            bytes=self.held_bytes,
            elapsed_ms=round(untaken_s * MS_PER_S),
        )

    def drop(self) -> None:
        """End the connection with the rest of the response unsent."""
        conn = self._request.protocol
        if isinstance(conn, CallerConnection):
            conn.abort()

    def release(self) -> None:
        """Free the body and return its memory.

        An idle connection keeps its last response until the next request.
        """
        self._body = None
        self._lease.release()
