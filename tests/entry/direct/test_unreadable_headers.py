"""Tests of headers that cannot be read, of answers and of requests."""

import asyncio

import pytest
from support.running_fleet import WAIT_S, raw_request, running_fleet


# Callers got 500 for unsafe requests that had run.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Rhubarbwell-Server-Load", "1,\u00b2,3"),
        ("X-Rhubarbwell-Server-Load", "9" * 5_000 + ",1,3"),
        ("X-Rhubarbwell-Cold-Remaining", "9" * 400),
        ("X-Rhubarbwell-Cold-Remaining", "9" * 400 + "s"),
        ("Server-Limit", "\u00b2"),
        ("Server-Leaving", "\ud800\u00b2"),
        ("Retry-After", "9" * 400),
    ],
)
async def test_answer_with_an_unreadable_header_is_delivered(name, value):
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        server.extra_headers[name] = value
        resp, body = await fleet.send_request("/pay/x", "POST", data=b"once")
        assert (resp.status, body) == (200, b"echo:once")
        assert len(server.received) == 1


# Callers got 500 if their object's key was no UTF-8.
@pytest.mark.parametrize("key", [b"\xff\xfe", b"\xed\xa0\x80", b'"a b"; =; ;;', b""])
async def test_request_with_an_object_key_of_any_bytes_is_served(key):
    async with running_fleet(2) as fleet:
        reader, writer = await raw_request(
            fleet,
            "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
            "Connection: close\r\nX-Rhubarbwell-Request-Id: r-1\r\n",
            b"Cookie: X-Rhubarbwell-Affinity-Key=" + key + b"\r\n\r\n",
        )
        answer = await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200 ")
