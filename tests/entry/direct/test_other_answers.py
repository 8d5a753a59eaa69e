"""Tests with backend servers that send answers to other requests first."""

import asyncio

import pytest
from support.raw_servers import RawServer, fleet_with_server, read_request
from support.running_fleet import wait_until

HEAD = (
    "HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    "X-Rhubarbwell-Server-Stamp: {id}\r\n"
)
LARGE_BODY = "x" * (300 << 10)
OTHER_ANSWERS = {
    "length": HEAD + "Content-Length: 5\r\n\r\nalien",
    "chunked": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nalien\r\n0\r\n\r\n",
    "trailers": HEAD
    + "Transfer-Encoding: chunked\r\n\r\n5\r\nalien\r\n0\r\nX-A: b\r\n\r\n",
    "no body": HEAD + "Content-Length: 0\r\n\r\n",
    "status without a body": HEAD.replace("200 OK", "204 No Content") + "\r\n",
    "interim answer first": "HTTP/1.1 102 Processing\r\n\r\n"
    + HEAD
    + "Content-Length: 5\r\n\r\nalien",
    "large": HEAD + f"Content-Length: {len(LARGE_BODY)}\r\n\r\n{LARGE_BODY}",
}


class OtherAnswerServer(RawServer):
    """Send `other` before each answer; return the path's last segment as the body."""

    def __init__(self, other, *, other_id="earlier", piece_bytes=1 << 20):
        self.other = other
        self.other_id = other_id
        self.piece_bytes = piece_bytes
        self.requests = 0
        self.connections = 0

    async def handle(self, reader, writer):
        self.connections += 1
        while True:
            path, request_id = await read_request(reader)
            self.requests += 1
            body = path.rsplit("/", 1)[1]
            own = f"{HEAD}Content-Length: {len(body)}\r\n\r\n{body}"
            data = self.other.replace("{id}", self.other_id)
            data = (data + own.replace("{id}", request_id)).encode()
            for start in range(0, len(data), self.piece_bytes):
                writer.write(data[start : start + self.piece_bytes])
                await writer.drain()
                await asyncio.sleep(0)


@pytest.mark.parametrize("variant", OTHER_ANSWERS)
async def test_own_answer_behind_one_to_another_request_is_delivered(variant):
    server = OtherAnswerServer(OTHER_ANSWERS[variant])
    async with fleet_with_server(server) as fleet:
        for path in ("first", "second"):
            resp, body = await fleet.send_request(f"/pay/{path}", "POST")
            assert (resp.status, body) == (200, path.encode())
            assert resp.headers["X-Rhubarbwell-Server-Stamp"] != "earlier"
        assert server.requests == 2
        # A connection with an unexpected answer is not used again.
        assert server.connections == 2


@pytest.mark.parametrize("variant", ["length", "chunked", "trailers", "no body"])
async def test_own_answer_is_found_wherever_the_bytes_are_split(variant):
    server = OtherAnswerServer(OTHER_ANSWERS[variant], piece_bytes=1)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/own", "POST")
        assert (resp.status, body) == (200, b"own")


@pytest.mark.parametrize(
    "other", [OTHER_ANSWERS["length"] * 100, OTHER_ANSWERS["large"] * 5]
)
async def test_many_answers_to_other_requests_end_the_attempt(other):
    server = OtherAnswerServer(other)
    async with fleet_with_server(server, max_answer_bytes=1 << 20) as fleet:
        resp, _ = await fleet.send_request("/pay/own", "POST")
        assert resp.status == 502
        assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
        assert server.requests == 1


async def test_only_answers_to_other_requests_never_reach_the_caller():
    class OnlyOther(OtherAnswerServer):
        async def handle(self, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.other.replace("{id}", self.other_id).encode())
            await writer.drain()

    server = OnlyOther(OTHER_ANSWERS["length"])
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/own", "POST")
        assert resp.status == 502
        assert b"alien" not in body
        assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
        state = fleet.instance.balancer.backends.rows["b-0"]
        await wait_until(lambda: state.failure_share > 0)


# Guards against an exception in the protocol: the parser cannot pause behind an answer
# without a body.
@pytest.mark.parametrize("status", ["200 OK", "204 No Content"])
async def test_bytes_behind_an_answer_without_a_body_are_rejected(status, caplog):
    stray = HEAD.replace("200 OK", status).replace("{id}", "req-1")
    stray += "Content-Length: 0\r\n\r\n" if "200" in status else "\r\n"
    server = OtherAnswerServer(stray)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/own", "POST")
        assert (resp.status, body) == (int(status[:3]), b"")
        resp, _ = await fleet.send_request("/pay/next", "POST")
        assert server.connections == 2
    events = [getattr(record, "event", "") for record in caplog.records]
    assert "bytes_rejected" in events
    assert not [r for r in caplog.records if r.name == "asyncio"]
