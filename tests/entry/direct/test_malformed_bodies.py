"""Tests with callers whose bodies in chunks are malformed."""

import asyncio

import pytest
from support.running_fleet import WAIT_S, raw_request, running_fleet

HEAD = (
    "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Rhubarbwell-Request-Id: r-1\r\n"
    "X-Rhubarbwell-Request-Deadline: 8000\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n"
)
MALFORMED_ENDS = {
    "no size": b"zz\r\n",
    "space after the size": b"5 \r\nabcde\r\n0\r\n\r\n",
    "negative size": b"-1\r\n",
    "size beyond 64 bits": b"FFFFFFFFFFFFFFFFFF\r\n",
    "no line end after a chunk": b"5\r\nabcdeXX",
    "control character": b"5;a=\x01\r\nabcde\r\n0\r\n\r\n",
    "trailer without a name": b"0\r\nbad trailer\r\n\r\n",
    "bare line feeds": b"5\nabcde\n0\n\n",
}


# Guards against callers that wait for their deadline, to be told 408, with a body that
# can never be read.
@pytest.mark.parametrize("end", MALFORMED_ENDS)
async def test_malformed_body_is_rejected_at_once(end):
    async with running_fleet(1) as fleet:
        reader, writer = await raw_request(fleet, HEAD)
        # The request is being handled when the rest arrives.
        async with asyncio.timeout(WAIT_S):
            while fleet.instance.callers.open_requests == 0:
                await asyncio.sleep(0.01)
        writer.write(MALFORMED_ENDS[end])
        answer = await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert answer.count(b"HTTP/1.") == 1
        assert fleet.backends[0].received == []
        assert fleet.instance.callers.open_requests == 0
