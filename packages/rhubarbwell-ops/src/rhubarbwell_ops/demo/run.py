"""Demonstration with requests of three ranks, a flood of bulk requests and a drain."""

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
    WorkItem,
    WorkloadStats,
    run_workload,
    work_items_of_rank,
)
from rhubarbwell_ops.report import FleetReport, merge_reports

__all__ = ["DemoResult", "DrainResult", "run_demo"]

SEED = 1
BASELINE_DURATION_S = 3.0
FLOOD_DURATION_S = 4.0
# The drain takes effect in the first phase; the second counts requests after it.
DRAIN_PHASE_DURATION_S = 3.0
REQUESTS_PER_S = {Rank.URGENT: 30.0, Rank.STANDARD: 30.0, Rank.BULK: 10.0}
FLOOD_BULK_REQUESTS_PER_S = 400.0


class DrainResult(NamedTuple):
    """Hold the drained backend server and its requests before and after the drain.

    started_after leaves out those that started while the drain took effect.
    """

    backend_id: str
    started_before: int
    started_after: int


class DemoResult(NamedTuple):
    """Hold the measurements of the demonstration."""

    baseline: dict[Rank, WorkloadStats]
    flood: dict[Rank, WorkloadStats]
    drain: DrainResult
    fleet: FleetReport


async def run_demo(folder: Path) -> DemoResult:
    """Run the demonstration on a folder's documents and return the measurements.

    Raises DemoError if the files are invalid.
    """
    demo = DemoDeployment(load_documents(folder))
    try:
        await demo.start()
        return await _run_phases(demo)
    finally:
        await demo.stop()


async def _run_phases(demo: DemoDeployment) -> DemoResult:
    rng = Random(SEED)
    items = _work_items_by_rank(demo)
    async with aiohttp.ClientSession() as session:
        callers = [
            Caller(session, instance.callers, instance.identity.zone, rng)
            for instance in demo.instances
        ]
        baseline = await _run_all_ranks(
            callers, items, REQUESTS_PER_S, BASELINE_DURATION_S, rng
        )
        flood_requests_per_s = {**REQUESTS_PER_S, Rank.BULK: FLOOD_BULK_REQUESTS_PER_S}
        flood = await _run_all_ranks(
            callers, items, flood_requests_per_s, FLOOD_DURATION_S, rng
        )
        drain = await _drain_first_backend(demo, callers, items, rng)
    return DemoResult(baseline, flood, drain, _fleet_report(demo))


def _work_items_by_rank(demo: DemoDeployment) -> dict[Rank, list[WorkItem]]:
    cfg = demo.instances[0].core.configuration
    services = [] if cfg is None else list(cfg.services.values())
    return {rank: work_items_of_rank(services, rank) for rank in Rank}


async def _run_all_ranks(
    callers: list[Caller],
    items: dict[Rank, list[WorkItem]],
    requests_per_s: dict[Rank, float],
    duration_s: float,
    rng: Random,
) -> dict[Rank, WorkloadStats]:
    stats_by_rank = await asyncio.gather(
        *(
            run_workload(
                callers,
                items[rank],
                requests_per_s=requests_per_s[rank],
                duration_s=duration_s,
                rng=rng,
            )
            for rank in Rank
        )
    )
    return dict(zip(Rank, stats_by_rank, strict=True))


async def _drain_first_backend(
    demo: DemoDeployment,
    callers: list[Caller],
    items: dict[Rank, list[WorkItem]],
    rng: Random,
) -> DrainResult:
    backend_id = next(iter(demo.backends))
    backend = demo.backends[backend_id]
    started_before = backend.started
    await demo.drain(backend_id)
    await _run_all_ranks(callers, items, REQUESTS_PER_S, DRAIN_PHASE_DURATION_S, rng)
    started_at_settle = backend.started
    await _run_all_ranks(callers, items, REQUESTS_PER_S, DRAIN_PHASE_DURATION_S, rng)
    return DrainResult(backend_id, started_before, backend.started - started_at_settle)


def _fleet_report(demo: DemoDeployment) -> FleetReport:
    return merge_reports(
        [
            make_report(instance.core, instance.driver.clock_ms())
            for instance in demo.instances
        ]
    )
