"""Reading and sending of request bodies within the memory of the process."""

import contextlib
from types import TracebackType
from typing import Self

from aiohttp import hdrs, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload
from rhubarbwell_core.errors import RhubarbwellError

from rhubarbwell_entry.memory import RequestMemory, buffer_bytes

__all__ = [
    "BodyLease",
    "BodyPayload",
    "BodyTooLargeError",
]

# First reservation for a body without a length; it doubles when it is full.
FIRST_BUFFER_BYTES = 64 << 10
# A transport copies what its peer does not take at once.
SENT_PIECE_BYTES = 64 << 10


class BodyTooLargeError(RhubarbwellError):
    """Report a body that exceeds the limit on a single body."""


class BodyLease:
    """Hold the memory of one request's body; a context manager that returns it."""

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._reserved = 0
        self._body = bytearray()

    def __enter__(self) -> Self:
        """Return the lease."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Free the body and return the reserved memory."""
        # A connection to a server that is being closed may still refer to it.
        with contextlib.suppress(BufferError):
            self._body.clear()
        self._memory.release(self._reserved)
        self._reserved = 0

    async def read(
        self, request: web.BaseRequest, max_bytes: int, max_wait_s: float
    ) -> bytes | bytearray:
        """Return the body of a request; wait up to max_wait_s for memory each time.

        Raises BodyTooLargeError beyond max_bytes, NoMemoryError and, if the caller
        disconnects, the errors of the connection.
        """
        if not request.can_read_body:
            return b""
        length = request.content_length
        if (length or 0) > max_bytes:
            raise BodyTooLargeError
        await self._grow_to(
            FIRST_BUFFER_BYTES if length is None else length, max_wait_s
        )
        _allow_body(request)
        body = self._body
        if length is not None:
            # Memory that is not written to is not resident.
            self._body = body = bytearray(length)
        size = 0
        async for chunk in request.content.iter_any():
            end = size + len(chunk)
            if end > max_bytes:
                raise BodyTooLargeError
            if length is not None:
                body[size:end] = chunk
            else:
                if buffer_bytes(end) > self._reserved:
                    larger = min(max(2 * size, end), max_bytes)
                    await self._grow_to(buffer_bytes(larger), max_wait_s)
                body += chunk
            size = end
        if length is None:
            self._keep_only(buffer_bytes(size))
        return body

    def _keep_only(self, size: int) -> None:
        unused = max(self._reserved - size, 0)
        self._reserved -= unused
        self._memory.release(unused)

    async def _grow_to(self, size: int, max_wait_s: float) -> None:
        await self._memory.reserve(size - self._reserved, max_wait_s)
        self._reserved = size


class BodyPayload(Payload):
    """Send a body in pieces, so that the transport holds no second copy of it."""

    def __init__(self, body: bytes | bytearray) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body at the speed at which the server reads it."""
        with memoryview(self._value) as view:
            for start in range(0, len(view), SENT_PIECE_BYTES):
                await writer.write(view[start : start + SENT_PIECE_BYTES])


def _allow_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits for it to send the body."""
    if request.headers.get(hdrs.EXPECT, "").lower() != "100-continue":
        return
    if request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
