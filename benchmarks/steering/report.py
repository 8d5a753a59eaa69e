"""Figures of a run, and checks of the figures against the targets."""

from math import ceil
from typing import NamedTuple

from rhubarbwell_core.model import Rank, rank_name

from benchmarks.steering.load_generator import BASE_LOAD_SHARES, capacity_per_s
from benchmarks.steering.scenarios import Timeline
from benchmarks.steering.simulation import Simulation

__all__ = ["Check", "check_targets", "summarise"]

MAX_RETRY_AMPLIFICATION = 1.1
MIN_URGENT_SERVED = 0.99
MAX_P99_GROWTH = 2.0
MIN_SERVED_SHARE_OF_FLOOR = 0.95
MIN_GOODPUT = 0.95
MAX_DRAIN_MS = 3_000
MAX_RECEIVING_REGION_LOAD = 1.0
MIN_SURVIVING_GOODPUT = 0.95
SETTLING_MS = 10_000  # from the loss of a region until the check begins
ROUNDING_TOLERANCE = 1e-6  # for differences of floating-point weights


class Check(NamedTuple):
    """Store a figure, its bound and whether it meets the bound."""

    name: str
    value: float
    bound: float
    is_met: bool


def summarise(simulation: Simulation, timeline: Timeline) -> dict[str, object]:
    """Return the figures of a run, for the flooded service and for all services."""
    service = simulation.deployment.flooded_service
    metrics = simulation.metrics
    figures: dict[str, object] = {}
    for rank in Rank:
        name = rank_name(rank)
        figures[f"{name} served"] = round(_served_share(simulation, "fault", rank), 3)
        figures[f"{name} p50"] = round(metrics.quantile_ms("fault", service, rank, 0.5))
        figures[f"{name} p99"] = round(
            metrics.quantile_ms("fault", service, rank, 0.99)
        )
    quiet_p99_ms = metrics.quantile_ms("quiet", service, Rank.URGENT, 0.99)
    figures["urgent p99 quiet"] = round(quiet_p99_ms)
    offered = metrics.worth_offered["fault"]
    figures["worth kept"] = round(metrics.worth_served["fault"] / offered, 3)
    figures["goodput/capacity"] = round(_goodput_share(simulation, timeline), 3)
    figures["peak load"] = round(_peak_load(simulation, "fault"), 2)
    figures["attempts/first"] = round(metrics.retry_amplification(), 3)
    figures["peak load as steered"] = round(metrics.peak_receiving_region_load, 2)
    figures["forwarded"] = metrics.forwarded
    figures["shift per s"] = round(metrics.peak_shift_increase_per_s, 3)
    figures["link Mbit/s"] = round(metrics.peak_link_mbit_per_s(), 1)
    figures["unknown"] = sum(
        count
        for (phase, _, _, outcome), count in metrics.outcomes.items()
        if phase == "fault" and outcome == "unknown"
    )
    figures["after served"] = round(_served_share(simulation, "after", None), 3)
    return figures


