"""Scenarios: the faults of a run and the times at which they start."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from rhubarbwell_core.messages import BackendLeaving
from rhubarbwell_core.model import Rank

from benchmarks.steering.backend import BackendState, ReportMode, SimulatedBackend
from benchmarks.steering.load_generator import BASE_LOAD_SHARES
from benchmarks.steering.simulation import Simulation

__all__ = ["SCENARIOS", "Timeline", "run_scenarios"]

FLOOD_LOAD_SHARE = 5.0  # of the service's capacity
COLD_SLOWDOWN = 4.0  # factor on the service times of cold and slow servers
WARM_UP_STEPS = 8
WARM_UP_STEP_MS = 1_000

Scenario = Callable[[Simulation, "Timeline"], None]


class Timeline(NamedTuple):
    """Store the start times of a run's phases and the end of the run, in ms."""

    load_start_ms: int = 8_000
    quiet_start_ms: int = 10_000
    fault_start_ms: int = 14_000
    after_start_ms: int = 28_000
    rest_start_ms: int = 35_000
    end_ms: int = 39_000


def run_scenarios(
    simulation: Simulation, names: tuple[str, ...], timeline: Timeline
) -> None:
    """Run the base load with the faults of the named scenarios."""
    for phase, start_ms in (
        ("quiet", timeline.quiet_start_ms),
        ("fault", timeline.fault_start_ms),
        ("after", timeline.after_start_ms),
        ("rest", timeline.rest_start_ms),
    ):
        simulation.clock.call_at(start_ms, lambda p=phase: _begin_phase(simulation, p))
    simulation.clock.call_at(
        timeline.load_start_ms, simulation.load_generator.start_base_load
    )
    for name in names:
        SCENARIOS[name](simulation, timeline)
    simulation.clock.run_until(timeline.end_ms)


def _begin_phase(simulation: Simulation, phase: str) -> None:
    simulation.metrics.phase = phase


def _schedule_nothing(simulation: Simulation, timeline: Timeline) -> None:
    return None


def _make_flood_scenario(rank: Rank) -> Scenario:
    def schedule_flood(simulation: Simulation, timeline: Timeline) -> None:
        service = simulation.deployment.flooded_service
        kinds = simulation.deployment.configuration.services[service].kinds
        kind = next(kind for kind in kinds if kind.rank is rank)
        set_load = simulation.load_generator.set_load
        simulation.clock.call_at(
            timeline.fault_start_ms, lambda: set_load(service, kind, FLOOD_LOAD_SHARE)
        )
        base_share = BASE_LOAD_SHARES[rank]
        simulation.clock.call_at(
            timeline.after_start_ms, lambda: set_load(service, kind, base_share)
        )

    return schedule_flood


def _schedule_region_loss(simulation: Simulation, timeline: Timeline) -> None:
    region = simulation.deployment.configuration.deployment.regions[1].name

    def fail_region() -> None:
        simulation.network.failed_regions.add(region)
        for node in simulation.nodes.values():
            if node.identity.region == region:
                node.stop()
        for backend in _region_backends(simulation, region):
            backend.fail(BackendState.UNREACHABLE)

    def restore_region() -> None:
        simulation.network.failed_regions.discard(region)
        simulation.restart_nodes(region)
        for backend in _region_backends(simulation, region):
            backend.state = BackendState.UP
            _start_cold(simulation, backend)

    simulation.clock.call_at(timeline.fault_start_ms, fail_region)
    simulation.clock.call_at(timeline.after_start_ms, restore_region)


def _schedule_zone_partition(simulation: Simulation, timeline: Timeline) -> None:
    zone = simulation.deployment.configuration.deployment.zones[0].name
    partitioned_zones = simulation.network.partitioned_zones
    simulation.clock.call_at(
        timeline.fault_start_ms, lambda: partitioned_zones.add(zone)
    )
    simulation.clock.call_at(
        timeline.after_start_ms, lambda: partitioned_zones.discard(zone)
    )


def _schedule_load_poll_stop(simulation: Simulation, timeline: Timeline) -> None:
    def stop_polls() -> None:
        simulation.load_polls_stopped = True

    simulation.clock.call_at(timeline.fault_start_ms, stop_polls)


