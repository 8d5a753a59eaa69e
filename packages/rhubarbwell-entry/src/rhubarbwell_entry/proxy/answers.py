"""Buffer relayed answers so that repeats of a keyed request can be answered."""

from aiohttp import web
from multidict import CIMultiDict
from rhubarbwell_core.messages import KeptAnswer
from rhubarbwell_core.model import Outcome

from rhubarbwell_entry.proxy.headers import OUTCOME_HEADER

__all__ = ["AnswerBuffer", "replay_response"]

MAX_KEPT_ANSWER_BYTES = 256 << 10
REPLAYED_HEADER = "Rhubarbwell-Replayed"


class AnswerBuffer:
    """Collect an answer whose body has at most MAX_KEPT_ANSWER_BYTES.

    A larger body is discarded, and finish() returns None.

    >>> buffer = AnswerBuffer(200, CIMultiDict({"X-A": "1"}))
    >>> buffer.add(b"whole")
    >>> buffer.finish()
    KeptAnswer(status=200, headers=(('X-A', '1'),), body=b'whole')
    """

    def __init__(self, status: int, headers: CIMultiDict[str]) -> None:
        self._status = status
        self._headers = tuple(headers.items())
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Append the next chunk of the body."""
        self._size += len(chunk)
        if self._size <= MAX_KEPT_ANSWER_BYTES:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def finish(self) -> KeptAnswer | None:
        """Return the complete answer, None if its body exceeded the limit."""
        if self._size > MAX_KEPT_ANSWER_BYTES:
            return None
        return KeptAnswer(self._status, self._headers, b"".join(self._chunks))


def replay_response(answer: KeptAnswer) -> web.Response:
    """Return a kept answer as the response to a repeated request."""
    headers = CIMultiDict[str](answer.headers)
    headers.popall("Content-Length", None)
    headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
    headers[REPLAYED_HEADER] = "1"
    return web.Response(status=answer.status, headers=headers, body=answer.body)
