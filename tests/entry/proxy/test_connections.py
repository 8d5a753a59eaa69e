"""Check which connections to backend servers are reused."""

import asyncio
import socket

import pytest
from rhubarbwell_entry.proxy import connections
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_platform.standins import Fault, FaultScript, FaultyBackend
from support.entries import RunningEntry, make_configuration


async def send_sequentially(
    requests, *, echoes=True, fault=Fault.SILENT, after=1 << 30
):
    """Send requests to one server in turn.

    Return the texts of the answers and the number of connections opened.
    """
    server = FaultyBackend(FaultScript(fault, after=after), echoes_attempt=echoes)
    address = await server.start()
    try:
        async with RunningEntry(make_configuration([address])) as entry:
            answers = [await entry.request(*request) for request in requests]
    finally:
        await server.stop()
    return [text for *_, text in answers], server.connections


PAGES = [("GET", f"/page/{n}") for n in range(5)]
BOOKINGS = [("POST", f"/book/{n}") for n in range(5)]


@pytest.mark.parametrize("requests", [PAGES, BOOKINGS])
@pytest.mark.parametrize(("echoes", "opened"), [(True, 1), (False, 5)])
async def test_only_connections_that_echoed_the_attempt_are_reused(
    requests, echoes, opened
):
    texts, connections_opened = await send_sequentially(requests, echoes=echoes)
    assert texts == [" ".join(request) for request in requests]
    assert connections_opened == opened


async def test_old_verification_allows_reuse_for_idempotent_requests_only(monkeypatch):
    monkeypatch.setattr(connections, "MAX_NON_IDEMPOTENT_AGE_S", -1.0)
    assert (await send_sequentially(PAGES))[1] == 1
    assert (await send_sequentially(BOOKINGS))[1] == 5


async def test_connection_with_a_duplicate_answer_is_not_reused():
    texts, opened = await send_sequentially(PAGES, fault=Fault.DOUBLED, after=2)
    assert texts == [" ".join(page) for page in PAGES]
    assert opened == 2


async def test_timeout_retires_the_idle_connections_to_its_server():
    server = FaultyBackend(FaultScript(Fault.SILENT, after=3))
    address = await server.start()
    try:
        async with RunningEntry(make_configuration([address])) as entry:
            await asyncio.gather(*(entry.request(*page) for page in PAGES[:3]))
            opened = server.connections
            headers = {"Rhubarbwell-Deadline-Ms": "250"}
            assert (await entry.request("POST", "/book/1", headers=headers))[0] == 504
            assert server.connections == opened
            assert (await entry.request("GET", "/page/9"))[2] == "GET /page/9"
    finally:
        await server.stop()
    assert server.connections == opened + 1


async def test_no_request_is_sent_twice_by_the_client_library():
    script = FaultScript(Fault.RESET_AFTER_REQUEST, times=100)
    server = FaultyBackend(script)
    address = await server.start()
    try:
        async with RunningEntry(make_configuration([address])) as entry:
            for method, path in (("GET", "/page"), ("PUT", "/clips/1")):
                assert (await entry.request(method, path))[1] == "unknown"
    finally:
        await server.stop()
    assert script.runs == ["GET /page", "PUT /clips/1"]


class BlockingServer:
    """Accept connections and answer on them without the event loop."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"

    def accept(self):
        self._listener.settimeout(1.0)
        return self._listener.accept()[0]

    def close(self):
        self._listener.close()


async def send_and_answer(session, server, conn, attempt_id):
    """Send a request, answer it on `conn`, or a new connection, and return that."""
    headers = {ATTEMPT_HEADER: attempt_id}
    attempt = session.connector.start_attempt(idempotent=False)
    sending = asyncio.create_task(
        session.post(server.url, headers=headers, middlewares=(attempt.send_once,))
    )
    # A reused connection gets the request before this task runs again.
    await asyncio.sleep(0.05)
    conn = conn or server.accept()
    conn.recv(4096)
    conn.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{ATTEMPT_HEADER}: {attempt_id}"
        "\r\n\r\n".encode()
    )
    resp = await sending
    attempt.mark_verified()
    await resp.read()
    attempt.end()
    return conn


# The end of a connection that the loop had not read yet was met by the next request.
@pytest.mark.parametrize("end", ["closed", "written to"])
async def test_pooled_connection_whose_end_is_unread_is_not_reused(end):
    server = BlockingServer()
    connector = connections.VerifyingConnector()
    async with connections.make_client_session(connector) as session:
        first = await send_and_answer(session, server, None, "1")
        if end == "closed":
            first.close()
        else:
            first.sendall(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
        async with asyncio.timeout(5):
            second = await send_and_answer(session, server, None, "2")
        second.close()
        first.close()
    server.close()


# Guards against a loss of what is known of an attempt: the end of one attempt removed
# the record of another one with the same id.
async def test_end_of_an_attempt_leaves_another_one_with_its_id():
    server = BlockingServer()
    connector = connections.VerifyingConnector()
    headers = {ATTEMPT_HEADER: "same"}
    async with connections.make_client_session(connector) as session:
        attempts = [connector.start_attempt(idempotent=True) for _ in range(2)]
        sending = [
            asyncio.create_task(
                session.get(
                    server.url, headers=headers, middlewares=(attempt.send_once,)
                )
            )
            for attempt in attempts
        ]
        async with asyncio.timeout(5):
            while not all(attempt.connection for attempt in attempts):
                await asyncio.sleep(0.01)
        ended, other = attempts
        ended.end()
        assert ended.connection is None
        assert other.connection is not None
        other.mark_verified()
        assert other.connection.protocol.is_connected()
        assert other.skipped_answers == 0
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
    server.close()
