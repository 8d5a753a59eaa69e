"""Reuse connections to backend servers only after a verified answer."""

import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, cast
from weakref import WeakKeyDictionary, WeakSet

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.model import Address
from rhubarbwell_platform.http import PolledConnector

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

from rhubarbwell_entry.clocks import monotonic_ms
from rhubarbwell_entry.listeners import has_unread_bytes
from rhubarbwell_entry.memory import AnswerLease
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_entry.proxy.protocols import (
    AnswerProtocol,
    ExpectedAnswer,
    IdleLostListener,
)

__all__ = [
    "AUTOMATIC_HEADERS",
    "AttemptConnection",
    "AttemptError",
    "ClientAttempt",
    "VerifyingConnector",
    "make_client_session",
]

# aiohttp adds these headers by default; a forwarded request must not gain them.
AUTOMATIC_HEADERS = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
    hdrs.USER_AGENT,
)
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
# Non-idempotent requests reuse only connections verified at most this long ago.
MAX_NON_IDEMPOTENT_AGE_S = 2.0
MAX_HEADER_BYTES = 16 << 10
# Bounds what is kept of a connection; a late copy comes within some answers.
MAX_RECENT_IDS = 64
MS_PER_S = 1_000


class AttemptError(RhubarbwellError):
    """Report that an attempt's connection failed; __cause__ holds the client error."""


class AttemptConnection(NamedTuple):
    """Hold the connection assigned to an attempt; fresh means newly opened.

    connect_ms is the time taken to open the connection or to take it from the pool;
    opened_ms is the time at which it was opened.
    """

    protocol: AnswerProtocol
    address: Address
    fresh: bool
    connect_ms: float = 0.0
    opened_ms: int = 0


