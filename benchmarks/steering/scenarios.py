"""Scenarios: what goes wrong, and when."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from rhubarbwell_core.messages import BackendLeaving
from rhubarbwell_core.model import Rank

from benchmarks.steering.backend import BackendState, ModelledBackend, ReportMode
from benchmarks.steering.load_generator import BASE_MIX
from benchmarks.steering.simulation import World

__all__ = ["SCENARIOS", "Timeline", "run_world"]

FLOOD = 5.0
COLD_FACTOR = 4.0
WARM_UP_STEPS = 8
WARM_UP_STEP_MS = 1_000

Fault = Callable[[World, "Timeline"], None]


class Timeline(NamedTuple):
    """Give the times in ms at which phases begin and the run ends."""

    load_ms: int = 8_000
    quiet_ms: int = 10_000
    fault_ms: int = 14_000
    after_ms: int = 28_000
    rest_ms: int = 35_000
    end_ms: int = 39_000


def run_world(world: World, names: tuple[str, ...], timeline: Timeline) -> None:
    """Run the base load with the faults of the scenarios named."""
    for phase, at_ms in (
        ("quiet", timeline.quiet_ms),
        ("fault", timeline.fault_ms),
        ("after", timeline.after_ms),
        ("rest", timeline.rest_ms),
    ):
        world.clock.call_at(at_ms, lambda p=phase: _begin_phase(world, p))
    world.clock.call_at(timeline.load_ms, world.callers.start_base_load)
    for name in names:
        SCENARIOS[name](world, timeline)
    world.clock.run_until(timeline.end_ms)


def _begin_phase(world: World, phase: str) -> None:
    world.measures.phase = phase


def _steady(world: World, timeline: Timeline) -> None:
    return None


def _flood(rank: Rank) -> Fault:
    def flood(world: World, timeline: Timeline) -> None:
        service = world.deployment.flooded
        kinds = world.deployment.configuration.services[service].kinds
        kind = next(kind for kind in kinds if kind.rank is rank)
        load = world.callers.set_load
        world.clock.call_at(timeline.fault_ms, lambda: load(service, kind, FLOOD))
        usual = BASE_MIX[rank]
        world.clock.call_at(timeline.after_ms, lambda: load(service, kind, usual))

    return flood


def _region_lost(world: World, timeline: Timeline) -> None:
    region = world.deployment.configuration.deployment.regions[1].name

    def lose() -> None:
        world.network.lost_regions.add(region)
        for node in world.nodes.values():
            if node.identity.region == region:
                node.stop()
        for backend in _backends_of(world, region):
            backend.fail(BackendState.UNREACHABLE)

    def come_back() -> None:
        world.network.lost_regions.discard(region)
        world.restart_nodes(region)
        for backend in _backends_of(world, region):
            backend.state = BackendState.UP
            _start_cold(world, backend)

    world.clock.call_at(timeline.fault_ms, lose)
    world.clock.call_at(timeline.after_ms, come_back)


def _zone_cut(world: World, timeline: Timeline) -> None:
    zone = world.deployment.configuration.deployment.zones[0].name
    cut = world.network.cut_zones
    world.clock.call_at(timeline.fault_ms, lambda: cut.add(zone))
    world.clock.call_at(timeline.after_ms, lambda: cut.discard(zone))


def _measurements_stopped(world: World, timeline: Timeline) -> None:
    def stop() -> None:
        world.measurements_stopped = True

    world.clock.call_at(timeline.fault_ms, stop)


def _wrong_reports(world: World, timeline: Timeline) -> None:
    def mislead() -> None:
        modes = (ReportMode.ZERO, ReportMode.FROZEN, ReportMode.BUSY, ReportMode.TRUE)
        for n, backend in enumerate(world.backends.values()):
            if modes[n % 4] is ReportMode.FROZEN:
                backend.freeze_reports()
            else:
                backend.reports = modes[n % 4]

    world.clock.call_at(timeline.fault_ms, mislead)


def _drain_uploads(world: World, timeline: Timeline) -> None:
    service = world.deployment.upload
    spec = world.deployment.configuration.services[service].backends[0]

    def sign() -> None:
        world.backends[spec.backend_id].draining = True
        world.leaving = spec.backend_id
        near = world.network.region_of(spec.zone)
        for node in world.nodes.values():
            if node.identity.region == near:
                node.handle(BackendLeaving(spec.backend_id, "instance list"))
                return

    world.clock.call_at(timeline.fault_ms, sign)


def _cold_start(world: World, timeline: Timeline) -> None:
    service = world.deployment.flooded
    zone = world.deployment.configuration.deployment.zones[0].name

    def restart() -> None:
        for spec in world.deployment.configuration.services[service].backends:
            if spec.zone == zone:
                _start_cold(world, world.backends[spec.backend_id])

    world.clock.call_at(timeline.fault_ms, restart)


def _slow_servers(world: World, timeline: Timeline) -> None:
    service = world.deployment.flooded

    def slow() -> None:
        specs = world.deployment.configuration.services[service].backends
        for spec in specs[:: len(specs) // 3]:
            world.backends[spec.backend_id].slow_factor = COLD_FACTOR

    world.clock.call_at(timeline.fault_ms, slow)


def _lost_slots(world: World, timeline: Timeline) -> None:
    service = world.deployment.flooded

    def shrink() -> None:
        for spec in world.deployment.configuration.services[service].backends:
            world.backends[spec.backend_id].working_slots = 2

    world.clock.call_at(timeline.fault_ms, shrink)


def _silent_connections(world: World, timeline: Timeline) -> None:
    def silence() -> None:
        for node in world.nodes.values():
            node.silence_connections()

    world.clock.call_at(timeline.fault_ms, silence)


def _start_cold(world: World, backend: ModelledBackend) -> None:
    def warm(step: int) -> None:
        left = 1 - step / WARM_UP_STEPS
        backend.slow_factor = 1 + (COLD_FACTOR - 1) * left
        if step < WARM_UP_STEPS:
            world.clock.call_later(WARM_UP_STEP_MS, lambda: warm(step + 1))

    warm(0)


def _backends_of(world: World, region: str) -> list[ModelledBackend]:
    return [
        backend
        for backend in world.backends.values()
        if world.network.region_of(backend.spec.zone) == region
    ]


SCENARIOS: Mapping[str, Fault] = {
    "steady": _steady,
    "bulk-flood": _flood(Rank.BULK),
    "urgent-flood": _flood(Rank.URGENT),
    "region-lost": _region_lost,
    "zone-cut": _zone_cut,
    "measurements-stopped": _measurements_stopped,
    "wrong-reports": _wrong_reports,
    "drain-uploads": _drain_uploads,
    "cold-start": _cold_start,
    "slow-servers": _slow_servers,
    "lost-slots": _lost_slots,
    "silent-connections": _silent_connections,
}
