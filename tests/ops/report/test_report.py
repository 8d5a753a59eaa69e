import json

from ddsketch import DDSketch
from rhubarbwell_core.burn import BurnReport, BurnRow, SeriesKey, Tally
from rhubarbwell_core.messages import ServiceHeadroom
from rhubarbwell_core.model import Rank, Reason
from rhubarbwell_entry.reports import (
    InstanceReport,
    LinkUse,
    decode_report,
    encode_report,
)
from rhubarbwell_ops.report import (
    FleetReport,
    LinkHeadroom,
    RegionHeadroom,
    fleet_report_json,
    format_burn_report,
    gather_report,
    merge_reports,
    plot_burn,
)
from rhubarbwell_platform.standins import FakeBackend

TALLY = Tally(100, 4, 2.0, {Reason.OVERLOAD: 3, Reason.DEADLINE: 1})
WINDOWS = dict.fromkeys((60_000, 300_000, 3_600_000, 21_600_000), TALLY)


def make_burn_report():
    sketch = DDSketch(0.02)
    sketch.add(8)
    row = BurnRow(SeriesKey("slotsvc", Rank.URGENT), WINDOWS, sketch)
    return BurnReport((row,), ("a",), ("b",))


def test_table_shows_burn_causes_and_unreachable_instances():
    text = format_burn_report(make_burn_report())
    assert "slotsvc" in text and "2.00" in text and "-100%" in text
    assert "overload 3, deadline 1" in text
    assert text.endswith("1 instances answered; unreachable: b")


def test_json_holds_every_window():
    (row,) = fleet_report_json(FleetReport(make_burn_report(), (), ()))["rows"]
    assert [window["burn_rate"] for window in row["windows"]] == [2.0] * 4


def test_plot_is_written(tmp_path):
    plot_burn(make_burn_report(), tmp_path / "burn.png")
    assert (tmp_path / "burn.png").read_bytes().startswith(b"\x89PNG")


def test_report_round_trips_through_json():
    row = make_burn_report().rows[0]
    headroom = (ServiceHeadroom("slotsvc", 9, 4),)
    links = (LinkUse("q", 125_000, 250_000),)
    sent = InstanceReport("i", "r-a", "r", (row,), headroom, ("b1",), links)
    got = decode_report(json.loads(json.dumps(encode_report(sent))))
    assert got.rows[0].windows == row.windows
    assert got.rows[0].latencies.count == 1
    assert got._replace(rows=()) == sent._replace(rows=())


def test_headroom_sums_the_smallest_report_of_each_zone():
    views = [("r-a", 4), ("r-a", 2), ("r-b", 5)]
    reports = [
        InstanceReport("i", zone, "r", (), (ServiceHeadroom("s", 9, free),), ())
        for zone, free in views
    ]
    (headroom,) = merge_reports(reports).headroom
    assert headroom == RegionHeadroom("r", "s", 18, 7)


def test_link_headroom_sums_the_instances_of_a_region():
    part = InstanceReport(
        "i", "r-a", "r", (), (), (), (LinkUse("q", 125_000, 250_000),)
    )
    (link,) = merge_reports([part, part]).links
    assert link == LinkHeadroom("r", "q", 2.0, 4.0)


async def test_instances_that_do_not_answer_a_report_are_named():
    other = FakeBackend("not-an-instance")
    address = await other.start()
    name = f"{address.host}:{address.port}"
    report = await gather_report([name, "127.0.0.1:1"])
    await other.stop()
    assert report.burn.unreachable == (name, "127.0.0.1:1")
