"""Requests that wait on a connection, and those that run before their turn."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from rhubarbwell_entry.memory import LineShare

__all__ = ["MAX_STARTED", "EarlyStarter", "LinePlace", "RequestLine", "line_place"]

# Requests of one connection that are started and not answered, the first included.
MAX_STARTED = 16


class LinePlace:
    """Hold a request whose response is not written, and its place on a connection.

    read_s is when its head was read, in s of the event loop's clock. task is set once
    the request has been started before its turn; began_s is when its turn came.
    """

    __slots__ = (
        "began_s",
        "can_overtake",
        "message",
        "payload",
        "read_s",
        "request",
        "share",
        "task",
        "was_behind",
    )

    def __init__(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        read_s: float,
        *,
        was_behind: bool,
    ) -> None:
        self.message = message
        self.payload = payload
        self.read_s = read_s
        # True if earlier requests were open when the head was read.
        self.was_behind = was_behind
        self.request: web.BaseRequest | None = None
        self.task: asyncio.Task[Any] | None = None
        # Counts its answers while it waits for its turn.
        self.share: LineShare | None = None
        self.began_s: float | None = None
        # None until it is known whether the request may run beside others.
        self.can_overtake: bool | None = None

    def waited_s(self, now_s: float) -> float:
        """Return for how long the request waited for its turn, 0 if it came first."""
        if not self.was_behind:
            return 0.0
        return (now_s if self.began_s is None else self.began_s) - self.read_s

    def set_request(self, request: web.BaseRequest) -> web.BaseRequest:
        """Record the request that is made of the message, and return it."""
        self.request = request
        request[PLACE_KEY] = self
        return request


PLACE_KEY = web.RequestKey("line_place", LinePlace)


def line_place(request: web.BaseRequest) -> LinePlace | None:
    """Return the place of a request on its connection, None without a line."""
    place: LinePlace | None = request.get(PLACE_KEY)
    return place


class EarlyStarter(Protocol):
    """Decide which requests start before their turn, and run them."""

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return True if a request without a body may run beside others."""

    def start(self, place: LinePlace, *, is_early: bool) -> bool:
        """Start a request whose turn has not come; False if there is no memory for it.

        is_early is True if others are before it.
        """

    def drop(self, request: web.BaseRequest, task: asyncio.Task[Any]) -> None:
        """Cancel a started request whose connection ended before its turn."""

    def record_limit(self) -> None:
        """Count a connection that has reached MAX_STARTED."""


class RequestLine:
    """Keep the open requests of a connection in order and start some of them early.

    The first one is being served or about to be. Those behind it that may run beside
    others start at once, unless one between cannot or MAX_STARTED are open.
    """

    def __init__(
        self,
        starter: EarlyStarter,
        make_request: Callable[[RawRequestMessage, StreamReader], web.BaseRequest],
    ) -> None:
        self._starter = starter
        self._make_request = make_request
        self._places: deque[LinePlace] = deque()
        # No request is started before its turn any more.
        self.is_stopped = False
        self._has_reached_limit = False

    @property
    def waiting(self) -> int:
        """Return the number of requests that are behind others."""
        return max(len(self._places) - 1, 0)

    @property
    def has_started_waiting(self) -> bool:
        """Return True if a request has been started whose turn has not come."""
        return any(
            place.task is not None and place.began_s is None
            for place in islice(self._places, 2)
        )

    def add(
        self, message: RawRequestMessage, payload: StreamReader, read_s: float
    ) -> None:
        """Add a request that has been read."""
        was_behind = bool(self._places)
        self._places.append(LinePlace(message, payload, read_s, was_behind=was_behind))

    def first_place(self, message: RawRequestMessage) -> LinePlace | None:
        """Return the place of a message whose turn comes, None for another one."""
        if not self._places or self._places[0].message is not message:
            return None
        return self._places[0]

    def start_early(self) -> None:
        """Start the requests that may run now."""
        if len(self._places) < 2 or self.is_stopped:
            return
        for number, place in enumerate(self._places):
            if not self._can_overtake(place):
                return
            if number == MAX_STARTED:
                if not self._has_reached_limit:
                    self._has_reached_limit = True
                    self._starter.record_limit()
                return
            is_open = place.task is not None or place.began_s is not None
            if not is_open and not self._starter.start(place, is_early=number > 0):
                return

    def end_first(self, place: LinePlace) -> None:
        """Remove the first request, which has been answered, and start others."""
        if self._places and self._places[0] is place:
            self._places.popleft()
            # The request refers to its place.
            place.request = None
            self.start_early()

    def end(self) -> None:
        """Cancel all requests of a connection that has ended."""
        self.is_stopped = True
        for place in self._places:
            if place.task is not None and place.began_s is not None:
                place.task.cancel()
            elif place.task is not None:
                self._starter.drop(self._request(place), place.task)
            place.request = None
        self._places.clear()

    def _can_overtake(self, place: LinePlace) -> bool:
        if place.can_overtake is None:
            place.can_overtake = False
            # Errors of a request are reported when its turn comes.
            with contextlib.suppress(Exception):
                place.can_overtake = (
                    place.payload is EMPTY_PAYLOAD
                    and not place.message.upgrade
                    and self._starter.may_overtake(self._request(place))
                )
        return place.can_overtake

    def _request(self, place: LinePlace) -> web.BaseRequest:
        if place.request is None:
            return place.set_request(self._make_request(place.message, place.payload))
        return place.request
