import asyncio

import pytest
from rhubarbwell_core.lookups import LookUpQuery
from rhubarbwell_entry.shutdown import GracefulShutdown
from rhubarbwell_platform.standins import FakeBackend
from support.entries import RunningEntry, make_configuration
from support.tables import FlakyTables


@pytest.fixture
async def backend():
    server = FakeBackend("b0", slots=20)
    server.address = await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def entry(backend):
    cfg = make_configuration([backend.address], ttl_ms=100, slots=20)
    async with RunningEntry(cfg, tables=FlakyTables()) as running:
        yield running


def make_shutdown(entry, announced=None, *, max_ms=10_000, stop_listening=None):
    return GracefulShutdown(
        entry.driver,
        entry.handler,
        max_ms=max_ms,
        announce=lambda: None if announced is None else announced.append(True),
        stop_listening=stop_listening or entry.site.stop,
        close_idle_connections=entry.runner.close_idle_connections,
        margin_ms=50,
    )


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def send_slowly(parts, pause_s):
    for part in parts:
        yield part
        await asyncio.sleep(pause_s)


async def test_stop_serves_cached_callers_and_cuts_no_upload(entry, backend):
    parts = [bytes([n]) * 10_000 for n in range(40)]
    upload = asyncio.create_task(
        entry.request("PUT", "/films/1", data=send_slowly(parts, 0.01))
    )
    await wait_until(lambda: backend.started)
    announced = []
    stop = asyncio.create_task(make_shutdown(entry, announced).run())
    await asyncio.sleep(0.05)
    assert announced
    cached = await entry.request("GET", "/page/1")
    assert cached[:2] == (200, "answered")
    assert await stop
    status, outcome, _ = await upload
    assert (status, outcome) == (200, "answered")
    assert backend.runs[-1].body_bytes == 400_000


async def test_connections_after_the_time_to_live_are_refused(entry, backend):
    backend.service_ms = 400
    running = asyncio.create_task(entry.request("POST", "/book/1"))
    kept_open = asyncio.create_task(entry.request("GET", "/page/1"))
    await wait_until(lambda: backend.started == 2)
    stop = asyncio.create_task(make_shutdown(entry).run())
    while not entry.handler.refusing:
        await asyncio.sleep(0.01)
    with pytest.raises(OSError):
        await asyncio.open_connection(*entry.address)
    assert await stop
    assert (await running)[1] == (await kept_open)[1] == "answered"


async def test_stop_waits_for_requests_on_the_last_connections(entry):
    reader, writer = await asyncio.open_connection(*entry.address)
    stop = asyncio.create_task(make_shutdown(entry).run())
    await wait_until(lambda: entry.handler.refusing)
    await asyncio.sleep(0.1)
    writer.write(b"GET /slotsvc/page/1 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 ")
    assert not stop.done()
    assert await stop
    writer.close()


@pytest.mark.parametrize(
    "by_second_signal", [True, False], ids=["second signal", "maximum"]
)
@pytest.mark.parametrize("keyed", [True, False])
async def test_forced_stop_ends_open_bookings_with_unknown_outcome(
    entry, backend, by_second_signal, keyed
):
    backend.service_ms = 60_000
    requests = []
    for n in range(25):
        headers = {"Idempotency-Key": f"o-{n}"} if keyed else {}
        requests.append(
            asyncio.create_task(entry.request("POST", f"/book/{n}", headers=headers))
        )
    await wait_until(lambda: entry.handler.open_requests == 25)
    shutdown = make_shutdown(entry, max_ms=60_000 if by_second_signal else 200)
    stop = asyncio.create_task(shutdown.run())
    if by_second_signal:
        shutdown.force()
    assert not await stop
    answers = await asyncio.gather(*requests)
    assert {answer[:2] for answer in answers} == {(502, "unknown")}


# Requests with more time than the stop had were accepted and ended as unknown.
@pytest.mark.parametrize("keyed", [True, False])
async def test_request_that_may_outlive_the_instance_is_refused_as_not_run(
    entry, backend, keyed
):
    backend.service_ms = 900
    stop = asyncio.create_task(make_shutdown(entry, max_ms=600).run())
    await wait_until(lambda: entry.handler.leaving)
    headers = {"Rhubarbwell-Deadline-Ms": "2000"}
    if keyed:
        headers["Idempotency-Key"] = "o-1"
    status, outcome, _ = await entry.request("POST", "/book/1", headers=headers)
    assert (status, outcome) == (503, "not_run")
    assert await stop
    assert backend.started == 0


async def test_stop_waits_until_outcomes_are_recorded(entry):
    query = LookUpQuery("slotsvc", wants_ticket=True)
    ticket = entry.core.look_up(query, entry.driver.clock_ms()).ticket
    await entry.request("POST", "/book/1", headers={"Idempotency-Key": ticket})
    assert await make_shutdown(entry).run()
    assert len(await entry.tables.inner.scan("keys/")) == 1


async def test_drain_of_a_backend_server_cuts_no_upload(entry, backend):
    parts = [b"x" * 10_000] * 20
    upload = asyncio.create_task(
        entry.request("PUT", "/films/1", data=send_slowly(parts, 0.01))
    )
    await wait_until(lambda: backend.started)
    backend.drain()
    cfg = entry.configuration
    service = cfg.services["slotsvc"]
    drained = service._replace(
        backends=tuple(b._replace(draining=True) for b in service.backends)
    )
    entry.apply_configuration(cfg._replace(version=2, services={"slotsvc": drained}))
    headers = {"Rhubarbwell-Deadline-Ms": "100"}
    refused = await entry.request("GET", "/page/1", headers=headers)
    assert refused[1] == "not_run"
    assert (await upload)[:2] == (200, "answered")
    assert backend.runs[-1].body_bytes == 200_000


# A connection without a TLS handshake held a stop that nothing else ended.
@pytest.mark.parametrize("is_forced", [False, True])
async def test_listener_that_does_not_close_does_not_hold_a_stop(entry, is_forced):
    closing = asyncio.Event()

    async def hang():
        closing.set()
        await asyncio.Event().wait()

    max_ms = 60_000 if is_forced else 400
    shutdown = make_shutdown(entry, max_ms=max_ms, stop_listening=hang)
    stop = asyncio.create_task(shutdown.run())
    async with asyncio.timeout(10):
        await closing.wait()
        if is_forced:
            shutdown.force()
        await stop
