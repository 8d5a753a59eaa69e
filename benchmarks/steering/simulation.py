"""The modelled world: nodes, backend servers, callers and the messages between."""

from collections.abc import Callable
from random import Random
from typing import Any

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.messages import (
    AttemptEnd,
    ConfigReceived,
    EndRequest,
    ForwardedFrom,
    LoadReported,
)
from rhubarbwell_core.model import Address, Identity, Outcome

from benchmarks.steering.backend import ModelledBackend, ReportMode
from benchmarks.steering.clock import VirtualClock
from benchmarks.steering.deployments import ANSWER_BYTES, Deployment, instance_ids
from benchmarks.steering.load_generator import Callers
from benchmarks.steering.metrics import Measures
from benchmarks.steering.network import Network
from benchmarks.steering.node import Attempt, Node
from benchmarks.steering.transport import PeerMessages

__all__ = ["CoreFactory", "World"]

POLL_MS = 1_000
SHIFT_PERIOD_MS = 1_000
POLL_LAG_MS = 300

CoreFactory = Callable[[Identity, Random], Any]
EndAttempt = Callable[[str, AttemptEnd], None]

_FORWARDED_ENDS = {
    Outcome.ANSWERED: AttemptEnd.ANSWERED,
    Outcome.NOT_RUN: AttemptEnd.PEER_NOT_RUN,
    Outcome.UNKNOWN: AttemptEnd.PEER_UNKNOWN,
}


