"""Baseline policies with a core's interface: round robin and least reported load."""

from abc import ABC, abstractmethod
from random import Random

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.lookups import LookUpAnswer, LookUpQuery, OfferedInstance
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    ConfigReceived,
    EndRequest,
    LoadReported,
    RequestArrived,
    SendAttempt,
    Target,
)
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    DeploymentSpec,
    Identity,
    Outcome,
    Reason,
    zones_of_region,
)

from benchmarks.steering.deployments import instance_ids

__all__ = ["LeastReportedLoad", "RoundRobin"]

MAX_ATTEMPTS = 3
# After these ends the request has not run, so a retry is safe.
_NOT_EXECUTED_ENDS = frozenset(
    {AttemptEnd.SHED, AttemptEnd.CONNECT_REFUSED, AttemptEnd.CONNECT_TIMEOUT}
)


class Baseline(ABC):
    """Send each request to a backend server of the own region, in up to 3 attempts."""

    def __init__(self, identity: Identity, rng: Random) -> None:
        self.identity = identity
        self._rng = rng
        self._backends: dict[str, list[BackendSpec]] = {}
        self._deployment = DeploymentSpec("", (), ())
        self._attempts: dict[str, tuple[RequestArrived, int]] = {}
        self._sent_count = 0

    @abstractmethod
    def choose_backend(self, service: str) -> BackendSpec:
        """Return the backend server for the next attempt."""

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Return the actions that follow from an event."""
        if isinstance(event, ConfigReceived):
            cfg = event.configuration
            self._deployment = cfg.deployment
            zones = zones_of_region(cfg.deployment, self.identity.region)
            for service_name, service in cfg.services.items():
                region_backends = [
                    spec for spec in service.backends if spec.zone in zones
                ]
                self._backends[service_name] = region_backends
        elif isinstance(event, LoadReported):
            self.handle_load_report(event)
        elif isinstance(event, RequestArrived):
            return [self._send_attempt(event, 1)]
        elif isinstance(event, AttemptEnded):
            return self._handle_attempt_end(event, now_ms)
        elif isinstance(event, CallerGone):
            return [
                CancelAttempt(attempt_id)
                for attempt_id, (req, _) in self._attempts.items()
                if req.request_id == event.request_id
            ]
        return []

    def handle_load_report(self, event: LoadReported) -> None:
        """Ignore a load report."""
        return None

    def advance(self, now_ms: int) -> list[Action]:
        """Return no actions, since a baseline has no timers."""
        return []

    def next_due_ms(self) -> int | None:
        """Return None, since a baseline has no timers."""
        return None

    def look_up(self, query: LookUpQuery, now_ms: int) -> LookUpAnswer:
        """Return every instance, in the order of zones of the client's site."""
        spec = self._deployment
        address = query.address or "10.0.0.0"
        # Client blocks are 10.N.0.0/16, where N is the index of the site.
        site = spec.sites[int(address.split(".")[1])]
        zones = {zone.name: zone for zone in spec.zones}
        offered = tuple(
            OfferedInstance(name, zone, self.identity.callers, 1.0)
            for zone in site.zones
            for name in instance_ids(zones[zone])
        )
        return LookUpAnswer(offered, spec.look_up_ttl_ms)

    def _send_attempt(self, req: RequestArrived, attempt_number: int) -> Action:
        spec = self.choose_backend(req.service)
        self._sent_count += 1
        attempt_id = f"{self.identity.instance_id}-{self._sent_count}"
        self._attempts[attempt_id] = req, attempt_number
        target = Target(spec.backend_id, Address(spec.host, spec.port))
        return SendAttempt(req.request_id, attempt_id, target, req.deadline_ms)

    def _handle_attempt_end(self, event: AttemptEnded, now_ms: int) -> list[Action]:
        req, attempt_number = self._attempts.pop(event.attempt_id)
        if event.end is AttemptEnd.ANSWERED:
            return [EndRequest(req.request_id, Outcome.ANSWERED, Reason.SERVED)]
        may_retry = event.end in _NOT_EXECUTED_ENDS or req.idempotent
        if may_retry and attempt_number < MAX_ATTEMPTS and now_ms < req.deadline_ms:
            return [self._send_attempt(req, attempt_number + 1)]
        outcome = (
            Outcome.NOT_RUN if event.end in _NOT_EXECUTED_ENDS else Outcome.UNKNOWN
        )
        return [EndRequest(req.request_id, outcome, Reason.BACKEND_FAILED)]


class RoundRobin(Baseline):
    """Choose the region's backend servers in turn, without load limits."""

    def __init__(self, identity: Identity, rng: Random) -> None:
        super().__init__(identity, rng)
        self._last_index = rng.randrange(1_000)

    def choose_backend(self, service: str) -> BackendSpec:
        """Return the next backend server."""
        self._last_index += 1
        backends = self._backends[service]
        return backends[self._last_index % len(backends)]


class LeastReportedLoad(Baseline):
    """Choose the backend server with the least load in its last report."""

    def __init__(self, identity: Identity, rng: Random) -> None:
        super().__init__(identity, rng)
        self._loads: dict[str, int] = {}

    def handle_load_report(self, event: LoadReported) -> None:
        """Store the last reported load of a backend server."""
        self._loads[event.backend_id] = event.in_flight

    def choose_backend(self, service: str) -> BackendSpec:
        """Return the least loaded backend server, at random among equal loads."""
        backends = self._backends[service]
        least_load = min(self._loads.get(spec.backend_id, 0) for spec in backends)
        least_loaded = [
            s for s in backends if self._loads.get(s.backend_id, 0) == least_load
        ]
        return self._rng.choice(least_loaded)
