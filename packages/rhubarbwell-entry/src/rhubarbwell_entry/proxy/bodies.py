"""Read a request body once and keep a small one for further attempts."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from rhubarbwell_core.errors import RhubarbwellError

__all__ = [
    "MAX_REPLAY_BYTES",
    "BodyTooLargeError",
    "CallerGoneError",
    "UploadBody",
]

MAX_REPLAY_BYTES = 64 << 10


class BodyTooLargeError(RhubarbwellError):
    """Report a body that exceeds the limit of the request's kind."""


class CallerGoneError(RhubarbwellError):
    """Report a caller that disconnected before its body was complete."""


class UploadBody:
    """Read a caller's body once; replay it until it exceeds MAX_REPLAY_BYTES.

    Concurrent attempts read through the same object.
    """

    def __init__(self, request: web.BaseRequest, *, max_bytes: int) -> None:
        self.exists = request.can_read_body
        self.too_large = False
        self.consumed_bytes = 0
        self._content = request.content
        self._max_bytes = max_bytes
        self._replay_chunks: list[bytes] = []
        self._complete = not self.exists
        self._lock = asyncio.Lock()

    @property
    def replayable(self) -> bool:
        """Return True if another attempt can send the body from its start."""
        return self.consumed_bytes <= MAX_REPLAY_BYTES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, kept chunks first.

        Raises BodyTooLargeError beyond max_bytes and CallerGoneError if the caller
        disconnects.
        """
        position = 0
        while True:
            if position < len(self._replay_chunks):
                position += 1
                yield self._replay_chunks[position - 1]
                continue
            async with self._lock:
                if position < len(self._replay_chunks):
                    continue
                chunk = await self._read_chunk()
                if chunk and self.replayable:
                    self._replay_chunks.append(chunk)
                    position += 1
                elif chunk:
                    self._replay_chunks.clear()
                    position = 0
            if not chunk:
                return
            yield chunk

    async def read_if_replayable(self) -> bytes | None:
        """Return the complete body, None if it exceeds MAX_REPLAY_BYTES."""
        async for _ in self.chunks():
            if not self.replayable:
                return None
        return b"".join(self._replay_chunks)

    async def _read_chunk(self) -> bytes:
        if self._complete:
            return b""
        try:
            chunk = await self._content.readany()
        except Exception as exc:
            raise CallerGoneError("caller disconnected during its body") from exc
        self._complete = not chunk
        self.consumed_bytes += len(chunk)
        if self.consumed_bytes > self._max_bytes:
            self.too_large = True
            raise BodyTooLargeError(f"request body exceeds {self._max_bytes} bytes")
        return chunk
