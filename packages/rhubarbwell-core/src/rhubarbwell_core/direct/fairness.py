"""Compare what accounts get of an overloaded service with an equal share."""

from collections import Counter, deque
from typing import NamedTuple

from rhubarbwell_core.direct.requests import ActiveRequest

__all__ = ["AccountShares"]

# Time over which the shares of accounts are compared; a queue drains several times.
WINDOW_MS = 4_000
# With fewer requests an account is over its share by chance.
MIN_REQUESTS_OVER_SHARE = 3
# Accounts that ask for equally much differ by less than this factor.
CHANCE_FACTOR = 1.25


class _Class(NamedTuple):
    """Name the requests of a service that compete with each other.

    Those of accounts with home regions compete for other servers than the rest.
    """

    service: str
    priority: int
    home_regions: frozenset[str] | None


class _Window:
    """Count the requests of the last WINDOW_MS by account."""

    def __init__(self) -> None:
        self._times = deque[tuple[int, str | None]]()
        self.counts = Counter[str | None]()

    def __deepcopy__(self, _: object) -> "_Window":
        """Return a copy; there may be thousands of requests."""
        other = _Window()
        other._times, other.counts = self._times.copy(), self.counts.copy()
        return other

    def add(self, account: str | None, now_ms: int) -> None:
        """Count a request."""
        self._times.append((now_ms, account))
        self.counts[account] += 1

    def advance(self, now_ms: int) -> None:
        """Forget the requests before the window."""
        times = self._times
        while times and times[0][0] < now_ms - WINDOW_MS:
            _, account = times.popleft()
            self.counts[account] -= 1
            if not self.counts[account]:
                del self.counts[account]


class AccountShares:
    """Tell which accounts have been sent more than an equal share of a service.

    The share is that of the requests of one priority that this instance sent in the
    last seconds, divided by the accounts that asked for the service. Requests without
    an account count as one class, which is never over its share.
    """

    def __init__(self) -> None:
        self._arrived: dict[_Class, _Window] = {}
        self._sent: dict[_Class, _Window] = {}

    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Count a request that arrived."""
        self._add(self._arrived, req, now_ms)

    def record_sent(self, req: ActiveRequest, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        self._add(self._sent, req, now_ms)

    def is_over_share(self, req: ActiveRequest, now_ms: int) -> bool:
        """Return True if the account of a request has more than an equal share."""
        sent = self._sent.get(_class_of(req))
        arrived = self._arrived.get(_class_of(req))
        if req.account is None or sent is None or arrived is None:
            return False
        arrived.advance(now_ms)
        sent.advance(now_ms)
        equal_share = sent.counts.total() / max(len(arrived.counts), 1)
        limit = max(CHANCE_FACTOR * equal_share, MIN_REQUESTS_OVER_SHARE)
        return sent.counts[req.account.name] > limit

    @staticmethod
    def _add(windows: dict[_Class, _Window], req: ActiveRequest, now_ms: int) -> None:
        window = windows.setdefault(_class_of(req), _Window())
        window.advance(now_ms)
        window.add(None if req.account is None else req.account.name, now_ms)


def _class_of(req: ActiveRequest) -> _Class:
    homes = None if req.account is None else req.account.home_regions
    return _Class(req.service, req.priority, homes)
