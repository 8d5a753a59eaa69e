"""Check the HTTP interface to callers on real sockets."""

import asyncio
import json

import pytest
from aiohttp import web
from rhubarbwell_platform.standins import FakeBackend
from support.entries import RunningEntry, make_configuration


@pytest.fixture
async def backend():
    server = FakeBackend("b0", slots=20)
    server.address = await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def entry(backend):
    cfg = make_configuration([backend.address], slots=20)
    async with RunningEntry(cfg) as running:
        yield running


async def send_raw(entry, text, *, disconnect_when=None):
    """Send text unchanged and return the answer.

    With disconnect_when, abort the connection once that holds and return "".
    """
    reader, writer = await asyncio.open_connection(*entry.address)
    writer.write(text.encode())
    await writer.drain()
    if disconnect_when is not None:
        await wait_until(disconnect_when)
        writer.transport.abort()
        return ""
    answer = (await reader.read()).decode()
    writer.close()
    return answer


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


CLOSE_HEADERS = "Host: a\r\nConnection: close\r\n"


@pytest.mark.parametrize(
    ("request_text", "status", "outcome", "reason"),
    [
        ("GET /none/x", 404, "not_run", "unknown_service"),
        ("GET /", 404, None, None),
        ("GET /slotsvc", 404, None, None),
        ("DELETE /slotsvc/x", 404, "not_run", "unknown_kind"),
        ("GET /slotsvc/../x", 404, "not_run", "unknown_kind"),
        ("GET /slotsvc/a/./b", 404, "not_run", "unknown_kind"),
        ("PUT /slotsvc/clips/1|Content-Length: 2000000", 413, "not_run", None),
        ("POST /slotsvc/book|Idempotency-Key: " + "k" * 300, 400, "not_run", None),
        ("POST /slotsvc/book|Rhubarbwell-Peer: a", 403, "not_run", "forged_hop"),
        ("GET /slotsvc/x|X-Huge: " + "x" * 20_000, 400, None, None),
        ("GET /slotsvc/x|Rhubarbwell-Deadline-Ms: 0", 504, "not_run", "deadline"),
        ("GET /slotsvc/x|Rhubarbwell-Deadline-Ms: soon", 200, "answered", None),
        ("GET /slotsvc/x|Rhubarbwell-Deadline-Ms: -5", 200, "answered", None),
        ("GET /slotsvc/x|Idempotency-Key: k", 200, "answered", None),
        ("HEAD /slotsvc/x", 404, "not_run", "unknown_kind"),
        ("OPTIONS /slotsvc/x", 404, "not_run", "unknown_kind"),
    ],
)
async def test_response_has_status_outcome_and_reason(
    entry, backend, request_text, status, outcome, reason
):
    line, *headers = request_text.split("|")
    head = "".join(f"{header}\r\n" for header in headers)
    answer = await send_raw(entry, f"{line} HTTP/1.1\r\n{CLOSE_HEADERS}{head}\r\n")
    assert answer.split(" ")[1] == str(status)
    if outcome:
        assert f"Rhubarbwell-Outcome: {outcome}\r\n" in answer
    if reason and not line.startswith("HEAD"):
        assert json.loads(answer.partition("\r\n\r\n")[2])["reason"] == reason
    assert len(backend.runs) == (1 if outcome == "answered" else 0)


@pytest.mark.parametrize("body", ["", "Content-Length: 10\r\n"])
async def test_run_is_cancelled_when_its_caller_disconnects(entry, backend, body):
    backend.service_ms = 60_000
    text = f"POST /slotsvc/book HTTP/1.1\r\nHost: a\r\n{body}\r\n"
    text += "x" * 10 if body else ""
    await send_raw(entry, text, disconnect_when=lambda: backend.started)
    await wait_until(lambda: backend.cancelled)
    assert backend.runs == []
    await wait_until(lambda: entry.handler.open_requests == 0)


async def test_disconnect_during_upload_ends_without_a_run(entry, backend):
    text = "PUT /slotsvc/films/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\nxx"
    await send_raw(entry, text, disconnect_when=lambda: backend.started)
    await wait_until(lambda: backend.started and backend.in_flight == 0)
    assert backend.runs == []


async def test_queued_request_is_not_started_after_its_caller_disconnects(backend):
    backend.service_ms = 200
    async with RunningEntry(make_configuration([backend.address], slots=1)) as entry:
        first = asyncio.create_task(entry.request("POST", "/book/1"))
        await wait_until(lambda: backend.started)
        text = "POST /slotsvc/book/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        is_queued = lambda: entry.handler.open_requests == 2
        await send_raw(entry, text, disconnect_when=is_queued)
        assert (await first)[1] == "answered"
        assert (await entry.request("POST", "/book/3"))[1] == "answered"
    assert "/book/2" not in backend.runs_by_path()


@pytest.mark.parametrize("declared", [True, False])
async def test_body_over_the_limit_is_refused_or_aborted(entry, backend, declared):
    async def chunks():
        for _ in range(40):
            yield b"x" * (64 << 10)

    data = b"x" * (2 << 20) if declared else chunks()
    status, outcome, _ = await entry.request("PUT", "/clips/1", data=data)
    assert (status, outcome) == (413, "not_run" if declared else "unknown")
    assert backend.runs == []


async def test_download_to_a_slow_caller_uses_bounded_memory(entry, backend):
    backend.answer_bytes = 32 << 20
    reader, writer = await asyncio.open_connection(*entry.address, limit=1 << 16)
    writer.write(b"GET /slotsvc/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    await wait_until(lambda: backend.runs)
    await asyncio.sleep(0.2)
    (connection,) = [
        c for c in entry.runner.server.connections if c.transport is not None
    ]
    assert connection.transport.get_write_buffer_size() < 1 << 20
    size = 0
    while chunk := await reader.read(1 << 20):
        size += len(chunk)
    writer.close()
    assert size > 32 << 20


async def test_hop_by_hop_and_own_headers_are_not_forwarded():
    received_headers = {}

    async def handle(request):
        received_headers.update(request.headers)
        headers = {"X-Kept": "1", "X-Gone": "1", "Connection": "X-Gone"}
        return web.Response(text="ok", headers=headers)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    sent_headers = {
        "X-Through": "1",
        "X-Named": "1",
        "Connection": "X-Named",
        "Keep-Alive": "5",
        "TE": "trailers",
        "Rhubarbwell-Grant": "forged",
        "Cookie": "a=b",
    }
    cfg = make_configuration([runner.addresses[0]])
    async with RunningEntry(cfg) as entry:
        url = entry.url + "/x"
        async with entry.session.get(url, headers=sent_headers) as resp:
            response_headers = resp.headers
            await resp.read()
    await runner.cleanup()
    assert received_headers["X-Through"] == "1" and received_headers["Cookie"] == "a=b"
    assert received_headers.keys().isdisjoint(
        {"X-Named", "Keep-Alive", "TE", "Rhubarbwell-Grant"}
    )
    assert int(received_headers["Rhubarbwell-Deadline-Ms"]) <= 5_000
    assert response_headers["X-Kept"] == "1" and "X-Gone" not in response_headers


@pytest.mark.parametrize("status", [204, 304, 404, 500])
async def test_status_of_the_backend_server_is_passed_on(status):
    async def handle(_):
        return web.Response(status=status)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    async with RunningEntry(make_configuration([runner.addresses[0]])) as entry:
        answers = [await entry.request("GET", f"/x/{n}") for n in range(3)]
    await runner.cleanup()
    assert [answer[:2] for answer in answers] == [(status, "answered")] * 3
