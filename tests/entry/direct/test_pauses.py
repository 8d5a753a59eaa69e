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


async def pause_after(retry_after, **settings):
    """Return the pause in ms of a server that named one in s."""
    async with running_fleet(1, **settings) as fleet:
        (server,) = fleet.backends
        server.custom_handler = turn_away(server, retry_after)
        await fleet.send_request()
        server.custom_handler = None
        assert (await fleet.send_request())[0].status == 503
        assert len(server.received) == 1
        instance = fleet.instance
        state = instance.balancer.backends.rows[server.backend_id]
        return state.paused_until_ms - instance.clock_ms()


# Above 60 s the word of the server was cut, and it was asked before its time.
async def test_long_pause_is_kept_to(caplog):
    assert await pause_after("7200") > 7_190_000
    assert "pause_cut" not in [getattr(r, "event", "") for r in caplog.records]


async def test_pause_above_the_setting_is_cut_and_logged(caplog):
    assert 290_000 < await pause_after("7200", max_pause_ms=300_000) < 310_000
    (cut,) = [r for r in caplog.records if getattr(r, "event", "") == "pause_cut"]
    assert (cut.asked_ms, cut.pause_ms) == (7_200_000, 300_000)
    assert cut.backend_id
