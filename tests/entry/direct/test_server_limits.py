"""Test that backend servers get no more requests than the limit that they named."""

import asyncio

from support.running_fleet import running_fleet


# Guards against servers that get more than the limit that they named (LIMIT).
async def test_server_that_names_a_limit_gets_no_more_and_callers_are_refused_at_once():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        server.extra_headers["Server-Limit"] = "2.0"
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        results = await asyncio.gather(*(fleet.send_request() for _ in range(20)))
        statuses = [resp.status for resp, _ in results]
        assert statuses.count(200) <= 2
        assert statuses.count(503) >= 18
        pauses = [
            float(r.headers["Retry-After"]) for r, _ in results if r.status == 503
        ]
        assert 0.05 <= min(pauses) <= max(pauses) <= 1.2
        assert len(server.received) == 1 + statuses.count(200)


async def test_limit_that_is_no_longer_named_ends():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        server.extra_headers["Server-Limit"] = "5.0"
        await fleet.send_request()
        server.extra_headers.clear()
        while (await fleet.send_request())[0].status != 200:
            await asyncio.sleep(0.05)
        results = await asyncio.gather(*(fleet.send_request() for _ in range(5)))
        assert [resp.status for resp, _ in results] == [200] * 5


async def test_unreadable_limit_is_ignored():
    async with running_fleet(1) as fleet:
        fleet.backends[0].extra_headers["Server-Limit"] = "none"
        for _ in range(5):
            resp, _ = await fleet.send_request()
            assert resp.status == 200
