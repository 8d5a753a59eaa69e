"""The link rates of grants and what forwarded requests take of them."""

from collections.abc import Container
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.grants.borrower import LenderKey
from rhubarbwell_core.grants.demand import DEFAULT_RESPONSE_BYTES
from rhubarbwell_core.links import TokenBucket
from rhubarbwell_core.messages import Allowance, RequestArrived

__all__ = ["LinkCharges"]

MAX_UNPACED_BODY_BYTES = 65_536


class _TokenBuckets(NamedTuple):
    requests: TokenBucket
    responses: TokenBucket


class LinkCharges:
    """Charge forwarded requests to the rates of the grants that cover them."""

    def __init__(self) -> None:
        self._buckets = Table[LenderKey, _TokenBuckets]("link token buckets")

    def set_rates(self, key: LenderKey, allowance: Allowance, now_ms: int) -> None:
        """Take the rates of a line's grant into force."""
        buckets = self._buckets.get(key)
        if buckets is None:
            buckets = _TokenBuckets(TokenBucket(), TokenBucket())
            self._buckets.insert(key, buckets)
        buckets.requests.set_rate(allowance.request_bytes_per_s, now_ms)
        buckets.responses.set_rate(allowance.response_bytes_per_s, now_ms)

    def charge(
        self, key: LenderKey, allowance: Allowance, req: RequestArrived, now_ms: int
    ) -> int | None:
        """Charge a request; return its pace in bytes/s, 0 for none, None if refused."""
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
        """Give back the pace of a request that has ended."""
        buckets = self._buckets.get(key)
        if buckets is not None and bytes_per_s:
            buckets.requests.release(bytes_per_s, now_ms)

    def keep_only(self, keys: Container[LenderKey]) -> None:
        """Forget the accounts of lines that are no more."""
        for key in [key for key in self._buckets if key not in keys]:
            self._buckets.remove(key)
