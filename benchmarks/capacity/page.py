"""Render the tables of the capacity page from lines fitted to measurements."""

from collections.abc import Sequence

from tabulate import tabulate

from benchmarks.capacity.limits import (
    RoleCost,
    costs_of_control,
    find_line,
    spill_cost,
    sum_costs,
)
from benchmarks.capacity.target import (
    CHANGES_PER_S,
    CLIENT_BLOCKS,
    CORE_SHARE_LIMIT,
    LOOK_UPS_PER_S_PER_NODE,
    MEMORY_LIMIT_MB,
    NODES,
    TRAFFIC_LIMIT_BYTES_PER_S,
)
from benchmarks.control.fits import Line

__all__ = ["BEGIN_MARKER", "END_MARKER", "render_tables", "replace_tables"]

BEGIN_MARKER = "<!-- begin of generated tables -->"
END_MARKER = "<!-- end of generated tables -->"
US_PER_S = 1e6
SECONDS_PER_DAY = 86_400


def render_tables(lines: Sequence[Line]) -> str:
    """Return the tables of costs, limits, work and fitted lines in Markdown."""
    costs = costs_of_control(lines)
    parts = [
        "### Control of a node at the target size",
        _table_of_costs(costs),
        "### Beside the limits",
        _table_of_limits(sum_costs(costs)),
        "### Beside the limits while every service spills",
        _table_of_limits(sum_costs([*costs, spill_cost(lines)])),
        "### Work of callers and the platform at the target size",
        _table_of_work(lines),
        "### Measured lines",
        _table_of_fitted_lines(lines),
    ]
    return "\n\n".join(parts)


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the text between the markers replaced by tables.

    Raises ValueError unless the page holds each marker once.
    """
    before, rest = page.split(BEGIN_MARKER)
    _, after = rest.split(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{tables}\n\n{END_MARKER}{after}"


def _table_of_costs(costs: Sequence[RoleCost]) -> str:
    rows = [
        (cost.role, f"{cost.bytes_per_s:.0f}", _percent(cost), f"{cost.memory_mb:.2f}")
        for cost in [*costs, sum_costs(costs)]
    ]
    return _markdown_table(["role", "bytes/s", "share of a core", "memory, MB"], rows)


def _table_of_limits(total: RoleCost) -> str:
    limits = [
        ("bytes/s", total.bytes_per_s, float(TRAFFIC_LIMIT_BYTES_PER_S)),
        ("share of a core, %", total.core_share * 100, CORE_SHARE_LIMIT * 100),
        ("memory, MB", total.memory_mb, MEMORY_LIMIT_MB),
    ]
    rows = [
        (name, f"{value:.2f}", f"{limit:g}", "met" if value <= limit else "NOT MET")
        for name, value, limit in limits
    ]
    return _markdown_table(["quantity", "worked out", "limit", "verdict"], rows)


def _table_of_work(lines: Sequence[Line]) -> str:
    look_up_us = find_line(lines, "look-up by client blocks").at(CLIENT_BLOCKS)
    decision_share = LOOK_UPS_PER_S_PER_NODE * look_up_us / US_PER_S
    blocks_mb = find_line(lines, "packed blocks by client blocks").at(CLIENT_BLOCKS)
    calls_per_publish = find_line(lines, "table calls by publishes").slope
    row_kb_per_publish = find_line(lines, "table rows by publishes").slope
    log_mb_per_day = row_kb_per_publish * CHANGES_PER_S * SECONDS_PER_DAY / 1_000
    rows = [
        ("look-ups per node", f"{LOOK_UPS_PER_S_PER_NODE:.0f}/s"),
        ("decisions on those look-ups", f"{decision_share:.1%} of a core"),
        ("packed client blocks", f"{blocks_mb:.1f} MB"),
        (
            "publishers' calls of the table service",
            f"{calls_per_publish * CHANGES_PER_S:.2f}/s",
        ),
        ("log rows kept a day", f"{log_mb_per_day:.1f} MB"),
        ("nodes", f"{NODES}"),
    ]
    return _markdown_table(["quantity", "worked out"], rows)


def _table_of_fitted_lines(lines: Sequence[Line]) -> str:
    rows = [
        (
            line.role,
            line.quantity,
            line.unit,
            " ".join(f"{n:g}:{value:.4g}" for n, value in line.points),
            f"{line.slope:.4g}",
            f"{line.intercept:.4g}",
            f"{line.residual:.3g}",
        )
        for line in lines
    ]
    headers = ["role", "quantity", "unit", "points", "slope", "intercept", "error"]
    return _markdown_table(headers, rows)


def _markdown_table(headers: list[str], rows: Sequence[tuple[str, ...]]) -> str:
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


def _percent(cost: RoleCost) -> str:
    return f"{cost.core_share:.3%}"
