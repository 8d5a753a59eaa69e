"""Reading and sending of request bodies within the memory of the process."""

import asyncio
import contextlib
import logging
from collections import deque
from types import TracebackType
from typing import Self

from aiohttp import hdrs, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload
from rhubarbwell_core.errors import RhubarbwellError

from rhubarbwell_entry.logs import log_event

__all__ = [
    "BodyLease",
    "BodyMemory",
    "BodyPayload",
    "BodyTooLargeError",
    "NoBodyMemoryError",
]

_log = logging.getLogger(__name__)

# Bodies up to this size do not wait for larger ones.
SMALL_BODY_BYTES = 64 << 10
# Share of the memory that larger bodies leave to small ones.
SMALL_BODIES_SHARE = 0.1
# First size of the buffer of a body without a length; it doubles when it is full.
FIRST_BUFFER_BYTES = 64 << 10
# A transport copies what its peer does not take at once.
SENT_PIECE_BYTES = 64 << 10


class BodyTooLargeError(RhubarbwellError):
    """Report a body that exceeds the limit on a single body."""


class NoBodyMemoryError(RhubarbwellError):
    """Report that memory for a body did not become free in time."""


class BodyMemory:
    """Divide the memory for request bodies among the open requests.

    Memory is reserved before a body is read. Large bodies wait for it in order of
    arrival; their senders notice, because nothing is read meanwhile.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    async def reserve(self, size: int, timeout_s: float) -> None:
        """Reserve bytes; raise NoBodyMemoryError if none become free in timeout_s."""
        if size <= SMALL_BODY_BYTES:
            if self.used_bytes + size > self.limit_bytes:
                self._raise_no_memory(size)
            self.used_bytes += size
            return
        if not self._waiting and self._fits(size):
            self.used_bytes += size
            return
        if size > self._large_limit_bytes or timeout_s <= 0.0:
            self._raise_no_memory(size)
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append((size, fut))
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self._withdraw(size, fut)
            self._raise_no_memory(size)
        except asyncio.CancelledError:
            self._withdraw(size, fut)
            raise

    def _withdraw(self, size: int, fut: asyncio.Future[None]) -> None:
        """Return the memory of a wait that has ended, also if it was just granted."""
        if fut.done() and not fut.cancelled():
            self.release(size)
            return
        # A cancelled wait may have left the queue when it was its turn.
        with contextlib.suppress(ValueError):
            self._waiting.remove((size, fut))
        self._grant_waiting()

    def release(self, size: int) -> None:
        """Return reserved bytes and grant them to waiting bodies."""
        self.used_bytes -= size
        self._grant_waiting()

    @property
    def _large_limit_bytes(self) -> float:
        return (1.0 - SMALL_BODIES_SHARE) * self.limit_bytes

    def _fits(self, size: int) -> bool:
        return self.used_bytes + size <= self._large_limit_bytes

    def _grant_waiting(self) -> None:
        while self._waiting and self._fits(self._waiting[0][0]):
            size, fut = self._waiting.popleft()
            if not fut.done():
                self.used_bytes += size
                fut.set_result(None)

    def _raise_no_memory(self, size: int) -> None:
        log_event(
            _log,
            logging.WARNING,
            "no_body_memory",
            "a request body found no memory in time",
            bytes=size,
            used_bytes=self.used_bytes,
            limit_bytes=self.limit_bytes,
            waiting=len(self._waiting),
        )
        raise NoBodyMemoryError


class BodyLease:
    """Hold the memory of one request's body; a context manager that returns it."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._reserved = 0

    def __enter__(self) -> Self:
        """Return the lease."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Return the reserved memory."""
        self._memory.release(self._reserved)
        self._reserved = 0

    async def read(
        self, request: web.BaseRequest, max_bytes: int, max_wait_s: float
    ) -> bytes | bytearray:
        """Return the body of a request; wait up to max_wait_s for memory each time.

        Raises BodyTooLargeError beyond max_bytes, NoBodyMemoryError and, if the caller
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
        body = bytearray(self._reserved)
        size = 0
        async for chunk in request.content.iter_any():
            end = size + len(chunk)
            if end > max_bytes:
                raise BodyTooLargeError
            if end > len(body):
                await self._grow_to(min(max(2 * len(body), end), max_bytes), max_wait_s)
                body.extend(bytes(self._reserved - len(body)))
            body[size:end] = chunk
            size = end
        del body[size:]
        return body

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
        view = memoryview(self._value)
        for start in range(0, len(view), SENT_PIECE_BYTES):
            await writer.write(view[start : start + SENT_PIECE_BYTES])


def _allow_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits for it to send the body."""
    if request.headers.get(hdrs.EXPECT, "").lower() != "100-continue":
        return
    if request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
