"""The figures of a run and the targets that they are held against."""

from typing import NamedTuple

from rhubarbwell_core.model import Rank, rank_name

from benchmarks.steering.callers import BASE_MIX, capacity_per_s
from benchmarks.steering.scenarios import Timeline
from benchmarks.steering.world import World

__all__ = ["Check", "check_targets", "summarise"]

MAX_AMPLIFICATION = 1.1
MIN_URGENT_SERVED = 0.99
MAX_P99_GROWTH = 2.0
MIN_FLOOR_KEPT = 0.95
MIN_GOODPUT = 0.95
MAX_DRAIN_MS = 3_000
CARRIED_AFTER_MS = 10_000


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
    row["link Mbit/s"] = round(measures.peak_link_mbit_per_s(), 1)
    row["shift per s"] = round(measures.peak_shift_per_s, 3)
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
    checks = [_at_most("attempts/first", measures.amplification(), MAX_AMPLIFICATION)]
    spec = world.deployment.configuration.deployment
    mbit_per_s = min(link.mbit_per_s for link in spec.links)
    checks.append(_at_most("link Mbit/s", measures.peak_link_mbit_per_s(), mbit_per_s))
    shift = measures.peak_shift_per_s
    checks.append(_at_most("shift per s", round(shift, 6), spec.shift_cap_per_s))
    if names == ("region-lost",):
        carried = _carried_share(world, timeline)
        checks.append(_at_least("carried of what the rest can", carried, MIN_GOODPUT))
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
    service = world.deployment.flooded
    measures = world.measures
    seconds = range(timeline.fault_ms // 1_000, timeline.after_ms // 1_000)
    served = sum(measures.served_per_s[service, second] for second in seconds)
    return served / (len(seconds) * capacity_per_s(world, service, "page"))


def _carried_share(world: World, timeline: Timeline) -> float:
    service = world.deployment.flooded
    begin_ms = timeline.fault_ms + CARRIED_AFTER_MS
    seconds = range(begin_ms // 1_000, timeline.after_ms // 1_000)
    served = sum(world.measures.served_per_s[service, second] for second in seconds)
    regions = len(world.deployment.configuration.deployment.regions)
    share = min(sum(BASE_MIX.values()), (regions - 1) / regions)
    return served / (len(seconds) * share * capacity_per_s(world, service, "page"))


def _floor_kept(world: World, timeline: Timeline, rank: Rank) -> float:
    service = world.deployment.flooded
    floors = world.deployment.configuration.deployment.floors
    share = min(floors.of(rank), BASE_MIX[rank])
    seconds = (timeline.after_ms - timeline.fault_ms) / 1_000
    owed = share * capacity_per_s(world, service, "page") * seconds
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
