"""Admit the requests of all services by rank, deadline and adaptive limits."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from rhubarbwell_core.admission.decisions import Admission, Admitted, Queued, Refused
from rhubarbwell_core.admission.limits import SlotUsage
from rhubarbwell_core.admission.services import ServiceAdmission
from rhubarbwell_core.engine import Action, System, Table
from rhubarbwell_core.messages import AttemptEnd, AttemptEnded, RequestArrived
from rhubarbwell_core.model import Configuration, RankFloors, Reason
from rhubarbwell_core.routing.backends import BackendTable

__all__ = ["AdjustLimits", "AnnounceLoad", "RankAdmission"]

_CONGESTED_ENDS = frozenset({AttemptEnd.SHED, AttemptEnd.TIMEOUT})


class _Running(NamedTuple):
    req: RequestArrived
    admitted_ms: int


class RankAdmission(Admission):
    """Admit the requests of each service within an adaptive limit.

    The limit never exceeds the usable slots of the region's backend servers.
    """

    def __init__(self, backends: BackendTable, *, now_ms: int = 0) -> None:
        self._backends = backends
        self._floors = RankFloors()
        self._services: dict[str, ServiceAdmission] = {}
        self._running = Table[int, _Running]("admitted requests")
        self._queued = Table[int, RequestArrived]("queued requests")
        self._now_ms = now_ms

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the services and the guaranteed shares of the ranks."""
        self._floors = configuration.deployment.floors
        for name in configuration.services:
            service = self._services.get(name)
            if service is None:
                latencies = self._backends.latency_floors(name)
                service = ServiceAdmission(self._floors, latencies, now_ms=now_ms)
                self._services[name] = service
            service.set_floors(self._floors)

    def offer(self, req: RequestArrived, now_ms: int) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a new request."""
        service = self._services.get(req.service)
        if service is None:
            return Refused(req.request_id, Reason.UNKNOWN_SERVICE)
        self._set_bounds(req.service, service)
        if not self._backends.usable_slots(req.service):
            return Refused(req.request_id, Reason.NO_BACKEND)
        typical_ms = self._backends.latencies.typical_ms(req.service, req.kind)
        decision = service.offer(req, typical_ms, now_ms)
        if isinstance(decision, Admitted):
            self._running.insert(req.request_id, _Running(req, now_ms))
        elif isinstance(decision, Queued):
            self._queued.insert(req.request_id, req)
        return decision

    def dispatch_queued(self, now_ms: int) -> list[Admitted | Refused]:
        """Admit or refuse queued requests and return the decisions."""
        decisions: list[Admitted | Refused] = []
        if not self._queued:
            return decisions
        for name, service in self._services.items():
            if not service.has_waiting:
                continue
            self._set_bounds(name, service)
            if self._backends.usable_slots(name):
                decisions += service.dispatch_queued(now_ms)
            else:
                decisions += service.refuse_all(Reason.NO_BACKEND)
        for decision in decisions:
            req = self._queued.remove(decision.request_id)
            if req is not None and isinstance(decision, Admitted):
                self._running.insert(req.request_id, _Running(req, now_ms))
        return decisions

    def withdraw(self, request_id: int, now_ms: int) -> None:
        """Remove a queued request whose caller has disconnected."""
        req = self._queued.remove(request_id)
        if req is not None:
            self._services[req.service].withdraw(req)

    def observe(self, request_id: int, ended: AttemptEnded, now_ms: int) -> None:
        """Update the limit with the result of an admitted request's attempt."""
        running = self._running.get(request_id)
        if running is None:
            return
        limit = self._services[running.req.service].limit
        if ended.end is AttemptEnd.ANSWERED:
            limit.observe_answer()
        elif ended.end in _CONGESTED_ENDS:
            limit.observe_shed()

    def release(self, request_id: int, now_ms: int) -> None:
        """Release the slot of an admitted request that has ended."""
        running = self._running.remove(request_id)
        if running is None:
            return
        service = self._services[running.req.service]
        service.release(running.req.rank, now_ms - running.admitted_ms, now_ms)

    def adjust(self, now_ms: int) -> None:
        """Update the limit of each service that has enough samples."""
        for name, service in self._services.items():
            self._set_bounds(name, service)
            service.update_mean_in_flight()
            usage = self._slot_usage(name, service, now_ms)
            service.limit.adjust(now_ms, usage=usage)

    def load(self) -> float:
        """Return the largest used fraction of a service's limit, 0 to 1."""
        services = self._services.values()
        return max((service.load for service in services), default=0.0)

    def concurrency_limit(self, service: str) -> int:
        """Return how many of a service's requests this instance may run at once.

        The result is 0 for an unknown service.
        """
        known = self._services.get(service)
        return 0 if known is None else known.limit.slots

    def _slot_usage(
        self, name: str, service: ServiceAdmission, now_ms: int
    ) -> SlotUsage | None:
        others = self._backends.others_in_flight(name, now_ms)
        if others is None:
            return None
        members = self._backends.member_count
        claimants = min(members, 1 + self._backends.busy_other_members)
        return SlotUsage(service.mean_in_flight, others, members, claimants)

    def _set_bounds(self, name: str, service: ServiceAdmission) -> None:
        share = self._backends.assigned_slot_count(name)
        ceiling = self._backends.usable_slots(name)
        service.limit.set_bounds(share=max(share, 1), ceiling=ceiling)


class AdjustLimits(System):
    """Update the limits of all services each period."""

    period_ms = 100

    def __init__(self, admission: RankAdmission) -> None:
        self._admission = admission

    def run(self, now_ms: int) -> Sequence[Action]:
        """Update the limits of services that have enough samples."""
        self._admission.adjust(now_ms)
        return ()


class AnnounceLoad(System):
    """Announce the load of this instance to its peers each period."""

    period_ms = 500

    def __init__(
        self, admission: RankAdmission, announce: Callable[[float], None]
    ) -> None:
        self._admission = admission
        self._announce = announce

    def run(self, now_ms: int) -> Sequence[Action]:
        """Announce the load, rounded to whole percent."""
        self._announce(round(self._admission.load(), 2))
        return ()
