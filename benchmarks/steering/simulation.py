"""Simulation of entry instances, backend servers, callers and their network."""

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

from benchmarks.steering.backend import ReportMode, SimulatedBackend
from benchmarks.steering.clock import VirtualClock
from benchmarks.steering.deployments import ANSWER_BYTES, Deployment, instance_ids
from benchmarks.steering.load_generator import LoadGenerator
from benchmarks.steering.metrics import RunMetrics
from benchmarks.steering.network import Network
from benchmarks.steering.node import Attempt, Node
from benchmarks.steering.transport import ActionTransport

__all__ = ["CoreFactory", "Simulation"]

POLL_MS = 1_000
SHIFT_PERIOD_MS = 1_000
REPORT_DELAY_MS = 300

CoreFactory = Callable[[Identity, Random], Any]
EndAttempt = Callable[[str, AttemptEnd], None]

_ATTEMPT_END_BY_OUTCOME = {
    Outcome.ANSWERED: AttemptEnd.ANSWERED,
    Outcome.NOT_RUN: AttemptEnd.PEER_NOT_RUN,
    Outcome.UNKNOWN: AttemptEnd.PEER_UNKNOWN,
}


class Simulation:
    """Hold the state of a run: clock, network, nodes, backend servers and metrics."""

    def __init__(
        self, deployment: Deployment, make_core: CoreFactory, *, seed: int
    ) -> None:
        self.deployment = deployment
        self.clock = VirtualClock()
        self.metrics = RunMetrics()
        self.rng = Random(seed)
        self.network = Network(deployment, Random(seed + 1))
        self.load_polls_stopped = False
        self.draining_backend_id = ""
        self._make_core = make_core
        cfg = deployment.configuration
        self.backends = {
            spec.backend_id: SimulatedBackend(spec, self.clock, Random(f"{seed}{spec}"))
            for service in cfg.services.values()
            for spec in service.backends
        }
        self._service_by_backend = {
            spec.backend_id: name
            for name, service in cfg.services.items()
            for spec in service.backends
        }
        self._backends_by_region_and_service = self._group_backends()
        self._remote_weights: dict[tuple[str, str], float] = {}
        self._nodes_by_address: dict[Address, Node] = {}
        self.nodes: dict[str, Node] = {}
        self._transport = ActionTransport(self)
        self.nodes = {
            identity.instance_id: self._start_node(identity)
            for identity in _identities(deployment)
        }
        self.load_generator = LoadGenerator(self)
        self.call_every(POLL_MS, self._poll_loads)
        self.call_every(SHIFT_PERIOD_MS, self._record_shifts)

    def record_backend_load(
        self, backend: SimulatedBackend, *, is_forwarded: bool
    ) -> None:
        """Record the load of a backend server's region when a request starts there."""
        service = self._service_by_backend[backend.spec.backend_id]
        region = self.network.region_of(backend.spec.zone)
        group = self._backends_by_region_and_service[region, service]
        load = sum(other.load for other in group)
        slots = sum(other.spec.slots for other in group)
        self.metrics.record_region_load(region, service, load / slots)
        if is_forwarded:
            self.metrics.record_receiving_region_load(load / slots)

    def broadcast(self, event: Event) -> None:
        """Pass an event to every node whose region has not failed."""
        for node in self.nodes.values():
            if not self.network.is_zone_down(node.identity.zone):
                node.handle(event)

    def restart_nodes(self, region: str) -> None:
        """Replace the nodes of a region by nodes with new incarnations."""
        for name, node in list(self.nodes.items()):
            if node.identity.region == region:
                incarnation = f"{name}/{self.clock.now_ms}"
                identity = node.identity._replace(incarnation=incarnation)
                self.nodes[name] = self._start_node(identity)

    def deliver(self, node: Node, action: Action) -> None:
        """Deliver a message to a peer or a call to the table service."""
        self._transport.deliver(node, action)

    def node_at(self, address: Address) -> Node | None:
        """Return the node at a peer address, or None if no node runs there."""
        node = self._nodes_by_address.get(address)
        return node if node is not None and node.is_up else None

    def call_every(self, period_ms: int, callback: Callable[[], None]) -> None:
        """Schedule the callback at the current time and then every period_ms."""

        def run_and_reschedule() -> None:
            callback()
            self.clock.call_later(period_ms, run_and_reschedule)

        self.clock.call_later(0, run_and_reschedule)

    def forward(self, node: Node, attempt: Attempt, end_attempt: EndAttempt) -> None:
        """Forward a request to a peer of another region and return its answer.

        A peer that the request does not reach ends the attempt with a connect timeout.
        """
        self.metrics.forwarded += 1
        peer = self.nodes[attempt.action.target.target_id]
        source, destination = node.identity, peer.identity
        attempt_id = attempt.action.attempt_id
        grant_id = attempt.action.target.grant_id or ""
        origin = ForwardedFrom(source.instance_id, grant_id, attempt_id, 1)
        req = attempt.req._replace(
            request_id=self.load_generator.next_request_id(), forwarded=origin
        )

        def return_answer(ended: EndRequest) -> None:
            if ended.outcome is Outcome.ANSWERED:
                self._count_bytes(destination, source, ANSWER_BYTES)
            return_delay_ms = self.network.delay_ms(destination.zone, source.zone)
            self.clock.call_later(
                return_delay_ms,
                lambda: end_attempt(attempt_id, _ATTEMPT_END_BY_OUTCOME[ended.outcome]),
            )

        def deliver_request() -> None:
            if self.network.reaches(source.zone, destination.zone) and peer.is_up:
                # A request without a body counts as 500 bytes.
                self._count_bytes(source, destination, req.body_bytes or 500)
                peer.start_request(req, return_answer)
            else:
                end_attempt(attempt_id, AttemptEnd.CONNECT_TIMEOUT)

        self.clock.call_later(
            self.network.delay_ms(source.zone, destination.zone), deliver_request
        )

    def _count_bytes(self, source: Identity, target: Identity, count: int) -> None:
        now_ms = self.clock.now_ms
        self.metrics.record_forwarded_bytes(source.region, target.region, count, now_ms)

    def _group_backends(self) -> dict[tuple[str, str], list[SimulatedBackend]]:
        groups: dict[tuple[str, str], list[SimulatedBackend]] = {}
        for backend_id, backend in self.backends.items():
            region = self.network.region_of(backend.spec.zone)
            service = self._service_by_backend[backend_id]
            groups.setdefault((region, service), []).append(backend)
        return groups

    def _start_node(self, identity: Identity) -> Node:
        rng = Random(self.rng.getrandbits(64))
        node = Node(identity, self._make_core(identity, rng), self)
        self._nodes_by_address[identity.peers] = node
        node.handle(ConfigReceived(self.deployment.configuration))
        return node

    def _record_shifts(self) -> None:
        for node in self.nodes.values():
            grants = getattr(node.core, "grants", None)
            if grants is None or not node.is_up:
                continue
            for service in self.deployment.configuration.services:
                key = (node.identity.incarnation, service)
                remote_weight = grants.borrowing.remote_weight(service)
                increase = remote_weight - self._remote_weights.get(key, 0.0)
                peak = self.metrics.peak_shift_increase_per_s
                self.metrics.peak_shift_increase_per_s = max(peak, increase)
                self._remote_weights[key] = remote_weight

    def _poll_loads(self) -> None:
        if self.load_polls_stopped:
            return
        now_ms = self.clock.now_ms
        for node in self.nodes.values():
            identity = node.identity
            for backend in self.backends.values():
                backend_zone = backend.spec.zone
                if self.network.region_of(backend_zone) != identity.region:
                    continue
                if not self.network.reaches(identity.zone, backend_zone):
                    continue
                if backend.report_mode is not ReportMode.NONE:
                    self._report_later(node, backend, now_ms)

    def _report_later(self, node: Node, backend: SimulatedBackend, now_ms: int) -> None:
        report = LoadReported(
            backend.spec.backend_id,
            backend.reported_load(),
            now_ms,
            draining=backend.draining,
        )
        self.clock.call_later(REPORT_DELAY_MS, lambda: node.handle(report))


def _identities(deployment: Deployment) -> list[Identity]:
    identities = []
    for zone in deployment.configuration.deployment.zones:
        for name in instance_ids(zone):
            address = Address("10.0.0.2", len(identities))
            identities.append(
                Identity(name, name, zone.name, zone.region, address, address)
            )
    return identities
