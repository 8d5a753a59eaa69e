"""Print the cost of the request path: uploads, requests, table writes, a soak."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

import fire
import uvloop
from rhubarbwell_core.model import Address
from rhubarbwell_platform.standins import FakeBackend
from tabulate import tabulate

from benchmarks.request_path.instances import run_bare_proxy, run_entry_instance
from benchmarks.request_path.measures import (
    measure_requests,
    measure_upload,
    measure_writes,
)

BACKENDS = 4
WAYS = ("own key", "ticket", "no key", "page")


class RequestPath:
    """Measure the request path over real sockets in this process."""

    def upload(self, megabytes: int = 500) -> None:
        """Print duration and memory growth of an upload through an instance."""
        _run_on_uvloop(_print_upload(megabytes))

    def requests(self, count: int = 5_000) -> None:
        """Print costs of count GET requests through a bare proxy and an instance."""
        _run_on_uvloop(_print_requests(count))

    def writes(self, count: int = 2_000) -> None:
        """Print the table writes of count requests for each way of passing a key."""
        _run_on_uvloop(_print_writes(count))

    def soak(self, bookings: int = 20_000, seed: int = 1) -> None:
        """Print the result of bookings during kills and outages.

        Needs tests/ on PYTHONPATH.
        """
        from support.soak import run_soak

        logging.disable(logging.WARNING)
        _run_on_uvloop(_print_soak(run_soak(bookings, seed=seed)))


async def _print_upload(megabytes: int) -> None:
    servers, addresses = await _start_backends(1)
    async with run_entry_instance(addresses) as proxy:
        await measure_upload(proxy, 8)
        measure = await measure_upload(proxy, megabytes)
    print(tabulate([measure], headers=measure._fields, floatfmt=".1f"))
    await _stop_backends(servers)


async def _print_requests(count: int) -> None:
    rows: list[tuple[object, ...]] = []
    for echoes in (True, False):
        servers, addresses = await _start_backends(BACKENDS, echoes_attempt=echoes)
        for run in (run_bare_proxy, run_entry_instance):
            async with run(addresses) as proxy:
                await measure_requests(proxy, count // 10)
                measure = await measure_requests(proxy, count)
            rows.append((run.__name__, echoes, *measure))
        await _stop_backends(servers)
    headers = ["proxy", "backends echo", *measure._fields]
    print(tabulate(rows, headers=headers, floatfmt=".2f"))


async def _print_writes(count: int) -> None:
    servers, addresses = await _start_backends(BACKENDS)
    async with run_entry_instance(addresses) as proxy:
        rows = [await measure_writes(proxy, way, count) for way in WAYS]
    print(tabulate(rows, headers=rows[0]._fields, floatfmt=".3f"))
    await _stop_backends(servers)


async def _print_soak(soak_run: Coroutine[Any, Any, Any]) -> None:
    result = await soak_run
    print(tabulate(result._asdict().items()))


async def _start_backends(
    count: int, *, echoes_attempt: bool = True
) -> tuple[list[FakeBackend], list[Address]]:
    servers = [
        FakeBackend(f"b{n}", slots=100, echoes_attempt=echoes_attempt)
        for n in range(count)
    ]
    return servers, [await server.start() for server in servers]


async def _stop_backends(servers: list[FakeBackend]) -> None:
    for server in servers:
        await server.stop()


def _run_on_uvloop(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


if __name__ == "__main__":
    fire.Fire(RequestPath)
