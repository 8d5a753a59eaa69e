"""The handler of callers' requests."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import hdrs, web
from rhubarbwell_core.direct import (
    ActiveRequest,
    DirectSteering,
    Refusal,
    Route,
    Target,
    Verdict,
)

from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.direct.sending import Answer, AttemptOutcome, DirectSender
from rhubarbwell_entry.direct.wire import WireNames
from rhubarbwell_entry.logs import log_event

__all__ = ["DirectHandler"]

_log = logging.getLogger(__name__)

DEFAULT_DEADLINE_MS = 2_000
NO_CONFIG_RETRY_MS = 200
LEAVING_RETRY_MS = 20
MIN_RETRY_AFTER_MS = 50
MS_PER_S = 1_000


class _End(NamedTuple):
    status: int
    reason: str
    retry_after_ms: int | None = None
    answer: Answer | None = None


class DirectHandler:
    """Answer callers by sending their requests to backend servers."""

    def __init__(
        self,
        names: WireNames,
        steering: DirectSteering,
        sender: DirectSender,
        metrics: DirectMetrics,
        clock_ms: Callable[[], int],
    ) -> None:
        self.leaving = False
        self.refuses_new = False
        self.open_requests = 0
        self._names = names
        self._steering = steering
        self._sender = sender
        self._metrics = metrics
        self._clock_ms = clock_ms

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the answer to a request."""
        self.open_requests += 1
        arrived_ms = self._clock_ms()
        try:
            end = await self._serve(request, arrived_ms)
        except asyncio.CancelledError:
            self._log_end(request, "", _End(0, "caller left"), arrived_ms)
            raise
        finally:
            self.open_requests -= 1
        return self._respond(request, end)

    async def _serve(self, request: web.BaseRequest, arrived_ms: int) -> _End:
        steering = self._steering
        if steering.routes is None or steering.config is None:
            return _End(503, "no configuration yet", NO_CONFIG_RETRY_MS)
        if self.refuses_new:
            return _End(503, "instance is stopping", LEAVING_RETRY_MS)
        request_id = request.headers.get(self._names.request_id, "")
        if not request_id:
            return _End(400, "request has no id")
        route = steering.routes.find(request.host, request.raw_path)
        if route is None:
            self._log_end(request, "", _End(404, "no route"), arrived_ms)
            return _End(404, "no route")
        body = await self._read_body(request, steering.config.limits.max_body_bytes)
        if body is None:
            return _End(413, "body exceeds the limit")
        deadline_ms = arrived_ms + self._remaining_ms(request)
        key = request.cookies.get(self._names.object_cookie, "")
        req = steering.admit(request_id, route, key, deadline_ms, arrived_ms)
        end = await self._run(req, request, body)
        self._finish(request, req, route, end)
        return end

    async def _run(
        self, req: ActiveRequest, request: web.BaseRequest, body: bytes
    ) -> _End:
        failed: _End | None = None
        while True:
            now_ms = self._clock_ms()
            choice = self._steering.choose(req, now_ms)
            if isinstance(choice, Refusal):
                return failed or self._refuse(req, choice)
            outcome = await self._attempt(req, choice, request, body)
            verdict = self._steering.ended(
                req, choice, outcome.report, self._clock_ms()
            )
            self._log_attempt(req, choice, outcome, verdict)
            if verdict is Verdict.DELIVER:
                assert outcome.answer is not None
                return _End(
                    outcome.answer.status, outcome.detail, answer=outcome.answer
                )
            if verdict is not Verdict.RETRY:
                return self._end_of(verdict, outcome.detail)
            if outcome.answer is not None:
                failed = _End(
                    outcome.answer.status, outcome.detail, answer=outcome.answer
                )

    async def _attempt(
        self, req: ActiveRequest, target: Target, request: web.BaseRequest, body: bytes
    ) -> AttemptOutcome:
        self._steering.started(req, target, self._clock_ms())
        try:
            return await self._sender.send(req, target, request, body)
        except asyncio.CancelledError:
            self._steering.abandoned(req, target)
            raise

    def _refuse(self, req: ActiveRequest, refusal: Refusal) -> _End:
        reason = refusal.reason.value
        if req.may_have_run:
            return _End(502, f"an attempt failed, then {reason}")
        pause_ms = max(refusal.retry_after_ms, MIN_RETRY_AFTER_MS)
        log_event(
            _log,
            logging.WARNING,
            "request_refused",
            "no backend server gets the request",
            request_id=req.request_id,
            service=req.service,
            reason=reason,
            load=round(refusal.load, 2),
            finish_ms=round(refusal.finish_ms),
            attempts=req.attempts,
            retry_after_ms=pause_ms,
        )
        return _End(503, reason, pause_ms)

    def _end_of(self, verdict: Verdict, detail: str) -> _End:
        if verdict is Verdict.REFUSE:
            return _End(503, detail, MIN_RETRY_AFTER_MS)
        return _End(504 if verdict is Verdict.TIMEOUT else 502, detail)

    def _respond(self, request: web.BaseRequest, end: _End) -> web.StreamResponse:
        answer = end.answer
        if answer is not None:
            resp = web.Response(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        else:
            resp = web.Response(status=end.status, text=end.reason)
            request_id = request.headers.get(self._names.request_id)
            if request_id is not None:
                resp.headers[self._names.request_id] = request_id
        if end.retry_after_ms is not None:
            seconds = end.retry_after_ms / MS_PER_S
            resp.headers[hdrs.RETRY_AFTER] = f"{seconds:.3f}"
        if self.leaving:
            resp.force_close()
        return resp

    async def _read_body(
        self, request: web.BaseRequest, max_bytes: int
    ) -> bytes | None:
        if not request.can_read_body:
            return b""
        if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
            transport = request.transport
            if transport is not None:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if (request.content_length or 0) > max_bytes:
            return None
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > max_bytes:
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    def _remaining_ms(self, request: web.BaseRequest) -> int:
        value = request.headers.get(self._names.deadline, "")
        try:
            return max(int(float(value)), 0)
        except ValueError:
            return DEFAULT_DEADLINE_MS

    def _finish(
        self, request: web.BaseRequest, req: ActiveRequest, route: Route, end: _End
    ) -> None:
        latency_ms = self._clock_ms() - req.arrived_ms
        self._metrics.request_ended(route, req.service, end.status, latency_ms)
        self._log_end(request, route.name, end, req.arrived_ms)

    def _log_attempt(
        self,
        req: ActiveRequest,
        target: Target,
        outcome: AttemptOutcome,
        verdict: Verdict,
    ) -> None:
        if verdict is Verdict.DELIVER and outcome.report.result.value == "answered":
            return
        log_event(
            _log,
            logging.WARNING,
            "attempt_failed",
            outcome.detail,
            request_id=req.request_id,
            backend_id=target.backend_id,
            service=req.service,
            position=target.position,
            load=round(target.load, 2),
            expected_ms=round(target.expected_ms),
            latency_ms=outcome.report.latency_ms,
            result=outcome.report.result.value,
            verdict=verdict.value,
            attempt=req.attempts,
        )

    def _log_end(
        self, request: web.BaseRequest, route: str, end: _End, arrived_ms: int
    ) -> None:
        failed = not 200 <= end.status < 300
        log_event(
            _log,
            logging.WARNING if failed else logging.INFO,
            "request_failed" if failed else "request_answered",
            end.reason,
            request_id=request.headers.get(self._names.request_id, ""),
            route=route,
            status=end.status,
            latency_ms=self._clock_ms() - arrived_ms,
        )
