"""Peers that work while the event loop comes late."""

import asyncio
import contextlib
import socket
import time

from rhubarbwell_core.model import Address

__all__ = ["BlockingServer", "KeptConnection", "Stall"]


class KeptConnection:
    """Hold a caller's connection whose socket is written to at once."""

    def __init__(self, address):
        self.socket = socket.create_connection(address)
        self.socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    def send(self, data):
        """Pass bytes to the kernel."""
        self.socket.sendall(data)

    async def send_in_pieces(self, pieces, pause_s):
        """Send pieces with pauses between them, until the other end is gone."""
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(pause_s)
            with contextlib.suppress(OSError):
                self.send(piece)

    async def read_status(self):
        """Return the status line of the next answer, empty if the connection ends."""
        return (await self.read_head()).partition("\r\n")[0]

    async def read_head(self):
        """Return the head of the next answer, what there is if the connection ends."""
        data = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in data:
                chunk = await self._loop.sock_recv(self.socket, 4096)
                if not chunk:
                    break
                data += chunk
        return data.decode()

    def is_closed_there(self):
        """Return True if the other end has closed the connection."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        """Close the socket."""
        self.socket.close()


class Stall:
    """Hold up the event loop in a callback for received data, as a slow parser does."""

    def __init__(self):
        self._ours, self._theirs = socket.socketpair()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._theirs, self._hold_up)

    def start(self, for_s, then):
        """Call `then` and hold up the loop for some seconds in its next iteration."""
        self._for_s, self._then = for_s, then
        self._ours.send(b"x")

    def _hold_up(self):
        self._loop.remove_reader(self._theirs)
        self._then()
        time.sleep(self._for_s)
        self._ours.close()
        self._theirs.close()


class BlockingServer:
    """Answer a request without the event loop."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = Address(*self._listener.getsockname()[:2])
        self._conn = None

    async def receive(self):
        """Return bytes that arrive on the first connection, none at its end."""
        loop = asyncio.get_running_loop()
        if self._conn is None:
            self._conn, _ = await loop.sock_accept(self._listener)
        return await loop.sock_recv(self._conn, 4096)

    def send(self, data):
        """Pass bytes to the kernel."""
        self._conn.sendall(data)

    def close(self):
        """Close the connection and the listener."""
        if self._conn is not None:
            self._conn.close()
        self._listener.close()
