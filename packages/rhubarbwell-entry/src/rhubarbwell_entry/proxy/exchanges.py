"""The exchanges with callers that are going on."""

import asyncio
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_core.messages import EndRequest, RequestArrived

from rhubarbwell_entry.proxy.bodies import UploadBody

__all__ = ["Exchange", "ExchangeTable"]


class Exchange(NamedTuple):
    """Hold what the shell knows of one request that has not ended."""

    arrived: RequestArrived
    request: web.BaseRequest
    path: str
    body: UploadBody
    ended: asyncio.Future[EndRequest]
    response: list[web.StreamResponse]

    @property
    def answering(self) -> bool:
        """Tell whether an attempt has begun to answer the caller."""
        return bool(self.response)


class ExchangeTable:
    """Hold the exchanges under their request ids."""

    def __init__(self) -> None:
        self._rows: dict[int, Exchange] = {}
        self._next_id = 0

    def __len__(self) -> int:
        return len(self._rows)

    def new_id(self) -> int:
        """Return a request id that no exchange has had."""
        self._next_id += 1
        return self._next_id

    def add(self, exchange: Exchange) -> None:
        """Add an exchange that begins."""
        self._rows[exchange.arrived.request_id] = exchange

    def get(self, request_id: int) -> Exchange | None:
        """Return the exchange, None once it has ended."""
        return self._rows.get(request_id)

    def end(self, action: EndRequest) -> None:
        """Tell the handler of the exchange how it ended."""
        exchange = self._rows.pop(action.request_id, None)
        if exchange is not None and not exchange.ended.done():
            exchange.ended.set_result(action)
