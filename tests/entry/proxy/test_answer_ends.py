"""Tests of answers without a length, which end with their connection."""

import asyncio
import socket
import struct
import threading
from contextlib import asynccontextmanager

import aiohttp
import pytest
import uvloop
from aiohttp.client_proto import ResponseHandler
from rhubarbwell_entry.proxy import connections
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_entry.proxy.protocols import AnswerProtocol

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
HEADS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
    b"HTTP/1.0 200 OK\r\n",
]
PART = b"p" * 20_000
# More than the kernel holds for both ends of a connection.
UPLOADS = {"none": b"", "small": bytes(100), "long": bytes(16 << 20)}
SMALL_BUFFER_BYTES = 8 << 10
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Exchange:
    """Send an upload and let the test be the server, which does not read by itself."""

    def __init__(self, session, upload):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self._session = session
        self.attempt = session.connector.start_attempt(idempotent=False)
        self.sending = asyncio.create_task(self._send(upload))

    async def _send(self, upload):
        url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"
        async with self._session.post(
            url,
            data=upload,
            headers={ATTEMPT_HEADER: "1"},
            middlewares=(self.attempt.send_once,),
        ) as resp:
            return await resp.read()

    async def accept(self):
        """Accept the connection once the kernel takes no more of the upload."""
        async with asyncio.timeout(5):
            while self.attempt.connection is None:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        # A loop that comes late runs its timers before the tasks that write.
        for _ in range(20):
            await asyncio.sleep(0)
        self._listener.settimeout(5)
        conn = self._listener.accept()[0]
        self._listener.close()
        return conn


@asynccontextmanager
async def exchange_of(upload):
    async with connections.make_client_session(
        connections.VerifyingConnector()
    ) as session:
        exchange = Exchange(session, upload)
        yield exchange
        exchange.sending.cancel()
        await asyncio.gather(exchange.sending, return_exceptions=True)


async def body_of(exchange):
    """Return the body that the client takes for complete, None if it takes none."""
    async with asyncio.timeout(5):
        try:
            return await exchange.sending
        except (aiohttp.ClientError, connections.AttemptError):
            return None


def read_what_has_arrived(conn):
    """Read the bytes that the kernel holds and return their number."""
    conn.setblocking(False)
    received = 0
    try:
        while data := conn.recv(1 << 20):
            received += len(data)
    except BlockingIOError:
        conn.setblocking(True)
    return received


def read_to_the_end(conn):
    while conn.recv(1 << 20):
        pass
    conn.close()


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()


@pytest.fixture(params=HEADS, ids=["1.1", "1.1-close", "1.0"])
def answer(request):
    return request.param + ATTEMPT_HEADER.encode() + b": 1\r\n\r\n" + PART


def run(loop, coro):
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(coro)


# Guards against a part of an answer that is taken for the whole: the event loop met
# the part and the reset at once and reported an end.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("pause_s", [None, 0.0, 0.002, 0.05])
def test_answer_that_is_reset_is_not_complete(loop, upload, pause_s, answer):
    async def play():
        async with exchange_of(UPLOADS[upload]) as exchange:
            conn = await exchange.accept()
            read_what_has_arrived(conn)
            conn.sendall(answer)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
            reset(conn)
            return await body_of(exchange)

    assert run(loop, play()) is None


# Guards against a part that is taken for the whole: a server that closes its connection
# while the upload is being written resets it, though its end arrives first.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("pause_s", [None, 0.0, 0.002, 0.05])
def test_answer_whose_server_closes_amid_the_upload_is_not_complete(
    loop, pause_s, answer
):
    async def play():
        async with exchange_of(UPLOADS["long"]) as exchange:
            conn = await exchange.accept()
            conn.sendall(answer)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
            # Without unread bytes, the kernel sends the end of the connection.
            read_what_has_arrived(conn)
            conn.close()
            return await body_of(exchange)

    assert run(loop, play()) is None


# Guards against a part that is taken for the whole: nothing was left to be written when
# the client met the end of the connection, so no write failed.
@pytest.mark.parametrize("loop", LOOPS)
def test_upload_whose_last_bytes_meet_a_closed_server_makes_no_answer_complete(
    loop, answer, monkeypatch
):
    def connection_made(self, transport):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        ResponseHandler.connection_made(self, transport)

    async def play(size):
        async with exchange_of(bytes(size)) as exchange:
            conn = await exchange.accept()
            received = read_what_has_arrived(conn)
            conn.sendall(answer)
            conn.close()
            body = await body_of(exchange)
            return body is not None and received < size

    monkeypatch.setattr(AnswerProtocol, "connection_made", connection_made)
    sizes = range(16 << 10, 256 << 10, 8 << 10)
    assert [size for size in sizes if run(loop, play(size))] == []


@pytest.mark.parametrize("loop", LOOPS)
def test_answer_is_not_complete_once_the_client_closes_the_connection(loop, answer):
    async def play():
        async with exchange_of(UPLOADS["small"]) as exchange:
            conn = await exchange.accept()
            conn.sendall(answer)
            await asyncio.sleep(0.05)
            exchange.attempt.connection.protocol.close()
            body = await body_of(exchange)
            conn.close()
            return body

    assert run(loop, play()) is None


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("upload", UPLOADS)
def test_answer_of_a_server_that_reads_the_request_ends_with_its_connection(
    loop, upload, answer
):
    """The server ends its side and reads on; the end is not that of the upload."""

    async def play():
        async with exchange_of(UPLOADS[upload]) as exchange:
            conn = await exchange.accept()
            conn.sendall(answer)
            conn.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
            reading = threading.Thread(target=read_to_the_end, args=(conn,))
            reading.start()
            body = await body_of(exchange)
            await asyncio.to_thread(reading.join)
            return body

    assert run(loop, play()) == PART


@pytest.mark.parametrize("loop", LOOPS)
def test_answer_ends_with_a_connection_that_is_closed_after_the_request(loop, answer):
    async def play():
        async with exchange_of(UPLOADS["small"]) as exchange:
            conn = await exchange.accept()
            read_what_has_arrived(conn)
            conn.sendall(answer)
            conn.close()
            return await body_of(exchange)

    assert run(loop, play()) == PART
