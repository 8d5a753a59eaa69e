"""Keep slots of a region for the accounts that may not use other regions."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount

__all__ = ["HomeReservations", "ServiceRegion"]

# Largest share of a region's slots that is kept: the others must be able to show how
# much the servers take, and keep their caches warm.
MAX_RESERVED_SHARE = 0.8
# Requests after which the counts that tell the services' shares are halved.
MAX_COUNTED_REQUESTS = 4_096
# Weight of a bound request in the mean of their processing times.
MEAN_SMOOTHING = 0.05
MS_PER_S = 1_000


class ServiceRegion(NamedTuple):
    """Name the backend servers of a service in one region."""

    service: str
    region: str


class HomeReservations:
    """Tell which share of a region's slots its bound accounts need.

    An account with home regions competes there with all other callers, who may use
    other regions too. What it needs follows from its rate in the configuration, which
    all instances know; the services' shares and processing times are measured. Accounts
    without a rate have nothing kept for them.

    >>> reservations = HomeReservations()
    >>> homes = frozenset({"a"})
    >>> reservations.configure([ClientAccount("x", rate_per_s=10, home_regions=homes)])
    >>> home, other = ServiceRegion("s", "a"), ServiceRegion("s", "b")
    >>> reservations.set_slots({home: 20, other: 9})
    >>> reservations.record_request("s")
    >>> reservations.share(home, 800.0), reservations.share(other, 800.0)
    (0.4, 0)
    """

    def __init__(self) -> None:
        self._rates = defaultdict[frozenset[str], float](float)
        self._slots: Mapping[ServiceRegion, float] = {}
        self._requests = Counter[str]()
        # Mean expected processing time in ms of bound requests, by service.
        self._processing_ms: dict[str, float] = {}

    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Set the accounts of the configuration in force."""
        self._rates.clear()
        for account in accounts:
            if account.home_regions:
                self._rates[account.home_regions] += account.rate_per_s

    def set_slots(self, slots: Mapping[ServiceRegion, float]) -> None:
        """Set the slots of the servers that may be used."""
        self._slots = slots

    def record_request(self, service: str) -> None:
        """Count a request that arrived, whatever its account."""
        self._requests[service] += 1
        if self._requests.total() > MAX_COUNTED_REQUESTS:
            for name in self._requests:
                self._requests[name] //= 2

    def record_bound(self, service: str, processing_ms: float) -> None:
        """Record the expected processing time of a bound request that is sent.

        It is longer than that of others where the region's caches hold few objects.
        """
        known = self._processing_ms.get(service, processing_ms)
        known += MEAN_SMOOTHING * (processing_ms - known)
        self._processing_ms[service] = known

    def share(self, servers: ServiceRegion, mean_ms: float) -> float:
        """Return the share of the servers' slots that is kept for bound accounts.

        mean_ms is the mean processing time of the service's requests in ms, which
        counts until a bound request was sent.
        """
        if not self._rates:
            return 0.0
        processing_ms = self._processing_ms.get(servers.service, mean_ms)
        requests = self._requests.total()
        service_share = self._requests[servers.service] / requests if requests else 0.0
        # Concurrent requests per slot, in the regions to which each account is bound.
        needed = sum(
            rate
            * service_share
            * processing_ms
            / MS_PER_S
            / self._slots_in(servers, homes)
            for homes, rate in self._rates.items()
            if servers.region in homes
        )
        return min(needed, MAX_RESERVED_SHARE)

    def _slots_in(self, servers: ServiceRegion, homes: frozenset[str]) -> float:
        slots = (
            self._slots.get(ServiceRegion(servers.service, region), 0.0)
            for region in homes
        )
        return max(sum(slots), 1.0)
