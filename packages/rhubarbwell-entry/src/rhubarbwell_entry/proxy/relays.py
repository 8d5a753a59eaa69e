"""Stream an attempt's answer to the caller."""

import aiohttp
from aiohttp import web
from rhubarbwell_core.messages import AttemptEnd, KeptAnswer
from rhubarbwell_core.model import Outcome
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.proxy.answers import AnswerBuffer
from rhubarbwell_entry.proxy.exchanges import Exchange
from rhubarbwell_entry.proxy.headers import OUTCOME_HEADER, end_to_end_headers

__all__ = ["ResponseRelay"]

PROGRESS_TIMEOUT_MS = 15_000


class ResponseRelay:
    """Stream an answer to the caller; keep the answer if a repeat may need it.

    An answer that is kept is read to its end even after the caller disconnects.
    """

    def __init__(self, exchange: Exchange, resp: aiohttp.ClientResponse) -> None:
        self.answer: KeptAnswer | None = None
        self._exchange = exchange
        self._resp = resp
        self._caller_connected = exchange.is_caller_connected()
        headers = end_to_end_headers(resp.headers)
        self._buffer = AnswerBuffer(resp.status, headers)
        headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
        self._response = web.StreamResponse(
            status=resp.status, reason=resp.reason, headers=headers
        )
        exchange.set_response(self._response)

    async def run(self) -> AttemptEnd:
        """Return the attempt's end after streaming the answer.

        Raises TimeoutError if no data arrives for PROGRESS_TIMEOUT_MS.
        """
        await self._write_to_caller(None)
        try:
            while chunk := await self._next_chunk():
                if self._exchange.keeps_answer:
                    self._buffer.add(chunk)
                await self._write_to_caller(chunk)
                if not self._caller_connected and not self._exchange.keeps_answer:
                    return AttemptEnd.CALLER_GONE
        except aiohttp.ClientPayloadError:
            return AttemptEnd.CUT_SHORT
        except (aiohttp.ClientError, OSError) as exc:
            if isinstance(exc, TimeoutError):
                raise
            return AttemptEnd.RESET_MID_BODY
        if self._exchange.keeps_answer:
            self.answer = self._buffer.finish()
        await self._write_to_caller(b"")
        return AttemptEnd.ANSWERED

    async def _next_chunk(self) -> bytes:
        async with SocketTimeout(PROGRESS_TIMEOUT_MS / 1_000):
            return await self._resp.content.readany()

    async def _write_to_caller(self, chunk: bytes | None) -> None:
        """Write a chunk; None sends the headers, an empty chunk ends the body."""
        if not self._caller_connected:
            return
        try:
            if chunk is None:
                await self._response.prepare(self._exchange.request)
            elif chunk:
                await self._response.write(chunk)
            else:
                await self._response.write_eof()
        except (aiohttp.ClientConnectionResetError, ConnectionError):
            self._caller_connected = False
