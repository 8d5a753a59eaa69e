"""Measure polls of backend servers without the servers' own cost."""

import asyncio
import threading
import time
from contextlib import suppress

import aiohttp
import uvloop
from rhubarbwell_entry.monitor import SKIPPED_HEADERS

from benchmarks.control.fits import Line, fit_line

__all__ = ["measure_polls"]

POLL_COUNTS = (250, 500, 1_000, 2_000)
RESPONSE_BODY = b'{"in_flight": 2, "slots": 3, "draining": false}'
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
RESPONSE = RESPONSE_HEAD % len(RESPONSE_BODY) + RESPONSE_BODY
TCP_IP_BYTES_PER_POLL = 4 * 40  # four packets with 40-byte TCP/IP headers
US_PER_S = 1e6


class _PollServer(threading.Thread):
    """Serve polls on a separate thread and count the bytes of both directions."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.port = 0
        self.counted_bytes = 0
        self.ready = threading.Event()

    def run(self) -> None:
        """Serve connections until the process ends."""
        uvloop.run(self._serve())

    async def _serve(self) -> None:
        server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.counted_bytes += len(head) + len(RESPONSE) + TCP_IP_BYTES_PER_POLL
                writer.write(RESPONSE)
        writer.close()


def measure_polls() -> list[Line]:
    """Return lines of the poller's processor time and of bytes over the poll count."""
    server = _PollServer()
    server.start()
    server.ready.wait()
    times_us: list[tuple[float, float]] = []
    poll_bytes: list[tuple[float, float]] = []
    for count in POLL_COUNTS:
        before = server.counted_bytes
        start = time.thread_time()
        uvloop.run(_send_polls(server.port, count))
        times_us.append((count, (time.thread_time() - start) * US_PER_S))
        poll_bytes.append((count, float(server.counted_bytes - before)))
    return [
        fit_line("backend polls", "processor time by polls", "us", times_us),
        fit_line("backend polls", "bytes by polls", "B", poll_bytes),
    ]


async def _send_polls(port: int, count: int) -> None:
    async with aiohttp.ClientSession() as session:
        for _ in range(count):
            async with session.get(
                f"http://127.0.0.1:{port}/load", skip_auto_headers=SKIPPED_HEADERS
            ) as resp:
                await resp.json()
