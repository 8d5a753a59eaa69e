"""Define the active requests of direct forwarding, their targets and refusals."""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.model import Route
from rhubarbwell_core.model import Address

__all__ = ["ActiveRequest", "OpenRequestIds", "Refusal", "RefusalReason", "Target"]


class RefusalReason(Enum):
    """Represent why a request was not sent to a backend server."""

    NO_BACKEND = "no_backend"
    NO_ROOM = "no_room"
    COLD_START = "cold_start"
    RATE_LIMIT = "rate_limit"
    PAUSED = "paused"
    NO_HOME_REGION = "no_home_region"
    TOO_LATE = "too_late"
    BACKLOG = "backlog"
    FAIR_SHARE = "fair_share"
    BODY_BYTES = "body_bytes"


class Refusal(NamedTuple):
    """Hold the reason for a refusal and the time in ms after which to retry.

    load, expected_ms and queue_ms describe the best server, if one was usable.
    admitted_share is the share of the service's requests that are admitted while its
    backlog drains.
    """

    reason: RefusalReason
    retry_after_ms: int
    load: float = 0.0
    expected_ms: float = 0.0
    queue_ms: float = 0.0
    admitted_share: float = 1.0


class OpenRequestIds:
    """Track the ids of an instance's requests in progress.

    A request that is not idempotent shares its id with no other, as the outcome of
    one would be taken for that of the other. Each id should be of one request only.

    >>> ids = OpenRequestIds()
    >>> ids.try_add("r-1", idempotent=False), ids.try_add("r-1", idempotent=True)
    (True, False)
    >>> ids.remove("r-1")
    >>> [ids.try_add("r-1", idempotent=True) for _ in range(2)]
    [True, True]
    """

    def __init__(self) -> None:
        self._idempotent = Counter[str]()
        self._others: set[str] = set()

    def try_add(self, request_id: str, *, idempotent: bool) -> bool:
        """Add a request and return True, unless its id is that of another one."""
        if request_id in self._others:
            return False
        if idempotent:
            self._idempotent[request_id] += 1
            return True
        if request_id in self._idempotent:
            return False
        self._others.add(request_id)
        return True

    def remove(self, request_id: str) -> None:
        """Remove a request that has ended."""
        if request_id in self._others:
            self._others.remove(request_id)
            return
        self._idempotent[request_id] -= 1
        if not self._idempotent[request_id]:
            del self._idempotent[request_id]


class Target(NamedTuple):
    """Hold the backend server chosen for an attempt and the estimates behind it.

    expected_ms is the estimated time from sending to the answer, of which
    processing_ms is the normal processing time at the server. load_age_ms is the age
    of the last load report, None if it has expired. holds_object is True if the
    server recently answered this instance for the object. assigned_region is the
    region that the object was assigned to, which may differ from the server's. queue_ms
    is the part of expected_ms that the request waits at the server.
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
    queue_ms: float = 0.0


class ActiveRequest:
    """Store the state of a request from its arrival to its answer."""

    __slots__ = (
        "account",
        "arrived_ms",
        "attempts",
        "body_bytes",
        "deadline_ms",
        "home_regions",
        "is_sent",
        "may_have_run",
        "object_key",
        "priority",
        "request_id",
        "route",
        "service",
        "tried_backends",
        "uses_accounts",
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
        account: ClientAccount | None = None,
        uses_accounts: bool = False,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.service = service
        self.object_key = object_key
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.body_bytes = body_bytes
        # True if the configuration has accounts, whose headers are then not passed on.
        self.uses_accounts = uses_accounts
        self.set_account(account)
        self.attempts = 0
        self.may_have_run = False
        # True once an attempt had a connection, on which it may have been sent.
        self.is_sent = False
        self.tried_backends: set[str] = set()

    def set_account(self, account: ClientAccount | None) -> None:
        """Set the account with its priority and home regions."""
        self.account = account
        self.priority = self.route.priority
        # Regions whose servers may get the request, None without a restriction.
        self.home_regions = self.route.home_regions or None
        if account is not None:
            if account.priority is not None:
                self.priority = account.priority
            self.home_regions = _common_regions(self.home_regions, account.home_regions)

    @property
    def expires_ms(self) -> int:
        """Return the time in ms at which the request ends without an answer."""
        return self.route.expires_ms(self.arrived_ms, self.deadline_ms)


def _common_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    if first is None or second is None:
        return first if second is None else second
    return first & second
