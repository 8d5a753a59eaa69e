"""Load generator whose callers find entry instances by look-ups."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from rhubarbwell_core.lookups import LookUpAnswer, LookUpQuery
from rhubarbwell_core.messages import EndRequest, RequestArrived
from rhubarbwell_core.model import Outcome, Rank, WorkKind

from benchmarks.steering.deployments import (
    SHORT_SERVICE_MS,
    UPLOAD_BYTES,
    UPLOAD_SERVICE_MS,
)

if TYPE_CHECKING:
    from benchmarks.steering.node import Node
    from benchmarks.steering.simulation import Simulation

__all__ = ["BASE_LOAD_SHARES", "LoadGenerator"]

MIN_TTL_MS = 200
MIN_WEIGHT = 0.001  # random.choices needs a positive total weight
CALLERS_PER_ZONE = 50
# Base load of each rank as a share of the service's capacity.
BASE_LOAD_SHARES = {Rank.URGENT: 0.1, Rank.STANDARD: 0.3, Rank.BULK: 0.15}


class _CachedLookUp(NamedTuple):
    answer: LookUpAnswer
    expires_ms: int


class LoadGenerator:
    """Generate Poisson arrivals of requests at rates that scenarios set."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation
        self._look_up_cache: dict[tuple[str, str, int], _CachedLookUp] = {}
        self._next_id = 0
        self._rates_per_s: dict[tuple[str, str], float] = {}
        self._next_request_ms: dict[tuple[str, str], float] = {}

    def next_request_id(self) -> int:
        """Return a request id that no request of the run has."""
        self._next_id += 1
        return self._next_id

    def start_base_load(self, share: float = 1.0) -> None:
        """Set the load of every service to the base load, multiplied by share."""
        for name, service in self._simulation.deployment.configuration.services.items():
            for kind in service.kinds:
                self.set_load(name, kind, share * BASE_LOAD_SHARES[kind.rank])

    def set_load(self, service: str, kind: WorkKind, share: float) -> None:
        """Set the load of a kind to a share of the service's capacity.

        Callers are spread evenly over all zones.
        """
        key = (service, kind.name)
        is_first_load = key not in self._rates_per_s
        self._rates_per_s[key] = share * capacity_per_s(
            self._simulation, service, kind.name
        )
        if is_first_load:
            self._schedule_request(service, kind)

    def _schedule_request(self, service: str, kind: WorkKind) -> None:
        # The exponential distribution needs a positive rate.
        rate_per_s = max(self._rates_per_s[service, kind.name], 0.01)
        key = (service, kind.name)
        last_ms = self._next_request_ms.get(key, float(self._simulation.clock.now_ms))
        next_ms = last_ms + self._simulation.rng.expovariate(rate_per_s) * 1_000
        self._next_request_ms[key] = next_ms
        self._simulation.clock.call_at(
            round(next_ms), self._make_send_callback(service, kind)
        )

    def _make_send_callback(self, service: str, kind: WorkKind) -> Callable[[], None]:
        def send() -> None:
            self._schedule_request(service, kind)
            self._send_request(service, kind)

        return send

    def _send_request(self, service: str, kind: WorkKind) -> None:
        simulation = self._simulation
        zones = simulation.deployment.configuration.deployment.zones
        zone = simulation.rng.choice(zones).name
        phase = simulation.metrics.phase
        worth = kind.worth
        simulation.metrics.record_offered(phase, service, kind.rank, worth)
        node = self._choose_node(zone, service)
        if node is None:
            return
        start_ms = simulation.clock.now_ms
        delay_ms = simulation.deployment.caller_delay_ms
        if node.identity.zone != zone:
            delay_ms += simulation.network.delay_ms(zone, node.identity.zone)
        deadline_ms = start_ms + kind.deadline_ms
        req = RequestArrived(
            self.next_request_id(),
            service,
            kind.name,
            zone,
            deadline_ms,
            kind.rank,
            kind.idempotent,
            body_bytes=UPLOAD_BYTES if kind.name == "upload" else 0,
        )

        def on_end(ended: EndRequest) -> None:
            end_ms = simulation.clock.now_ms + delay_ms
            simulation.metrics.record_result(
                phase,
                service,
                kind.rank,
                worth=worth,
                outcome=ended.outcome,
                latency_ms=end_ms - start_ms,
                is_in_time=end_ms <= deadline_ms and ended.outcome is Outcome.ANSWERED,
                now_ms=end_ms,
            )

        simulation.clock.call_later(delay_ms, lambda: node.start_request(req, on_end))

    def _choose_node(self, zone: str, service: str) -> "Node | None":
        simulation = self._simulation
        answer = self._look_up(zone, service)
        if answer is None:
            return None
        available = [
            i for i in answer.instances if simulation.nodes[i.instance_id].is_up
        ]
        if not available:
            return None
        offered = [item for item in available if item.zone == available[0].zone]
        weights = [max(item.weight, MIN_WEIGHT) for item in offered]
        chosen = simulation.rng.choices(offered, weights)[0]
        return simulation.nodes[chosen.instance_id]

    def _caller_address_in(self, zone: str) -> str:
        zones = self._simulation.deployment.configuration.deployment.zones
        zone_index = next(n for n, spec in enumerate(zones) if spec.name == zone)
        return f"10.{zone_index}.0.1"

    def _look_up(self, zone: str, service: str) -> LookUpAnswer | None:
        simulation = self._simulation
        now_ms = simulation.clock.now_ms
        key = (zone, service, simulation.rng.randrange(CALLERS_PER_ZONE))
        cached = self._look_up_cache.get(key)
        if cached is not None and now_ms < cached.expires_ms:
            return cached.answer
        available = [
            node
            for node in simulation.nodes.values()
            if node.is_up and not simulation.network.is_zone_down(node.identity.zone)
        ]
        if not available:
            return None
        local = [node for node in available if node.identity.zone == zone]
        node = simulation.rng.choice(local or available)
        answer = node.core.look_up(
            LookUpQuery(service, self._caller_address_in(zone)), now_ms
        )
        if not answer.instances:
            return None
        expires_ms = now_ms + max(answer.ttl_ms, MIN_TTL_MS)
        self._look_up_cache[key] = _CachedLookUp(answer, expires_ms)
        return answer


def capacity_per_s(simulation: "Simulation", service: str, kind: str) -> float:
    """Return the requests of a kind that a service's slots can serve per second."""
    backends = simulation.deployment.configuration.services[service].backends
    slots = sum(spec.slots for spec in backends)
    mean_ms = UPLOAD_SERVICE_MS if kind == "upload" else SHORT_SERVICE_MS
    return slots * 1_000 / mean_ms
