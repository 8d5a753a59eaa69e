"""The link rates of grants and what forwarded requests take of them."""

from collections.abc import Container
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.grants.borrower import LenderKey
from rhubarbwell_core.grants.demand import DEFAULT_RESPONSE_BYTES
from rhubarbwell_core.links import ByteAccount
from rhubarbwell_core.messages import Allowance, RequestArrived

__all__ = ["LinkCharges"]

SMALL_BODY_BYTES = 65_536


class _Accounts(NamedTuple):
    requests: ByteAccount
    responses: ByteAccount


class LinkCharges:
    """Charge forwarded requests to the rates of the grants that cover them."""

    def __init__(self) -> None:
        self._accounts = Table[LenderKey, _Accounts]("link accounts")

    def set_rates(self, key: LenderKey, allowance: Allowance, now_ms: int) -> None:
        """Take the rates of a line's grant into force."""
        accounts = self._accounts.get(key)
        if accounts is None:
            accounts = _Accounts(ByteAccount(), ByteAccount())
            self._accounts.insert(key, accounts)
        accounts.requests.set_rate(allowance.request_bytes_per_s, now_ms)
        accounts.responses.set_rate(allowance.response_bytes_per_s, now_ms)

    def charge(
        self, key: LenderKey, allowance: Allowance, req: RequestArrived, now_ms: int
    ) -> int | None:
        """Charge a request; return its pace in bytes/s, 0 for none, None if refused."""
        accounts = self._accounts.get(key)
        if accounts is None or not accounts.responses.has_credit(now_ms):
            return None
        if req.body_bytes is not None and req.body_bytes <= SMALL_BODY_BYTES:
            if not accounts.requests.has_credit(now_ms):
                return None
            accounts.requests.charge(req.body_bytes)
            accounts.responses.charge(DEFAULT_RESPONSE_BYTES)
            return 0
        pace = allowance.request_bytes_per_s // allowance.concurrent
        left_ms = req.deadline_ms - now_ms
        if (req.body_bytes or 0) * 1_000 > pace * left_ms:
            return None
        if not accounts.requests.can_reserve(pace):
            return None
        accounts.requests.reserve(pace, now_ms)
        accounts.responses.charge(DEFAULT_RESPONSE_BYTES)
        return pace

    def release(self, key: LenderKey, bytes_per_s: int, now_ms: int) -> None:
        """Give back the pace of a request that has ended."""
        accounts = self._accounts.get(key)
        if accounts is not None and bytes_per_s:
            accounts.requests.release(bytes_per_s, now_ms)

    def keep_only(self, keys: Container[LenderKey]) -> None:
        """Forget the accounts of lines that are no more."""
        for key in [key for key in self._accounts if key not in keys]:
            self._accounts.remove(key)
