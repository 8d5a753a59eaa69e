import asyncio
import contextlib
from itertools import chain, repeat
from random import Random

import aiohttp
import pytest
import uvloop
from aiohttp import web
from rhubarbwell_core import Core
from rhubarbwell_core.messages import ConfigReceived
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Identity,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.monitor import BackendMonitor, polls_per_s
from support.late_loops import BlockingServer, Stall

ADDRESS = Address("127.0.0.1", 1)
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def poll_until(load, health_status, condition):
    """Poll one scripted server until its row in the core satisfies condition.

    load is the server's report, or an iterator over its reports.
    """

    async def serve_load(_):
        return web.Response(text=load if isinstance(load, str) else next(load))

    async def serve_health(_):
        return web.Response(status=health_status)

    app = web.Application()
    app.router.add_get("/load", serve_load)
    app.router.add_get("/health", serve_health)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    driver = make_driver(runner.addresses[0][1])
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(BackendMonitor(driver, session).run())
        while not condition(driver.core.backends.rows["b"]):
            await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await runner.cleanup()


def make_driver(port):
    core = Core(Identity("i", "i-1", "r-a", "r", ADDRESS, ADDRESS), Random(1))
    deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
    backend = BackendSpec("b", "r-a", "127.0.0.1", port)
    service = ServiceSpec("slotsvc", (WorkKind("page", "GET", "/"),), (backend,))
    cfg = Configuration(1, "x", deployment, {"slotsvc": service})
    core.handle(ConfigReceived(cfg), 0)
    return CoreDriver(core)


async def test_load_and_drain_are_reported():
    load = '{"in_flight": 2, "draining": true}'
    await poll_until(
        load, 200, lambda row: row.draining and row.reported.in_flight == 2
    )


async def test_failing_health_endpoint_overrides_a_good_load_report():
    await poll_until(
        '{"in_flight": 0}', 503, lambda row: row.reported and not row.reported.healthy
    )


@pytest.mark.parametrize(
    "load",
    [
        *(
            "",
            "[]",
            '{"in_flight": null}',
            '{"in_flight": "x"}',
            '{"in_flight": 1e999}',
        ),
        # A report of nested brackets ended the polls of all backend servers.
        "[" * 2_000,
    ],
)
async def test_malformed_report_is_ignored(load):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await poll_until(load, 200, lambda row: row.reported is not None)


# A report of nested brackets ended the polls of all backend servers.
@pytest.mark.parametrize("malformed", ["[" * 2_000, '{"in_flight": 1e999}'])
async def test_polls_go_on_after_a_malformed_report(malformed):
    loads = chain([malformed], repeat('{"in_flight": 2}'))
    async with asyncio.timeout(10.0):
        await poll_until(loads, 200, lambda row: row.reported is not None)


def test_poll_rate_falls_with_the_fleet_within_its_bounds():
    assert [polls_per_s(n) for n in (0, 12, 48, 2_900)] == [20.0, 20.0, 5.0, 0.5]


async def request_after_a_poll_in_a_stall():
    """Return the request after a poll whose answer arrives while the loop is late."""
    server, stall = BlockingServer(), Stall()
    driver = make_driver(server.address.port)
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(BackendMonitor(driver, session).run())
        await server.receive()
        await asyncio.sleep(0.1)
        stall.start(1.0, lambda: server.send(HEALTHY))
        try:
            return await asyncio.wait_for(server.receive(), 10)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            server.close()


# The time of a poll was checked before an answer that had arrived was read.
def test_answer_that_arrives_before_a_late_timeout_is_used():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        request = runner.run(request_after_a_poll_in_a_stall())
    assert request.startswith(b"GET /load ")
