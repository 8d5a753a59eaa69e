"""HTTP handler that forwards callers' requests."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any

from aiohttp import hdrs, web
from rhubarbwell_core.direct import (
    ActiveRequest,
    ClientAccount,
    LoadBalancer,
    OpenRequestIds,
    Route,
    ShutdownSchedule,
)
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.caller_connections import CallerConnection, MalformedBodyError
from rhubarbwell_entry.direct.accounts import AccountCheck, UnknownKey
from rhubarbwell_entry.direct.bodies import BodyLease, BodyTooLargeError
from rhubarbwell_entry.direct.credits import QuotaGate, QuotaPreview, QuotaRefusal
from rhubarbwell_entry.direct.forwarding import (
    Forwarder,
    RequestOutcome,
    RequestResult,
    unknown_key_result,
)
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.direct.responses import AnswerResponse
from rhubarbwell_entry.direct.wire import WireNames
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.memory import LineShare, NoMemoryError, RequestMemory
from rhubarbwell_entry.pipelining import line_place

__all__ = ["DirectHandler"]

_log = logging.getLogger(__name__)

# Time left for a request whose deadline header is missing or malformed.
DEFAULT_DEADLINE_MS = 2_000
# An instance reads its configuration within this time after its start. If the whole
# fleet starts again, a caller that returns earlier finds no other instance ready.
STARTUP_MS = 1_000
MIN_NO_CONFIG_RETRY_AFTER_MS = 200
# Another instance can serve the retry at once.
STOPPING_RETRY_AFTER_MS = 20
# A body waits for memory for at most this share of the request's time. Then the caller
# still has time to turn to another instance.
MAX_MEMORY_WAIT_SHARE = 0.3
NO_MEMORY_RETRY_AFTER_MS = 100
TOO_MANY_REQUESTS = 429
# The requests before it have been answered by then.
LATE_RETRY_AFTER_MS = 50
MS_PER_S = 1_000


class DirectHandler:
    """Forward callers' requests and return the backend servers' answers.

    While shutdown is set, each response closes its connection, and a request that may
    outlive the instance is refused with status 503.
    """

    def __init__(
        self,
        names: WireNames,
        balancer: LoadBalancer,
        forwarder: Forwarder,
        quotas: QuotaGate,
        metrics: DirectMetrics,
        memory: RequestMemory,
        accounts: AccountCheck,
        clock_ms: Callable[[], int],
    ) -> None:
        self.shutdown: ShutdownSchedule | None = None
        self._names = names
        self._balancer = balancer
        self._forwarder = forwarder
        self._quotas = quotas
        self._metrics = metrics
        self._memory = memory
        self._accounts = accounts
        self._clock_ms = clock_ms
        self._started_ms = clock_ms()
        self._open_ids = OpenRequestIds()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request."""
        arrived_ms = self._arrived_ms(request)
        place = line_place(request)
        result = RequestResult(RequestOutcome.UNKNOWN, 500, "handler failed")
        try:
            if place is not None and place.task is not None:
                # Its answer may be written now.
                if place.share is not None:
                    place.share.end()
                result = await place.task
            else:
                result = await self._forward_request(request, arrived_ms)
        except asyncio.CancelledError:
            if place is not None and place.task is not None:
                # It may have ended since the connection was lost.
                place.task.add_done_callback(_release_answer)
            result = self._cancelled_result(request, arrived_ms)
            raise
        finally:
            self._log_result(request, result, arrived_ms)
        return self._make_response(request, result)

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return True if a request without a body may run beside others."""
        routes = self._balancer.routes
        if routes is None or self.shutdown is not None:
            return False
        route = routes.find(request.host, request.raw_path)
        return route is not None and route.kind.is_idempotent

    def enter_line(self) -> LineShare | None:
        """Return the memory of a request that starts early, None without any."""
        return self._memory.enter_line()

    async def prepare(self, request: web.BaseRequest) -> RequestResult:
        """Forward a request before its turn; `handle` returns the response."""
        return await self._forward_request(request, self._arrived_ms(request))

    def result_before_choice(
        self,
        expires_ms: int,
        body_bytes: int,
        account: ClientAccount | None,
        quota: QuotaPreview | None,
    ) -> RequestResult | None:
        """Return how a request would end before a server is chosen, None if not.

        account is the account that was found for it.
        """
        config = self._balancer.config
        if self._may_outlive_instance(expires_ms):
            return _stopping_result()
        if quota is not None and quota.refusal is not None:
            return _quota_result(quota.refusal, account)
        if config is not None and body_bytes > config.limits.max_body_bytes:
            return _body_too_large_result()
        return None

    def drop(self, request: web.BaseRequest, task: asyncio.Task[Any]) -> None:
        """Cancel a request that was prepared and whose connection has ended."""
        task.cancel()
        task.add_done_callback(_release_answer)
        place = line_place(request)
        if place is not None and place.share is not None:
            place.share.end()
        arrived_ms = self._arrived_ms(request)
        result = self._cancelled_result(request, arrived_ms)
        self._log_result(request, result, arrived_ms)

    def record_early_start(self) -> None:
        """Count a request that started before its turn."""
        self._metrics.record_early_start()

    def record_line_limit(self) -> None:
        """Count a connection that had as many started requests as are allowed."""
        self._metrics.record_line_limit()

    def _arrived_ms(self, request: web.BaseRequest) -> int:
        """Return when the head of a request was read, in ms of this clock."""
        place = line_place(request)
        if place is None:
            return self._clock_ms()
        age_s = asyncio.get_running_loop().time() - place.read_s
        return self._clock_ms() - round(age_s * MS_PER_S)

    def _deadline_s(self, request: web.BaseRequest) -> float:
        """Return the caller's deadline in s of the event loop's clock."""
        place = line_place(request)
        if place is None:
            return math.inf
        return place.read_s + self._remaining_ms(request) / MS_PER_S

    async def _forward_request(
        self, request: web.BaseRequest, arrived_ms: int
    ) -> RequestResult:
        balancer = self._balancer
        if balancer.routes is None or balancer.config is None:
            return RequestResult(
                RequestOutcome.REFUSED,
                503,
                "no configuration yet",
                max(
                    self._started_ms + STARTUP_MS - arrived_ms,
                    MIN_NO_CONFIG_RETRY_AFTER_MS,
                ),
            )
        request_id = request.headers.get(self._names.request_id, "")
        if not request_id:
            return RequestResult(RequestOutcome.REJECTED, 400, "request has no id")
        route = balancer.routes.find(request.host, request.raw_path)
        if route is None:
            return RequestResult(RequestOutcome.REJECTED, 404, "no route")
        await self._accounts.wait_after_pause()
        account = self._accounts.identify(request, route)
        if isinstance(account, UnknownKey):
            return unknown_key_result(account)
        deadline_ms = arrived_ms + self._remaining_ms(request)
        expires_ms = route.expires_ms(arrived_ms, deadline_ms)
        if self._may_outlive_instance(expires_ms):
            return _stopping_result()
        now_ms = self._clock_ms()
        place = line_place(request)
        if now_ms >= expires_ms and place is not None and place.was_behind:
            detail = "its time passed behind other requests of its connection"
            return RequestResult(
                RequestOutcome.REFUSED, 503, detail, LATE_RETRY_AFTER_MS
            )
        over_quota = self._quotas.check(
            account, route.objective_ms, expires_ms - now_ms
        )
        if over_quota is not None:
            return _quota_result(over_quota, account)
        max_wait_s = MAX_MEMORY_WAIT_SHARE * (expires_ms - now_ms) / MS_PER_S
        with BodyLease(self._memory) as lease:
            try:
                async with SocketTimeout(max(deadline_ms - now_ms, 0) / MS_PER_S):
                    max_bytes = balancer.config.limits.max_body_bytes
                    body = await lease.read(request, max_bytes, max_wait_s)
            except TimeoutError:
                detail = "body came too slowly"
                return RequestResult(RequestOutcome.REFUSED, 408, detail)
            except MalformedBodyError as exc:
                return RequestResult(RequestOutcome.REJECTED, 400, str(exc))
            except BodyTooLargeError:
                return _body_too_large_result()
            except NoMemoryError:
                detail = "no memory for the body"
                return RequestResult(
                    RequestOutcome.REFUSED, 503, detail, NO_MEMORY_RETRY_AFTER_MS
                )
            await self._accounts.wait_after_pause()
            # SIGTERM may have come while the body was read.
            if self._may_outlive_instance(expires_ms):
                return _stopping_result()
            # So may a configuration that revokes the key.
            account = self._accounts.identify(request, route)
            if isinstance(account, UnknownKey):
                return unknown_key_result(account)
            if not self._open_ids.try_add(
                request_id, idempotent=route.kind.is_idempotent
            ):
                detail = "another request with this id is in progress"
                return RequestResult(RequestOutcome.UNKNOWN, 502, detail)
            try:
                token = await self._quotas.acquire(
                    account, route.objective_ms, expires_ms - self._clock_ms()
                )
                if isinstance(token, QuotaRefusal):
                    return _quota_result(token, account)
                req = self._start_request(
                    request_id, route, account, request, body, arrived_ms, deadline_ms
                )
                try:
                    result = await self._send_request(req, request, body)
                except asyncio.CancelledError:
                    if not req.is_sent:
                        self._quotas.refund(token)
                    raise
                if result.outcome is RequestOutcome.REFUSED or result.unknown_key:
                    self._quotas.refund(token)
                return result
            finally:
                self._open_ids.remove(request_id)

    def _start_request(
        self,
        request_id: str,
        route: Route,
        account: ClientAccount | None,
        request: web.BaseRequest,
        body: bytes | bytearray,
        arrived_ms: int,
        deadline_ms: int,
    ) -> ActiveRequest:
        object_key = request.cookies.get(self._names.object_cookie, "")
        return self._balancer.start_request(
            request_id,
            route,
            object_key,
            deadline_ms,
            arrived_ms,
            body_bytes=len(body),
            account=account,
        )

    async def _send_request(
        self, req: ActiveRequest, request: web.BaseRequest, body: bytes | bytearray
    ) -> RequestResult:
        result = await self._forwarder.run(req, request, body)
        latency_ms = self._clock_ms() - req.arrived_ms
        self._metrics.record_request(
            req, result.status, result.outcome.value, latency_ms
        )
        if req.account is not None and result.unknown_key is None:
            result = result._replace(account=req.account.name)
        return result

    def _make_response(
        self, request: web.BaseRequest, result: RequestResult
    ) -> web.Response:
        if result.answer is not None:
            resp: web.Response = AnswerResponse(
                result.answer, request, self._deadline_s(request)
            )
        else:
            resp = web.Response(status=result.status, text=result.reason)
            request_id = request.headers.get(self._names.request_id)
            if request_id is not None:
                resp.headers[self._names.request_id] = request_id
        if result.retry_after_ms is not None:
            seconds = result.retry_after_ms / MS_PER_S
            resp.headers[hdrs.RETRY_AFTER] = f"{seconds:.3f}"
        if self.shutdown is not None and _is_last_response(request):
            resp.force_close()
        return resp

    def _cancelled_result(
        self, request: web.BaseRequest, arrived_ms: int
    ) -> RequestResult:
        conn = request.protocol
        if isinstance(conn, CallerConnection) and conn.is_lost:
            return RequestResult(RequestOutcome.CALLER_GONE, 0, "caller left")
        detail = "the instance ended the request without an answer"
        log_event(
            _log,
            logging.WARNING,
            "request_cut_off",
            detail,
            request_id=request.headers.get(self._names.request_id, ""),
            is_stopping=self.shutdown is not None,
            latency_ms=self._clock_ms() - arrived_ms,
        )
        return RequestResult(RequestOutcome.CUT_OFF, 0, detail)

    def _may_outlive_instance(self, expires_ms: int) -> bool:
        return self.shutdown is not None and not self.shutdown.can_finish(expires_ms)

    def _remaining_ms(self, request: web.BaseRequest) -> int:
        value = request.headers.get(self._names.deadline, "")
        try:
            return max(int(float(value)), 0)
        except (OverflowError, ValueError):
            return DEFAULT_DEADLINE_MS

    def _log_result(
        self, request: web.BaseRequest, result: RequestResult, arrived_ms: int
    ) -> None:
        config = self._balancer.config
        answered = result.outcome is RequestOutcome.ANSWERED
        details: dict[str, object] = {}
        if result.account is not None:
            details["account"] = result.account
            is_over_quota = result.status == TOO_MANY_REQUESTS and not result.answer
            self._metrics.accounts.add(
                result.account, "over_quota" if is_over_quota else "admitted"
            )
        if result.unknown_key is not None:
            self._metrics.record_unknown_key(result.unknown_key, result.status)
        if result.outcome is RequestOutcome.CALLER_GONE:
            details |= self._details_of_loss(request)
        log_event(
            _log,
            logging.INFO if answered else logging.WARNING,
            "request_ended",
            result.reason,
            request_id=request.headers.get(self._names.request_id, ""),
            outcome=result.outcome.value,
            status=result.status,
            latency_ms=self._clock_ms() - arrived_ms,
            config_version=config.version if config is not None else 0,
            retry_after_ms=result.retry_after_ms,
            **details,
            **_details_of_wait(request),
        )

    def _details_of_loss(self, request: web.BaseRequest) -> dict[str, object]:
        """Return what tells a caller that gave up from other ends of a connection."""
        conn = request.protocol
        assert isinstance(conn, CallerConnection)
        place = line_place(request)
        began_s = conn.request_began_s
        if place is not None and place.was_behind:
            began_s = place.read_s
        read_s = conn.lost_s - began_s
        return {
            "deadline_ms": self._remaining_ms(request),
            "lost_after_ms": round(read_s * MS_PER_S),
            "connection_error": None
            if conn.lost_error is None
            else repr(conn.lost_error),
        }


def _is_last_response(request: web.BaseRequest) -> bool:
    """Start no further request early; return True if none of those is left."""
    conn = request.protocol
    return not isinstance(conn, CallerConnection) or conn.stop_line()


def _details_of_wait(request: web.BaseRequest) -> dict[str, object]:
    """Return how long a request waited in line behind others, if it did."""
    place = line_place(request)
    if place is None or not place.was_behind:
        return {}
    waited_s = place.waited_s(asyncio.get_running_loop().time())
    return {
        "in_line_ms": round(waited_s * MS_PER_S),
        "is_started_early": place.task is not None,
    }


def _release_answer(task: asyncio.Task[Any]) -> None:
    """Return the memory of an answer that nobody takes."""
    if task.cancelled() or task.exception() is not None:
        return
    answer = task.result().answer
    if answer is not None:
        answer.lease.release()


def _quota_result(
    refusal: QuotaRefusal, account: ClientAccount | None
) -> RequestResult:
    return RequestResult(
        RequestOutcome.REFUSED,
        TOO_MANY_REQUESTS if refusal.is_over_quota else 503,
        "over_quota" if refusal.is_over_quota else "quota_not_earning",
        refusal.retry_after_ms,
        account=None if account is None else account.name,
    )


def _body_too_large_result() -> RequestResult:
    return RequestResult(RequestOutcome.REJECTED, 413, "body exceeds the limit")


def _stopping_result() -> RequestResult:
    return RequestResult(
        RequestOutcome.REFUSED, 503, "instance is stopping", STOPPING_RETRY_AFTER_MS
    )
