"""Decide when to send a hedge, a second attempt of an unanswered request."""

from rhubarbwell_core.requests.rows import RequestRow

__all__ = ["hedge_due_ms", "may_hedge"]

MAX_HEDGED_BODY_BYTES = 64 << 10
MIN_HEDGE_DELAY_MS = 50
# A hedge is due after 1 / HEDGE_DELAY_DIVISOR of the time from the start of the last
# attempt to the deadline.
HEDGE_DELAY_DIVISOR = 4


def may_hedge(row: RequestRow) -> bool:
    """Return True if a second attempt of the request is safe.

    The request must be idempotent, not forwarded by a peer and have a body of known
    length up to MAX_HEDGED_BODY_BYTES; its only open attempt must not have returned
    headers yet.
    """
    req = row.request
    has_small_body = (
        req.body_bytes is not None and req.body_bytes <= MAX_HEDGED_BODY_BYTES
    )
    is_unanswered = len(row.attempts) == 1 and row.answering_attempt is None
    return req.idempotent and req.forwarded is None and has_small_body and is_unanswered


def hedge_due_ms(row: RequestRow) -> int:
    """Return the time in ms from which the request may be hedged."""
    delay_ms = (row.request.deadline_ms - row.sent_ms) // HEDGE_DELAY_DIVISOR
    return row.sent_ms + max(delay_ms, MIN_HEDGE_DELAY_MS)
