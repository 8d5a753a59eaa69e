"""The figures of a run and the targets that they are held against."""

from math import ceil
from typing import NamedTuple

from rhubarbwell_core.model import Rank, rank_name

from benchmarks.steering.load_generator import BASE_MIX, capacity_per_s
from benchmarks.steering.scenarios import Timeline
from benchmarks.steering.simulation import World

__all__ = ["Check", "check_targets", "summarise"]

MAX_AMPLIFICATION = 1.1
MIN_URGENT_SERVED = 0.99
MAX_P99_GROWTH = 2.0
MIN_FLOOR_KEPT = 0.95
MIN_GOODPUT = 0.95
MAX_DRAIN_MS = 3_000
MAX_STEERED_LOAD = 1.0
MIN_CARRIED = 0.95
SETTLING_MS = 10_000
ROUNDING = 1e-6


class Check(NamedTuple):
    """Hold one figure against its bound."""

    name: str
    value: float
    bound: float
    holds: bool


def summarise(world: World, timeline: Timeline) -> dict[str, object]:
    """Return the figures of a run on its flooded service and on the whole."""
    service = world.deployment.flooded
    measures = world.measures
    row: dict[str, object] = {}
    for rank in Rank:
        name = rank_name(rank)
        row[f"{name} served"] = round(_served_share(world, "fault", rank), 3)
        row[f"{name} p50"] = round(measures.quantile_ms("fault", service, rank, 0.5))
        row[f"{name} p99"] = round(measures.quantile_ms("fault", service, rank, 0.99))
    quiet = measures.quantile_ms("quiet", service, Rank.URGENT, 0.99)
    row["urgent p99 quiet"] = round(quiet)
    offered = measures.worth_offered["fault"]
    row["worth kept"] = round(measures.worth_served["fault"] / offered, 3)
    row["goodput/capacity"] = round(_goodput_share(world, timeline), 3)
    row["peak load"] = round(_peak_load(world, "fault"), 2)
    row["attempts/first"] = round(measures.amplification(), 3)
    row["peak load as steered"] = round(measures.peak_steered_load, 2)
    row["forwarded"] = measures.forwarded
    row["shift per s"] = round(measures.peak_shift_per_s, 3)
    row["link Mbit/s"] = round(measures.peak_link_mbit_per_s(), 1)
    row["unknown"] = sum(
        count
        for (phase, _, _, outcome), count in measures.outcomes.items()
        if phase == "fault" and outcome == "unknown"
    )
    row["after served"] = round(_served_share(world, "after", None), 3)
    return row


def check_targets(
    world: World, names: tuple[str, ...], timeline: Timeline
) -> list[Check]:
    """Return the checks that the scenarios call for."""
    service = world.deployment.flooded
    measures = world.measures
    spec = world.deployment.configuration.deployment
    budget = spec.links[0].mbit_per_s
    shift = measures.peak_shift_per_s
    checks = [
        _at_most("attempts/first", measures.amplification(), MAX_AMPLIFICATION),
        _at_most("load as steered", measures.peak_steered_load, MAX_STEERED_LOAD),
        _at_most("link Mbit/s", measures.peak_link_mbit_per_s(), budget),
        _at_most("shift per s", shift, spec.shift_cap_per_s + ROUNDING),
    ]
    if names == ("region-lost",):
        carried = _carried_share(world, timeline)
        checks.append(_at_least("carried after 10 s", carried, MIN_CARRIED))
    floods = {"bulk-flood", "urgent-flood"} & set(names)
    if "bulk-flood" in names:
        served = _served_share(world, "fault", Rank.URGENT)
        checks.append(_at_least("urgent served", served, MIN_URGENT_SERVED))
        quiet = measures.quantile_ms("quiet", service, Rank.URGENT, 0.99)
        fault = measures.quantile_ms("fault", service, Rank.URGENT, 0.99)
        checks.append(_at_most("urgent p99 growth", fault / quiet, MAX_P99_GROWTH))
    if "urgent-flood" in names:
        for rank in (Rank.STANDARD, Rank.BULK):
            kept = _floor_kept(world, timeline, rank)
            checks.append(
                _at_least(f"{rank_name(rank)} floor kept", kept, MIN_FLOOR_KEPT)
            )
    if floods and len(names) == 1:
        goodput = _goodput_share(world, timeline)
        checks.append(_at_least("goodput/capacity", goodput, MIN_GOODPUT))
    if "drain-uploads" in names:
        leaving = world.backends[world.leaving]
        took_ms = max(0, leaving.last_offer_ms - timeline.fault_ms)
        checks.append(_at_most("drain ms to last new work", took_ms, MAX_DRAIN_MS))
    return checks


def _served_share(world: World, phase: str, rank: Rank | None) -> float:
    measures = world.measures
    service = world.deployment.flooded
    ranks = list(Rank) if rank is None else [rank]
    offered = sum(measures.offered[phase, service, r] for r in ranks)
    served = sum(measures.served[phase, service, r] for r in ranks)
    return served / offered if offered else 0.0


def _goodput_share(world: World, timeline: Timeline) -> float:
    first = ceil(timeline.fault_ms / 1_000)
    seconds = range(first, timeline.after_ms // 1_000)
    return _served_per_s(world, seconds) / _capacity(world)


def _carried_share(world: World, timeline: Timeline) -> float:
    first = ceil((timeline.fault_ms + SETTLING_MS) / 1_000)
    seconds = range(first, timeline.after_ms // 1_000)
    regions = len(world.deployment.configuration.deployment.regions)
    rest = _capacity(world) * (regions - 1) / regions
    offered = _capacity(world) * sum(BASE_MIX.values())
    return _served_per_s(world, seconds) / min(rest, offered)


def _served_per_s(world: World, seconds: range) -> float:
    service = world.deployment.flooded
    served = sum(world.measures.served_per_s[service, second] for second in seconds)
    return served / len(seconds) if seconds else 0.0


def _capacity(world: World) -> float:
    return capacity_per_s(world, world.deployment.flooded, "page")


def _floor_kept(world: World, timeline: Timeline, rank: Rank) -> float:
    service = world.deployment.flooded
    floors = world.deployment.configuration.deployment.floors
    share = min(floors.of(rank), BASE_MIX[rank])
    seconds = (timeline.after_ms - timeline.fault_ms) / 1_000
    owed = share * _capacity(world) * seconds
    return world.measures.served["fault", service, rank] / owed


def _peak_load(world: World, phase: str) -> float:
    service = world.deployment.flooded
    loads = world.measures.peak_region_load
    return max(
        (load for (p, _, s), load in loads.items() if (p, s) == (phase, service)),
        default=0.0,
    )


def _at_most(name: str, value: float, bound: float) -> Check:
    return Check(name, round(value, 3), bound, value <= bound)


def _at_least(name: str, value: float, bound: float) -> Check:
    return Check(name, round(value, 3), bound, value >= bound)
