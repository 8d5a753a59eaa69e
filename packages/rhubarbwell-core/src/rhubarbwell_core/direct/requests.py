"""Define the active requests of direct forwarding, their targets and refusals."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.direct.model import Route
from rhubarbwell_core.model import Address

__all__ = ["ActiveRequest", "Refusal", "RefusalReason", "Target"]


class RefusalReason(Enum):
    """Represent why a request was not sent to a backend server."""

    NO_BACKEND = "no_backend"
    NO_ROOM = "no_room"
    COLD_START = "cold_start"
    RATE_LIMIT = "rate_limit"
    PAUSED = "paused"


class Refusal(NamedTuple):
    """Hold the reason for a refusal and the time in ms after which to retry.

    load and expected_ms describe the best server, if one was usable.
    """

    reason: RefusalReason
    retry_after_ms: int
    load: float = 0.0
    expected_ms: float = 0.0


class Target(NamedTuple):
    """Hold the backend server chosen for an attempt and the estimates behind it.

    expected_ms is the estimated time from sending to the answer, of which
    processing_ms is the normal processing time at the server. load_age_ms is the age
    of the last load report, None if it has expired. holds_object is True if the
    server recently answered this instance for the object. assigned_region is the
    region that the object was assigned to, which may differ from the server's.
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
    assigned_region: str | None = None


class ActiveRequest:
    """Store the state of a request from its arrival to its answer."""

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
        """Return the time in ms at which the request ends without an answer."""
        return self.route.expires_ms(self.arrived_ms, self.deadline_ms)
