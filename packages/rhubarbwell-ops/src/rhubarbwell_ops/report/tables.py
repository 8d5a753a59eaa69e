"""Text tables of the fleet report."""

from rhubarbwell_core.burn import (
    WINDOWS_MS,
    BurnReport,
    BurnRow,
    Tally,
    budget_left,
    burn_rate,
)
from rhubarbwell_core.model import rank_name
from tabulate import tabulate

from rhubarbwell_ops.report.fleet import FleetReport

__all__ = ["format_burn_report", "format_duration", "format_fleet_report"]

MS_PER_S = 1_000
S_PER_MINUTE = 60
MINUTES_PER_HOUR = 60
MAX_SHOWN_CAUSES = 3


def format_burn_report(report: BurnReport) -> str:
    """Return the burn table and a line about answered and unreachable instances."""
    headers = ["service", "rank", "requests", "p50 ms", "p99 ms"]
    headers += [f"burn {format_duration(window_ms)}" for window_ms in WINDOWS_MS]
    headers += ["budget left", "causes"]
    rows = [_burn_row(row) for row in report.rows]
    table = tabulate(rows, headers=headers, floatfmt=".2f", missingval="-")
    return f"{table}\n\n{_answered_instances_line(report)}"


def format_fleet_report(report: FleetReport) -> str:
    """Return the tables of burn and headroom and the drains in progress."""
    headroom = tabulate(report.headroom, headers=["region", "service", "slots", "free"])
    links = tabulate(
        report.links,
        headers=["region", "other", "granted Mbit/s", "grantable Mbit/s"],
        floatfmt=".1f",
    )
    draining = ", ".join(report.draining) or "none"
    parts = [
        format_burn_report(report.burn),
        headroom,
        links,
        f"drains in progress: {draining}",
    ]
    return "\n\n".join(parts)


def format_duration(duration_ms: int) -> str:
    """Return a duration in whole hours or minutes.

    >>> format_duration(300_000), format_duration(3_600_000)
    ('5m', '1h')
    """
    minutes = duration_ms // (MS_PER_S * S_PER_MINUTE)
    if minutes % MINUTES_PER_HOUR == 0:
        return f"{minutes // MINUTES_PER_HOUR}h"
    return f"{minutes}m"


def _burn_row(row: BurnRow) -> list[object]:
    longest_window = row.windows[max(WINDOWS_MS)]
    return [
        row.key.service,
        rank_name(row.key.rank),
        longest_window.total,
        _rounded_quantile(row, 0.5),
        _rounded_quantile(row, 0.99),
        *(burn_rate(row.windows[window_ms]) for window_ms in WINDOWS_MS),
        f"{budget_left(longest_window):.0%}",
        _top_causes(longest_window),
    ]


def _rounded_quantile(row: BurnRow, quantile: float) -> float | None:
    value = row.latencies.get_quantile_value(quantile)
    return None if value is None else round(value, 1)


def _top_causes(tally: Tally) -> str:
    ordered = sorted(tally.causes.items(), key=lambda item: -item[1])
    return ", ".join(f"{reason.value} {n}" for reason, n in ordered[:MAX_SHOWN_CAUSES])


def _answered_instances_line(report: BurnReport) -> str:
    line = f"{len(report.answered)} instances answered"
    if report.unreachable:
        line += "; unreachable: " + ", ".join(report.unreachable)
    return line
