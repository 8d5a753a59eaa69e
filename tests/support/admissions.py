"""A first-come, first-served admission control for tests."""

from collections import deque

from rhubarbwell_core.admission.decisions import Admission, Admitted, Queued, Refused
from rhubarbwell_core.messages import AttemptEnded, RequestArrived
from rhubarbwell_core.model import Configuration, Reason

__all__ = ["SlotAdmission"]


class SlotAdmission(Admission):
    """Limit the running requests of a service to its slots in the region."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._limits: dict[str, int] = {}
        self._running: dict[int, str] = {}
        self._queue: deque[RequestArrived] = deque()

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Set each service's limit to the slots of its servers in the region."""
        zones = {
            zone.name
            for zone in configuration.deployment.zones
            if zone.region == self._region
        }
        for name, service in configuration.services.items():
            slots = [b.slots for b in service.backends if b.zone in zones]
            self._limits[name] = sum(slots)

    def offer(self, req: RequestArrived, now_ms: int) -> Admitted | Queued | Refused:
        """Admit the request if a slot is free, else queue it."""
        if self._has_free_slot(req.service):
            self._running[req.request_id] = req.service
            return Admitted(req.request_id)
        self._queue.append(req)
        return Queued(req.request_id)

    def dispatch_queued(self, now_ms: int) -> list[Admitted | Refused]:
        """Admit queued requests in order and refuse those past their deadline."""
        decisions: list[Admitted | Refused] = []
        waiting: deque[RequestArrived] = deque()
        for req in self._queue:
            if now_ms >= req.deadline_ms:
                decisions.append(Refused(req.request_id, Reason.DEADLINE))
            elif self._has_free_slot(req.service):
                self._running[req.request_id] = req.service
                decisions.append(Admitted(req.request_id))
            else:
                waiting.append(req)
        self._queue = waiting
        return decisions

    def withdraw(self, request_id: int, now_ms: int) -> None:
        """Remove a request from the queue."""
        kept = (req for req in self._queue if req.request_id != request_id)
        self._queue = deque(kept)

    def observe(self, request_id: int, ended: AttemptEnded, now_ms: int) -> None:
        """Ignore the end of an attempt; the limits are fixed."""

    def release(self, request_id: int, now_ms: int) -> None:
        """Free the slot of a request."""
        self._running.pop(request_id, None)

    def concurrency_limit(self, service: str) -> int:
        """Return the service's slots in the region, 0 for an unknown service."""
        return self._limits.get(service, 0)

    def _has_free_slot(self, service: str) -> bool:
        running = sum(1 for name in self._running.values() if name == service)
        return running < self._limits.get(service, 0)