def check_targets(
    simulation: Simulation, names: tuple[str, ...], timeline: Timeline
) -> list[Check]:
    """Return the checks that apply to the scenarios of a run."""
    service = simulation.deployment.flooded_service
    metrics = simulation.metrics
    spec = simulation.deployment.configuration.deployment
    link_mbit_per_s = spec.links[0].mbit_per_s
    shift_per_s = metrics.peak_shift_increase_per_s
    checks = [
        _at_most(
            "attempts/first", metrics.retry_amplification(), MAX_RETRY_AMPLIFICATION
        ),
        _at_most(
            "load as steered",
            metrics.peak_receiving_region_load,
            MAX_RECEIVING_REGION_LOAD,
        ),
        _at_most("link Mbit/s", metrics.peak_link_mbit_per_s(), link_mbit_per_s),
        _at_most("shift per s", shift_per_s, spec.shift_cap_per_s + ROUNDING_TOLERANCE),
    ]
    if names == ("region-lost",):
        surviving_goodput_share = _surviving_goodput_share(simulation, timeline)
        checks.append(
            _at_least(
                "carried after 10 s", surviving_goodput_share, MIN_SURVIVING_GOODPUT
            )
        )
    floods = {"bulk-flood", "urgent-flood"} & set(names)
    if "bulk-flood" in names:
        served = _served_share(simulation, "fault", Rank.URGENT)
        checks.append(_at_least("urgent served", served, MIN_URGENT_SERVED))
        quiet_p99_ms = metrics.quantile_ms("quiet", service, Rank.URGENT, 0.99)
        fault_p99_ms = metrics.quantile_ms("fault", service, Rank.URGENT, 0.99)
        checks.append(
            _at_most("urgent p99 growth", fault_p99_ms / quiet_p99_ms, MAX_P99_GROWTH)
        )
    if "urgent-flood" in names:
        for rank in (Rank.STANDARD, Rank.BULK):
            floor_share = _served_share_of_floor(simulation, timeline, rank)
            checks.append(
                _at_least(
                    f"{rank_name(rank)} floor kept",
                    floor_share,
                    MIN_SERVED_SHARE_OF_FLOOR,
                )
            )
    if floods and len(names) == 1:
        goodput_share = _goodput_share(simulation, timeline)
        checks.append(_at_least("goodput/capacity", goodput_share, MIN_GOODPUT))
    if "drain-uploads" in names:
        draining_backend = simulation.backends[simulation.draining_backend_id]
        drain_ms = max(0, draining_backend.last_accepted_ms - timeline.fault_start_ms)
        checks.append(_at_most("drain ms to last new work", drain_ms, MAX_DRAIN_MS))
    return checks


def _served_share(simulation: Simulation, phase: str, rank: Rank | None) -> float:
    metrics = simulation.metrics
    service = simulation.deployment.flooded_service
    ranks = list(Rank) if rank is None else [rank]
    offered = sum(metrics.offered[phase, service, r] for r in ranks)
    served = sum(metrics.served[phase, service, r] for r in ranks)
    return served / offered if offered else 0.0


def _goodput_share(simulation: Simulation, timeline: Timeline) -> float:
    first = ceil(timeline.fault_start_ms / 1_000)
    seconds = range(first, timeline.after_start_ms // 1_000)
    return _served_per_s(simulation, seconds) / _capacity_per_s(simulation)


def _surviving_goodput_share(simulation: Simulation, timeline: Timeline) -> float:
    first = ceil((timeline.fault_start_ms + SETTLING_MS) / 1_000)
    seconds = range(first, timeline.after_start_ms // 1_000)
    regions = len(simulation.deployment.configuration.deployment.regions)
    surviving_capacity = _capacity_per_s(simulation) * (regions - 1) / regions
    offered = _capacity_per_s(simulation) * sum(BASE_LOAD_SHARES.values())
    return _served_per_s(simulation, seconds) / min(surviving_capacity, offered)


def _served_per_s(simulation: Simulation, seconds: range) -> float:
    service = simulation.deployment.flooded_service
    served = sum(simulation.metrics.served_per_s[service, second] for second in seconds)
    return served / len(seconds) if seconds else 0.0


def _capacity_per_s(simulation: Simulation) -> float:
    return capacity_per_s(simulation, simulation.deployment.flooded_service, "page")


def _served_share_of_floor(
    simulation: Simulation, timeline: Timeline, rank: Rank
) -> float:
    service = simulation.deployment.flooded_service
    floors = simulation.deployment.configuration.deployment.floors
    share = min(floors.of(rank), BASE_LOAD_SHARES[rank])
    seconds = (timeline.after_start_ms - timeline.fault_start_ms) / 1_000
    floor_requests = share * _capacity_per_s(simulation) * seconds
    return simulation.metrics.served["fault", service, rank] / floor_requests


def _peak_load(simulation: Simulation, phase: str) -> float:
    service = simulation.deployment.flooded_service
    loads = simulation.metrics.peak_region_load
    return max(
        (load for (p, _, s), load in loads.items() if (p, s) == (phase, service)),
        default=0.0,
    )


def _at_most(name: str, value: float, bound: float) -> Check:
    return Check(name, round(value, 3), bound, value <= bound)


def _at_least(name: str, value: float, bound: float) -> Check:
    return Check(name, round(value, 3), bound, value >= bound)
