"""Print control costs, delays of publishes and recovery from failures."""

import asyncio
import json
import logging
from pathlib import Path

import fire
import numpy as np
from tabulate import tabulate

from benchmarks.control.fits import Line
from benchmarks.control.loopback import run_publishes
from benchmarks.control.recovery import SCENARIOS
from benchmarks.control.slopes import (
    measure_changes,
    measure_memory,
    measure_relays,
    measure_zone,
    run_timed,
)
from benchmarks.control.targets import deliveries_per_s, target_rows
from benchmarks.control.transport import measure_delivery

MEASUREMENTS = (measure_memory, measure_zone, measure_relays, measure_changes)
OUTPUT = Path("benchmarks/output/control.json")


def print_slopes(output: str = str(OUTPUT)) -> None:
    """Write the fitted lines as JSON; print the lines and the costs at target size."""
    delivery = asyncio.run(measure_delivery())
    lines = [line for measure in MEASUREMENTS for line in run_timed(measure)]
    lines += [
        _constant_line(
            "peer transport", "processor time per delivery", "us", delivery[0]
        ),
        _constant_line("peer transport", "HTTP/2 bytes per delivery", "B", delivery[2]),
    ]
    path = Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps([line._asdict() for line in lines], indent=1))
    print(tabulate([_table_row(line) for line in lines], headers=_HEADERS))
    rate = deliveries_per_s(lines)
    print(f"\nat 2,900 nodes, 100 zones of 29, {rate:.1f} deliveries/s per node:")
    print(tabulate(target_rows(lines), headers=["quantity", "value", "limit", "met"]))


def print_publishes(count: int = 1_000, seed: int = 1) -> None:
    """Print the outcome and delays of concurrent publishes over the loopback."""
    logging.disable(logging.WARNING)
    report = asyncio.run(run_publishes(count, seed=seed))
    print(tabulate([(k, v) for k, v in report._asdict().items() if k != "times_ms"]))
    for percentile in (50, 90, 99, 100):
        print(f"p{percentile} {np.percentile(report.times_ms, percentile):.0f} ms")


def print_recovery() -> None:
    """Run the failure scenarios on the virtual clock and print their results."""
    rows = [scenario() for scenario in SCENARIOS]
    print(tabulate(rows, headers=rows[0]._fields))


_HEADERS = ["role", "quantity", "unit", "points", "slope", "intercept", "residual"]


def _constant_line(role: str, quantity: str, unit: str, value: float) -> Line:
    return Line(
        role, quantity, unit, ((1, round(value, 1)),), 0.0, round(value, 1), 0.0
    )


def _table_row(line: Line) -> tuple[object, ...]:
    points = " ".join(f"{n:g}:{value:.4g}" for n, value in line.points)
    return (*line[:3], points, *line[4:])


if __name__ == "__main__":
    fire.Fire(
        {
            "slopes": print_slopes,
            "publishes": print_publishes,
            "recovery": print_recovery,
        }
    )
