"""Test that responses of the platform and of other instances are limited in size."""

import asyncio
import json
from contextlib import asynccontextmanager

import aiohttp
import pytest
from rhubarbwell_platform.http import connections, open_session
from support.loopback import LOOPBACK

MIB = 1 << 20
LIMIT = MIB


@asynccontextmanager
async def server_that_sends(head, pieces):
    """Run a server that answers a request; yield its address and what it has sent."""
    sent = [0]

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + head + b"\r\n"
        )
        try:
            for piece in pieces():
                writer.write(piece)
                await writer.drain()
                sent[0] += len(piece)
        except OSError:
            pass
        writer.close()

    server = await asyncio.start_server(handle, LOOPBACK, 0)
    async with server:
        host, port = server.sockets[0].getsockname()[:2]
        yield f"http://{host}:{port}/", sent


def endless():
    while True:
        yield b" " * (64 << 10)


@pytest.fixture(autouse=True)
def small_limit(monkeypatch):
    monkeypatch.setattr(connections, "MAX_RESPONSE_BYTES", LIMIT)


# Guards against a store or an instance that fills the memory with one response.
async def test_response_without_end_is_given_up_at_the_limit():
    async with (
        server_that_sends(b"", endless) as (url, sent),
        open_session() as session,
    ):
        with pytest.raises(aiohttp.ClientPayloadError, match="exceeds"):
            async with asyncio.timeout(10.0), session.get(url) as resp:
                await resp.json()
        assert sent[0] < LIMIT + 12 * MIB


async def test_response_of_the_limit_is_read():
    body = json.dumps("x" * (LIMIT - 2)).encode()
    head = f"Content-Length: {len(body)}\r\n".encode()
    async with (
        server_that_sends(head, lambda: [body]) as (url, _),
        open_session() as session,
        session.get(url) as resp,
    ):
        assert len(await resp.json()) == LIMIT - 2
