"""Tests of the HTTP adapters against a server with scripted faults."""

import asyncio
from random import Random
from typing import NamedTuple

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from rhubarbwell_platform import (
    AnswerLostError,
    ClientOptions,
    Fault,
    FaultKind,
    Operation,
    PlatformError,
    PlatformUrls,
    RateLimits,
    ScriptedFaults,
    UnavailableError,
    Write,
    http_platform,
    memory_platform,
    platform_app,
    with_faults,
)

OPTIONS = ClientOptions(
    timeout_ms=10_000,
    max_tries=3,
    initial_backoff_ms=1,
    max_backoff_ms=2,
    reads_per_s=10_000,
    writes_per_s=10_000,
    failures_to_open=100,
)
CLOSED_PORT_URLS = PlatformUrls(*["http://127.0.0.1:9"] * 3)
DOWN = Fault(FaultKind.DOWN)
REQUEST_LOST = Fault(FaultKind.REQUEST_LOST)
ANSWER_LOST = Fault(FaultKind.ANSWER_LOST)
SLOW = Fault(FaultKind.SLOW, 5_000)
SLOW_TIMEOUT_MS = 500


class Case(NamedTuple):
    operation: Operation
    faults: tuple[Fault, ...]
    error: type[PlatformError] | None
    applied: bool = False


CASES = [
    Case(Operation.READ, (DOWN, REQUEST_LOST), None),
    Case(Operation.READ, (SLOW, ANSWER_LOST), None),
    Case(Operation.READ, (DOWN, SLOW, ANSWER_LOST), UnavailableError),
    Case(Operation.SCAN, (ANSWER_LOST,), None),
    Case(Operation.SCAN, (DOWN,) * 3, UnavailableError),
    Case(Operation.GET, (REQUEST_LOST, ANSWER_LOST), None),
    Case(Operation.GET, (SLOW,) * 3, UnavailableError),
    Case(Operation.LIST, (DOWN, ANSWER_LOST), None),
    Case(Operation.LIST, (DOWN,) * 3, UnavailableError),
    Case(Operation.PUT, (DOWN, ANSWER_LOST), None, True),
    Case(Operation.PUT, (REQUEST_LOST,) * 6, AnswerLostError),
    Case(Operation.TRANSACT, (), None, True),
    Case(Operation.TRANSACT, (ANSWER_LOST,), AnswerLostError, True),
    Case(Operation.TRANSACT, (REQUEST_LOST,), AnswerLostError),
    Case(Operation.TRANSACT, (DOWN,), AnswerLostError),
    Case(Operation.TRANSACT, (SLOW,), AnswerLostError),
]


class RemotePlatform(NamedTuple):
    inner: object
    faults: ScriptedFaults
    urls: PlatformUrls
    session: aiohttp.ClientSession

    def connect(self, options=OPTIONS):
        return http_platform(self.session, self.urls, Random(1), options=options)


def urls_of(server):
    return PlatformUrls(*[str(server.make_url(""))] * 3)


@pytest.fixture
async def remote():
    inner = memory_platform()
    await inner.objects.put("known", "text")
    faults = ScriptedFaults()
    server = TestServer(platform_app(with_faults(inner, faults)))
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        yield RemotePlatform(inner, faults, urls_of(server), session)
    await server.close()


def call_operation(platform, operation):
    calls = {
        Operation.READ: lambda: platform.tables.read(["k"]),
        Operation.SCAN: lambda: platform.tables.scan("k"),
        Operation.TRANSACT: lambda: platform.tables.transact([Write("k", "1")]),
        Operation.GET: lambda: platform.objects.get("known"),
        Operation.PUT: lambda: platform.objects.put("k", "1"),
        Operation.LIST: lambda: platform.instances.read(),
    }
    return calls[operation]()


async def is_applied(inner, operation):
    if operation is Operation.TRANSACT:
        return bool(await inner.tables.read(["k"]))
    try:
        return await inner.objects.get("k") == "1"
    except PlatformError:
        return False


@pytest.mark.parametrize("case", CASES)
async def test_fault_cases(remote, case):
    remote.faults.add(case.operation, *case.faults)
    timeout_ms = SLOW_TIMEOUT_MS if SLOW in case.faults else OPTIONS.timeout_ms
    platform = remote.connect(OPTIONS._replace(timeout_ms=timeout_ms))
    if case.error is None:
        await call_operation(platform, case.operation)
    else:
        with pytest.raises(case.error):
            await call_operation(platform, case.operation)
    assert await is_applied(remote.inner, case.operation) is case.applied


async def test_refused_connection_raises_unavailable(remote):
    options = OPTIONS._replace(max_tries=2)
    platform = http_platform(
        remote.session, CLOSED_PORT_URLS, Random(1), options=options
    )
    with pytest.raises(UnavailableError):
        await platform.tables.transact([Write("k", "1")])


async def test_open_circuit_rejects_calls(remote):
    platform = remote.connect(OPTIONS._replace(max_tries=1, failures_to_open=3))
    remote.faults.set_default_fault(DOWN)
    for _ in range(20):
        with pytest.raises(UnavailableError):
            await platform.tables.read(["k"])
    remote.faults.set_default_fault(None)
    with pytest.raises(UnavailableError, match="circuit"):
        await platform.tables.read(["k"])


async def test_circuit_closes_after_successful_probe(remote):
    options = OPTIONS._replace(max_tries=1, failures_to_open=1, open_duration_ms=1)
    platform = remote.connect(options)
    remote.faults.add(Operation.READ, DOWN)
    with pytest.raises(UnavailableError):
        await platform.tables.read(["k"])
    await asyncio.sleep(0.05)
    assert await platform.tables.read(["k"]) == {}


def count_rate_limited(results):
    """Return how many calls the rate limit refused, late answers not included."""
    return sum("rate of calls" in str(result) for result in results)


async def test_calls_over_the_rate_are_not_sent(remote):
    options = OPTIONS._replace(reads_per_s=0.1, max_tries=1, timeout_ms=50)
    platform = remote.connect(options)
    results = await asyncio.gather(
        *(platform.tables.read(["k"]) for _ in range(30)), return_exceptions=True
    )
    assert count_rate_limited(results) == 20


async def test_fleet_shares_the_rate_limit(remote):
    limits = RateLimits(OPTIONS._replace(timeout_ms=50))
    limits.set_fleet_size(16_000)
    platform = http_platform(
        remote.session, remote.urls, Random(1), options=OPTIONS, limits=limits
    )
    results = await asyncio.gather(
        *(platform.tables.read(["k"]) for _ in range(15)), return_exceptions=True
    )
    assert count_rate_limited(results) == 5


ANSWERS = [
    (200, "not json", UnavailableError, AnswerLostError),
    (200, '{"rows": [{}]}', UnavailableError, AnswerLostError),
    (429, "{}", UnavailableError, UnavailableError),
    (500, "{}", UnavailableError, AnswerLostError),
]


@pytest.mark.parametrize(("status", "text", "read_error", "write_error"), ANSWERS)
async def test_malformed_and_error_answers(
    remote, status, text, read_error, write_error
):
    async def answer(request):
        return web.Response(status=status, text=text, content_type="application/json")

    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", answer)
    server = TestServer(app)
    await server.start_server()
    platform = http_platform(
        remote.session, urls_of(server), Random(1), options=OPTIONS
    )
    with pytest.raises(read_error):
        await platform.tables.read(["k"])
    with pytest.raises(write_error):
        await platform.tables.transact([Write("k", "1")])
    await server.close()
