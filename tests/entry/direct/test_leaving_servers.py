"""Test that a server that says that it leaves gets no further requests."""

import pytest
from aiohttp import web
from support.running_fleet import running_fleet

LEAVING = {"Server-Leaving": "1"}


def answer_with(server, status):
    async def handle(request):
        headers = dict(server.signed_response(request).headers)
        if status == 503:
            headers["X-Rhubarbwell-Not-Executed"] = "1"
        return web.Response(status=status, headers=headers)

    return handle


# Guards against requests to servers that said that they leave (DRAIN).
@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_any_answer_may_say_that_the_server_leaves(status):
    async with running_fleet(2) as fleet:
        for _ in range(20):
            await fleet.send_request()
        busy = max(fleet.backends, key=lambda server: len(server.received))
        busy.extra_headers.update(LEAVING)
        busy.custom_handler = answer_with(busy, status)
        before = len(busy.received)
        for _ in range(20):
            await fleet.send_request("/pay/x", "POST", data=b"x")
        assert len(busy.received) == before + 1


async def test_the_last_server_leaves_and_callers_are_refused():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        server.extra_headers.update(LEAVING)
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        resp, _ = await fleet.send_request()
        assert resp.status == 503
        assert len(server.received) == 1
