"""The report on service-level burn as JSON."""

import json

from rhubarbwell_core.burn import BurnReport, BurnRow, budget_left, burn_rate
from rhubarbwell_core.model import rank_name

__all__ = ["burn_report_json"]

QUANTILES = (0.5, 0.9, 0.99)


def burn_report_json(report: BurnReport) -> str:
    """Return the report as one JSON object."""
    body = {
        "rows": [_row(row) for row in report.rows],
        "answered": list(report.answered),
        "unreachable": list(report.unreachable),
    }
    return json.dumps(body, indent=2)


def _row(row: BurnRow) -> dict[str, object]:
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
