"""Tests of answers whose additional headers cannot be read."""

import pytest
from support.running_fleet import running_fleet


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
