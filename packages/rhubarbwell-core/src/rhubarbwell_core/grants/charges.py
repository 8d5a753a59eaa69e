"""Accounting of forwarded requests against the link rates of grants."""

from collections.abc import Container
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.grants.borrower import LenderKey
from rhubarbwell_core.grants.demand import DEFAULT_RESPONSE_BYTES
from rhubarbwell_core.links import TokenBucket
from rhubarbwell_core.messages import Allowance, RequestArrived

__all__ = ["LinkCharges"]

# Larger bodies and those of unknown size are paced at a reserved rate.
MAX_UNPACED_BODY_BYTES = 65_536


class _TokenBuckets(NamedTuple):
    requests: TokenBucket
    responses: TokenBucket


class LinkCharges:
    """Charge forwarded requests to the link rates of their grants."""

    def __init__(self) -> None:
        self._buckets = Table[LenderKey, _TokenBuckets]("link token buckets")

    def set_rates(self, key: LenderKey, allowance: Allowance, now_ms: int) -> None:
        """Set the rates of a lender's grant."""
        buckets = self._buckets.get(key)
        if buckets is None:
            buckets = _TokenBuckets(TokenBucket(), TokenBucket())
            self._buckets.insert(key, buckets)
        buckets.requests.set_rate(allowance.request_bytes_per_s, now_ms)
        buckets.responses.set_rate(allowance.response_bytes_per_s, now_ms)

    def charge(
        self, key: LenderKey, allowance: Allowance, req: RequestArrived, now_ms: int
    ) -> int | None:
        """Charge a request and return its pace in bytes/s.

        Return 0 if the body needs no pacing and None if the grant's rates are used up
        or its pace is too slow for the deadline.
        """
        buckets = self._buckets.get(key)
        if buckets is None or not buckets.responses.has_credit(now_ms):
            return None
        if req.body_bytes is not None and req.body_bytes <= MAX_UNPACED_BODY_BYTES:
            if not buckets.requests.has_credit(now_ms):
                return None
            buckets.requests.charge(req.body_bytes)
            buckets.responses.charge(DEFAULT_RESPONSE_BYTES)
            return 0
        pace = allowance.request_bytes_per_s // allowance.concurrent
        left_ms = req.deadline_ms - now_ms
        if (req.body_bytes or 0) * 1_000 > pace * left_ms:
            return None
        if not buckets.requests.can_reserve(pace):
            return None
        buckets.requests.reserve(pace, now_ms)
        buckets.responses.charge(DEFAULT_RESPONSE_BYTES)
        return pace

    def release(self, key: LenderKey, bytes_per_s: int, now_ms: int) -> None:
        """Release the rate reserved for a request that has ended."""
        buckets = self._buckets.get(key)
        if buckets is not None and bytes_per_s:
            buckets.requests.release(bytes_per_s, now_ms)

    def keep_only(self, keys: Container[LenderKey]) -> None:
        """Remove the token buckets of lenders that are not in keys."""
        for key in [key for key in self._buckets if key not in keys]:
            self._buckets.remove(key)
