"""Text tables of the demonstration's measurements."""

from rhubarbwell_core.model import Rank, rank_name
from tabulate import tabulate

from rhubarbwell_ops.demo.run import DemoResult
from rhubarbwell_ops.demo.workload import WorkloadStats
from rhubarbwell_ops.report import format_fleet_report

__all__ = ["format_demo"]

HEADERS = ["rank", "sent", "answered", "not run", "unknown", "p50 ms", "p99 ms"]


def format_demo(result: DemoResult) -> str:
    """Return the tables of baseline, flood and drain, and the fleet report."""
    drain = result.drain
    parts = [
        "Baseline load, by rank:",
        _rank_table(result.baseline),
        "Flood of bulk requests, by rank:",
        _rank_table(result.flood),
        f"Drain of {drain.backend_id}: {drain.started_before} requests before, "
        f"{drain.started_after} new ones once the drain was in force.",
        "Service-level burn and headroom:",
        format_fleet_report(result.fleet),
    ]
    return "\n\n".join(parts)


def _rank_table(stats_by_rank: dict[Rank, WorkloadStats]) -> str:
    rows = [_rank_row(rank, stats) for rank, stats in stats_by_rank.items()]
    return tabulate(rows, headers=HEADERS, floatfmt=".1f", missingval="-")


def _rank_row(rank: Rank, stats: WorkloadStats) -> list[object]:
    counts = stats.outcomes
    sent = sum(counts.values())
    unknown = sent - counts["answered"] - counts["not_run"]
    return [
        rank_name(rank),
        sent,
        counts["answered"],
        counts["not_run"],
        unknown,
        stats.latencies.get_quantile_value(0.5),
        stats.latencies.get_quantile_value(0.99),
    ]
