"""Forwarding of a request by one or more attempts at backend servers."""

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Self

from aiohttp import web
from rhubarbwell_core.direct import (
    ActiveRequest,
    AttemptResult,
    LoadBalancer,
    Refusal,
    Target,
    Verdict,
)
from rhubarbwell_core.model import host_port

from rhubarbwell_entry.direct.accounts import AccountCheck, UnknownKey
from rhubarbwell_entry.direct.losses import LossChecks
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.direct.sending import Answer, AttemptOutcome, DirectSender
from rhubarbwell_entry.logs import log_event

__all__ = [
    "Forwarder",
    "RequestOutcome",
    "RequestResult",
    "refusal_result",
    "unknown_key_result",
]

_log = logging.getLogger(__name__)

# An immediate retry would find the same full queue.
REFUSED_RETRY_AFTER_MS = 50


class RequestOutcome(Enum):
    """Classify how a request ended; REFUSED guarantees that it did not run."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"
    REJECTED = "rejected"
    CALLER_GONE = "caller_gone"
    CUT_OFF = "cut_off"


class RequestResult(NamedTuple):
    """Hold the outcome of a request and the answer or error for the caller.

    account is the name of the request's client account, if it has one; unknown_key is
    why it has none although it needs one.
    """

    outcome: RequestOutcome
    status: int
    reason: str
    retry_after_ms: int | None = None
    answer: Answer | None = None
    account: str | None = None
    unknown_key: str | None = None


class Forwarder:
    """Send a request to backend servers in turn until its outcome is known."""

    def __init__(
        self,
        balancer: LoadBalancer,
        sender: DirectSender,
        losses: LossChecks,
        metrics: DirectMetrics,
        accounts: AccountCheck,
        clock_ms: Callable[[], int],
    ) -> None:
        self._balancer = balancer
        self._sender = sender
        self._losses = losses
        self._metrics = metrics
        self._accounts = accounts
        self._clock_ms = clock_ms

    async def run(
        self, req: ActiveRequest, request: web.BaseRequest, body: bytes | bytearray
    ) -> RequestResult:
        """Return the result once an answer arrives or no more attempts are allowed.

        If the retries of a server error yield no answer, the server error is returned.
        """
        with _LastError() as last_error:
            while True:
                unknown_key = self._accounts.identify_again(req, request)
                if unknown_key is not None:
                    return unknown_key_result(unknown_key)
                choice = self._balancer.choose_backend(req, self._clock_ms())
                if isinstance(choice, Refusal):
                    return last_error.take() or self._refuse_request(req, choice)
                outcome, verdict = await self._run_attempt(req, choice, request, body)
                if verdict is Verdict.DELIVER:
                    return _answered_result(outcome)
                if verdict is not Verdict.RETRY:
                    unanswered = self._unanswered_result(req, verdict, outcome.detail)
                    return last_error.take() or unanswered
                if outcome.answer is not None:
                    last_error.keep(outcome)

    async def _run_attempt(
        self,
        req: ActiveRequest,
        target: Target,
        request: web.BaseRequest,
        body: bytes | bytearray,
    ) -> tuple[AttemptOutcome, Verdict]:
        self._balancer.start_attempt(req, target, self._clock_ms())
        try:
            outcome = await self._sender.send(req, target, request, body)
        except asyncio.CancelledError:
            self._balancer.abandon_attempt(req, target)
            raise
        report = outcome.report
        verdict = self._balancer.end_attempt(req, target, report, self._clock_ms())
        if report.lost_connection or report.result is AttemptResult.NOT_SENT:
            self._losses.start(target.address, was_connected=report.lost_connection)
        self._metrics.record_attempt(target, report.result, verdict, report.latency_ms)
        self._log_attempt(req, target, outcome, verdict)
        for service in self._balancer.paced_services.take_new():
            log_event(
                _log,
                logging.INFO,
                "machine_pace_reported",
                "the servers of a service report the pace of their machines",
                service=service,
            )
        if report.is_leaving:
            log_event(
                _log,
                logging.INFO,
                "backend_leaving",
                "an answer said that its backend server is about to end",
                request_id=req.request_id,
                backend_id=target.backend_id,
                service=target.service,
            )
        return outcome, verdict

    def _refuse_request(self, req: ActiveRequest, refusal: Refusal) -> RequestResult:
        reason = refusal.reason.value
        self._metrics.record_refusal(req, refusal)
        log_event(
            _log,
            logging.WARNING,
            "request_refused",
            "no backend server was chosen for the request",
            request_id=req.request_id,
            route=req.route.name,
            service=req.service,
            reason=reason,
            load=round(refusal.load, 2),
            expected_ms=round(refusal.expected_ms),
            queue_ms=round(refusal.queue_ms),
            admitted_share=round(refusal.admitted_share, 2),
            account=None if req.account is None else req.account.name,
            priority=req.priority,
            remaining_ms=req.expires_ms - self._clock_ms(),
            attempts=req.attempts,
            may_have_run=req.may_have_run,
            registry_generation=self._balancer.backends.generation,
        )
        if req.may_have_run:
            detail = f"an attempt failed, then {reason}"
            return RequestResult(RequestOutcome.UNKNOWN, 502, detail)
        return refusal_result(refusal)

    def _unanswered_result(
        self, req: ActiveRequest, verdict: Verdict, detail: str
    ) -> RequestResult:
        if verdict is Verdict.REFUSE:
            retry_ms = self._balancer.admission.retry_after_ms(req, self._clock_ms())
            retry_ms = max(retry_ms, REFUSED_RETRY_AFTER_MS)
            return RequestResult(RequestOutcome.REFUSED, 503, detail, retry_ms)
        if verdict is Verdict.TIMEOUT:
            return RequestResult(RequestOutcome.TIMED_OUT, 504, detail)
        return RequestResult(RequestOutcome.UNKNOWN, 502, detail)

    def _log_attempt(
        self,
        req: ActiveRequest,
        target: Target,
        outcome: AttemptOutcome,
        verdict: Verdict,
    ) -> None:
        answered = outcome.report.result is AttemptResult.ANSWERED
        log_event(
            _log,
            logging.INFO if answered else logging.WARNING,
            "attempt_answered" if answered else "attempt_failed",
            outcome.detail,
            request_id=req.request_id,
            route=req.route.name,
            time_limit_ms=req.expires_ms - req.arrived_ms,
            backend_id=target.backend_id,
            service=target.service,
            zone=target.zone,
            address=host_port(target.address),
            is_new_connection=outcome.is_new_connection,
            assigned_region=target.assigned_region,
            attempt=req.attempts,
            position=target.position,
            load=round(target.load, 2),
            load_age_ms=target.load_age_ms,
            is_cold=target.is_cold,
            rate_limit_per_s=outcome.report.rate_limit_per_s,
            is_leaving=outcome.report.is_leaving,
            pause_ms=outcome.report.pause_ms,
            expected_ms=round(target.expected_ms),
            queue_ms=round(target.queue_ms),
            latency_ms=outcome.report.latency_ms,
            result=outcome.report.result.value,
            verdict=verdict.value,
        )


def refusal_result(refusal: Refusal) -> RequestResult:
    """Return the result of a request that has not run and finds no server."""
    pause_ms = max(refusal.retry_after_ms, REFUSED_RETRY_AFTER_MS)
    return RequestResult(RequestOutcome.REFUSED, 503, refusal.reason.value, pause_ms)


def unknown_key_result(unknown_key: UnknownKey) -> RequestResult:
    """Return the result of a request that has no account."""
    reason, retry_after_ms = unknown_key
    if retry_after_ms is None:
        return RequestResult(RequestOutcome.REJECTED, 401, reason, unknown_key=reason)
    detail = f"{reason}, but the configuration may have changed"
    return RequestResult(
        RequestOutcome.REFUSED, 503, detail, retry_after_ms, unknown_key=reason
    )


class _LastError:
    """Keep the latest server error of a request, and its memory, while it is tried."""

    def __init__(self) -> None:
        self._outcome: AttemptOutcome | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._release()

    def keep(self, outcome: AttemptOutcome) -> None:
        """Keep an error in place of an earlier one."""
        self._release()
        self._outcome = outcome

    def take(self) -> RequestResult | None:
        """Return the error as the result of the request, None without any."""
        outcome, self._outcome = self._outcome, None
        return None if outcome is None else _answered_result(outcome)

    def _release(self) -> None:
        outcome, self._outcome = self._outcome, None
        if outcome is not None and outcome.answer is not None:
            outcome.answer.lease.release()


def _answered_result(outcome: AttemptOutcome) -> RequestResult:
    assert outcome.answer is not None
    status = outcome.answer.status
    return RequestResult(
        RequestOutcome.ANSWERED, status, outcome.detail, answer=outcome.answer
    )
