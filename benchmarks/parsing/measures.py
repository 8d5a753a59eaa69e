"""Feed bytes to the protocols of both sides and time the event loop."""

import asyncio
import contextlib
import time
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_entry.caller_connections import CallerConnection
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_entry.proxy.protocols import AnswerProtocol, ExpectedAnswer

__all__ = ["SEGMENT_BYTES", "Holds", "measure_answer", "measure_requests"]

IDLE_TIMEOUT_S = 15.0
# A segment of a connection over Ethernet.
SEGMENT_BYTES = 1_460
# A protocol that has anything left to do takes longer in an iteration.
QUIET_S = 0.000_05
QUIET_ITERATIONS = 50


class Holds(NamedTuple):
    """Hold for how long the event loop did nothing else, in s.

    total_s is the sum over all iterations.
    """

    longest_s: float
    total_s: float


class _Transport(asyncio.Transport):
    """Record whether a protocol reads, and discard what it writes."""

    def __init__(self) -> None:
        super().__init__()
        self.is_reading = True
        self.is_closed = False

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close


async def measure_answer(data: bytes, read_bytes: int) -> Holds:
    """Return the holds while a server's bytes are read in parts of read_bytes."""
    protocol, transport = AnswerProtocol(asyncio.get_running_loop()), _Transport()
    protocol.connection_made(transport)
    protocol.expect_answer(ExpectedAnswer(ATTEMPT_HEADER, "1"))
    protocol.set_response_params()
    reader = asyncio.ensure_future(_read_answer(protocol))
    holds = await _feed(protocol, transport, data, read_bytes)
    reader.cancel()
    return holds


async def measure_requests(data: bytes, read_bytes: int) -> Holds:
    """Return the holds while a caller's bytes are read in parts of read_bytes."""
    server = web.Server(_answer_request)
    loop = asyncio.get_running_loop()
    connection = CallerConnection(
        server, lambda: IDLE_TIMEOUT_S, lambda: IDLE_TIMEOUT_S, loop=loop
    )
    transport = _Transport()
    connection.connection_made(transport)
    await asyncio.sleep(0)
    holds = await _feed(connection, transport, data, read_bytes)
    connection.force_close()
    connection.connection_lost(None)
    return holds


async def _feed(
    protocol: asyncio.Protocol, transport: _Transport, data: bytes, read_bytes: int
) -> Holds:
    longest_s = total_s = 0.0
    at = quiet = 0
    while quiet < QUIET_ITERATIONS and not transport.is_closed:
        started_s = time.thread_time()
        is_fed = at < len(data) and transport.is_reading
        if is_fed:
            protocol.data_received(data[at : at + read_bytes])
            at += read_bytes
        await asyncio.sleep(0)
        hold_s = time.thread_time() - started_s
        longest_s, total_s = max(longest_s, hold_s), total_s + hold_s
        quiet = 0 if is_fed or hold_s > QUIET_S else quiet + 1
    return Holds(longest_s, total_s)


async def _read_answer(protocol: AnswerProtocol) -> None:
    with contextlib.suppress(Exception):
        while True:
            _, payload = await protocol.read()
            while await payload.readany():
                pass


async def _answer_request(request: web.BaseRequest) -> web.Response:
    with contextlib.suppress(Exception):
        while await request.content.readany():
            pass
    return web.Response()
