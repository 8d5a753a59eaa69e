"""Outcomes of requests and the reasons for them."""

from enum import Enum

__all__ = ["Outcome", "Reason"]


class Outcome(Enum):
    """State whether a request was answered, did not run or may have run."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Name the reason for the outcome of a request."""

    SERVED = "served"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    NO_CAPACITY = "no_capacity"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KIND = "unknown_kind"
    BODY_TOO_LARGE = "body_too_large"
    ANSWER_NOT_KEPT = "answer_not_kept"
    KEY_REFUSED = "key_refused"
    KEY_REUSED = "key_reused"
    STORE_UNAVAILABLE = "store_unavailable"
    OWNER_LOST = "owner_lost"
    BACKEND_FAILED = "backend_failed"
    BACKEND_SHED = "backend_shed"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"
    FORGED_HOP = "forged_hop"
    NOT_READY = "not_ready"
    UNKNOWN_ACCOUNT = "unknown_account"
    HOME_REGION = "home_region"
