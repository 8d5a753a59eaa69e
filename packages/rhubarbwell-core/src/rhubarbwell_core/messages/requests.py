"""Events and actions in the lifetime of a request."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.messages.keys import KeptAnswer
from rhubarbwell_core.model.identity import Address
from rhubarbwell_core.model.outcomes import Outcome, Reason
from rhubarbwell_core.model.ranks import Rank

__all__ = [
    "AttemptEnd",
    "AttemptEnded",
    "AttemptHeadersReceived",
    "CallerGone",
    "CancelAttempt",
    "EndRequest",
    "ForwardedFrom",
    "RequestArrived",
    "SendAttempt",
    "ShutdownForced",
    "Target",
]


class ForwardedFrom(NamedTuple):
    """Identify the peer that forwarded a request and the grant it used."""

    instance_id: str
    grant_id: str
    attempt_id: str
    hops: int


class RequestArrived(NamedTuple):
    """Report that the head of a request has been read.

    is_from_peer marks a request that another entry instance sent, with forwarded
    set if it did so under a grant. account is the name of the client account, empty
    if the request needs none; home_regions are the regions that may run its requests.
    """

    request_id: int
    service: str
    kind: str
    caller: str
    deadline_ms: int
    rank: Rank
    idempotent: bool
    key: str | None = None
    body_bytes: int | None = None
    body_digest: str | None = None
    forwarded: ForwardedFrom | None = None
    is_from_peer: bool = False
    account: str = ""
    home_regions: tuple[str, ...] | None = None

    def may_run_in(self, region: str) -> bool:
        """Return True if the region is one of the account's home regions."""
        return self.home_regions is None or region in self.home_regions


class CallerGone(NamedTuple):
    """Report that the caller closed its connection."""

    request_id: int


class AttemptHeadersReceived(NamedTuple):
    """Report that the status line and headers of an answer have been read."""

    attempt_id: str
    status: int


class AttemptEnd(Enum):
    """Name the way in which an attempt ended.

    CROSSED stands for an answer that belongs to another attempt. An attempt that has
    not been sent ends as ACCOUNT_REFUSED if its request has no client account any more,
    and as REGION_REFUSED if this region is no home region of the account any more.
    """

    ANSWERED = "answered"
    SHED = "shed"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET_BEFORE_ANSWER = "reset_before_answer"
    RESET_AFTER_HEADERS = "reset_after_headers"
    RESET_MID_BODY = "reset_mid_body"
    CUT_SHORT = "cut_short"
    CROSSED = "crossed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    CALLER_GONE = "caller_gone"
    BODY_TOO_LARGE = "body_too_large"
    STOPPED = "stopped"
    PEER_LOST = "peer_lost"
    PEER_NOT_RUN = "peer_not_run"
    PEER_UNKNOWN = "peer_unknown"
    ACCOUNT_REFUSED = "account_refused"
    REGION_REFUSED = "region_refused"

    @property
    def is_connect_failure(self) -> bool:
        """Return True if no connection was opened, so that nothing was sent."""
        return self in (AttemptEnd.CONNECT_REFUSED, AttemptEnd.CONNECT_TIMEOUT)


class AttemptEnded(NamedTuple):
    """Report the end of an attempt; bytes_sent counts head and body."""

    attempt_id: str
    end: AttemptEnd
    bytes_sent: int
    latency_ms: int
    status: int | None = None
    connection_was_fresh: bool = True
    body_replayable: bool = True
    peer_reason: Reason | None = None
    answer: KeptAnswer | None = None


class Target(NamedTuple):
    """Identify the backend server or, with a grant, the peer that gets an attempt.

    The attempt must not be sent at or after send_before_ms; bytes_per_s limits
    the rate at which the request's body is sent.
    """

    target_id: str
    address: Address
    grant_id: str | None = None
    fresh_connection: bool = False
    send_before_ms: int | None = None
    bytes_per_s: int | None = None


class SendAttempt(NamedTuple):
    """Ask the shell to send the request to the target until deadline_ms."""

    request_id: int
    attempt_id: str
    target: Target
    deadline_ms: int
    fresh_connection: bool = False


class ShutdownForced(NamedTuple):
    """Report that the entry instance stops without waiting for open requests."""


class CancelAttempt(NamedTuple):
    """Ask the shell to cancel a running attempt."""

    attempt_id: str


class EndRequest(NamedTuple):
    """Ask the shell to tell the caller the outcome of its request."""

    request_id: int
    outcome: Outcome
    reason: Reason
    retry_after_ms: int | None = None
