"""Tests of answers that arrive while the event loop is late for their timeout."""

import asyncio
from random import Random

import aiohttp
import pytest
import uvloop
from rhubarbwell_platform import ClientOptions, RateLimits
from rhubarbwell_platform.http import CallKind, PlatformClient
from support.late_loops import BlockingServer, Stall

OPTIONS = ClientOptions(timeout_ms=1_200, max_tries=1)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 12\r\n\r\n{"value": 1}'
)


async def call_in_a_stall(kind):
    """Return the answer that arrives after 0.1 s; the loop is late for 1.4 s."""
    server, stall = BlockingServer(), Stall()
    async with aiohttp.ClientSession() as session:
        client = PlatformClient(
            session,
            "http://{}:{}".format(*server.address),
            Random(1),
            options=OPTIONS,
            limits=RateLimits(OPTIONS),
        )
        call = asyncio.create_task(client.call(kind, "POST", "/x", {}))
        await server.receive()
        await asyncio.sleep(0.1)
        stall.start(1.4, lambda: server.send(ANSWER))
        try:
            return await call
        finally:
            server.close()


# The time of a call was checked before an answer that had arrived was read.
@pytest.mark.parametrize("kind", CallKind)
def test_answer_that_arrives_before_a_late_timeout_is_returned(kind):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(call_in_a_stall(kind)) == {"value": 1}
