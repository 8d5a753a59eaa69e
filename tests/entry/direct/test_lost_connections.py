"""Tests of what lost connections tell of a restart of their backend server."""

import asyncio

import pytest
from aiohttp import web
from rhubarbwell_entry.proxy import protocols
from support.running_fleet import running_fleet, wait_until

# Time after which an answer on a new connection may come from a restarted server.
RESTART_S = 0.2


def drop_connections(server):
    """Close all connections of a server, idle ones too."""
    for conn in list(server._runner.server.connections):
        if conn.transport is not None:
            conn.transport.abort()


def state_of(fleet):
    return fleet.instance.balancer.backends.rows.get("b-0")


def now_ms(fleet):
    return fleet.instance.clock_ms()


def is_cold(fleet):
    return state_of(fleet).is_cold(now_ms(fleet))


# A server that had started again under its id was taken for the warm one.
async def test_server_that_refuses_connections_after_a_loss_counts_as_cold():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        await fleet.send_request()
        assert not is_cold(fleet)
        await server._runner.sites.copy().pop().stop()
        drop_connections(server)
        await wait_until(lambda: is_cold(fleet))
        await asyncio.sleep(RESTART_S)
        assert is_cold(fleet)
        site = web.TCPSite(server._runner, *server.address)
        await site.start()
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        assert state_of(fleet).suspicion is None
        assert is_cold(fleet)


async def test_sound_server_that_lost_its_only_connection_is_not_taken_for_cold():
    async with running_fleet(1) as fleet:
        await fleet.send_request()
        drop_connections(fleet.backends[0])
        await wait_until(lambda: is_cold(fleet))
        await wait_until(lambda: not is_cold(fleet))


async def test_idle_timeout_of_a_server_says_nothing_of_a_restart(monkeypatch):
    monkeypatch.setattr(protocols, "MIN_IDLE_TIMEOUT_S", 0.15)
    async with running_fleet(1) as fleet:
        await fleet.send_request()
        await asyncio.sleep(0.1)
        opened = list(fleet.instance._sender._connector._opened)
        drop_connections(fleet.backends[0])
        await wait_until(lambda: not any(conn.is_connected() for conn in opened))
        assert not is_cold(fleet)


async def test_connection_closed_before_the_stated_timeout_is_a_sign(monkeypatch):
    monkeypatch.setattr(protocols, "MIN_IDLE_TIMEOUT_S", 0.0)
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends

        async def respond(request):
            resp = server.signed_response(request)
            resp.headers["Keep-Alive"] = "timeout=9, max=100"
            return resp

        server.custom_handler = respond
        await fleet.send_request()
        drop_connections(server)
        await wait_until(lambda: is_cold(fleet))


@pytest.mark.parametrize("other_open", [True, False])
async def test_reset_request_is_weighed_by_the_connections_that_are_left(other_open):
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        release = asyncio.Event()

        async def respond(request):
            if request.path == "/pay/lost":
                await server._runner.sites.copy().pop().stop()
                request.transport.abort()
                return web.Response()
            await release.wait()
            return server.signed_response(request)

        server.custom_handler = respond
        held = None
        if other_open:
            held = asyncio.create_task(fleet.send_request("/pay/held", "POST"))
            await wait_until(lambda: server.received)
        resp, _ = await fleet.send_request("/pay/lost", "POST")
        assert resp.status == 502
        assert is_cold(fleet)
        await asyncio.sleep(RESTART_S)
        assert is_cold(fleet) is not other_open
        release.set()
        if held is not None:
            await held
