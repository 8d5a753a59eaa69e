"""Responses to callers that hold the memory of an answer until it is taken."""

from aiohttp import web

from rhubarbwell_entry.direct.bodies import SENT_PIECE_BYTES, BodyPayload
from rhubarbwell_entry.direct.sending import Answer

__all__ = ["AnswerResponse"]


class AnswerResponse(web.Response):
    """Hold a backend server's answer and its memory until a caller has taken it."""

    def __init__(self, answer: Answer, request: web.BaseRequest) -> None:
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
        self._lease = answer.lease

    @property
    def held_bytes(self) -> int:
        """Return the memory that is held for the response."""
        return self._lease.size

    def release(self) -> None:
        """Free the body and return its memory.

        An idle connection keeps its last response until the next request.
        """
        self._body = None
        self._lease.release()
