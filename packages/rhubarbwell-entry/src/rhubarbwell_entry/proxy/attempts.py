"""Attempts: requests sent to backend servers with bodies streamed both ways."""

import asyncio
import logging

import aiohttp
from aiohttp import hdrs, web
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptHeadersReceived,
    CancelAttempt,
    SendAttempt,
)
from rhubarbwell_core.model import Outcome
from yarl import URL

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.proxy.bodies import BodyTooLargeError, CallerGoneError
from rhubarbwell_entry.proxy.connections import (
    AttemptError,
    ProvenConnector,
    make_client_session,
    send_once,
)
from rhubarbwell_entry.proxy.exchanges import Exchange, ExchangeTable
from rhubarbwell_entry.proxy.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    end_to_end_headers,
    is_shed,
)

__all__ = ["AttemptSender"]

_log = logging.getLogger(__name__)

PROGRESS_TIMEOUT_MS = 15_000
NO_BODY_STATUSES = frozenset({204, 304})


class AttemptSender:
    """Carry out the attempts that the core decides on."""

    def __init__(self, driver: CoreDriver, exchanges: ExchangeTable) -> None:
        self._driver = driver
        self._exchanges = exchanges
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._connector = ProvenConnector()
        self._session = make_client_session(self._connector)
        driver.register(SendAttempt, self.send)
        driver.register(CancelAttempt, self.cancel)

    def send(self, action: SendAttempt) -> None:
        """Start an attempt."""
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            return
        task = asyncio.create_task(self._run(action, exchange))
        self._tasks[action.attempt_id] = task

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel a running attempt, its backend server's part included."""
        task = self._tasks.get(action.attempt_id)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel what runs and close every connection."""
        for task in list(self._tasks.values()):
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._session.close()

    async def _run(self, action: SendAttempt, exchange: Exchange) -> None:
        started_ms = self._driver.clock_ms()
        attempt = _Attempt(
            action, exchange, self._driver, self._session, self._connector
        )
        try:
            end = await attempt.run()
        except asyncio.CancelledError:
            end = AttemptEnd.CANCELLED
        except Exception:
            _log.exception("attempt %s failed unexpectedly", action.attempt_id)
            end = AttemptEnd.RESET_BEFORE_ANSWER
        self._tasks.pop(action.attempt_id, None)
        event = AttemptEnded(
            action.attempt_id,
            end,
            attempt.bytes_sent,
            self._driver.clock_ms() - started_ms,
            attempt.status,
            attempt.connection_was_fresh,
            exchange.body.replayable and not attempt.answering,
        )
        self._connector.forget(action.attempt_id)
        self._driver.handle(event)


class _Attempt:
    def __init__(
        self,
        action: SendAttempt,
        exchange: Exchange,
        driver: CoreDriver,
        session: aiohttp.ClientSession,
        connector: ProvenConnector,
    ) -> None:
        self.status: int | None = None
        self.answering = False
        self._action = action
        self._exchange = exchange
        self._driver = driver
        self._session = session
        self._connector = connector

    @property
    def bytes_sent(self) -> int:
        if self._connector.connection_of(self._action.attempt_id) is None:
            return 0
        return 1 + self._exchange.body.consumed_bytes

    @property
    def connection_was_fresh(self) -> bool:
        used = self._connector.connection_of(self._action.attempt_id)
        return used is None or used.fresh

    async def run(self) -> AttemptEnd:
        resp: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(self._remaining_ms() / 1_000):
                resp = await self._send()
            return await self._take_answer(resp)
        except TimeoutError:
            self._retire_connections()
            return AttemptEnd.TIMEOUT if self.bytes_sent else AttemptEnd.CONNECT_TIMEOUT
        except AttemptError as exc:
            return self._end_of_failure(exc)
        finally:
            if resp is not None:
                resp.close()

    def _remaining_ms(self) -> int:
        return max(self._action.deadline_ms - self._driver.clock_ms(), 0)

    async def _send(self) -> aiohttp.ClientResponse:
        action, exchange = self._action, self._exchange
        headers = end_to_end_headers(exchange.request.headers)
        headers[ATTEMPT_HEADER] = action.attempt_id
        headers[DEADLINE_HEADER] = str(self._remaining_ms())
        self._connector.expect(
            action.attempt_id,
            idempotent=exchange.arrived.idempotent,
            fresh=action.fresh_connection,
        )
        host, port = action.target.address
        return await self._session.request(
            exchange.request.method,
            URL(f"http://{host}:{port}{exchange.path}", encoded=True),
            headers=headers,
            data=exchange.body.chunks() if exchange.body.exists else None,
            skip_auto_headers=(
                hdrs.USER_AGENT,
                hdrs.ACCEPT,
                hdrs.ACCEPT_ENCODING,
                hdrs.CONTENT_TYPE,
            ),
            allow_redirects=False,
            middlewares=(send_once,),
        )

    async def _take_answer(self, resp: aiohttp.ClientResponse) -> AttemptEnd:
        self.status = resp.status
        idempotent = self._exchange.arrived.idempotent
        if not self._is_own_answer(resp):
            return AttemptEnd.CROSSED
        if is_shed(resp.status, resp.headers, idempotent=idempotent):
            return AttemptEnd.SHED
        if not _has_framing(resp):
            return AttemptEnd.CUT_SHORT
        action = self._action
        self._driver.handle(AttemptHeadersReceived(action.attempt_id, resp.status))
        if self._exchange.answering:
            return AttemptEnd.CANCELLED
        return await self._relay(resp)

    def _is_own_answer(self, resp: aiohttp.ClientResponse) -> bool:
        echoed = resp.headers.get(ATTEMPT_HEADER)
        if echoed == self._action.attempt_id:
            self._connector.prove(self._action.attempt_id)
            return True
        return echoed is None and self.connection_was_fresh

    async def _relay(self, resp: aiohttp.ClientResponse) -> AttemptEnd:
        headers = end_to_end_headers(resp.headers)
        headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
        answer = web.StreamResponse(
            status=resp.status, reason=resp.reason, headers=headers
        )
        self.answering = True
        self._exchange.response.append(answer)
        request = self._exchange.request
        try:
            await answer.prepare(request)
            while chunk := await self._next_chunk(resp):
                await answer.write(chunk)
            await answer.write_eof()
        except TimeoutError:
            self._retire_connections()
            return AttemptEnd.RESET_MID_BODY
        except aiohttp.ClientPayloadError:
            return AttemptEnd.CUT_SHORT
        except aiohttp.ClientConnectionResetError:
            return AttemptEnd.CALLER_GONE
        except (aiohttp.ClientError, OSError):
            return AttemptEnd.RESET_MID_BODY
        return AttemptEnd.ANSWERED

    async def _next_chunk(self, resp: aiohttp.ClientResponse) -> bytes:
        async with asyncio.timeout(PROGRESS_TIMEOUT_MS / 1_000):
            return await resp.content.readany()

    def _retire_connections(self) -> None:
        address = self._action.target.address
        retired = self._connector.retire(address)
        _log.warning(
            "connection to %s:%d made no progress; retired %d idle connections",
            address.host,
            address.port,
            retired,
        )

    def _end_of_failure(self, exc: AttemptError) -> AttemptEnd:
        cause = exc.__cause__
        seen = set()
        while cause is not None and cause not in seen:
            if isinstance(cause, CallerGoneError):
                return AttemptEnd.CALLER_GONE
            if isinstance(cause, BodyTooLargeError):
                return AttemptEnd.BODY_TOO_LARGE
            seen.add(cause)
            cause = cause.__cause__
        if isinstance(exc.__cause__, aiohttp.ConnectionTimeoutError):
            return AttemptEnd.CONNECT_TIMEOUT
        if isinstance(exc.__cause__, aiohttp.ClientConnectorError):
            return AttemptEnd.CONNECT_REFUSED
        return AttemptEnd.RESET_BEFORE_ANSWER


def _has_framing(resp: aiohttp.ClientResponse) -> bool:
    if resp.method == hdrs.METH_HEAD or resp.status in NO_BODY_STATUSES:
        return True
    chunked = "chunked" in resp.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
    return chunked or hdrs.CONTENT_LENGTH in resp.headers
