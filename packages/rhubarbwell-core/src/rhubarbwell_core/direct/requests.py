"""Requests under way in direct forwarding and what is decided on them."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.direct.model import Route
from rhubarbwell_core.model import Address

__all__ = ["ActiveRequest", "Refusal", "RefusalReason", "Target"]


class RefusalReason(Enum):
    """Tell why a request was not sent on."""

    NO_BACKEND = "no_backend"
    NO_ROOM = "no_room"
    COLD_START = "cold_start"


class Refusal(NamedTuple):
    """Tell that no backend server gets a request and when to come back."""

    reason: RefusalReason
    retry_after_ms: int
    load: float = 0.0
    expected_ms: float = 0.0


class Target(NamedTuple):
    """Name the backend server that gets an attempt.

    expected_ms is the time from sending to answer; processing_ms is the part of it that
    the server works; holds_object tells that the server lately worked on the object
    for this instance; load_age_ms is the age of the report
    behind load, None where it counts the own requests alone.
    """

    backend_id: str
    address: Address
    service: str
    zone: str
    position: int
    expected_ms: float
    processing_ms: float
    load: float
    load_age_ms: int | None
    is_cold: bool
    holds_object: bool = False


class ActiveRequest:
    """Hold the state of a request from its arrival to its answer."""

    __slots__ = (
        "arrived_ms",
        "attempts",
        "body_bytes",
        "deadline_ms",
        "may_have_run",
        "object_key",
        "request_id",
        "route",
        "service",
        "tried_backends",
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        service: str,
        object_key: str,
        *,
        arrived_ms: int,
        deadline_ms: int,
        body_bytes: int = 0,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.service = service
        self.object_key = object_key
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.body_bytes = body_bytes
        self.attempts = 0
        self.may_have_run = False
        self.tried_backends: set[str] = set()

    @property
    def expires_ms(self) -> int:
        """Return when the request ends without an answer."""
        return min(self.deadline_ms, self.arrived_ms + self.route.timeout_ms)
