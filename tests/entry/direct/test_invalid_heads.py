"""Tests with servers whose answers begin with bytes that are no head of an answer."""

import asyncio

import pytest
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from support.entries import RunningEntry, make_configuration
from support.raw_servers import RawServer, fleet_with_server
from support.running_fleet import WAIT_S, raw_request

ID_HEADER = "X-Rhubarbwell-Request-Id"
INVALID_LINES = [
    *("HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 99 OK"),
    *("HTTP/1.1 101 Switching Protocols", "HTTP/1.1 2000 OK", "HTTP/1.1 00200 OK"),
    *("HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1  OK"),
    *("HTTP/1.1 abc OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.1 200 OK"),
    *("HTTP 200 OK", "200 OK", "ICY 200 OK", "<html>"),
]
VALID_STATUSES = [200, 299, 404, 418, 599, 600, 999]


class HeadServer(RawServer):
    """Answer with the lines given, the id of the request and a body of two bytes."""

    def __init__(self, lines, id_header):
        self.lines = lines
        self.id_header = id_header
        self.signature = "X-Rhubarbwell-Server-Stamp: s\r\n"
        self.requests = 0
        self.closed_by_caller = 0

    async def handle(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        name = self.id_header.lower()
        (echoed,) = (line for line in head if line.startswith(f"{name}: "))
        self.requests += 1
        writer.write(
            f"{self.lines}\r\n{echoed}\r\n{self.signature}"
            "Content-Length: 2\r\n\r\nok".encode()
        )
        # The request is over; the next bytes are the end of the connection.
        try:
            self.closed_by_caller += not await reader.read(1)
        except ConnectionResetError:
            self.closed_by_caller += 1


# Guards against bytes that are no answer and were passed on: a status of 000 reached
# callers as 0.
@pytest.mark.parametrize("line", INVALID_LINES)
async def test_invalid_head_ends_the_request_as_unknown(line):
    server = HeadServer(line, ID_HEADER)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/x", "POST")
    assert resp.status == 502
    assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
    assert body != b"ok"
    assert server.requests == server.closed_by_caller == 1


@pytest.mark.parametrize("line", INVALID_LINES)
async def test_stand_alone_entry_passes_on_no_invalid_head(line):
    server = HeadServer(line, ATTEMPT_HEADER)
    async with (
        server.running(),
        RunningEntry(make_configuration([server.address])) as entry,
    ):
        status, outcome, text = await entry.request("POST", "/book/1")
    assert (status, outcome) == (502, "unknown")
    assert text != "ok"
    assert server.requests == server.closed_by_caller == 1


@pytest.mark.parametrize("status", VALID_STATUSES)
@pytest.mark.parametrize("interim", [None, 100, 102, 199])
async def test_status_of_three_digits_is_returned_unchanged(status, interim):
    lines = f"HTTP/1.1 {status} Some"
    if interim is not None:
        lines = f"HTTP/1.1 {interim} Interim\r\n\r\n{lines}"
    server = HeadServer(lines, ID_HEADER)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/x", "POST")
    assert (resp.status, body) == (status, b"ok")
    assert resp.headers["X-Rhubarbwell-Server-Stamp"] == "s"


# Guards against answers that were replaced by a 500 of the instance: no header with a
# control character can be written.
@pytest.mark.parametrize("character", ["\x01", "\t\x08", "\x1f", "\x7f"])
async def test_answer_with_a_control_character_in_a_header_is_delivered(character):
    lines = f"HTTP/1.1 200 OK\r\nX-A: a{character}b\r\nX-B: c"
    server = HeadServer(lines, ID_HEADER)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/x", "POST")
    assert (resp.status, body) == (200, b"ok")
    assert resp.headers["X-Rhubarbwell-Server-Stamp"] == "s"
    assert resp.headers["X-B"] == "c"
    assert "X-A" not in resp.headers


@pytest.mark.parametrize("character", ["\x01", "\x7f"])
async def test_stand_alone_entry_delivers_an_answer_with_a_control_character(character):
    lines = f"HTTP/1.1 200 OK\r\nX-A: a{character}b\r\nX-B: c"
    server = HeadServer(lines, ATTEMPT_HEADER)
    async with (
        server.running(),
        RunningEntry(make_configuration([server.address])) as entry,
    ):
        assert await entry.request("POST", "/book/1") == (200, "answered", "ok")


async def test_answer_whose_signature_cannot_be_written_is_not_delivered():
    lines = "HTTP/1.1 200 OK\r\nX-Rhubarbwell-Server-Stamp: a\x01b"
    server = HeadServer(lines, ID_HEADER)
    server.signature = ""
    async with fleet_with_server(server) as fleet:
        resp, _ = await fleet.send_request("/pay/x", "POST")
    assert resp.status == 502


# The instance answers what it cannot pass on; the server does not get it.
@pytest.mark.parametrize("character", ["\x01", "\x08", "\x1f", "\x7f"])
async def test_request_with_a_control_character_in_a_header_is_rejected(character):
    server = HeadServer("HTTP/1.1 200 OK", ID_HEADER)
    async with fleet_with_server(server) as fleet:
        reader, writer = await raw_request(
            fleet,
            "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
            f"X-Rhubarbwell-Request-Id: r-1\r\nX-A: a{character}b\r\n\r\n",
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), WAIT_S)
        writer.close()
    assert head.split(b" ")[1] == b"400"
    assert server.requests == 0