class World:
    """Hold everything that a run models."""

    def __init__(
        self, deployment: Deployment, make_core: CoreFactory, *, seed: int
    ) -> None:
        self.deployment = deployment
        self.clock = VirtualClock()
        self.measures = Measures()
        self.rng = Random(seed)
        self.network = Network(deployment, Random(seed + 1))
        self.measurements_stopped = False
        self.leaving = ""
        self._make_core = make_core
        cfg = deployment.configuration
        self.backends = {
            spec.backend_id: ModelledBackend(spec, self.clock, Random(f"{seed}{spec}"))
            for service in cfg.services.values()
            for spec in service.backends
        }
        self._service_of = {
            spec.backend_id: name
            for name, service in cfg.services.items()
            for spec in service.backends
        }
        self._groups = self._group_backends()
        self._away: dict[tuple[str, str], float] = {}
        self._by_address: dict[Address, Node] = {}
        self.nodes: dict[str, Node] = {}
        self._messages = PeerMessages(self)
        self.nodes = {
            identity.instance_id: self._start_node(identity)
            for identity in _identities(deployment)
        }
        self.callers = Callers(self)
        self.every(POLL_MS, self._poll_loads)
        self.every(SHIFT_PERIOD_MS, self._measure_shifts)

    def note_load(self, backend: ModelledBackend, *, is_forwarded: bool) -> None:
        """Note the load of a backend server's region as a request starts there."""
        service = self._service_of[backend.spec.backend_id]
        region = self.network.region_of(backend.spec.zone)
        group = self._groups[region, service]
        load = sum(other.load for other in group)
        slots = sum(other.spec.slots for other in group)
        self.measures.region_load(region, service, load / slots)
        if is_forwarded:
            self.measures.steered_load(load / slots)

    def tell_all(self, event: Event) -> None:
        """Give an event to every node that is up."""
        for node in self.nodes.values():
            if not self.network.is_lost(node.identity.zone):
                node.handle(event)

    def restart_nodes(self, region: str) -> None:
        """Start new processes in place of the region's lost ones."""
        for name, node in list(self.nodes.items()):
            if node.identity.region == region:
                incarnation = f"{name}/{self.clock.now_ms}"
                identity = node.identity._replace(incarnation=incarnation)
                self.nodes[name] = self._start_node(identity)

    def deliver(self, node: Node, action: Action) -> None:
        """Carry a message to a peer or a call to the table service."""
        self._messages.carry(node, action)

    def node_at(self, address: Address) -> Node | None:
        """Return the running node with the peers address, None without one."""
        node = self._by_address.get(address)
        return node if node is not None and node.is_up else None

    def every(self, period_ms: int, callback: Callable[[], None]) -> None:
        """Run the callback now and then every period_ms."""

        def run() -> None:
            callback()
            self.clock.call_later(period_ms, run)

        self.clock.call_later(0, run)

    def forward(self, node: Node, attempt: Attempt, end: EndAttempt) -> None:
        """Carry a request to a peer of another region and its answer back."""
        self.measures.forwarded += 1
        peer = self.nodes[attempt.action.target.target_id]
        here, there = node.identity, peer.identity
        attempt_id = attempt.action.attempt_id
        grant_id = attempt.action.target.grant_id or ""
        origin = ForwardedFrom(here.instance_id, grant_id, attempt_id, 1)
        req = attempt.req._replace(
            request_id=self.callers.next_request_id(), forwarded=origin
        )

        def answer(ended: EndRequest) -> None:
            if ended.outcome is Outcome.ANSWERED:
                self._count_bytes(there, here, ANSWER_BYTES)
            back_ms = self.network.delay_ms(there.zone, here.zone)
            self.clock.call_later(
                back_ms, lambda: end(attempt_id, _FORWARDED_ENDS[ended.outcome])
            )

        def arrive() -> None:
            if self.network.reaches(here.zone, there.zone) and peer.is_up:
                self._count_bytes(here, there, req.body_bytes or 500)
                peer.start_request(req, answer)
            else:
                end(attempt_id, AttemptEnd.CONNECT_TIMEOUT)

        self.clock.call_later(self.network.delay_ms(here.zone, there.zone), arrive)

    def _count_bytes(self, source: Identity, target: Identity, count: int) -> None:
        now_ms = self.clock.now_ms
        self.measures.bytes_forwarded(source.region, target.region, count, now_ms)

    def _group_backends(self) -> dict[tuple[str, str], list[ModelledBackend]]:
        groups: dict[tuple[str, str], list[ModelledBackend]] = {}
        for backend_id, backend in self.backends.items():
            region = self.network.region_of(backend.spec.zone)
            service = self._service_of[backend_id]
            groups.setdefault((region, service), []).append(backend)
        return groups

    def _start_node(self, identity: Identity) -> Node:
        rng = Random(self.rng.getrandbits(64))
        node = Node(identity, self._make_core(identity, rng), self)
        self._by_address[identity.peers] = node
        node.handle(ConfigReceived(self.deployment.configuration))
        return node

    def _measure_shifts(self) -> None:
        for node in self.nodes.values():
            grants = getattr(node.core, "grants", None)
            if grants is None or not node.is_up:
                continue
            for service in self.deployment.configuration.services:
                key = (node.identity.incarnation, service)
                away = grants.borrowing.remote_weight(service)
                grown = away - self._away.get(key, 0.0)
                peak = self.measures.peak_shift_per_s
                self.measures.peak_shift_per_s = max(peak, grown)
                self._away[key] = away

    def _poll_loads(self) -> None:
        if self.measurements_stopped:
            return
        now_ms = self.clock.now_ms
        for node in self.nodes.values():
            here = node.identity
            for backend in self.backends.values():
                there = backend.spec.zone
                if self.network.region_of(there) != here.region:
                    continue
                if not self.network.reaches(here.zone, there):
                    continue
                if backend.reports is not ReportMode.NONE:
                    self._report_later(node, backend, now_ms)

    def _report_later(self, node: Node, backend: ModelledBackend, now_ms: int) -> None:
        report = LoadReported(
            backend.spec.backend_id,
            backend.reported_load(),
            now_ms,
            draining=backend.draining,
        )
        self.clock.call_later(POLL_LAG_MS, lambda: node.handle(report))


def _identities(deployment: Deployment) -> list[Identity]:
    identities = []
    for zone in deployment.configuration.deployment.zones:
        for name in instance_ids(zone):
            here = Address("10.0.0.2", len(identities))
            identities.append(Identity(name, name, zone.name, zone.region, here, here))
    return identities
