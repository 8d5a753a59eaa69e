"""Connections to backend servers that are fresh or have proven themselves."""

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple
from weakref import WeakKeyDictionary, WeakSet

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.model import Address

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER

__all__ = [
    "AUTOMATIC_HEADERS",
    "AttemptConnection",
    "AttemptError",
    "VerifyingConnector",
    "make_client_session",
    "send_once",
]

# Headers that aiohttp adds by itself and that a forwarded request must not gain.
AUTOMATIC_HEADERS = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
    hdrs.USER_AGENT,
)
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
MAX_NON_IDEMPOTENT_IDLE_S = 2.0
MAX_HEADER_BYTES = 16 << 10
MS_PER_S = 1_000


class AttemptError(RhubarbwellError):
    """Tell that a connection failed under an attempt; cause holds why."""


class AttemptConnection(NamedTuple):
    """Tell which connection an attempt got; fresh means newly opened.

    connect_ms is the time that it took to open or to find.
    """

    protocol: ResponseHandler
    address: Address
    fresh: bool
    connect_ms: float = 0.0


class VerifyingConnector(aiohttp.TCPConnector):
    """Reuse a connection only after its last answer proved whose it was.

    An answer proves its connection by naming its attempt. Connections without a
    proof, with unread bytes or idle beyond an attempt's limit are closed, so
    that a late or doubled answer meets no other request.
    """

    def __init__(self, *, attempt_header: str = ATTEMPT_HEADER) -> None:
        super().__init__(limit=0, keepalive_timeout=KEEPALIVE_S)
        self._attempt_header = attempt_header
        self._opened = WeakSet[ResponseHandler]()
        self._verifications = WeakKeyDictionary[ResponseHandler, _Verification]()
        self._last_attempt_ids = WeakKeyDictionary[ResponseHandler, str]()
        self._max_idle_by_attempt_s: dict[str, float] = {}
        self._attempt_connections: dict[str, AttemptConnection] = {}
        self._closed_futures = WeakKeyDictionary[
            ResponseHandler, asyncio.Future[None]
        ]()

    def set_reuse_limit(
        self, attempt_id: str, *, idempotent: bool, fresh: bool
    ) -> None:
        """Set which connections an attempt may use before it is sent."""
        max_idle_s = KEEPALIVE_S if idempotent else MAX_NON_IDEMPOTENT_IDLE_S
        self._max_idle_by_attempt_s[attempt_id] = 0.0 if fresh else max_idle_s

    def connection_of(self, attempt_id: str) -> AttemptConnection | None:
        """Return the connection that the attempt was sent on, None before."""
        return self._attempt_connections.get(attempt_id)

    def mark_verified(self, attempt_id: str) -> None:
        """Let the attempt's connection be used again."""
        used = self._attempt_connections[attempt_id]
        self._verifications[used.protocol] = _Verification(
            used.address, time.monotonic()
        )

    @property
    def open_connection_count(self) -> int:
        """Return how many connections have been opened and still exist."""
        return len(self._opened)

    def was_reset(self, attempt_id: str) -> bool:
        """Tell whether the attempt's connection ended by a reset."""
        used = self._attempt_connections.get(attempt_id)
        closed_future = (
            None if used is None else self._closed_futures.get(used.protocol)
        )
        return (
            closed_future is not None
            and closed_future.done()
            and _closing_error(closed_future) is not None
        )

    def forget(self, attempt_id: str) -> None:
        """Forget an attempt that has ended."""
        self._max_idle_by_attempt_s.pop(attempt_id, None)
        self._attempt_connections.pop(attempt_id, None)

    def retire(self, address: Address) -> int:
        """Use no idle connection to the address again; return how many there were."""
        verified_protocols = [
            protocol
            for protocol, verification in self._verifications.items()
            if verification.address == address
        ]
        for protocol in verified_protocols:
            del self._verifications[protocol]
        return len(verified_protocols)

    async def connect(
        self, req: "ClientRequest", traces: list["Trace"], timeout: "ClientTimeout"
    ) -> "Connection":
        """Return a proven connection of the allowed age, else a fresh one."""
        attempt_id = req.headers[self._attempt_header]
        max_idle_s = self._max_idle_by_attempt_s[attempt_id]
        unverified: list[Connection] = []
        try:
            while True:
                started_s = time.monotonic()
                conn = await super().connect(req, traces, timeout)
                protocol = conn.protocol
                assert protocol is not None
                fresh = protocol not in self._opened
                if fresh or self._claim_if_reusable(protocol, max_idle_s):
                    break
                if self._awaits_verification(protocol):
                    unverified.append(conn)
                else:
                    conn.close()
        finally:
            for other in unverified:
                other.release()
        self._opened.add(protocol)
        if fresh and (closed_future := protocol.closed) is not None:
            # A failure that nobody asks for is no error of the program.
            closed_future.add_done_callback(_closing_error)
            self._closed_futures[protocol] = closed_future
        address = Address(req.url.host or "", req.url.port or 0)
        connect_ms = (time.monotonic() - started_s) * MS_PER_S
        self._attempt_connections[attempt_id] = AttemptConnection(
            protocol, address, fresh, connect_ms
        )
        self._last_attempt_ids[protocol] = attempt_id
        return conn

    def _awaits_verification(self, protocol: ResponseHandler) -> bool:
        """Tell whether an attempt has yet to accept the connection's last answer."""
        attempt_id = self._last_attempt_ids.get(protocol)
        return (
            attempt_id in self._attempt_connections
            and protocol not in self._verifications
        )

    def _claim_if_reusable(self, protocol: ResponseHandler, max_idle_s: float) -> bool:
        verification = self._verifications.pop(protocol, None)
        if verification is None or protocol.should_close:
            return False
        return time.monotonic() - verification.verified_at_s <= max_idle_s


def _closing_error(closed_future: asyncio.Future[None]) -> BaseException | None:
    return None if closed_future.cancelled() else closed_future.exception()


class _Verification(NamedTuple):
    address: Address
    verified_at_s: float


def make_client_session(
    connector: VerifyingConnector, *, connect_timeout_s: float = CONNECT_TIMEOUT_S
) -> aiohttp.ClientSession:
    """Return a session that keeps no cookies and adds nothing to answers."""
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request on one connection; raise AttemptError where it fails.

    As a client middleware it keeps the session from repeating requests by method.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientError, OSError) as exc:
        raise AttemptError(str(exc)) from exc
