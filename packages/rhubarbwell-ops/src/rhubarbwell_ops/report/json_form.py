"""JSON form of the fleet report."""

from rhubarbwell_core.burn import BurnRow, budget_left, burn_rate
from rhubarbwell_core.model import rank_name

from rhubarbwell_ops.report.fleet import FleetReport

__all__ = ["fleet_report_json"]

QUANTILES = (0.5, 0.9, 0.99)


def fleet_report_json(report: FleetReport) -> dict[str, object]:
    """Return the report as JSON-compatible values."""
    return {
        "rows": [_row_json(row) for row in report.burn.rows],
        "headroom": [headroom._asdict() for headroom in report.headroom],
        "links": [link._asdict() for link in report.links],
        "draining": list(report.draining),
        "answered": list(report.burn.answered),
        "unreachable": list(report.burn.unreachable),
    }


def _row_json(row: BurnRow) -> dict[str, object]:
    return {
        "service": row.key.service,
        "rank": rank_name(row.key.rank),
        "latency_ms": {
            f"p{quantile * 100:g}": row.latencies.get_quantile_value(quantile)
            for quantile in QUANTILES
        },
        "windows": [
            {
                "window_ms": window_ms,
                "requests": tally.total,
                "bad": tally.bad,
                "burn_rate": burn_rate(tally) if tally.allowed_bad else None,
                "budget_left": budget_left(tally) if tally.allowed_bad else None,
                "causes": {reason.value: n for reason, n in tally.causes.items()},
            }
            for window_ms, tally in row.windows.items()
        ],
    }
