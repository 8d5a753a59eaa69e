"""Test that answers which are given up leave nothing in memory."""

import asyncio
import gc
import tracemalloc
from contextlib import contextmanager, suppress

import pytest
from support.raw_servers import RawServer, fleet_with_server, read_request

MIB = 1 << 20
MAX_ANSWER_BYTES = 4 * MIB
GIVEN_UP = 5
SIGNED = (
    "HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    "X-Rhubarbwell-Server-Stamp: s\r\n"
)
PIECE = b"a" * (64 << 10)


class UnfinishedServer(RawServer):
    """Send answers in pieces that do not end, or break off after `sent_bytes`."""

    def __init__(self, framing, sent_bytes):
        self.framing = framing
        self.sent_bytes = sent_bytes

    async def handle(self, reader, writer):
        request_id = (await read_request(reader)).request_id
        writer.write((SIGNED.format(id=request_id) + self.framing).encode())
        for _ in range(0, self.sent_bytes, len(PIECE)):
            is_chunked = "chunked" in self.framing
            writer.write(b"10000\r\n%b\r\n" % PIECE if is_chunked else PIECE)
            await writer.drain()


@contextmanager
def no_collections():
    """Keep the garbage collector from running."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


# Guards against answers that stay in memory after they were given up, until the garbage
# collector finds them.
@pytest.mark.parametrize(
    ("framing", "sent_bytes"),
    [
        ("\r\n", 8 * MIB),
        ("Transfer-Encoding: chunked\r\n\r\n", 8 * MIB),
        ("Content-Length: 8000000\r\n\r\n", 8 * MIB),
        ("Transfer-Encoding: chunked\r\n\r\n", 3 * MIB),
        ("Content-Length: 8000000\r\n\r\n", 3 * MIB),
    ],
)
async def test_answer_that_is_given_up_is_freed_at_once(framing, sent_bytes):
    server = UnfinishedServer(framing, sent_bytes)
    async with fleet_with_server(server, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:
        await fleet.send_request("/pay/x", "POST")
        with no_collections():
            tracemalloc.start()
            try:
                for _ in range(GIVEN_UP):
                    resp, _ = await fleet.send_request("/pay/x", "POST")
                    assert resp.status in (502, 503)
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert held_bytes < MIB


class HangingServer(UnfinishedServer):
    """Send a part of an answer and keep the connection open."""

    async def handle(self, reader, writer):
        await super().handle(reader, writer)
        await reader.read()


# Guards against answers that stay in memory after their time or their callers have
# gone.
@pytest.mark.parametrize("is_left", [False, True], ids=["timed out", "caller left"])
@pytest.mark.parametrize(
    "framing",
    [
        "\r\n",
        "Transfer-Encoding: chunked\r\n\r\n",
        "Content-Length: 8000000\r\n\r\n",
    ],
)
async def test_answer_that_does_not_end_is_freed_at_once(framing, is_left):
    server = HangingServer(framing, 3 * MIB)
    limit = {"X-Rhubarbwell-Request-Deadline": "5000" if is_left else "500"}
    async with fleet_with_server(server, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:

        async def give_up():
            if is_left:
                with suppress(TimeoutError):
                    async with asyncio.timeout(0.5):
                        await fleet.send_request("/pay/x", "POST", **limit)
            else:
                resp, _ = await fleet.send_request("/pay/x", "POST", **limit)
                assert resp.status in (502, 503, 504)

        await give_up()
        with no_collections():
            tracemalloc.start()
            try:
                for _ in range(GIVEN_UP):
                    await give_up()
                await asyncio.sleep(0.2)
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert held_bytes < MIB
