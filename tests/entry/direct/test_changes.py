"""Tests of the exchange of table changes between instances."""

import asyncio
import json

import aiohttp
import uvloop
from rhubarbwell_entry.direct.changes import (
    ChangesClient,
    ChangesQuery,
    ChangesResponse,
)
from support.late_loops import BlockingServer, Stall

RESPONSE = ChangesResponse({}, {}, reads_store=True, store_is_out=False)
TIMEOUT_MS = 1_200


async def fetch_in_a_stall():
    """Return a response that arrives after 0.1 s; the loop is late for 1.4 s."""
    server, stall = BlockingServer(), Stall()
    body = json.dumps(RESPONSE.encode()).encode()
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    async with aiohttp.ClientSession() as session:
        fetch = asyncio.create_task(
            ChangesClient(session).fetch(server.address, ChangesQuery({}), TIMEOUT_MS)
        )
        await server.receive()
        await asyncio.sleep(0.1)
        stall.start(1.4, lambda: server.send(head.encode() + body))
        try:
            return await fetch
        finally:
            server.close()


# The time of a query was checked before a response that had arrived was read.
def test_response_that_arrives_before_a_late_timeout_is_returned():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(fetch_in_a_stall()) == RESPONSE
