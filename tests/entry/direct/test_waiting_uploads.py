"""Tests of the memory of uploads that wait for memory."""

import asyncio

from rhubarbwell_entry.memory import MemoryPart
from support.running_fleet import running_fleet, wait_until

MIB = 1 << 20
UPLOADS = 40
SIZE = 900_000
HEAD = (
    b"POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Rhubarbwell-Request-Id: u-%d\r\n"
    b"X-Rhubarbwell-Request-Deadline: 60000\r\nContent-Length: %d\r\n\r\n"
)


# Guards against uploads whose first bytes, which are read while they wait for memory,
# together exceed the limit of the process.
async def test_uploads_that_wait_hold_no_more_than_the_limit():
    async with running_fleet(1, max_request_memory_bytes=24 * MIB) as fleet:
        memory = fleet.instance._memory
        while memory.used_bytes + MIB <= memory._large_limit_bytes:
            memory.take(MemoryPart.BODIES, MIB)
        cfg = fleet.instance.settings.callers
        writers = []
        for number in range(UPLOADS):
            _, writer = await asyncio.open_connection(cfg.host, cfg.port)
            writer.write(HEAD % (number, SIZE))
            writers.append(writer)
        await wait_until(lambda: memory.waiting >= UPLOADS // 2)
        largest = 0
        for writer in writers:
            writer.write(bytes(SIZE - 1))
        for _ in range(10):
            await asyncio.sleep(0.02)
            unread = sum(
                getattr(conn._body, "_size", 0)
                for conn in fleet.instance.callers.connections
            )
            largest = max(largest, unread + memory.used_bytes)
        for writer in writers:
            writer.transport.abort()
        assert largest <= memory.limit_bytes