class ClientAttempt:
    """Hold what a connector knows of an attempt, and send its request once.

    Several attempts may bear the same id, as callers choose the ids of requests.
    connection is None before the attempt has one and after its end. lease holds the
    memory of its answer, if that is limited.
    """

    def __init__(
        self,
        connector: "VerifyingConnector",
        max_age_s: float,
        lease: AnswerLease | None,
    ) -> None:
        self.lease = lease
        self.connection: AttemptConnection | None = None
        self.max_age_s = max_age_s
        self._connector = connector

    @property
    def skipped_answers(self) -> int:
        """Return how many answers to other requests the attempt has received."""
        used = self.connection
        return 0 if used is None else used.protocol.skipped_answers

    def mark_verified(self) -> None:
        """Allow further attempts to reuse the attempt's connection."""
        assert self.connection is not None
        self._connector.mark_verified(self.connection)

    def end(self) -> None:
        """Release the attempt's connection."""
        self.connection = None

    async def send_once(
        self, req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send a request on one connection; raise AttemptError if it fails.

        Used as a client middleware. aiohttp repeats idempotent requests after a
        connection error; AttemptError is not such an error and prevents that.
        """
        self._connector.assign(req, self)
        try:
            return await handler(req)
        except (aiohttp.ClientError, OSError) as exc:
            raise AttemptError(str(exc)) from exc


class VerifyingConnector(PolledConnector):
    """Reuse a connection only if its last answer echoed the id of its attempt.

    Connections that were not verified in this way, were verified longer ago than
    the attempt allows or have unread bytes are closed. A late or duplicate answer
    therefore never reaches another request. Further attempts of a request use
    connections without an earlier one, as a late copy of its answer names them too.
    max_answer_bytes limits the size of an
    answer; None is for answers that are not held in memory.
    """

    def __init__(
        self,
        *,
        attempt_header: str = ATTEMPT_HEADER,
        max_answer_bytes: int | None = None,
        on_idle_lost: IdleLostListener | None = None,
        clock_ms: Callable[[], int] = monotonic_ms,
    ) -> None:
        super().__init__(limit=0, keepalive_timeout=KEEPALIVE_S)
        # aiohttp has no parameter for the class of its client protocol.
        self._factory = cast(
            "partial[ResponseHandler]",
            partial(AnswerProtocol, loop=self._loop, on_idle_lost=on_idle_lost),
        )
        self._clock_ms = clock_ms
        self._attempt_header = attempt_header
        self._max_answer_bytes = max_answer_bytes
        self._opened = WeakSet[ResponseHandler]()
        self._verifications = WeakKeyDictionary[ResponseHandler, _Verification]()
        self._recent_ids = WeakKeyDictionary[ResponseHandler, deque[str]]()
        self._last_attempts = WeakKeyDictionary[ResponseHandler, ClientAttempt]()
        self._attempts = WeakKeyDictionary[aiohttp.ClientRequest, ClientAttempt]()

    def start_attempt(
        self,
        *,
        idempotent: bool,
        fresh: bool = False,
        lease: AnswerLease | None = None,
    ) -> ClientAttempt:
        """Return a new attempt; fresh allows it only a new connection."""
        max_age_s = KEEPALIVE_S if idempotent else MAX_NON_IDEMPOTENT_AGE_S
        return ClientAttempt(self, 0.0 if fresh else max_age_s, lease)

    def assign(self, req: aiohttp.ClientRequest, attempt: ClientAttempt) -> None:
        """Record of which attempt a request of the client is."""
        self._attempts[req] = attempt

    def mark_verified(self, used: AttemptConnection) -> None:
        """Allow further attempts to reuse an attempt's connection."""
        self._verifications[used.protocol] = _Verification(
            used.address, time.monotonic()
        )

    @property
    def open_connection_count(self) -> int:
        """Return the number of opened connections that still exist."""
        return len(self._opened)

    def oldest_open_ms(self, address: Address) -> int | None:
        """Return when the oldest open connection to an address was opened, if any."""
        opened = [
            protocol.opened_ms
            for protocol in self._opened
            if isinstance(protocol, AnswerProtocol)
            and protocol.address == address
            and protocol.is_connected()
        ]
        return min(opened, default=None)

    def retire(self, address: Address) -> int:
        """Bar verified connections to the address from reuse; return their number."""
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
        """Return a recently verified connection, else a new connection."""
        attempt_id = req.headers[self._attempt_header]
        attempt = self._attempts[req]
        awaiting_verification: list[Connection] = []
        try:
            while True:
                started_s = time.monotonic()
                conn = await super().connect(req, traces, timeout)
                protocol = conn.protocol
                assert protocol is not None
                fresh = protocol not in self._opened
                if fresh or self._claim_if_reusable(
                    protocol, attempt_id, attempt.max_age_s
                ):
                    break
                if self._awaits_verification(protocol):
                    awaiting_verification.append(conn)
                else:
                    conn.close()
        finally:
            for other in awaiting_verification:
                other.release()
        assert isinstance(protocol, AnswerProtocol)
        address = Address(req.url.host or "", req.url.port or 0)
        if fresh:
            protocol.address, protocol.opened_ms = address, self._clock_ms()
        self._opened.add(protocol)
        connect_ms = (time.monotonic() - started_s) * MS_PER_S
        attempt.connection = AttemptConnection(
            protocol, address, fresh, connect_ms, protocol.opened_ms
        )
        self._last_attempts[protocol] = attempt
        recent_ids = self._recent_ids.setdefault(protocol, deque(maxlen=MAX_RECENT_IDS))
        recent_ids.append(attempt_id)
        protocol.expect_answer(
            ExpectedAnswer(
                self._attempt_header, attempt_id, self._max_answer_bytes, attempt.lease
            )
        )
        conn.add_callback(protocol.mark_idle)
        return conn

    def _awaits_verification(self, protocol: ResponseHandler) -> bool:
        """Return True if the last attempt may still verify the connection."""
        attempt = self._last_attempts.get(protocol)
        return (
            attempt is not None
            and attempt.connection is not None
            and protocol not in self._verifications
        )

    def _claim_if_reusable(
        self, protocol: ResponseHandler, attempt_id: str, max_age_s: float
    ) -> bool:
        verification = self._verifications.pop(protocol, None)
        if verification is None or protocol.should_close:
            return False
        if attempt_id in self._recent_ids.get(protocol, ()):
            return False
        if has_unread_bytes(protocol.transport):
            return False
        return time.monotonic() - verification.verified_at_s <= max_age_s


class _Verification(NamedTuple):
    address: Address
    verified_at_s: float


def make_client_session(
    connector: VerifyingConnector, *, connect_timeout_s: float = CONNECT_TIMEOUT_S
) -> aiohttp.ClientSession:
    """Return a session that stores no cookies and does not decode bodies."""
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
