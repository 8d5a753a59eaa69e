"""Test that a server that asks for a pause gets nothing until its end."""

import asyncio

from aiohttp import web
from support.running_fleet import running_fleet


def turn_away(server, retry_after):
    async def handle(request):
        headers = {
            **server.signed_response(request).headers,
            "X-Rhubarbwell-Not-Executed": "1",
            "Retry-After": retry_after,
        }
        return web.Response(status=503, headers=headers)

    return handle


# Guards against requests to servers that asked for a pause (BUDGET).
async def test_server_gets_nothing_until_its_pause_ends_and_callers_are_told():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        server.custom_handler = turn_away(server, "0.8")
        await fleet.send_request()
        server.custom_handler = None
        for _ in range(5):
            resp, _ = await fleet.send_request()
            assert resp.status == 503
            assert float(resp.headers["Retry-After"]) > 0.2
        assert len(server.received) == 1
        while (await fleet.send_request())[0].status != 200:
            await asyncio.sleep(0.05)


async def test_requests_go_to_the_other_server_during_a_pause():
    async with running_fleet(2) as fleet:
        first, second = fleet.backends
        first.custom_handler = turn_away(first, "30")
        second.custom_handler = turn_away(second, "30")
        await fleet.send_request()
        paused = first if first.received else second
        other = second if paused is first else first
        first.custom_handler = second.custom_handler = None
        received = len(paused.received)
        for _ in range(10):
            resp, _ = await fleet.send_request()
        assert len(paused.received) == received
        assert other.received or resp.status == 503


async def test_retry_after_of_an_answer_in_good_order_asks_for_no_pause():
    async with running_fleet(1) as fleet:
        fleet.backends[0].extra_headers["Retry-After"] = "30"
        for _ in range(3):
            resp, _ = await fleet.send_request()
            assert resp.status == 200