def _schedule_wrong_reports(simulation: Simulation, timeline: Timeline) -> None:
    def distort_reports() -> None:
        modes = (
            ReportMode.ZERO,
            ReportMode.FROZEN,
            ReportMode.BUSY,
            ReportMode.ACCURATE,
        )
        for n, backend in enumerate(simulation.backends.values()):
            if modes[n % 4] is ReportMode.FROZEN:
                backend.freeze_reports()
            else:
                backend.report_mode = modes[n % 4]

    simulation.clock.call_at(timeline.fault_start_ms, distort_reports)


def _schedule_upload_drain(simulation: Simulation, timeline: Timeline) -> None:
    service = simulation.deployment.upload_service
    spec = simulation.deployment.configuration.services[service].backends[0]

    def start_drain() -> None:
        simulation.backends[spec.backend_id].draining = True
        simulation.draining_backend_id = spec.backend_id
        backend_region = simulation.network.region_of(spec.zone)
        for node in simulation.nodes.values():
            if node.identity.region == backend_region:
                node.handle(BackendLeaving(spec.backend_id, "instance list"))
                return

    simulation.clock.call_at(timeline.fault_start_ms, start_drain)


def _schedule_cold_start(simulation: Simulation, timeline: Timeline) -> None:
    service = simulation.deployment.flooded_service
    zone = simulation.deployment.configuration.deployment.zones[0].name

    def restart_backends() -> None:
        for spec in simulation.deployment.configuration.services[service].backends:
            if spec.zone == zone:
                _start_cold(simulation, simulation.backends[spec.backend_id])

    simulation.clock.call_at(timeline.fault_start_ms, restart_backends)


def _schedule_slow_servers(simulation: Simulation, timeline: Timeline) -> None:
    service = simulation.deployment.flooded_service

    def slow_down_backends() -> None:
        specs = simulation.deployment.configuration.services[service].backends
        for spec in specs[:: len(specs) // 3]:
            simulation.backends[spec.backend_id].slow_factor = COLD_SLOWDOWN

    simulation.clock.call_at(timeline.fault_start_ms, slow_down_backends)


def _schedule_slot_loss(simulation: Simulation, timeline: Timeline) -> None:
    service = simulation.deployment.flooded_service

    def reduce_slots() -> None:
        for spec in simulation.deployment.configuration.services[service].backends:
            simulation.backends[spec.backend_id].working_slots = 2

    simulation.clock.call_at(timeline.fault_start_ms, reduce_slots)


def _schedule_silent_connections(simulation: Simulation, timeline: Timeline) -> None:
    def silence_all_connections() -> None:
        for node in simulation.nodes.values():
            node.silence_connections()

    simulation.clock.call_at(timeline.fault_start_ms, silence_all_connections)


def _start_cold(simulation: Simulation, backend: SimulatedBackend) -> None:
    def apply_warm_up_step(step: int) -> None:
        remaining_share = 1 - step / WARM_UP_STEPS
        backend.slow_factor = 1 + (COLD_SLOWDOWN - 1) * remaining_share
        if step < WARM_UP_STEPS:
            simulation.clock.call_later(
                WARM_UP_STEP_MS, lambda: apply_warm_up_step(step + 1)
            )

    apply_warm_up_step(0)


def _region_backends(simulation: Simulation, region: str) -> list[SimulatedBackend]:
    return [
        backend
        for backend in simulation.backends.values()
        if simulation.network.region_of(backend.spec.zone) == region
    ]


SCENARIOS: Mapping[str, Scenario] = {
    "steady": _schedule_nothing,
    "bulk-flood": _make_flood_scenario(Rank.BULK),
    "urgent-flood": _make_flood_scenario(Rank.URGENT),
    "region-lost": _schedule_region_loss,
    "zone-cut": _schedule_zone_partition,
    "measurements-stopped": _schedule_load_poll_stop,
    "wrong-reports": _schedule_wrong_reports,
    "drain-uploads": _schedule_upload_drain,
    "cold-start": _schedule_cold_start,
    "slow-servers": _schedule_slow_servers,
    "lost-slots": _schedule_slot_loss,
    "silent-connections": _schedule_silent_connections,
}
