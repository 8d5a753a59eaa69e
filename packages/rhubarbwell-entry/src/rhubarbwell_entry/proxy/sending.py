"""Send a request to a backend server or a peer and classify the answer."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from rhubarbwell_core.messages import AttemptEnd, AttemptHeadersReceived, KeptAnswer
from rhubarbwell_core.model import Address, Outcome, Reason, host_port
from rhubarbwell_platform.http import SocketTimeout
from yarl import URL

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.proxy.bodies import BodyTooLargeError, CallerGoneError
from rhubarbwell_entry.proxy.connections import (
    AUTOMATIC_HEADERS,
    AttemptError,
    ClientAttempt,
)
from rhubarbwell_entry.proxy.exchanges import Exchange
from rhubarbwell_entry.proxy.framing import has_framing
from rhubarbwell_entry.proxy.headers import (
    ACCOUNT_HEADER,
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    end_to_end_headers,
    is_shed,
)
from rhubarbwell_entry.proxy.peers import HopKeys, PeerHop, add_hop
from rhubarbwell_entry.proxy.relays import ResponseRelay

__all__ = ["Attempt", "AttemptPlan", "HopCredentials"]


class AttemptPlan(NamedTuple):
    """Hold the target and the limits of an attempt.

    The target is a peer if backend_id is None. An attempt not yet sent at
    send_before_ms is dropped; bytes_per_s limits the rate of the body.
    """

    attempt_id: str
    address: Address
    deadline_ms: int
    backend_id: str | None = None
    grant_id: str = ""
    fresh_connection: bool = False
    send_before_ms: int | None = None
    bytes_per_s: int | None = None

    def is_expired(self, now_ms: int) -> bool:
        """Return True if it is too late to send the attempt."""
        return self.send_before_ms is not None and now_ms >= self.send_before_ms


class HopCredentials(NamedTuple):
    """Hold a hop to a peer and the keys that sign it; tls is None for plain HTTP."""

    hop: PeerHop
    keys: HopKeys
    tls: ssl.SSLContext | None


class Attempt:
    """Send a request once and relay its answer to the caller."""

    def __init__(
        self,
        plan: AttemptPlan,
        exchange: Exchange,
        driver: CoreDriver,
        session: aiohttp.ClientSession,
        client_attempt: ClientAttempt,
        hop_credentials: "HopCredentials | None",
    ) -> None:
        self.status: int | None = None
        self.peer_reason: Reason | None = None
        self.answer: KeptAnswer | None = None
        self._plan = plan
        self._exchange = exchange
        self._driver = driver
        self._session = session
        self._client_attempt = client_attempt
        self._hop_credentials = hop_credentials

    @property
    def bytes_sent(self) -> int:
        """Return 0 without a connection, else 1 plus the body bytes read so far.

        With a connection, the target may have received data even before the body.
        """
        if self._client_attempt.connection is None:
            return 0
        return 1 + self._exchange.body.consumed_bytes

    @property
    def connection_was_fresh(self) -> bool:
        """Return True if no connection was reused for the attempt."""
        used = self._client_attempt.connection
        return used is None or used.fresh

    def ended_by_silence(self, end: AttemptEnd) -> bool:
        """Return True if the attempt ended without progress on its connection.

        That is a timeout, or a cancellation after another attempt answered first.
        """
        if end is AttemptEnd.TIMEOUT:
            return True
        other_answered_first = (
            self._exchange.response is not None and self.status is None
        )
        return end is AttemptEnd.CANCELLED and other_answered_first

    async def run(self) -> AttemptEnd:
        """Send the request, relay the answer and return how the attempt ended."""
        is_to_peer = self._plan.backend_id is None
        if is_to_peer and self._hop_credentials is None:
            return AttemptEnd.CONNECT_REFUSED
        try:
            end = await self._send_and_relay()
        except TimeoutError:
            return AttemptEnd.TIMEOUT if self.bytes_sent else AttemptEnd.CONNECT_TIMEOUT
        except AttemptError as exc:
            end = _end_for_error(exc)
        if is_to_peer and end is AttemptEnd.RESET_BEFORE_ANSWER:
            return AttemptEnd.PEER_LOST
        return end

    async def _send_and_relay(self) -> AttemptEnd:
        resp: aiohttp.ClientResponse | None = None
        try:
            async with SocketTimeout(
                self._remaining_ms() / 1_000, is_connected=lambda: self.bytes_sent > 0
            ):
                resp = await self._send()
            return await self._process_response(resp)
        finally:
            if resp is not None:
                resp.close()

    def _remaining_ms(self) -> int:
        return max(self._plan.deadline_ms - self._driver.clock_ms(), 0)

    async def _send(self) -> aiohttp.ClientResponse:
        plan, exchange = self._plan, self._exchange
        path, tls = exchange.path, None
        if self._hop_credentials is not None:
            path = f"/{exchange.arrival.service}{path}"
            tls = self._hop_credentials.tls
        return await self._session.request(
            exchange.request.method,
            _make_url("http" if tls is None else "https", plan.address, path),
            headers=self._request_headers(path),
            data=self._paced_body() if exchange.body.exists else None,
            skip_auto_headers=AUTOMATIC_HEADERS,
            allow_redirects=False,
            ssl=True if tls is None else tls,
            middlewares=(self._client_attempt.send_once,),
        )

    async def _paced_body(self) -> AsyncIterator[bytes]:
        async for chunk in self._exchange.body.chunks():
            yield chunk
            if self._plan.bytes_per_s:
                await asyncio.sleep(len(chunk) / self._plan.bytes_per_s)

    def _request_headers(self, path: str) -> CIMultiDict[str]:
        request = self._exchange.request
        headers = end_to_end_headers(request.headers)
        headers[ATTEMPT_HEADER] = self._plan.attempt_id
        headers[DEADLINE_HEADER] = str(self._remaining_ms())
        account = self._exchange.account
        if account is not None:
            headers[ACCOUNT_HEADER] = account.name
        if self._hop_credentials is not None:
            hop = self._hop_credentials.hop._replace(
                caller=self._exchange.arrival.caller,
                account="" if account is None else account.name,
            )
            add_hop(
                headers,
                hop,
                self._hop_credentials.keys,
                method=request.method,
                path=path,
            )
        return headers

    async def _process_response(self, resp: aiohttp.ClientResponse) -> AttemptEnd:
        self.status = resp.status
        if not self._verify_attempt_id(resp):
            return AttemptEnd.CROSSED
        refusal = self._refusal_end(resp)
        if refusal is not None:
            return refusal
        if not has_framing(resp):
            return AttemptEnd.CUT_SHORT
        event = AttemptHeadersReceived(self._plan.attempt_id, resp.status)
        self._driver.handle(event)
        if self._exchange.response is not None:
            return AttemptEnd.CANCELLED
        relay = ResponseRelay(self._exchange, resp)
        end = await relay.run()
        self.answer = relay.answer
        return end

    def _verify_attempt_id(self, resp: aiohttp.ClientResponse) -> bool:
        """Return True if the answer cannot belong to another attempt.

        An answer that echoes the attempt's id also marks its connection as verified.
        """
        echoed_id = resp.headers.get(ATTEMPT_HEADER)
        if echoed_id == self._plan.attempt_id:
            self._client_attempt.mark_verified()
            return True
        return echoed_id is None and self.connection_was_fresh

    def _refusal_end(self, resp: aiohttp.ClientResponse) -> AttemptEnd | None:
        if self._plan.backend_id is not None:
            idempotent = self._exchange.arrival.idempotent
            shed = is_shed(resp.status, resp.headers, idempotent=idempotent)
            return AttemptEnd.SHED if shed else None
        outcome = resp.headers.get(OUTCOME_HEADER)
        self.peer_reason = _parse_reason(resp.headers.get(REASON_HEADER, ""))
        if outcome == Outcome.NOT_RUN.value:
            return AttemptEnd.PEER_NOT_RUN
        return None if outcome == Outcome.ANSWERED.value else AttemptEnd.PEER_UNKNOWN


def _make_url(scheme: str, address: Address, path: str) -> URL:
    return URL(f"{scheme}://{host_port(address)}{path}", encoded=True)


def _parse_reason(name: str) -> Reason | None:
    try:
        return Reason(name)
    except ValueError:
        return None


def _end_for_error(exc: AttemptError) -> AttemptEnd:
    cause = exc.__cause__
    if isinstance(cause, aiohttp.ConnectionTimeoutError):
        return AttemptEnd.CONNECT_TIMEOUT
    if isinstance(cause, aiohttp.ClientConnectorError):
        return AttemptEnd.CONNECT_REFUSED
    seen: list[BaseException] = []
    while cause is not None and cause not in seen:
        if isinstance(cause, CallerGoneError):
            return AttemptEnd.CALLER_GONE
        if isinstance(cause, BodyTooLargeError):
            return AttemptEnd.BODY_TOO_LARGE
        seen.append(cause)
        cause = cause.__cause__
    return AttemptEnd.RESET_BEFORE_ANSWER
