"""Read and filter the headers of forwarded requests and answers."""

import re
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict, CIMultiDictProxy

__all__ = [
    "ACCOUNT_HEADER",
    "API_KEY_HEADER",
    "ATTEMPT_HEADER",
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "end_to_end_headers",
    "is_shed",
    "remaining_ms",
]

ACCOUNT_HEADER = "Rhubarbwell-Account"
API_KEY_HEADER = "Rhubarbwell-Api-Key"
ATTEMPT_HEADER = "Rhubarbwell-Attempt"
DEADLINE_HEADER = "Rhubarbwell-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Rhubarbwell-Outcome"
REASON_HEADER = "Rhubarbwell-Reason"
RHUBARBWELL_PREFIX = "rhubarbwell-"
SHED_STATUSES = frozenset({429, 503})

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# aiohttp reads these in an answer but raises ValueError instead of writing them.
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

Headers = CIMultiDict[str] | CIMultiDictProxy[str]


def end_to_end_headers(headers: Headers) -> CIMultiDict[str]:
    """Return a copy without hop-by-hop, Rhubarbwell-* and unwritable headers.

    >>> kept = end_to_end_headers(CIMultiDict({"Connection": "X-A", "X-A": "1"}))
    >>> list(kept)
    []
    """
    dropped = _HOP_BY_HOP | _connection_options(headers.getall("Connection", ()))
    kept = CIMultiDict[str]()
    for name, value in headers.items():
        lower = name.lower()
        is_dropped = lower in dropped or lower.startswith(RHUBARBWELL_PREFIX)
        if not is_dropped and _CONTROL_CHARACTERS.search(value) is None:
            kept.add(name, value)
    return kept


def is_shed(status: int, headers: Mapping[str, str], *, idempotent: bool) -> bool:
    """Return True if an answer says that the backend server did not start the work.

    That is the outcome not_run, a 429 or 503 with Retry-After, or any 429 or 503 to
    an idempotent request.

    >>> is_shed(503, {"Retry-After": "1"}, idempotent=False)
    True
    >>> is_shed(503, {}, idempotent=False)
    False
    """
    if headers.get(OUTCOME_HEADER) == "not_run":
        return True
    return status in SHED_STATUSES and (idempotent or "Retry-After" in headers)


def remaining_ms(headers: Mapping[str, str]) -> int | None:
    """Return the caller's deadline in ms from now, None if absent or malformed.

    >>> remaining_ms({"Rhubarbwell-Deadline-Ms": "250"})
    250
    >>> remaining_ms({"Rhubarbwell-Deadline-Ms": "soon"}) is None
    True
    """
    value = headers.get(DEADLINE_HEADER, "")
    return int(value) if value.isascii() and value.isdigit() else None


def _connection_options(values: Iterable[str]) -> frozenset[str]:
    names = (name for value in values for name in value.split(","))
    return frozenset(name.strip().lower() for name in names)
