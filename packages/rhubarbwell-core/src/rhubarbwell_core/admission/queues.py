"""Queue the requests of one rank, limited in number and by their deadlines."""

import heapq
from collections import OrderedDict
from typing import NamedTuple

from rhubarbwell_core.messages import RequestArrived

__all__ = ["RankQueue", "WaitingRequest"]

OVERLOAD_WAIT_MS = 100
OVERLOAD_INTERVAL_MS = 500
MAX_WAITING = 1_000
MAX_WAITING_IN_OVERLOAD = 16


class WaitingRequest(NamedTuple):
    """Hold a queued request, when it was queued and by when it must start.

    A request that starts at last_start_ms or later can't meet its deadline.
    """

    req: RequestArrived
    queued_ms: int
    last_start_ms: int


class RankQueue:
    """Queue requests of one rank.

    The oldest is served first; under sustained overload the newest is.
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, WaitingRequest] = OrderedDict()
        self._last_starts: list[tuple[int, int]] = []
        self._overload_since_ms: int | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        request_id = waiting.req.request_id
        self._waiting[request_id] = waiting
        heapq.heappush(self._last_starts, (waiting.last_start_ms, request_id))

    def pop(self, now_ms: int) -> WaitingRequest:
        """Remove and return the next request; raise KeyError if the queue is empty."""
        newest_first = self.is_overloaded(now_ms)
        _, waiting = self._waiting.popitem(last=newest_first)
        if not newest_first:
            self._update_overload(now_ms - waiting.queued_ms, now_ms)
        if not self._waiting:
            self._reset_overload_state()
        return waiting

    def withdraw(self, request_id: int) -> bool:
        """Return True and remove a request if it is queued, else return False."""
        was_waiting = self._waiting.pop(request_id, None) is not None
        if not self._waiting:
            self._reset_overload_state()
        return was_waiting

    def pop_expired(self, now_ms: int) -> list[WaitingRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired: list[WaitingRequest] = []
        while self._last_starts and self._last_starts[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._last_starts)
            waiting = self._waiting.pop(request_id, None)
            if waiting is not None:
                expired.append(waiting)
        # Expired requests prove overload, so it holds at once.
        if expired and self._overload_since_ms is None:
            self._overload_since_ms = now_ms - OVERLOAD_INTERVAL_MS
        return expired

    def pop_excess(self, now_ms: int) -> list[WaitingRequest]:
        """Remove and return the oldest requests beyond the queue's bound."""
        overloaded = self.is_overloaded(now_ms)
        bound = MAX_WAITING_IN_OVERLOAD if overloaded else MAX_WAITING
        excess = len(self._waiting) - bound
        return [self._waiting.popitem(last=False)[1] for _ in range(excess)]

    def is_overloaded(self, now_ms: int) -> bool:
        """Return True if waits have been long for at least OVERLOAD_INTERVAL_MS.

        A wait of OVERLOAD_WAIT_MS or more is long. Overload ends when pop or withdraw
        empties the queue.
        """
        since_ms = self._overload_since_ms
        return since_ms is not None and now_ms - since_ms >= OVERLOAD_INTERVAL_MS

    def _update_overload(self, wait_ms: int, now_ms: int) -> None:
        if wait_ms < OVERLOAD_WAIT_MS:
            self._overload_since_ms = None
        elif self._overload_since_ms is None:
            self._overload_since_ms = now_ms

    def _reset_overload_state(self) -> None:
        self._last_starts.clear()
        self._overload_since_ms = None
