"""Check how the connection of an answer without a length ends."""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

if TYPE_CHECKING:
    from aiohttp.streams import StreamReader

__all__ = ["EndCheckingProtocol"]

# The kernel reports no event when the other end has acknowledged all bytes.
ACKNOWLEDGED_POLL_S = 0.005


class EndCheckingProtocol(ResponseHandler):
    """Complete an answer without a length only if its connection ended in order.

    That is, the server closed it after its system had acknowledged the whole request,
    and nothing had failed or closed it before. A server that closes a connection amid
    a request resets it, though its end may arrive first; one that reads on does not.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._is_request_written = False
        self._is_closed_by_server = False
        self._ending_payload: StreamReader | None = None

    def start_request(self) -> None:
        """Note that a request is going to be written."""
        self._is_request_written = False

    def end_with_connection(self, payload: "StreamReader") -> None:
        """Note that the body of the current answer ends with the connection."""
        self._ending_payload = payload

    def start_timeout(self) -> None:
        """Note that the client has written the whole request."""
        self._is_request_written = True
        super().start_timeout()

    # aiohttp declares no result; asyncio lets True keep the connection open.
    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Return True while the answer awaits the end of the request."""
        super().eof_received()
        return self._ending_payload is not None and self._await_end_of_request()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let the reader of an answer that was cut off get an exception."""
        payload = self._ending_payload
        if payload is not None and not payload.is_eof():
            is_cut_off = not self._is_closed_by_server
            if is_cut_off and payload.exception() is None:
                cut_off = aiohttp.ClientPayloadError("without a length and cut off")
                set_exception(payload, cut_off)
        super().connection_lost(exc)

    def _await_end_of_request(self) -> bool:
        """Close the connection, else return True and try again later."""
        if self.transport is None or self.transport.is_closing():
            return False
        has_failed = self.exception() is not None or _take_error(self.transport) != 0
        if not has_failed and not self._is_request_acknowledged():
            self._loop.call_later(ACKNOWLEDGED_POLL_S, self._await_end_of_request)
            return True
        self._is_closed_by_server = not has_failed
        self.transport.abort()
        return False

    def _is_request_acknowledged(self) -> bool:
        assert self.transport is not None
        return (
            self._is_request_written
            and self.transport.get_write_buffer_size() == 0
            and _unacknowledged_bytes(self.transport) == 0
        )


def _take_error(transport: asyncio.BaseTransport) -> int:
    """Return the error of a connection that no call has reported yet, 0 for none."""
    sock = transport.get_extra_info("socket")
    return int(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def _unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel holds until the other end acknowledges them."""
    sock = transport.get_extra_info("socket")
    buffer = bytearray(struct.calcsize("i"))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, buffer)
    return int(struct.unpack("i", buffer)[0])
