import json

from ddsketch import DDSketch
from rhubarbwell_core.burn import BurnReport, BurnRow, SeriesKey, Tally, encode_sketch
from rhubarbwell_core.model import Rank, Reason
from rhubarbwell_ops.report import (
    burn_report_json,
    format_burn_report,
    gather_report,
    plot_burn,
    read_rows,
)
from rhubarbwell_platform.standins import BackendStandIn

TALLY = Tally(100, 4, 2.0, {Reason.OVERLOAD: 3, Reason.DEADLINE: 1})
WINDOWS = dict.fromkeys((60_000, 300_000, 3_600_000, 21_600_000), TALLY)


def make_report():
    sketch = DDSketch(0.02)
    sketch.add(8)
    row = BurnRow(SeriesKey("slotsvc", Rank.URGENT), WINDOWS, sketch)
    return BurnReport((row,), ("a",), ("b",))


def test_table_shows_burn_causes_and_unreachable_instances():
    text = format_burn_report(make_report())
    assert "slotsvc" in text and "2.00" in text and "-100%" in text
    assert "overload 3, deadline 1" in text
    assert text.endswith("1 instances answered; unreachable: b")


def test_json_holds_every_window():
    (row,) = json.loads(burn_report_json(make_report()))["rows"]
    assert [window["burn_rate"] for window in row["windows"]] == [2.0] * 4


def test_plot_is_written(tmp_path):
    plot_burn(make_report(), tmp_path / "burn.png")
    assert (tmp_path / "burn.png").read_bytes().startswith(b"\x89PNG")


def test_rows_survive_the_way_through_json():
    sketch = DDSketch(0.02)
    sketch.add(8)
    window = {"window_ms": 60_000, "total": 2, "bad": 1, "allowed_bad": 0.5}
    row = {
        "service": "s",
        "rank": "bulk",
        "windows": [{**window, "causes": {"overload": 1}}],
        "latencies": encode_sketch(sketch),
    }
    (read,) = read_rows(json.loads(json.dumps({"rows": [row]})))
    assert read.windows[60_000] == Tally(2, 1, 0.5, {Reason.OVERLOAD: 1})
    assert read.latencies.count == 1


async def test_instances_that_do_not_answer_a_report_are_named():
    other = BackendStandIn("not-an-instance")
    address = await other.start()
    name = f"{address.host}:{address.port}"
    report = await gather_report([name, "127.0.0.1:1"])
    await other.stop()
    assert report.unreachable == (name, "127.0.0.1:1")
