"""The handler of callers' requests."""

import asyncio
import hashlib

from aiohttp import web
from rhubarbwell_core.messages import CallerGone, EndRequest, RequestArrived
from rhubarbwell_core.model import Outcome, Reason, WorkKind, match_kind

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.proxy.attempts import AttemptSender
from rhubarbwell_entry.proxy.bodies import UploadBody
from rhubarbwell_entry.proxy.exchanges import Exchange, ExchangeTable
from rhubarbwell_entry.proxy.headers import KEY_HEADER, remaining_ms
from rhubarbwell_entry.proxy.problems import problem_response

__all__ = ["CallerHandler", "caller_runner"]

KEEPALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 1.0


class CallerHandler:
    """Handle callers' requests to `/{service}/{rest}` for one core.

    Construct it with a CoreDriver inside the running loop, route `/{service}/{rest:.*}`
    of every method to `handle`, serve by `caller_runner` and await `close` at the end.
    """

    def __init__(self, driver: CoreDriver) -> None:
        self.exchanges = ExchangeTable()
        self.attempts = AttemptSender(driver, self.exchanges)
        self._driver = driver
        driver.register(EndRequest, self.exchanges.end)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request of a caller."""
        request_id = self.exchanges.new_id()
        found = self._find_kind(request)
        if isinstance(found, Reason):
            return problem_response(EndRequest(request_id, Outcome.NOT_RUN, found))
        service, path, kind = found
        if (request.content_length or 0) > kind.max_body_bytes:
            end = EndRequest(request_id, Outcome.NOT_RUN, Reason.BODY_TOO_LARGE)
            return problem_response(end)
        exchange = self._begin(request, request_id, service, path, kind)
        try:
            self._driver.handle(exchange.arrived)
            end = await exchange.ended
        except asyncio.CancelledError:
            self._driver.handle(CallerGone(request_id))
            raise
        return _response_of(exchange, end)

    async def close(self) -> None:
        """Cancel the attempts that still run and close their connections."""
        await self.attempts.close()

    def _find_kind(self, request: web.Request) -> tuple[str, str, WorkKind] | Reason:
        cfg = self._driver.core.configuration
        if cfg is None:
            return Reason.NOT_READY
        _, name, *rest = request.rel_url.raw_path.split("/")
        service = cfg.services.get(name)
        if service is None:
            return Reason.UNKNOWN_SERVICE
        path = "/" + "/".join(rest)
        kind = match_kind(service, request.method, path)
        if kind is None or not {".", ".."}.isdisjoint(rest):
            return Reason.UNKNOWN_KIND
        return name, path, kind

    def _begin(
        self,
        request: web.Request,
        request_id: int,
        service: str,
        path: str,
        kind: WorkKind,
    ) -> Exchange:
        budget_ms = remaining_ms(request.headers)
        if budget_ms is None:
            budget_ms = kind.deadline_ms
        deadline_ms = self._driver.clock_ms() + min(budget_ms, kind.deadline_ms)
        arrived = RequestArrived(
            request_id,
            service,
            kind.name,
            _caller_identity(request),
            deadline_ms,
            kind.rank,
            kind.idempotent,
            key=request.headers.get(KEY_HEADER),
            body_bytes=request.content_length,
        )
        query = request.rel_url.raw_query_string
        exchange = Exchange(
            arrived,
            request,
            f"{path}?{query}" if query else path,
            UploadBody(request, max_bytes=kind.max_body_bytes),
            asyncio.get_running_loop().create_future(),
            [],
        )
        self.exchanges.add(exchange)
        return exchange


def caller_runner(app: web.Application) -> web.AppRunner:
    """Return a runner that cancels the handler of a caller who has gone."""
    return web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )


def _caller_identity(request: web.Request) -> str:
    credentials = request.headers.get("Authorization")
    if credentials is None:
        return request.remote or ""
    return hashlib.sha256(credentials.encode()).hexdigest()


def _response_of(exchange: Exchange, end: EndRequest) -> web.StreamResponse:
    if not exchange.answering:
        return problem_response(end)
    response = exchange.response[0]
    if end.outcome is not Outcome.ANSWERED:
        response.force_close()
        if exchange.request.transport is not None:
            exchange.request.transport.abort()
    return response
