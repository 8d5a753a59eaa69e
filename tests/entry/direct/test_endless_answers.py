"""Tests with backend servers that send bytes without end."""

import asyncio

import pytest
from support.raw_servers import RawServer, fleet_with_server, read_request
from support.running_fleet import WAIT_S, running_fleet, wait_until
from support.users_platform import config_body

MAX_ANSWER_BYTES = 1 << 20
# What the kernel and the event loop hold beyond what the instance has read.
BUFFERED_BYTES = 8 << 20
FILLER = b"a" * (16 << 10)


class EndlessServer(RawServer):
    """Send a start after each request and then a filler until the caller closes."""

    def __init__(self, start, filler, pause_s=0.0):
        self.start_of_answer = start
        self.filler = filler
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.connections = 0
        self.closed_by_caller = 0

    async def handle(self, reader, writer):
        self.connections += 1
        try:
            request_id = (await read_request(reader)).request_id.encode()
            writer.write(self.start_of_answer.replace(b"{id}", request_id))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            while True:
                writer.write(self.filler.replace(b"{id}", request_id))
                await writer.drain()
                self.sent_bytes += len(self.filler)
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            self.closed_by_caller += 1


SIGNED = (
    b"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    b"X-Rhubarbwell-Server-Stamp: s\r\n"
)
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
COMPLETE = SIGNED + b"Content-Length: 2\r\n\r\nok"

ENDLESS_ANSWERS = {
    "no protocol": (b"", FILLER),
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header name": (SIGNED, FILLER),
    "header value": (SIGNED + b"X-A: ", FILLER),
    "headers": (SIGNED, b"X-A: b\r\n" * 1_000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "body without a length": (SIGNED + b"\r\n", FILLER),
    "chunks": (CHUNKED, b"4000\r\n" + FILLER + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * (16 << 10)),
    "chunk extension": (CHUNKED + b"4;", FILLER),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 1_000),
}


@pytest.mark.parametrize("variant", ENDLESS_ANSWERS)
async def test_endless_answer_ends_early_as_unknown(variant):
    server = EndlessServer(*ENDLESS_ANSWERS[variant])
    async with fleet_with_server(server, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:
        await fleet.store.write("op", "config", config_body(2, timeout="20s"))
        await wait_until(lambda: fleet.instance.balancer.config.version == 2)
        deadline = {"X-Rhubarbwell-Request-Deadline": "20000"}
        resp, _ = await fleet.send_request("/pay/x", "POST", **deadline)
        # Not 504: an answer that cannot be valid ends before the route's timeout.
        assert resp.status == 502
        assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
        await wait_until(lambda: server.closed_by_caller == 1)
        assert server.connections == 1
        assert server.sent_bytes <= MAX_ANSWER_BYTES + BUFFERED_BYTES
        state = fleet.instance.balancer.backends.rows["b-0"]
        assert state.failure_share > 0


@pytest.mark.parametrize(
    "filler", [FILLER, COMPLETE * 200, b"HTTP/1.1 102 Processing\r\n\r\n" * 500]
)
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
async def test_bytes_after_a_complete_answer_close_the_connection(filler, pause_s):
    server = EndlessServer(COMPLETE, filler, pause_s)
    async with fleet_with_server(server, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:
        resp, body = await fleet.send_request("/pay/x", "POST")
        assert (resp.status, body) == (200, b"ok")
        await wait_until(lambda: server.closed_by_caller == 1)
        assert server.sent_bytes <= MAX_ANSWER_BYTES + BUFFERED_BYTES


async def test_late_copy_closes_the_idle_connection_before_it_is_used_again():
    server = EndlessServer(COMPLETE, COMPLETE, 0.1)
    async with fleet_with_server(server, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:
        await fleet.send_request("/pay/x", "POST")
        async with asyncio.timeout(WAIT_S):
            while not server.closed_by_caller:
                await asyncio.sleep(0.01)
        resp, body = await fleet.send_request("/pay/y", "POST")
        assert (resp.status, body) == (200, b"ok")
        assert server.connections == 2


async def test_answer_of_the_maximum_size_is_delivered():
    body = b"x" * (MAX_ANSWER_BYTES - 1_000)
    async with running_fleet(1, max_answer_bytes=MAX_ANSWER_BYTES) as fleet:
        server = fleet.backends[0]

        async def answer(request):
            return server.signed_response(request, body=body)

        server.custom_handler = answer
        for _ in range(3):
            resp, received = await fleet.send_request("/pay/x", "POST")
            assert (resp.status, received == body) == (200, True)
