"""Measure uploads, requests and table writes through a proxy."""

import asyncio
import threading
import time
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

import aiohttp
import psutil
from rhubarbwell_core.lookups import LookUpQuery

from benchmarks.request_path.instances import Proxy

__all__ = [
    "RequestMeasure",
    "UploadMeasure",
    "WriteMeasure",
    "measure_requests",
    "measure_upload",
    "measure_writes",
]

CHUNK_BYTES = 1 << 18
SAMPLE_INTERVAL_S = 0.005
WORKERS = 8
MB = 1 << 20


class UploadMeasure(NamedTuple):
    """Hold the size and duration of an upload and the peak memory growth.

    growth_mb is the growth of this process's resident memory in MiB.
    """

    megabytes: float
    seconds: float
    growth_mb: float


class RequestMeasure(NamedTuple):
    """Hold request rate, latencies and this process's processor time per request.

    The processor time includes the client, the proxy and the backend servers.
    """

    requests: int
    per_s: float
    cpu_us: float
    p50_ms: float
    p99_ms: float


class WriteMeasure(NamedTuple):
    """Hold the table rows and transactions written per request."""

    way: str
    requests: int
    per_s: float
    rows_per_request: float
    transactions_per_request: float


async def measure_upload(proxy: Proxy, megabytes: int) -> UploadMeasure:
    """Return the duration and memory growth of an upload; megabytes are MiB."""
    sampler = _MemorySampler()
    sampler.start()
    started = time.perf_counter()
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"{proxy.url}/films/1", data=_zero_chunks(megabytes * MB)) as resp,
    ):
        document = await resp.json()
    seconds = time.perf_counter() - started
    growth_mb = sampler.stop() / MB
    return UploadMeasure(document["body_bytes"] / MB, seconds, growth_mb)


async def measure_requests(proxy: Proxy, requests: int) -> RequestMeasure:
    """Return the rate and latencies of GET requests by WORKERS concurrent workers."""
    latencies_ms: list[float] = []
    numbers = iter(range(requests))
    cpu_s, started = time.process_time(), time.perf_counter()
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _send_requests(session, proxy, numbers, latencies_ms)
                for _ in range(WORKERS)
            )
        )
    seconds = time.perf_counter() - started
    cpu_us = (time.process_time() - cpu_s) / requests * 1e6
    latencies_ms.sort()
    p50_ms, p99_ms = latencies_ms[requests // 2], latencies_ms[requests * 99 // 100]
    return RequestMeasure(requests, requests / seconds, cpu_us, p50_ms, p99_ms)


async def measure_writes(proxy: Proxy, way: str, requests: int) -> WriteMeasure:
    """Return the table writes of requests sent one after the other.

    way is the key of a booking (`ticket`, `own key` or `no key`) or `page`, an
    idempotent request with a key. Waits until the outcomes are written.
    """
    core, store = proxy.core, proxy.store
    assert core is not None and store is not None
    rows_before = store.claim_writes + store.outcome_writes
    transactions_before = store.transactions
    started = time.perf_counter()
    async with aiohttp.ClientSession() as session:
        for number in range(requests):
            key = _idempotency_key(proxy, way, number)
            headers = {} if key is None else {"Idempotency-Key": key}
            method, path = ("GET", "/x") if way == "page" else ("POST", "/book")
            url = f"{proxy.url}{path}/{number}"
            async with session.request(method, url, headers=headers) as resp:
                await resp.read()
                assert resp.status == 200
    seconds = time.perf_counter() - started
    while len(core.keys.outcomes):
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    rows_written = store.claim_writes + store.outcome_writes - rows_before
    new_transactions = store.transactions - transactions_before
    return WriteMeasure(
        way,
        requests,
        requests / seconds,
        rows_written / requests,
        new_transactions / requests,
    )


def _idempotency_key(proxy: Proxy, way: str, number: int) -> str | None:
    if way == "ticket":
        assert proxy.core is not None
        query = LookUpQuery("slotsvc", wants_ticket=True)
        now_ms = time.monotonic_ns() // 1_000_000
        return proxy.core.look_up(query, now_ms).ticket
    return None if way == "no key" else f"{way}-{number}"


async def _send_requests(
    session: aiohttp.ClientSession,
    proxy: Proxy,
    numbers: Iterator[int],
    latencies_ms: list[float],
) -> None:
    for number in numbers:
        started = time.perf_counter()
        async with session.get(f"{proxy.url}/page/{number}") as resp:
            await resp.read()
        latencies_ms.append((time.perf_counter() - started) * 1_000)


async def _zero_chunks(size: int) -> AsyncIterator[bytes]:
    chunk = bytes(CHUNK_BYTES)
    for _ in range(size // CHUNK_BYTES):
        yield chunk


class _MemorySampler:
    def __init__(self) -> None:
        self._process = psutil.Process()
        self._initial_bytes = self._peak_bytes = self._process.memory_info().rss
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> int:
        self._stopped.set()
        self._thread.join()
        return self._peak_bytes - self._initial_bytes

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            self._peak_bytes = max(self._peak_bytes, self._process.memory_info().rss)
