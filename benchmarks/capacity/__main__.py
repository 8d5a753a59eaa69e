"""Fit lines to measured costs and write the tables of the capacity page."""

import json
from collections.abc import Callable
from pathlib import Path

import fire

from benchmarks.capacity.grants import measure_grants
from benchmarks.capacity.lookups import measure_blocks, measure_directory
from benchmarks.capacity.page import render_tables, replace_tables
from benchmarks.capacity.polls import measure_polls
from benchmarks.capacity.publishing import measure_publishing
from benchmarks.capacity.reporting import measure_reporting
from benchmarks.control.__main__ import print_slopes
from benchmarks.control.fits import Line

PAGE = Path("docs/CAPACITY.md")
CAPACITY_LINES = Path("docs/capacity-lines.json")
CONTROL_LINES = Path("benchmarks/output/control.json")
MEASUREMENTS: tuple[Callable[[], list[Line]], ...] = (
    measure_blocks,
    measure_directory,
    measure_polls,
    measure_grants,
    measure_reporting,
    measure_publishing,
)


def measure_lines_and_write_page() -> None:
    """Measure all costs, save the fitted lines as JSON and update the page."""
    print_slopes(str(CONTROL_LINES))
    lines = read_lines(CONTROL_LINES)
    for measurement in MEASUREMENTS:
        lines += measurement()
    CAPACITY_LINES.write_text(
        json.dumps([line._asdict() for line in lines], indent=1) + "\n"
    )
    write_page()


def write_page() -> None:
    """Write the page's tables from the saved lines."""
    PAGE.write_text(
        replace_tables(PAGE.read_text(), render_tables(read_lines(CAPACITY_LINES)))
    )


def read_lines(path: Path) -> list[Line]:
    """Return the fitted lines that a JSON file holds."""
    items = json.loads(path.read_text())
    return [
        Line(**{**item, "points": tuple(map(tuple, item["points"]))}) for item in items
    ]


if __name__ == "__main__":
    fire.Fire({"measure": measure_lines_and_write_page, "write": write_page})
