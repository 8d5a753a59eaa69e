"""Store the open exchanges with callers."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from rhubarbwell_core.messages import EndRequest, ReplayAnswer, RequestArrived
from rhubarbwell_core.model import AccountSpec, WorkKind

from rhubarbwell_entry.proxy.answers import replay_response
from rhubarbwell_entry.proxy.bodies import UploadBody
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_entry.proxy.peers import PeerHop
from rhubarbwell_entry.proxy.problems import problem_response

__all__ = ["Exchange", "ExchangeTable"]


class Exchange:
    """Hold a caller's request with body and response until the request is answered.

    hop is set for requests of peers; close_connection closes the caller's
    connection after the response. arrival has the account that the core decides with,
    account the current one. sent_attempts counts the attempts that run or have sent
    something.
    """

    def __init__(
        self,
        request: web.Request,
        arrival: RequestArrived,
        path: str,
        body: UploadBody,
        *,
        kind: WorkKind,
        account: AccountSpec | None = None,
        hop: PeerHop | None = None,
        close_connection: bool = False,
    ) -> None:
        self.request = request
        self.arrival = arrival
        self.path = path
        self.body = body
        self.ended: asyncio.Future[EndRequest] = asyncio.Future()
        self.response: web.StreamResponse | None = None
        self.kind = kind
        self.account = account
        self.hop = hop
        self.sent_attempts = 0
        self._close_connection = close_connection

    @property
    def keeps_answer(self) -> bool:
        """Return True if the answer must be kept for repeats of the request."""
        return self.arrival.key is not None and not self.arrival.idempotent

    def has_account_of_arrival(self) -> bool:
        """Return True if the account is the one with which the core decides."""
        account, arrival = self.account, self.arrival
        if account is None:
            return not arrival.account
        known = (arrival.account, arrival.home_regions)
        return known == (account.name, account.home_regions)

    def is_caller_connected(self) -> bool:
        """Return True if the caller's connection is open."""
        transport = self.request.transport
        return transport is not None and not transport.is_closing()

    def set_response(self, response: web.StreamResponse) -> None:
        """Set the response; if a peer sent the request, echo the id of its attempt."""
        if self.hop is not None:
            response.headers[ATTEMPT_HEADER] = self.hop.attempt_id
        if self._close_connection:
            response.force_close()
        self.response = response

    def finish(self, end: EndRequest) -> web.StreamResponse:
        """Return the response; if it is incomplete, abort the connection."""
        if self.response is None:
            self.set_response(problem_response(end))
        elif self.response.prepared and end.outcome is not end.outcome.ANSWERED:
            self.response.force_close()
            if self.request.transport is not None:
                self.request.transport.abort()
        assert self.response is not None
        return self.response


class ExchangeTable:
    """Store the open exchanges by request id; call on_end when one ends."""

    def __init__(self, on_end: Callable[[Exchange, EndRequest], None]) -> None:
        self._on_end = on_end
        self._exchanges: dict[int, Exchange] = {}
        self._next_id = 0

    def __len__(self) -> int:
        return len(self._exchanges)

    def new_request_id(self) -> int:
        """Return an unused request id."""
        self._next_id += 1
        return self._next_id

    def add(self, exchange: Exchange) -> None:
        """Add a new exchange."""
        self._exchanges[exchange.arrival.request_id] = exchange

    def get(self, request_id: int) -> Exchange | None:
        """Return the exchange of a request that is still open, else None."""
        return self._exchanges.get(request_id)

    def replay(self, action: ReplayAnswer) -> None:
        """Set the response of an exchange to the kept answer of an earlier run."""
        exchange = self._exchanges.get(action.request_id)
        if exchange is not None:
            exchange.set_response(replay_response(action.answer))

    def end(self, action: EndRequest) -> None:
        """Remove an exchange and pass the request's end to the waiting handler."""
        exchange = self._exchanges.pop(action.request_id, None)
        if exchange is None:
            return
        self._on_end(exchange, action)
        if not exchange.ended.done():
            exchange.ended.set_result(action)
