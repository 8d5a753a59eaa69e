"""Tests of answers that arrive while the event loop is late for their timeout."""

import asyncio
import time

import aiohappyeyeballs
import pytest
import uvloop
from rhubarbwell_core.model import Address
from rhubarbwell_entry.proxy import relays
from support.entries import RunningEntry, make_configuration
from support.late_loops import BlockingServer, Stall

DEADLINE = {"Rhubarbwell-Deadline-Ms": "1500"}
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


async def request_answered_in_a_stall(method, path):
    """Return the answer to a request, whose deadline falls into a stall of the loop."""
    server, stall = BlockingServer(), Stall()
    async with RunningEntry(make_configuration([server.address])) as entry:
        call = asyncio.create_task(entry.request(method, path, headers=DEADLINE))
        await server.receive()
        await asyncio.sleep(0.2)
        stall.start(1.6, lambda: server.send(HEAD + b"here"))
        try:
            return await call
        finally:
            server.close()


# The deadline of an attempt was checked before an answer that had arrived was read.
@pytest.mark.parametrize(("method", "path"), [("POST", "/book/1"), ("GET", "/page")])
def test_answer_that_arrives_before_a_late_deadline_is_delivered(method, path):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answer = runner.run(request_answered_in_a_stall(method, path))
    assert answer == (200, "answered", "here")


async def requests_sent_after_a_late_connect(monkeypatch):
    """Return how many requests a server gets whose connection opens in a stall."""
    start_connection = aiohappyeyeballs.start_connection
    loop = asyncio.get_running_loop()
    sent = 0

    async def start_and_stall(*args, **options):
        # Two iterations later the connection is being opened.
        loop.call_soon(loop.call_soon, time.sleep, 1.7)
        return await start_connection(*args, **options)

    async def count(reader, writer):
        nonlocal sent
        sent += bool(await reader.read(1))
        writer.close()

    async with await asyncio.start_server(count, "127.0.0.1", 0) as server:
        address = Address(*server.sockets[0].getsockname())
        async with RunningEntry(make_configuration([address])) as entry:
            call = asyncio.create_task(
                entry.request("POST", "/book/1", headers=DEADLINE)
            )
            await asyncio.sleep(0)
            monkeypatch.setattr(aiohappyeyeballs, "start_connection", start_and_stall)
            await call
            await asyncio.sleep(0.1)
    return sent


def test_request_whose_deadline_passes_while_it_connects_is_not_sent(monkeypatch):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(requests_sent_after_a_late_connect(monkeypatch)) == 0


async def request_whose_answer_pauses(pause_s):
    """Return the answer to a request; a stall begins as its second half is sent."""
    server, stall = BlockingServer(), Stall()
    async with RunningEntry(make_configuration([server.address])) as entry:
        call = asyncio.create_task(entry.request("GET", "/page"))
        await server.receive()
        await asyncio.sleep(0.2)
        server.send(HEAD + b"he")
        await asyncio.sleep(pause_s)
        stall.start(1.6, lambda: server.send(b"re"))
        try:
            return await call
        finally:
            server.close()


# The longest pause within an answer was over before its rest, which had arrived, was
# read.
def test_rest_of_an_answer_that_arrives_before_a_late_timeout_is_delivered(monkeypatch):
    monkeypatch.setattr(relays, "PROGRESS_TIMEOUT_MS", 1_500)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answer = runner.run(request_whose_answer_pauses(0.2))
    assert answer == (200, "answered", "here")
