"""Tests of the memory that heads of requests take."""

import asyncio
from contextlib import suppress

from rhubarbwell_entry import caller_connections
from support.running_fleet import raw_request, running_fleet, wait_until

FIELD_BYTES = 60_000
FIELDS = 120
BODY_BYTES = 32 << 10


# Guards against heads of requests that together fill the memory of the process.
async def test_head_of_many_large_fields_is_refused():
    async with running_fleet(1) as fleet:
        cfg = fleet.instance.settings.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        head = b"GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
        head += b"X-Rhubarbwell-Request-Id: a\r\n"
        for number in range(FIELDS):
            head += b"X-%d: %b\r\n" % (number, b"a" * FIELD_BYTES)
        with suppress(ConnectionError):
            writer.write(head + b"\r\n")
            await writer.drain()
        async with asyncio.timeout(10):
            line = await reader.readline()
        writer.close()
        assert line.split()[1] == b"431"


# Guards against a count that takes the body before a head for a part of it.
async def test_head_in_pieces_behind_a_large_body_is_read(monkeypatch):
    monkeypatch.setattr(caller_connections, "MAX_HEAD_BYTES", 4 << 10)
    async with running_fleet(1) as fleet:
        _, writer = await raw_request(
            fleet,
            "POST /pay/x HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Rhubarbwell-Request-Id: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        )
        pieces = (b"GET /read/x HTTP/1.1\r\n", b"Host: h.example\r\n")
        writer.write(bytes(BODY_BYTES) + pieces[0])
        await wait_until(lambda: len(fleet.backends[0].received) == 1)
        for piece in (pieces[1], b"X-Rhubarbwell-Request-Id: b\r\n", b"\r\n"):
            writer.write(piece)
            await asyncio.sleep(0.05)
        await wait_until(lambda: len(fleet.backends[0].received) == 2)
        writer.close()
