from pathlib import Path

from benchmarks.capacity.__main__ import read_lines
from benchmarks.capacity.limits import RoleCost, sum_costs
from benchmarks.capacity.page import (
    BEGIN_MARKER,
    END_MARKER,
    render_tables,
    replace_tables,
)

DOCS = Path(__file__).parents[2] / "docs"


def test_costs_add_up():
    total = sum_costs([RoleCost("a", 1.0, 0.25, 2.0), RoleCost("b", 3.0, 0.5, 4.0)])
    assert total[1:] == (4.0, 0.75, 6.0)


def test_only_the_generated_part_of_a_page_is_replaced():
    page = f"before {BEGIN_MARKER} old {END_MARKER} after"
    assert (
        replace_tables(page, "new")
        == f"before {BEGIN_MARKER}\n\nnew\n\n{END_MARKER} after"
    )


def test_tables_of_the_page_follow_from_the_kept_lines():
    page = (DOCS / "CAPACITY.md").read_text()
    lines = read_lines(DOCS / "capacity-lines.json")
    assert replace_tables(page, render_tables(lines)) == page
