"""Tests of time limits for opening connections."""

import asyncio
import socket
import time
from contextlib import ExitStack

import aiohappyeyeballs
import aiohttp
import pytest
import uvloop
from rhubarbwell_platform.http import open_session

# Of the connector alone; the session's limit leaves room for the test.
CONNECT_TIMEOUT_S = 0.1
TIMEOUT = aiohttp.ClientTimeout(total=10.0, sock_connect=CONNECT_TIMEOUT_S)


async def answer(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


async def fetch_status(address):
    """Return the status of an answer of a server."""
    async with (
        open_session() as session,
        session.get("http://{}:{}/".format(*address), timeout=TIMEOUT) as resp,
    ):
        return resp.status


async def fetch_in_a_stall(address, monkeypatch):
    """Return a status; the event loop is late by 0.2 s as the connection is opened."""
    start_connection = aiohappyeyeballs.start_connection
    loop = asyncio.get_running_loop()

    async def start_and_stall(*args, **options):
        # Two iterations later the connection is being opened.
        loop.call_soon(loop.call_soon, time.sleep, 2 * CONNECT_TIMEOUT_S)
        return await start_connection(*args, **options)

    monkeypatch.setattr(aiohappyeyeballs, "start_connection", start_and_stall)
    return await fetch_status(address)


async def fetch_from_server_in_a_stall(monkeypatch):
    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        return await fetch_in_a_stall(server.sockets[0].getsockname(), monkeypatch)


# The time to connect was checked before the connection that stood was seen.
def test_connection_that_stands_before_a_late_timeout_is_used(monkeypatch):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(fetch_from_server_in_a_stall(monkeypatch)) == 200


def test_connection_that_was_refused_before_a_late_timeout_is_refused(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        with (
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
            pytest.raises(aiohttp.ClientConnectorError) as caught,
        ):
            runner.run(fetch_in_a_stall(sock.getsockname(), monkeypatch))
    assert isinstance(caught.value.os_error, ConnectionRefusedError)


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_server_that_does_not_answer_is_given_up(loop_factory):
    with ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        # The kernel answers no connection while the queue of the listener is full.
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        with (
            asyncio.Runner(loop_factory=loop_factory) as runner,
            pytest.raises(aiohttp.ConnectionTimeoutError),
        ):
            runner.run(fetch_status(listener.getsockname()))
