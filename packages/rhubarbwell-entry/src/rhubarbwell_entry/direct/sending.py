"""A single attempt to send a request to a backend server."""

import logging
import sys
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from aiohttp import hdrs, web
from multidict import CIMultiDict
from rhubarbwell_core.direct import (
    ActiveRequest,
    AttemptReport,
    AttemptResult,
    Target,
)
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_platform.http import SocketTimeout
from yarl import URL

from rhubarbwell_entry.direct.bodies import BodyPayload
from rhubarbwell_entry.direct.wire import DirectPlatform
from rhubarbwell_entry.logs import log_event, log_exception
from rhubarbwell_entry.memory import AnswerLease, RequestMemory
from rhubarbwell_entry.pipelining import line_place
from rhubarbwell_entry.proxy.connections import (
    AUTOMATIC_HEADERS,
    AttemptError,
    ClientAttempt,
    VerifyingConnector,
    make_client_session,
)
from rhubarbwell_entry.proxy.headers import end_to_end_headers
from rhubarbwell_entry.proxy.protocols import IdleLostListener

__all__ = ["Answer", "AttemptOutcome", "DirectSender"]

_log = logging.getLogger(__name__)

MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
# Allows several round trips between regions, but ends well before a lost packet is
# retransmitted after 1 s: as nothing has been sent yet, trying another server is safe
# and sooner.
CONNECT_TIMEOUT_S = 0.3
FIRST_SERVER_ERROR = 500
# Statuses that suggest that the request did not run; without the not_run header, only
# 421 proves it.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Answer(NamedTuple):
    """Hold a complete answer of a backend server.

    The lease has to be released once the caller has the answer, or nobody needs it.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes | bytearray
    lease: AnswerLease


class AttemptOutcome(NamedTuple):
    """Hold the report of an attempt and, if it can be delivered, the answer.

    is_new_connection is None if the attempt got no connection.
    """

    report: AttemptReport
    detail: str
    answer: Answer | None = None
    is_new_connection: bool | None = None


class DirectSender:
    """Send requests to backend servers and verify the origin of the answers."""

    def __init__(
        self,
        platform: DirectPlatform,
        memory: RequestMemory,
        clock_ms: Callable[[], int],
        *,
        max_answer_bytes: int,
        max_pause_ms: int,
        on_idle_lost: IdleLostListener | None = None,
    ) -> None:
        self._platform = platform
        self._names = names = platform.names
        self._memory = memory
        self._clock_ms = clock_ms
        self._max_pause_ms = max_pause_ms
        self._connector = VerifyingConnector(
            attempt_header=names.request_id,
            max_answer_bytes=max_answer_bytes,
            on_idle_lost=on_idle_lost,
            clock_ms=clock_ms,
        )
        self._session = make_client_session(
            self._connector, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def close(self) -> None:
        """Close all connections to backend servers."""
        await self._session.close()

    def oldest_open_ms(self, address: Address) -> int | None:
        """Return when the oldest open connection to an address was opened, if any."""
        return self._connector.oldest_open_ms(address)

    async def send(
        self,
        req: ActiveRequest,
        target: Target,
        request: web.BaseRequest,
        body: bytes | bytearray,
    ) -> AttemptOutcome:
        """Send a request once and return the outcome; raise only CancelledError."""
        place = line_place(request)
        lease = AnswerLease(self._memory, None if place is None else place.share)
        attempt = self._connector.start_attempt(
            idempotent=req.route.kind.is_idempotent, lease=lease
        )
        has_answer = False
        try:
            outcome = await self._send_in_time(attempt, req, target, request, body)
            outcome = self._with_pause_cut(outcome, target.backend_id)
            connection = attempt.connection
            is_new = None if connection is None else connection.fresh
            outcome = outcome._replace(is_new_connection=is_new)
            has_answer = outcome.answer is not None
            return outcome
        finally:
            # Without a connection, nothing was sent.
            req.is_sent |= attempt.connection is not None
            attempt.end()
            if not has_answer:
                lease.release()

    async def _send_in_time(
        self,
        attempt: ClientAttempt,
        req: ActiveRequest,
        target: Target,
        request: web.BaseRequest,
        body: bytes | bytearray,
    ) -> AttemptOutcome:
        started_ms = self._clock_ms()
        remaining_ms = req.expires_ms - started_ms
        try:
            async with SocketTimeout(
                max(remaining_ms, 0) / 1_000,
                is_connected=lambda: attempt.connection is not None,
            ):
                return await self._exchange(
                    attempt, req, target, request, body, started_ms
                )
        except TimeoutError:
            result, detail = AttemptResult.TIMED_OUT, "no answer in time"
            if attempt.connection is None:
                result = AttemptResult.NOT_SENT
            elif attempt.skipped_answers:
                result, detail = AttemptResult.BROKEN, "answers to other requests only"
            elif attempt.lease is not None and attempt.lease.is_waiting:
                detail = "no memory for the answer in time"
            return self._failed_outcome(result, detail, started_ms)
        except AttemptError as exc:
            detail = str(exc) or "connection failed"
            _forget_frames(exc)
            return self._interrupted_outcome(attempt, detail, started_ms)
        except (aiohttp.ClientError, OSError) as exc:
            detail = f"answer broke off: {str(exc) or type(exc).__name__}"
            _forget_frames(exc)
            return self._interrupted_outcome(attempt, detail, started_ms)
        except Exception as exc:
            # The host of an address can have any form that its registry row had.
            log_exception(
                _log,
                "attempt_raised",
                "an attempt ended with an unexpected exception",
                exc,
                request_id=req.request_id,
                backend_id=target.backend_id,
                address=host_port(target.address),
            )
            _forget_frames(exc)
            return self._interrupted_outcome(attempt, repr(exc), started_ms)

    async def _exchange(
        self,
        attempt: ClientAttempt,
        req: ActiveRequest,
        target: Target,
        request: web.BaseRequest,
        body: bytes | bytearray,
        started_ms: int,
    ) -> AttemptOutcome:
        url = URL(f"http://{host_port(target.address)}{request.raw_path}", encoded=True)
        resp = await self._session.request(
            request.method,
            url,
            headers=self._request_headers(req, target, request, started_ms),
            data=BodyPayload(body) if body else None,
            skip_auto_headers=AUTOMATIC_HEADERS,
            allow_redirects=False,
            middlewares=(attempt.send_once,),
        )
        try:
            if resp.headers.get(self._names.request_id) != req.request_id:
                return self._failed_outcome(
                    AttemptResult.BROKEN, "answer does not name the request", started_ms
                )
            attempt.mark_verified()
            head_ms = self._clock_ms()
            payload = await _read_body(resp)
            assert attempt.lease is not None
            # The server did not cause what the answer waited for its turn.
            waited = attempt.lease.has_waited_in_line
            ended_ms = head_ms if waited else self._clock_ms()
            return self._complete_outcome(attempt, resp, payload, started_ms, ended_ms)
        finally:
            resp.close()

    def _request_headers(
        self,
        req: ActiveRequest,
        target: Target,
        request: web.BaseRequest,
        started_ms: int,
    ) -> CIMultiDict[str]:
        headers = end_to_end_headers(request.headers)
        headers.popall(hdrs.CONTENT_LENGTH, None)
        if req.uses_accounts:
            headers.popall(self._names.account_key, None)
            headers.popall(self._names.account_name, None)
            if req.account is not None:
                headers[self._names.account_name] = req.account.name
        headers[hdrs.HOST] = request.headers.get(hdrs.HOST, "")
        headers[self._names.expected_backend] = target.backend_id
        headers[self._names.deadline] = str(max(req.expires_ms - started_ms, 1))
        return headers

    def _complete_outcome(
        self,
        attempt: ClientAttempt,
        resp: aiohttp.ClientResponse,
        payload: bytes | bytearray,
        started_ms: int,
        ended_ms: int,
    ) -> AttemptOutcome:
        headers = resp.headers
        latency_ms = ended_ms - started_ms
        backend_report = self._platform.decode_backend_report(headers)
        answer_headers = end_to_end_headers(headers)
        result, detail = self._classify(resp, answer_headers)
        connection = attempt.connection
        connect_ms = (
            connection.connect_ms
            if connection is not None and connection.fresh
            else None
        )
        report = AttemptReport(
            result,
            latency_ms,
            backend_report.load,
            backend_report.cold_ms,
            connect_ms,
            backend_report.rate_limit_per_s,
            backend_report.is_leaving,
            backend_report.pause_ms if resp.status == UNAVAILABLE else None,
            opened_ms=None if connection is None else connection.opened_ms,
        )
        if result not in (AttemptResult.ANSWERED, AttemptResult.SERVER_ERROR):
            return AttemptOutcome(report, detail)
        assert attempt.lease is not None
        attempt.lease.complete(len(payload))
        answer_headers.popall(hdrs.CONTENT_LENGTH, None)
        return AttemptOutcome(
            report, detail, Answer(resp.status, answer_headers, payload, attempt.lease)
        )

    def _with_pause_cut(
        self, outcome: AttemptOutcome, backend_id: str
    ) -> AttemptOutcome:
        """Return the outcome with a pause of at most max_pause_ms; log a cut."""
        asked_ms = outcome.report.pause_ms
        if asked_ms is None or asked_ms <= self._max_pause_ms:
            return outcome
        log_event(
            _log,
            logging.WARNING,
            "pause_cut",
            "a backend server asked for a longer pause than the settings allow",
            backend_id=backend_id,
            asked_ms=asked_ms,
            pause_ms=self._max_pause_ms,
        )
        report = outcome.report._replace(pause_ms=self._max_pause_ms)
        return outcome._replace(report=report)

    def _classify(
        self, resp: aiohttp.ClientResponse, answer_headers: CIMultiDict[str]
    ) -> tuple[AttemptResult, str]:
        names, headers = self._names, resp.headers
        status = resp.status
        if status == MISDIRECTED_REQUEST:
            return AttemptResult.NOT_RUN, "another backend server has the address"
        if names.not_run in headers:
            return AttemptResult.NOT_RUN, f"backend server refused with {status}"
        if hdrs.CONTENT_ENCODING in headers:
            return AttemptResult.BROKEN, "answer has an encoding"
        if names.signature not in answer_headers:
            return AttemptResult.BROKEN, f"answer {status} without a signature"
        if status in NOT_RUN_STATUSES:
            return AttemptResult.BROKEN, f"answer {status} without proof"
        if status >= FIRST_SERVER_ERROR:
            return AttemptResult.SERVER_ERROR, f"backend server answered {status}"
        return AttemptResult.ANSWERED, f"backend server answered {status}"

    def _interrupted_outcome(
        self, attempt: ClientAttempt, detail: str, started_ms: int
    ) -> AttemptOutcome:
        """Return the outcome of an attempt that an error ended.

        Without a connection, nothing was sent.
        """
        result = AttemptResult.BROKEN
        if attempt.connection is None:
            result = AttemptResult.NOT_SENT
        return self._failed_outcome(
            result, detail, started_ms, lost_connection=result is AttemptResult.BROKEN
        )

    def _failed_outcome(
        self,
        result: AttemptResult,
        detail: str,
        started_ms: int,
        *,
        lost_connection: bool = False,
    ) -> AttemptOutcome:
        latency_ms = self._clock_ms() - started_ms
        return AttemptOutcome(
            AttemptReport(result, latency_ms, lost_connection=lost_connection), detail
        )


async def _read_body(resp: aiohttp.ClientResponse) -> bytes | bytearray:
    """Return the body of an answer; what is read of one that fails is freed."""
    content = resp.content
    if content.is_eof():
        body: bytes | bytearray = await content.readany()
    else:
        # The lease of the answer tells when to pause.
        content.set_read_chunk_size(sys.maxsize)
        body = await content.readany()
        if not content.at_eof():
            body = await _read_rest(content, bytearray(body))
    # Waits until the request has been sent whole.
    await resp.read()
    return body


async def _read_rest(content: aiohttp.StreamReader, body: bytearray) -> bytearray:
    try:
        while block := await content.readany():
            body += block
    except BaseException:
        body.clear()
        raise
    return body


def _forget_frames(exc: BaseException | None) -> None:
    """Remove the traceback of an exception and of its causes.

    A failed answer holds its exception, whose frames hold what was read of it: a cycle
    that would stay in memory until the garbage collector finds it.
    """
    while exc is not None:
        exc.__traceback__ = None
        exc = exc.__cause__ or exc.__context__
