import asyncio
import errno
import socket

import pytest
import uvloop
from aiohttp import web
from rhubarbwell_core.model import Address
from rhubarbwell_entry.listeners import (
    Listener,
    accept_established,
    has_unread_bytes,
    open_listening_sockets,
)

WAIT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def answer(request):
    return web.Response(text="served")


@pytest.fixture
async def listener():
    app = web.Application()
    app.router.add_get("/", answer)
    (sock,) = open_listening_sockets(Address("127.0.0.1", 0))
    running = Listener(web.AppRunner(app, shutdown_timeout=0.2), sock)
    await running.start()
    yield running
    await running.stop()


async def test_connections_not_accepted_yet_are_served(listener):
    # The kernel establishes them; the event loop does not run meanwhile.
    conns = [socket.create_connection(listener.address) for _ in range(20)]
    for n, conn in enumerate(conns):
        conn.setblocking(False)
        if n % 2:
            conn.send(REQUEST)
    await listener.stop_accepting()
    loop = asyncio.get_running_loop()
    for n, conn in enumerate(conns):
        if not n % 2:
            conn.send(REQUEST)
        async with asyncio.timeout(WAIT_S):
            assert (await loop.sock_recv(conn, 100)).startswith(b"HTTP/1.1 200")
        conn.close()


async def test_no_connection_is_accepted_later(listener):
    address = listener.address
    await listener.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    await listener.stop_accepting()


class FullSocket:
    """Accept some connections until no descriptors are left."""

    def __init__(self, *results):
        self.results = list(results)

    def accept(self):
        result = self.results.pop(0)
        if isinstance(result, OSError):
            raise result
        return result, ("127.0.0.1", 1)


def test_connections_that_cannot_be_accepted_do_not_stop_the_shutdown():
    ours, theirs = socket.socketpair()
    left = ConnectionAbortedError(errno.ECONNABORTED, "caller left")
    full = OSError(errno.EMFILE, "too many open files")
    assert accept_established(FullSocket(left, ours, full)) == [ours]
    ours.close()
    theirs.close()


async def unread_bytes_seen(do, *, close=False):
    """Return whether unread bytes are seen after `do` with the other end's socket."""
    ours, theirs = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=ours
    )
    with theirs:
        do(theirs)
        if close:
            transport.abort()
            await asyncio.sleep(0.05)
        seen = has_unread_bytes(transport)
        transport.abort()
        await asyncio.sleep(0)
        return seen


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
@pytest.mark.parametrize(
    ("do", "close", "expected"),
    [
        (lambda sock: None, False, False),
        (lambda sock: sock.send(b"x"), False, True),
        (lambda sock: sock.shutdown(socket.SHUT_WR), False, True),
        (lambda sock: sock.send(b"x"), True, False),
    ],
    ids=["nothing sent", "sent", "ended", "closed here"],
)
def test_unread_bytes_are_seen_before_the_event_loop_reads_them(
    loop_factory, do, close, expected
):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(unread_bytes_seen(do, close=close)) is expected


def test_connection_without_a_transport_has_no_unread_bytes():
    assert not has_unread_bytes(None)


# A listener that is opened before another one fails resets whom it has accepted.
def test_sockets_listen_on_all_addresses_or_none():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            free = Address(*sock.getsockname())
        held = Address(*taken.getsockname())
        with pytest.raises(OSError, match=f"127.0.0.1:{held.port}"):
            open_listening_sockets(free, held)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(free)
