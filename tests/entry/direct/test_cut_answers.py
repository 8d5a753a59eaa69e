"""Tests with backend servers whose answers break off and with silent servers."""

import asyncio

import pytest
from support.raw_servers import RawServer, fleet_with_server
from support.running_fleet import running_fleet, wait_until
from support.users_platform import config_body

SIGNED = (
    b"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: req-1\r\n"
    b"X-Rhubarbwell-Server-Stamp: s\r\n"
)
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
# Starts of answers after which the connection ends. An answer without a length may end
# with its connection unless that is reset.
CUT_ANSWERS = {
    "status line": b"HTTP/1.1 20",
    "head": SIGNED,
    "before the body": SIGNED + b"Content-Length: 4\r\n\r\n",
    "body": SIGNED + b"Content-Length: 4\r\n\r\nhal",
    "before the first chunk": CHUNKED,
    "chunk size": CHUNKED + b"4",
    "chunk": CHUNKED + b"4\r\nhal",
    "between chunks": CHUNKED + b"4\r\nhalf\r\n",
    "last chunk": CHUNKED + b"4\r\nhalf\r\n0",
    "trailer": CHUNKED + b"4\r\nhalf\r\n0\r\nX-A",
}


class CuttingServer(RawServer):
    """Send the start of an answer and end the connection by a close or a reset."""

    def __init__(self, start, *, resets):
        self.start_of_answer = start
        self.resets = resets
        self.requests = 0

    async def handle(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.start_of_answer)
        await writer.drain()
        # The instance reads the start before the connection ends.
        await asyncio.sleep(0.02)
        if self.resets:
            writer.transport.abort()


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("place", CUT_ANSWERS)
async def test_answer_that_breaks_off_never_looks_complete(place, resets):
    server = CuttingServer(CUT_ANSWERS[place], resets=resets)
    async with fleet_with_server(server) as fleet:
        resp, body = await fleet.send_request("/pay/x", "POST")
        assert resp.status == 502
        assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
        assert b"hal" not in body
        assert server.requests == 1


# A handler of the stand-in ended in a later test, which found its error in the log.
async def test_stand_in_leaves_no_task_and_no_connection_behind():
    server = CuttingServer(b"", resets=False)
    tasks = asyncio.all_tasks()
    async with server.running():
        reader, writer = await asyncio.open_connection(*server.address)
        await wait_until(lambda: asyncio.all_tasks() > tasks)
    assert asyncio.all_tasks() == tasks
    assert await reader.read() == b""
    writer.close()
    await writer.wait_closed()


@pytest.mark.parametrize("change", ["removed", "draining", "restarted"])
async def test_running_request_outlives_the_registry_entry_of_its_server(change):
    """A server that only reported late keeps its work, which runs once."""
    async with running_fleet(2) as fleet:
        release = asyncio.Event()
        started = []

        def hold_answers(server):
            async def answer_later(request):
                started.append(server)
                await release.wait()
                return server.signed_response(request)

            return answer_later

        for server in fleet.backends:
            server.custom_handler = hold_answers(server)
        await fleet.store.write("op", "config", config_body(2, timeout="20s"))
        await wait_until(lambda: fleet.instance.balancer.config.version == 2)
        deadline = {"X-Rhubarbwell-Request-Deadline": "20000"}
        call = asyncio.create_task(
            fleet.send_request("/pay/x", "POST", b"1", **deadline)
        )
        await wait_until(lambda: started)
        server = started[0]
        key = server.backend_id
        rows = fleet.instance.balancer.backends.rows
        if change == "removed":
            await fleet.store.write("servers", key, None)
            await wait_until(lambda: key not in rows)
        elif change == "draining":
            entry = server.registry_entry(state="draining")
            await fleet.store.write("servers", key, entry)
            await wait_until(lambda: rows.get(key).entry.draining)
        else:
            entry = server.registry_entry(born=2)
            await fleet.store.write("servers", key, entry)
            await wait_until(lambda: rows.get(key).entry.born_ms == 2)
        release.set()
        resp, _ = await call
        assert resp.status == 200
        assert len(started) == 1
