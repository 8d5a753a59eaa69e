"""The demonstration: work of three ranks, a flood and a drain on one machine."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

import aiohttp
from rhubarbwell_core.model import Rank
from rhubarbwell_entry.reports import make_report

from rhubarbwell_ops.demo.deployment import DemoDeployment, load_documents
from rhubarbwell_ops.demo.workload import (
    Caller,
    Tally,
    WorkItem,
    run_workload,
    work_items,
)
from rhubarbwell_ops.report import FleetReport, merge_reports

__all__ = ["DemoResult", "DrainResult", "run_demo"]

SEED = 1
QUIET_S = 3.0
FLOOD_S = 4.0
SETTLE_S = 3.0
RATES_PER_S = {Rank.URGENT: 30.0, Rank.STANDARD: 30.0, Rank.BULK: 10.0}
FLOOD_PER_S = 400.0


class DrainResult(NamedTuple):
    """Tell which backend server was drained and its requests after the drain."""

    backend_id: str
    started_before: int
    started_after: int


class DemoResult(NamedTuple):
    """Hold what the demonstration measured."""

    quiet: dict[Rank, Tally]
    flood: dict[Rank, Tally]
    drain: DrainResult
    fleet: FleetReport


async def run_demo(folder: Path) -> DemoResult:
    """Run the demonstration; raise DemoError for unusable files."""
    demo = DemoDeployment(load_documents(folder))
    try:
        await demo.start()
        return await _measure(demo)
    finally:
        await demo.stop()


async def _measure(demo: DemoDeployment) -> DemoResult:
    rng = Random(SEED)
    items = _items_by_rank(demo)
    async with aiohttp.ClientSession() as session:
        callers = [
            Caller(session, instance.callers, instance.identity.zone, rng)
            for instance in demo.instances
        ]
        quiet = await _run_ranks(callers, items, RATES_PER_S, QUIET_S, rng)
        flooded = {**RATES_PER_S, Rank.BULK: FLOOD_PER_S}
        flood = await _run_ranks(callers, items, flooded, FLOOD_S, rng)
        drain = await _drain_one(demo, callers, items, rng)
    return DemoResult(quiet, flood, drain, _fleet_report(demo))


def _items_by_rank(demo: DemoDeployment) -> dict[Rank, list[WorkItem]]:
    cfg = demo.instances[0].core.configuration
    services = [] if cfg is None else list(cfg.services.values())
    return {rank: work_items(services, rank) for rank in Rank}


async def _run_ranks(
    callers: list[Caller],
    items: dict[Rank, list[WorkItem]],
    rates_per_s: dict[Rank, float],
    duration_s: float,
    rng: Random,
) -> dict[Rank, Tally]:
    tallies = await asyncio.gather(
        *(
            run_workload(
                callers,
                items[rank],
                requests_per_s=rates_per_s[rank],
                duration_s=duration_s,
                rng=rng,
            )
            for rank in Rank
        )
    )
    return dict(zip(Rank, tallies, strict=True))


async def _drain_one(
    demo: DemoDeployment,
    callers: list[Caller],
    items: dict[Rank, list[WorkItem]],
    rng: Random,
) -> DrainResult:
    backend_id = next(iter(demo.backends))
    backend = demo.backends[backend_id]
    before = backend.started
    await demo.drain(backend_id)
    await _run_ranks(callers, items, RATES_PER_S, SETTLE_S, rng)
    at_rest = backend.started
    await _run_ranks(callers, items, RATES_PER_S, SETTLE_S, rng)
    return DrainResult(backend_id, before, backend.started - at_rest)


def _fleet_report(demo: DemoDeployment) -> FleetReport:
    return merge_reports(
        [make_report(one.core, one.driver.clock_ms()) for one in demo.instances]
    )
