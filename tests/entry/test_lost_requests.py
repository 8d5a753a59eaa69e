"""Tests that a stop of the stand-alone product loses no request that has arrived."""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
import uvloop
from rhubarbwell_core.messages import ConfigReceived
from rhubarbwell_core.model import Address
from rhubarbwell_entry import shutdown
from rhubarbwell_entry.instance import EntryInstance
from rhubarbwell_entry.proxy import callers
from rhubarbwell_entry.settings import Settings
from rhubarbwell_platform.memory import memory_platform
from support.entries import make_configuration
from support.late_loops import KeptConnection

WAIT_S = 10.0
REQUEST = b"GET /slotsvc/page/1 HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_REQUEST = REQUEST.replace(b"Host: h", b"Host: h.example\r\nAccept: text/plain")
ANY_PORT = Address("127.0.0.1", 0)


async def start_instance(ttl_ms):
    """Return a started instance whose only server does not answer."""
    settings = Settings(
        *("i", "r-a", "r", ANY_PORT, ANY_PORT, ANY_PORT, "http://platform"),
        peer_keys=("0123456789abcdef0123456789abcdef",),
        stop_max_s=20.0,
    )
    instance = EntryInstance(settings, memory_platform())
    await instance.start()
    cfg = make_configuration([Address("127.0.0.1", 9)], ttl_ms=ttl_ms)
    instance.driver.handle(ConfigReceived(cfg))
    return instance


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def statuses_of_requests_while_connections_close():
    """Return the statuses of requests sent as the event loop of a stop is busy.

    Each iteration of the loop holds the work of 2 ms. A request arrives on a kept
    connection in each of them, as long as the instance has not closed that one.
    """
    instance = await start_instance(ttl_ms=100)
    conns = [KeptConnection(instance.callers) for _ in range(150)]
    stop = asyncio.create_task(instance.shut_down())
    await wait_until(lambda: instance._handler.refusing)
    await asyncio.sleep(0.25)
    used = []
    for conn in conns:
        if not conn.is_closed_there():
            conn.send(REQUEST)
            used.append(conn)
        time.sleep(0.002)
        await asyncio.sleep(0)
    statuses = [await asyncio.wait_for(c.read_status(), WAIT_S) for c in used]
    await stop
    for conn in conns:
        conn.close()
    return statuses


# Kept connections were closed without a look at what had arrived on them.
def test_requests_that_arrive_while_kept_connections_close_are_answered():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        statuses = runner.run(statuses_of_requests_while_connections_close())
    lost = statuses.count("")
    assert statuses and not lost, f"{lost} of {len(statuses)} lost"
    assert set(statuses) == {"HTTP/1.1 503 Service Unavailable"}


async def status_of_refused_upload():
    """Return the status of a request that a stop refuses while its body arrives."""
    instance = await start_instance(ttl_ms=100)
    conn = KeptConnection(instance.callers)
    stop = asyncio.create_task(instance.shut_down())
    await wait_until(lambda: instance._handler.refusing)
    head = b"PUT /slotsvc/notes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
    conn.send(head)
    for _ in range(20):
        conn.send(bytes(1_000))
        await asyncio.sleep(0.1)
    status = await asyncio.wait_for(conn.read_status(), WAIT_S)
    await stop
    conn.close()
    return status


# The connection was reset while the caller was still sending.
def test_request_that_a_stop_refuses_before_its_body_arrived_gets_the_answer():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status = runner.run(status_of_refused_upload())
    assert status == "HTTP/1.1 503 Service Unavailable"


@asynccontextmanager
async def running_instance():
    instance = await start_instance(ttl_ms=100)
    try:
        yield instance
    finally:
        await instance.stop()


async def status_of_request_in_pieces(instance, from_s, pieces, pause_s):
    """Return the status of a request that begins from_s after the one before it.

    It is None if the connection was closed before the request.
    """
    conn = KeptConnection(instance.callers)
    conn.send(REQUEST)
    assert await conn.read_status()
    await asyncio.sleep(from_s)
    is_closed = conn.is_closed_there()
    await conn.send_in_pieces(pieces, pause_s)
    status = await asyncio.wait_for(conn.read_status(), WAIT_S)
    conn.close()
    return None if is_closed else status


# The idle timeout closed connections on which a part of a head had arrived.
@pytest.mark.parametrize("pause_s", [0.25, 1.0])
async def test_head_in_two_pieces_at_the_idle_timeout_is_answered(pause_s, monkeypatch):
    monkeypatch.setattr(callers, "KEEPALIVE_S", 1.2)
    before_s = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3)
    pieces = (LONG_REQUEST[:60], LONG_REQUEST[60:])
    async with running_instance() as instance:
        calls = (
            status_of_request_in_pieces(instance, 1.2 - s, pieces, pause_s)
            for s in before_s
        )
        statuses = await asyncio.gather(*calls)
    assert "" not in statuses
    assert any(statuses)


# A head that never became complete was held until the idle timeout, without an answer.
@pytest.mark.parametrize("sends_on", [False, True], ids=["silent", "trickling"])
async def test_head_that_is_not_complete_in_time_is_answered_408(sends_on, monkeypatch):
    monkeypatch.setattr(callers, "HEADER_TIMEOUT_S", 0.6)
    ends = range(len(REQUEST)) if sends_on else [0]
    async with running_instance() as instance:
        conn = KeptConnection(instance.callers)
        pieces = [REQUEST[n : n + 1] for n in ends]
        sending = asyncio.create_task(conn.send_in_pieces(pieces, 0.05))
        answer = await asyncio.wait_for(conn.read_head(), WAIT_S)
        sending.cancel()
        assert answer.startswith("HTTP/1.1 408 ")
        assert "\r\nConnection: close\r\n" in answer
        assert await asyncio.wait_for(conn.read_status(), WAIT_S) == ""
        conn.close()


async def status_of_request_in_pieces_at_a_stop(pieces, pause_s):
    """Return the status of a request that begins shortly before connections close."""
    instance = await start_instance(ttl_ms=100)
    conn = KeptConnection(instance.callers)
    stop = asyncio.create_task(instance.shut_down())
    await wait_until(lambda: instance._handler.refusing)
    await asyncio.sleep(0.2)
    sending = asyncio.create_task(conn.send_in_pieces(pieces, pause_s))
    status = await asyncio.wait_for(conn.read_status(), WAIT_S)
    await stop
    sending.cancel()
    conn.close()
    return status


# A connection counted as idle 0.3 s after the first bytes of a head.
@pytest.mark.parametrize("pause_s", [0.4, 1.0])
async def test_head_in_two_pieces_at_a_stop_is_answered(pause_s):
    pieces = (REQUEST[:20], REQUEST[20:])
    status = await status_of_request_in_pieces_at_a_stop(pieces, pause_s)
    assert status == "HTTP/1.1 503 Service Unavailable"


# A stop closed such connections without an answer.
@pytest.mark.parametrize(("timeout_s", "status"), [(0.5, 408), (20.0, 503)])
@pytest.mark.parametrize("sends_on", [False, True], ids=["silent", "trickling"])
async def test_head_that_a_stop_does_not_wait_for_is_refused(
    timeout_s, status, sends_on, monkeypatch
):
    monkeypatch.setattr(callers, "HEADER_TIMEOUT_S", timeout_s)
    monkeypatch.setattr(shutdown, "FLUSH_TIMEOUT_MS", 1_000)
    ends = range(len(REQUEST)) if sends_on else [0]
    pieces = [REQUEST[n : n + 1] for n in ends]
    line = await status_of_request_in_pieces_at_a_stop(pieces, 0.05)
    assert f" {status} " in line
