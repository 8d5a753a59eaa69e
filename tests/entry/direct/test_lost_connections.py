"""Tests of what lost connections tell of a restart of their backend server."""

import asyncio

import pytest
from aiohttp import web
from rhubarbwell_entry.direct import instance as instance_module
from support.running_fleet import running_fleet, wait_until


def drop_connections(server):
    """Close all connections of a server, idle ones too."""
    for conn in list(server._runner.server.connections):
        if conn.transport is not None:
            conn.transport.abort()


def state_of(fleet):
    return fleet.instance.balancer.backends.rows.get("b-0")


def now_ms(fleet):
    return fleet.instance.clock_ms()


# A server that had started again under its id was taken for the warm one.
async def test_lost_idle_connection_makes_the_server_count_as_cold():
    async with running_fleet(1) as fleet:
        await fleet.send_request()
        assert not state_of(fleet).is_cold(now_ms(fleet))
        drop_connections(fleet.backends[0])
        await wait_until(lambda: state_of(fleet).is_cold(now_ms(fleet)))
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        assert state_of(fleet).is_cold(now_ms(fleet))


async def test_idle_timeout_of_a_server_says_nothing_of_a_restart(monkeypatch):
    monkeypatch.setattr(instance_module, "MIN_IDLE_TIMEOUT_S", 0.05)
    async with running_fleet(1) as fleet:
        await fleet.send_request()
        await asyncio.sleep(0.1)
        closed = list(fleet.instance._sender._connector._closed_futures.values())
        drop_connections(fleet.backends[0])
        await wait_until(lambda: all(future.done() for future in closed))
        assert not state_of(fleet).is_cold(now_ms(fleet))


@pytest.mark.parametrize("other_open", [True, False])
async def test_reset_request_is_weighed_by_the_connections_that_are_left(other_open):
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        release = asyncio.Event()

        async def respond(request):
            if request.path == "/pay/lost":
                request.transport.abort()
                return web.Response()
            if request.path == "/pay/held":
                await release.wait()
            return server.signed_response(request)

        server.custom_handler = respond
        held = asyncio.create_task(fleet.send_request("/pay/held", "POST"))
        await wait_until(lambda: server.received)
        if not other_open:
            release.set()
            await held
            drop_connections(server)
            await wait_until(lambda: state_of(fleet).is_cold(now_ms(fleet)))
        resp, _ = await fleet.send_request("/pay/lost", "POST")
        assert resp.status == 502
        assert state_of(fleet).is_cold(now_ms(fleet))
        release.set()
        await held
        assert state_of(fleet).is_cold(now_ms(fleet)) is not other_open
