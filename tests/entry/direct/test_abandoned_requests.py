"""Tests that requests which an instance has given up do not reach a server later.

Bytes that a partition holds up are delivered after it, unless their sender resets the
connection.
"""

import asyncio

import pytest
from support.raw_servers import RawServer, fleet_with_server, read_request
from support.running_fleet import WAIT_S, raw_request, wait_until

CALLER_HEAD = (
    "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
    "X-Rhubarbwell-Request-Id: r-1\r\nX-Rhubarbwell-Request-Deadline: 9000\r\n\r\n"
)
ANSWER_START = (
    "HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    "X-Rhubarbwell-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nhal"
)


class HangingServer(RawServer):
    """Send a start of an answer to a request and record how its connection ends."""

    def __init__(self, start=""):
        self.start_of_answer = start
        self.requests = 0
        self.ends = []

    async def handle(self, reader, writer):
        req = await read_request(reader)
        writer.write(self.start_of_answer.replace("{id}", req.request_id).encode())
        self.requests += 1
        try:
            await reader.read()
            self.ends.append("closed")
        except ConnectionResetError:
            self.ends.append("reset")


@pytest.mark.parametrize("start", ["", ANSWER_START], ids=["silent", "half an answer"])
async def test_connection_of_a_request_without_answer_in_time_is_reset(start):
    server = HangingServer(start)
    async with fleet_with_server(server) as fleet:
        resp, _ = await fleet.send_request("/pay/x", "POST")
        assert resp.status in (502, 504)
        await wait_until(lambda: server.ends)
        assert server.ends == ["reset"]


async def test_connection_of_a_request_whose_caller_left_is_reset():
    server = HangingServer()
    async with fleet_with_server(server) as fleet:
        _, writer = await raw_request(fleet, CALLER_HEAD)
        await wait_until(lambda: server.requests)
        writer.close()
        await wait_until(lambda: server.ends)
        assert server.ends == ["reset"]


async def test_connection_with_a_complete_answer_is_closed_without_reset():
    answer = ANSWER_START.replace("hal", "half done")
    server = HangingServer(
        answer.replace("200 OK\r\n", "200 OK\r\nConnection: close\r\n")
    )
    async with fleet_with_server(server) as fleet, asyncio.timeout(WAIT_S):
        resp, body = await fleet.send_request("/pay/x", "POST")
        assert (resp.status, body) == (200, b"half done")
        await wait_until(lambda: server.ends)
        assert server.ends == ["closed"]
