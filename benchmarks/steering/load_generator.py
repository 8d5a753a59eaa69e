"""Callers: streams of requests to the entry instances that look-ups name."""

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
    from benchmarks.steering.simulation import World

__all__ = ["BASE_MIX", "Callers"]

MIN_TTL_MS = 200
MIN_WEIGHT = 0.001
CALLERS_PER_ZONE = 50
BASE_MIX = {Rank.URGENT: 0.1, Rank.STANDARD: 0.3, Rank.BULK: 0.15}


class _Cached(NamedTuple):
    answer: LookUpAnswer
    until_ms: int


class Callers:
    """Send requests at rates that a scenario changes."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._cache: dict[tuple[str, str, int], _Cached] = {}
        self._next_id = 0
        self._rates: dict[tuple[str, str], float] = {}
        self._next_ms: dict[tuple[str, str], float] = {}

    def next_request_id(self) -> int:
        """Return a new request id."""
        self._next_id += 1
        return self._next_id

    def start_base_load(self, share: float = 1.0) -> None:
        """Offer every service the usual mix, as shares of its capacity."""
        for name, service in self._world.deployment.configuration.services.items():
            for kind in service.kinds:
                self.set_load(name, kind, share * BASE_MIX[kind.rank])

    def set_load(self, service: str, kind: WorkKind, share: float) -> None:
        """Offer a kind at a share of the service's capacity, evenly in all zones."""
        key = (service, kind.name)
        is_new = key not in self._rates
        self._rates[key] = share * capacity_per_s(self._world, service, kind.name)
        if is_new:
            self._schedule(service, kind)

    def _schedule(self, service: str, kind: WorkKind) -> None:
        rate = max(self._rates[service, kind.name], 0.01)
        key = (service, kind.name)
        last_ms = self._next_ms.get(key, float(self._world.clock.now_ms))
        next_ms = last_ms + self._world.rng.expovariate(rate) * 1_000
        self._next_ms[key] = next_ms
        self._world.clock.call_at(round(next_ms), self._sender(service, kind))

    def _sender(self, service: str, kind: WorkKind) -> Callable[[], None]:
        def send() -> None:
            self._schedule(service, kind)
            self._send(service, kind)

        return send

    def _send(self, service: str, kind: WorkKind) -> None:
        world = self._world
        zones = world.deployment.configuration.deployment.zones
        zone = world.rng.choice(zones).name
        phase = world.measures.phase
        worth = kind.worth
        world.measures.request_offered(phase, service, kind.rank, worth)
        node = self._pick_node(zone, service)
        if node is None:
            return
        begin_ms = world.clock.now_ms
        delay_ms = world.deployment.caller_delay_ms
        if node.identity.zone != zone:
            delay_ms += world.network.delay_ms(zone, node.identity.zone)
        deadline_ms = begin_ms + kind.deadline_ms
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
            done_ms = world.clock.now_ms + delay_ms
            world.measures.request_ended(
                phase,
                service,
                kind.rank,
                worth=worth,
                outcome=ended.outcome,
                latency_ms=done_ms - begin_ms,
                in_time=done_ms <= deadline_ms and ended.outcome is Outcome.ANSWERED,
                now_ms=done_ms,
            )

        world.clock.call_later(delay_ms, lambda: node.start_request(req, on_end))

    def _pick_node(self, zone: str, service: str) -> "Node | None":
        world = self._world
        answer = self._look_up(zone, service)
        if answer is None:
            return None
        able = [i for i in answer.instances if world.nodes[i.instance_id].is_up]
        if not able:
            return None
        offered = [item for item in able if item.zone == able[0].zone]
        weights = [max(item.weight, MIN_WEIGHT) for item in offered]
        chosen = world.rng.choices(offered, weights)[0]
        return world.nodes[chosen.instance_id]

    def _address(self, zone: str) -> str:
        zones = self._world.deployment.configuration.deployment.zones
        place = next(n for n, spec in enumerate(zones) if spec.name == zone)
        return f"10.{place}.0.1"

    def _look_up(self, zone: str, service: str) -> LookUpAnswer | None:
        world = self._world
        now_ms = world.clock.now_ms
        key = (zone, service, world.rng.randrange(CALLERS_PER_ZONE))
        cached = self._cache.get(key)
        if cached is not None and now_ms < cached.until_ms:
            return cached.answer
        able = [
            node
            for node in world.nodes.values()
            if node.is_up and not world.network.is_lost(node.identity.zone)
        ]
        if not able:
            return None
        near = [node for node in able if node.identity.zone == zone]
        node = world.rng.choice(near or able)
        answer = node.core.look_up(LookUpQuery(service, self._address(zone)), now_ms)
        if not answer.instances:
            return None
        until_ms = now_ms + max(answer.ttl_ms, MIN_TTL_MS)
        self._cache[key] = _Cached(answer, until_ms)
        return answer


def capacity_per_s(world: "World", service: str, kind: str) -> float:
    """Return how many requests of a kind all slots of a service can serve a second."""
    backends = world.deployment.configuration.services[service].backends
    slots = sum(spec.slots for spec in backends)
    mean_ms = UPLOAD_SERVICE_MS if kind == "upload" else SHORT_SERVICE_MS
    return slots * 1_000 / mean_ms
