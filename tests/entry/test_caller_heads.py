"""Tests of the memory that heads of requests take."""

import asyncio
from contextlib import suppress

from support.running_fleet import running_fleet

MIB = 1 << 20
FIELD_BYTES = 60_000
FIELDS = 120


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
