"""Choose the admission of a service by what its servers report of their machines."""

from collections.abc import Iterable, Mapping

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.admission import Admission
from rhubarbwell_core.direct.backends import BackendState
from rhubarbwell_core.direct.reports import LoadReport
from rhubarbwell_core.direct.requests import ActiveRequest, Refusal, Target
from rhubarbwell_core.direct.reservations import ServiceRegion

__all__ = ["AdmissionByService", "PacedServices"]


class PacedServices:
    """Hold the services of which a server has reported the pace of its machine.

    A service stays among them when later reports lack the pace.

    >>> paced = PacedServices()
    >>> paced.record("orders", 1.0), paced.record("orders", 2.0)
    (True, False)
    >>> paced.record("bills", None), "orders" in paced, "bills" in paced
    (False, True, False)
    >>> paced.take_new(), paced.take_new()
    (['orders'], [])
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._new: list[str] = []

    def __contains__(self, service: str) -> bool:
        return service in self._names

    def record(self, service: str, pace: float | None) -> bool:
        """Record a reported pace; return True if it is the first of the service."""
        if pace is None or service in self._names:
            return False
        self._names.add(service)
        self._new.append(service)
        return True

    def take_new(self) -> list[str]:
        """Return the services that were added since the last call."""
        if not self._new:
            return []
        new, self._new = self._new, []
        return new


class AdmissionByService(Admission):
    """Apply one admission to the services in `paced` and another to the rest.

    The admission for paced services learns nothing of a service before its first pace,
    so that other deployments have neither its cost nor its random numbers.
    """

    def __init__(
        self, paced: PacedServices, for_paced: Admission, for_others: Admission
    ) -> None:
        self._paced = paced
        self._for_paced = for_paced
        self._for_others = for_others

    def of_service(self, service: str) -> Admission:
        """Return the admission that applies to a service."""
        return self._for_paced if service in self._paced else self._for_others

    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Record a request that arrived."""
        self.of_service(req.service).record_request(req, now_ms)

    def record_attempt(self, req: ActiveRequest, target: Target, now_ms: int) -> None:
        """Record an attempt that is about to be sent."""
        self.of_service(req.service).record_attempt(req, target, now_ms)

    def record_load_report(
        self, state: BackendState, load: LoadReport, now_ms: int
    ) -> None:
        """Record the load that a server reported."""
        self.of_service(state.entry.service).record_load_report(state, load, now_ms)

    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Set the client accounts of the configuration in force."""
        self._for_paced.configure(accounts)

    def set_slots(self, slots: Mapping[ServiceRegion, float]) -> None:
        """Set the slots of the servers that may be used, by service and region."""
        self._for_paced.set_slots(slots)

    def usable_limit(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> float:
        """Return the requests in progress from which a request has to queue."""
        return self.of_service(req.service).usable_limit(req, state, now_ms)

    def load(self, state: BackendState, now_ms: int) -> float:
        """Return the estimated number of requests running or queued at a server."""
        return self.of_service(state.entry.service).load(state, now_ms)

    def queue_ms(
        self,
        service: str,
        server_ms: float,
        slowness: float,
        queued: float,
        slots: float,
    ) -> float:
        """Return the expected wait in ms behind `queued` requests at a server."""
        admission = self.of_service(service)
        return admission.queue_ms(service, server_ms, slowness, queued, slots)

    def explained_ms(self, target: Target, cold_ms: float, slots: float) -> float:
        """Return the time in ms that an answer may take at a server of usual speed."""
        return self.of_service(target.service).explained_ms(target, cold_ms, slots)

    def retry_after_ms(self, req: ActiveRequest, now_ms: int) -> int:
        """Return after which time in ms a caller retries that no server is left for."""
        return self.of_service(req.service).retry_after_ms(req, now_ms)

    def refusal(
        self, req: ActiveRequest, target: Target, slots: float, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request, None if it may be sent to the target."""
        return self.of_service(req.service).refusal(req, target, slots, now_ms)
