"""Run an entry instance or a bare proxy in this process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import cycle
from random import Random
from typing import NamedTuple

import aiohttp
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
from rhubarbwell_entry.keystore import KeyStore
from rhubarbwell_entry.proxy.callers import CallerRunner
from rhubarbwell_entry.proxy.handler import CallerHandler
from rhubarbwell_platform import MemoryTableService

__all__ = ["Proxy", "run_bare_proxy", "run_entry_instance"]

HOST = "127.0.0.1"
SLOTS_PER_BACKEND = 100
WORK_KINDS = (
    WorkKind("page", "GET", "/", idempotent=True, deadline_ms=10_000),
    WorkKind("book", "POST", "/book", deadline_ms=10_000),
    WorkKind("film", "PUT", "/films", deadline_ms=600_000),
)


class Proxy(NamedTuple):
    """Hold the base URL of a proxy; core and store are None for a bare proxy."""

    url: str
    core: Core | None = None
    store: KeyStore | None = None


@asynccontextmanager
async def run_entry_instance(backends: list[Address]) -> AsyncIterator[Proxy]:
    """Run an entry instance that forwards to the backend servers."""
    servers = tuple(
        BackendSpec(f"b{n}", "r-a", *address, slots=SLOTS_PER_BACKEND)
        for n, address in enumerate(backends)
    )
    service = ServiceSpec("slotsvc", WORK_KINDS, servers)
    deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
    own_address = Address(HOST, 0)
    core = Core(Identity("i", "i-1", "r-a", "r", own_address, own_address), Random(1))
    driver = CoreDriver(core)
    driver.handle(
        ConfigReceived(Configuration(1, "x", deployment, {"slotsvc": service}))
    )
    handler = CallerHandler(driver)
    store = KeyStore(driver, MemoryTableService())
    app = web.Application(client_max_size=0)
    app.router.add_route("*", "/{service}/{rest:.*}", handler.handle)
    runner = CallerRunner(app)
    address = await _listen(runner)
    task = asyncio.create_task(driver.run())
    yield Proxy(f"http://{HOST}:{address.port}/slotsvc", core, store)
    task.cancel()
    await handler.close()
    await runner.cleanup()


@asynccontextmanager
async def run_bare_proxy(backends: list[Address]) -> AsyncIterator[Proxy]:
    """Run a stateless round-robin proxy as the baseline."""
    backend_cycle = cycle(backends)
    connector = aiohttp.TCPConnector(limit=0)
    session = aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def handle(request: web.Request) -> web.StreamResponse:
        host, port = next(backend_cycle)
        data = request.content if request.can_read_body else None
        url = f"http://{host}:{port}{request.rel_url}"
        async with session.request(request.method, url, data=data) as resp:
            answer = web.StreamResponse(status=resp.status, headers=resp.headers)
            await answer.prepare(request)
            async for chunk in resp.content.iter_any():
                await answer.write(chunk)
            await answer.write_eof()
            return answer

    app = web.Application(client_max_size=0)
    app.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    address = await _listen(runner)
    yield Proxy(f"http://{HOST}:{address.port}")
    await runner.cleanup()
    await session.close()


async def _listen(runner: web.AppRunner) -> Address:
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    bound_host, bound_port = runner.addresses[0][:2]
    return Address(bound_host, bound_port)
