"""Handle requests of callers and of peers."""

import asyncio
import hashlib
import logging
import ssl
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_core.direct import ShutdownSchedule
from rhubarbwell_core.messages import (
    CallerGone,
    EndRequest,
    ReplayAnswer,
    RequestArrived,
)
from rhubarbwell_core.model import AccountSpec, Outcome, Reason, WorkKind, matching_kind

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.proxy.accounts import (
    AccountCheck,
    AccountObserver,
    arrival_of_account,
)
from rhubarbwell_entry.proxy.attempts import AttemptSender
from rhubarbwell_entry.proxy.bodies import CallerGoneError, UploadBody
from rhubarbwell_entry.proxy.exchanges import Exchange, ExchangeTable
from rhubarbwell_entry.proxy.fingerprints import (
    arrival_with_body_digest,
    digest_with_account,
)
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER, KEY_HEADER, remaining_ms
from rhubarbwell_entry.proxy.peers import (
    PEER_HEADER,
    ForgedHopError,
    HopKeys,
    PeerHop,
    read_hop,
)
from rhubarbwell_entry.proxy.problems import problem_response

__all__ = ["CallerHandler"]

_log = logging.getLogger(__name__)

MAX_KEY_CHARS = 256


class CallerHandler:
    """Handle callers' requests to `/{service}/{rest}` for one core.

    Construct it with a CoreDriver inside the running loop, route `/{service}/{rest:.*}`
    of every method to `handle`, serve it with a CallerRunner and await `close` at
    the end. Without hop_keys, requests are neither forwarded to nor accepted from
    other entry instances; peer_tls is required if the other instances' caller
    listeners use TLS. While leaving is set, responses to new requests close their
    connections; while refusing is set, every new request is refused; while shutdown is
    set, those that may outlive the instance are. observer is told of the requests of
    client accounts.
    """

    def __init__(
        self,
        driver: CoreDriver,
        hop_keys: HopKeys | None = None,
        *,
        peer_tls: ssl.SSLContext | None = None,
        observer: AccountObserver | None = None,
    ) -> None:
        self.leaving = False
        self.refusing = False
        self.shutdown: ShutdownSchedule | None = None
        self.accounts = AccountCheck(
            driver.core.identity.region,
            lambda: driver.core.configuration,
            observer or AccountObserver(),
        )
        self.exchanges = ExchangeTable(self._record_end)
        self.attempts = AttemptSender(
            driver, self.exchanges, self.accounts, hop_keys, peer_tls
        )
        self.open_requests = 0
        self._driver = driver
        self._hop_keys = hop_keys
        driver.register(EndRequest, self.exchanges.end)
        driver.register(ReplayAnswer, self.exchanges.replay)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return the response to a request of a caller or of a peer."""
        self.open_requests += 1
        try:
            return await self._handle(request)
        finally:
            self.open_requests -= 1

    async def close(self) -> None:
        """Cancel the running attempts and close every connection."""
        await self.attempts.close()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = self.exchanges.new_request_id()
        matched = self._match_request(request)
        if isinstance(matched, Reason):
            return self._refusal_response(request, request_id, matched)
        exchange = self._make_exchange(request, request_id, matched)
        if self._may_outlive_instance(exchange.arrival):
            return self._refuse_exchange(exchange, Reason.STOPPING)
        try:
            if exchange.keeps_answer:
                exchange.arrival = await arrival_with_body_digest(exchange)
                # A stop, or a configuration without the account's key, may have come
                # while the body was read.
                if self._may_outlive_instance(exchange.arrival):
                    return self._refuse_exchange(exchange, Reason.STOPPING)
                refusal = self.accounts.identify_again(exchange)
                if refusal is not None:
                    return self._refuse_exchange(exchange, refusal)
                exchange.arrival = digest_with_account(
                    arrival_of_account(
                        exchange.arrival, exchange.kind, exchange.account
                    )
                )
            self.exchanges.add(exchange)
            self._driver.handle(exchange.arrival)
            end = await exchange.ended
        except CallerGoneError:
            return self._refuse_exchange(exchange, Reason.CALLER_GONE)
        except asyncio.CancelledError:
            self._driver.handle(CallerGone(request_id))
            raise
        return exchange.finish(end)

    def _may_outlive_instance(self, arrival: RequestArrived) -> bool:
        schedule = self.shutdown
        return schedule is not None and not schedule.can_finish(arrival.deadline_ms)

    def _match_request(self, request: web.Request) -> "_MatchedRequest | Reason":
        cfg = self._driver.core.configuration
        if cfg is None:
            return Reason.NOT_READY
        if self.refusing:
            return Reason.STOPPING
        path = request.rel_url.raw_path
        _, name, *rest = path.split("/")
        service = cfg.services.get(name)
        if service is None:
            return Reason.UNKNOWN_SERVICE
        subpath = "/" + "/".join(rest)
        kind = matching_kind(service, request.method, subpath)
        if kind is None or not {".", ".."}.isdisjoint(rest):
            return Reason.UNKNOWN_KIND
        account: AccountSpec | None = None
        if PEER_HEADER not in request.headers:
            found = self.accounts.identify_caller(request, name, kind)
            if isinstance(found, Reason):
                return found
            account = found
        refusal = self._head_refusal(request, name, kind, account)
        if refusal is not None:
            self._record_outcome(account, Outcome.NOT_RUN)
            return refusal
        try:
            hop = self._read_hop(request)
        except ForgedHopError:
            log_event(
                _log,
                logging.WARNING,
                "hop_forged",
                "refused a request with a forged hop",
            )
            return Reason.FORGED_HOP
        if hop is not None:
            found = self.accounts.identify_hop(hop, name, kind)
            if isinstance(found, Reason):
                return found
            account = found
            refusal = self.accounts.region_refusal(account, name)
            if refusal is not None:
                return refusal
        query = request.rel_url.raw_query_string
        return _MatchedRequest(
            name, f"{subpath}?{query}" if query else subpath, kind, hop, account
        )

    def _head_refusal(
        self,
        request: web.Request,
        service: str,
        kind: WorkKind,
        account: AccountSpec | None,
    ) -> Reason | None:
        refusal = self.accounts.region_refusal(account, service)
        if refusal is not None:
            return refusal
        if (request.content_length or 0) > kind.max_body_bytes:
            return Reason.BODY_TOO_LARGE
        if len(request.headers.get(KEY_HEADER, "")) > MAX_KEY_CHARS:
            return Reason.KEY_REFUSED
        return None

    def _read_hop(self, request: web.Request) -> PeerHop | None:
        path = request.rel_url.raw_path
        query = request.rel_url.raw_query_string
        return read_hop(
            request.headers,
            self._hop_keys,
            method=request.method,
            path=f"{path}?{query}" if query else path,
        )

    def _make_exchange(
        self, request: web.Request, request_id: int, matched: "_MatchedRequest"
    ) -> Exchange:
        kind, hop = matched.kind, matched.hop
        budget_ms = remaining_ms(request.headers)
        if budget_ms is None:
            budget_ms = kind.deadline_ms
        body = UploadBody(request, max_bytes=kind.max_body_bytes)
        arrival = RequestArrived(
            request_id,
            matched.service,
            kind.name,
            _caller_identity(request) if hop is None else hop.caller,
            self._driver.clock_ms() + min(budget_ms, kind.deadline_ms),
            kind.rank,
            kind.idempotent,
            key=request.headers.get(KEY_HEADER),
            body_bytes=request.content_length if body.exists else 0,
            forwarded=None if hop is None else hop.forwarded_from(),
            is_from_peer=hop is not None,
        )
        return Exchange(
            request,
            arrival_of_account(arrival, kind, matched.account),
            matched.path,
            body,
            kind=kind,
            account=matched.account,
            hop=hop,
            close_connection=self.leaving,
        )

    def _refuse_exchange(self, exchange: Exchange, reason: Reason) -> web.Response:
        if exchange.hop is None:
            self._record_outcome(exchange.account, Outcome.NOT_RUN)
        request_id = exchange.arrival.request_id
        return self._refusal_response(exchange.request, request_id, reason)

    def _record_end(self, exchange: Exchange, end: EndRequest) -> None:
        if exchange.hop is None:
            self._record_outcome(exchange.account, end.outcome)

    def _record_outcome(self, account: AccountSpec | None, outcome: Outcome) -> None:
        if account is not None:
            self.accounts.observer.record_account_request(account.name, outcome)

    def _refusal_response(
        self, request: web.Request, request_id: int, reason: Reason
    ) -> web.Response:
        response = problem_response(EndRequest(request_id, Outcome.NOT_RUN, reason))
        if ATTEMPT_HEADER in request.headers:
            response.headers[ATTEMPT_HEADER] = request.headers[ATTEMPT_HEADER]
        if self.leaving:
            response.force_close()
        return response


class _MatchedRequest(NamedTuple):
    service: str
    path: str
    kind: WorkKind
    hop: PeerHop | None
    account: AccountSpec | None


def _caller_identity(request: web.Request) -> str:
    credentials = request.headers.get("Authorization")
    if credentials is None:
        return request.remote or ""
    return hashlib.sha256(credentials.encode()).hexdigest()
