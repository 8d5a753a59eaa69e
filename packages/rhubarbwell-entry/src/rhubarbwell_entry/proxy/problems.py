"""Create problem documents that tell callers why a request was not answered."""

import json

from aiohttp import web
from rhubarbwell_core.messages import EndRequest
from rhubarbwell_core.model import Outcome, Reason

from rhubarbwell_entry.proxy.headers import OUTCOME_HEADER, REASON_HEADER

__all__ = ["problem_response", "problem_status"]

PROBLEM_TYPE_PREFIX = "urn:rhubarbwell:problem:"
DEFAULT_RETRY_AFTER_MS = 1_000

_STATUSES = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_KIND: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REFUSED: 400,
    Reason.UNKNOWN_ACCOUNT: 401,
    Reason.FORGED_HOP: 403,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.KEY_REUSED: 422,
    Reason.DEADLINE: 504,
    Reason.BACKEND_FAILED: 502,
    Reason.CALLER_GONE: 499,
}

_DETAILS = {
    Outcome.ANSWERED: "The request has run before; its answer is no longer kept.",
    Outcome.NOT_RUN: "The request was not run and may be sent again.",
    Outcome.UNKNOWN: "The request may have run; ask its service before a repeat.",
}


def problem_status(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status for a request that ended without an answer.

    >>> problem_status(Outcome.NOT_RUN, Reason.OVERLOAD)
    503
    >>> problem_status(Outcome.UNKNOWN, Reason.STOPPING)
    502
    """
    fallback = 503 if outcome is Outcome.NOT_RUN else 502
    return _STATUSES.get(reason, fallback)


def problem_response(end: EndRequest) -> web.Response:
    """Return the problem document for a request that ended without an answer."""
    status = problem_status(end.outcome, end.reason)
    document = {
        "type": PROBLEM_TYPE_PREFIX + end.reason.value,
        "title": end.reason.value.replace("_", " "),
        "status": status,
        "detail": _DETAILS[end.outcome],
        "outcome": end.outcome.value,
        "reason": end.reason.value,
    }
    headers = {OUTCOME_HEADER: end.outcome.value, REASON_HEADER: end.reason.value}
    if status == 503:
        wait_ms = end.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        headers["Retry-After"] = str(-(-wait_ms // 1_000))
    return web.Response(
        status=status,
        text=json.dumps(document),
        headers=headers,
        content_type="application/problem+json",
    )
