"""Open listening sockets and serve HTTP on them."""

import asyncio
import contextlib
import logging
import os
import select
import socket
import ssl
from collections.abc import Iterator
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_core.model import Address, host_port

from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.settings import TlsSettings

__all__ = [
    "LISTEN_BACKLOG",
    "Listener",
    "TlsContexts",
    "accept_established",
    "bound_address",
    "end_connection",
    "has_ended_there",
    "has_unread_bytes",
    "open_listening_sockets",
    "peer_tls_context",
    "tls_context",
]

_log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1_024
# Time for the TLS handshake of a connection that is accepted as its listener closes.
HANDSHAKE_TIMEOUT_S = 5.0


def open_listening_sockets(*addresses: Address) -> list[socket.socket]:
    """Return non-blocking sockets that listen on all addresses, in their order.

    Raises OSError if one of them cannot be had; then the last one has accepted no
    connection.
    """
    socks: list[socket.socket] = []
    try:
        # Two sockets may be bound to one address until one of them listens.
        for address in addresses:
            socks.append(_bind_socket(address))
        for sock, address in zip(socks, addresses, strict=True):
            with _named_errors(address):
                sock.listen(LISTEN_BACKLOG)
    except OSError:
        for sock in socks:
            sock.close()
        raise
    return socks


def _bind_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        with _named_errors(address):
            sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


@contextlib.contextmanager
def _named_errors(address: Address) -> Iterator[None]:
    try:
        yield
    except OSError as exc:
        raise OSError(exc.errno, f"{host_port(address)}: {exc.strerror}") from exc


def bound_address(sock: socket.socket) -> Address:
    """Return the address that the socket is bound to."""
    host, port = sock.getsockname()[:2]
    return Address(host, port)


def accept_established(sock: socket.socket) -> list[socket.socket]:
    """Return the connections that wait in the queue of a listening socket.

    Closing the listening socket would reset them. If one cannot be accepted, for
    example for want of descriptors, it and those behind it are left out.
    """
    accepted: list[socket.socket] = []
    while True:
        try:
            conn, _ = sock.accept()
        except BlockingIOError:
            return accepted
        except ConnectionAbortedError:
            continue
        except OSError as exc:
            _log_lost_connection(exc)
            return accepted
        conn.setblocking(False)
        accepted.append(conn)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Return True if the kernel holds bytes of a connection, or its end, unread.

    An event loop that comes late runs its due timers before it reads its sockets. For
    a transport that is closed or has no socket, False is returned.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended_there(transport: asyncio.BaseTransport | None) -> bool:
    """Return True if the other end has closed a connection, read or not.

    A transport that is paused does not notice it.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def end_connection(transport: asyncio.Transport) -> None:
    """Close a connection on which nothing is left to be written.

    The other end learns of it at once. A transport's close takes effect an iteration
    of the event loop later, and what arrives meanwhile would be lost.
    """
    sock = transport.get_extra_info("socket")
    is_encrypted = transport.get_extra_info("sslcontext") is not None
    # With TLS, the end of the connection is a message of its own.
    if sock is not None and sock.fileno() >= 0 and not is_encrypted:
        with (
            contextlib.suppress(OSError),
            socket.socket(fileno=os.dup(sock.fileno())) as same,
        ):
            same.shutdown(socket.SHUT_WR)
    transport.close()


def tls_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return a server's TLS context, None without settings.

    Raises OSError for unreadable files.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


def peer_tls_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context for requests to peers, None without settings.

    Peers' certificates are verified against this instance's own certificate file and
    the system's CA certificates. Peers are reached by IP address, so host names are
    not compared. Raises OSError for an unreadable file.
    """
    if settings is None:
        return None
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_flags |= ssl.VERIFY_X509_PARTIAL_CHAIN
    context.load_verify_locations(settings.certificate)
    return context


class TlsContexts(NamedTuple):
    """Hold the contexts of listeners and of requests to peers, None without TLS."""

    server: ssl.SSLContext | None
    peers: ssl.SSLContext | None

    @classmethod
    def load(cls, settings: TlsSettings | None) -> "TlsContexts":
        """Return the contexts of settings; raise OSError for unreadable files."""
        return cls(tls_context(settings), peer_tls_context(settings))


class Listener:
    """Serve the application of a runner on a listening socket."""

    def __init__(
        self,
        runner: web.AppRunner,
        sock: socket.socket,
        *,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._runner = runner
        self._sock = sock
        self._tls = tls
        self._site: web.SockSite | None = None

    @property
    def address(self) -> Address:
        """Return the address that the socket is bound to."""
        return bound_address(self._sock)

    async def start(self) -> None:
        """Start accepting connections."""
        await self._runner.setup()
        self._site = web.SockSite(
            self._runner, self._sock, ssl_context=self._tls, backlog=LISTEN_BACKLOG
        )
        await self._site.start()

    async def stop_accepting(self) -> None:
        """Accept the established connections, then close the listening socket."""
        if self._site is None:
            return
        accepted = accept_established(self._sock)
        await self._site.stop()
        self._site = None
        await asyncio.gather(*map(self._serve_accepted, accepted))

    async def _serve_accepted(self, sock: socket.socket) -> None:
        server = self._runner.server
        assert server is not None
        limits = {"ssl_handshake_timeout": HANDSHAKE_TIMEOUT_S} if self._tls else {}
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                server, sock, ssl=self._tls, **limits
            )
        except OSError as exc:
            # The caller may have left, or its TLS handshake failed.
            _log_lost_connection(exc)

    async def stop(self) -> None:
        """Close the socket and every connection."""
        await self._runner.cleanup()
        self._sock.close()


def _log_lost_connection(exc: OSError) -> None:
    log_event(
        _log,
        logging.WARNING,
        "connection_not_accepted",
        "a connection that waited while its listener closed could not be served",
        error=str(exc) or type(exc).__name__,
    )
