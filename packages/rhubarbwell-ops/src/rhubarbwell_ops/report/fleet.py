"""Fleet report, merged from the reports of entry instances."""

from collections.abc import Sequence
from typing import NamedTuple

from rhubarbwell_core.burn import BurnReport, merge_rows
from rhubarbwell_entry.reports import InstanceReport

__all__ = ["FleetReport", "LinkHeadroom", "RegionHeadroom", "merge_reports"]

BYTES_PER_MBIT = 125_000


class RegionHeadroom(NamedTuple):
    """Hold the total and the free endpoint slots of a service in a region."""

    region: str
    service: str
    slots: int
    free: int


class LinkHeadroom(NamedTuple):
    """Hold the Mbit/s that a region grants, and may grant, to another region."""

    region: str
    other: str
    granted: float
    grantable: float


class FleetReport(NamedTuple):
    """Hold the burn, the headroom of regions and links, and the drains in progress."""

    burn: BurnReport
    headroom: tuple[RegionHeadroom, ...]
    draining: tuple[str, ...]
    links: tuple[LinkHeadroom, ...] = ()


def merge_reports(
    reports: Sequence[InstanceReport], *, unreachable: Sequence[str] = ()
) -> FleetReport:
    """Return the fleet report merged from the reports of instances.

    A zone in which no instance answered adds nothing to the headroom.
    """
    answered = tuple(report.instance_id for report in reports)
    rows = merge_rows(row for report in reports for row in report.rows)
    draining = {backend_id for report in reports for backend_id in report.draining}
    return FleetReport(
        BurnReport(rows, answered, tuple(unreachable)),
        _headroom_by_region(reports),
        tuple(sorted(draining)),
        _headroom_by_link(reports),
    )


def _headroom_by_region(
    reports: Sequence[InstanceReport],
) -> tuple[RegionHeadroom, ...]:
    """Return the headroom by region, summed over its zones.

    Of the instances of a zone, the one that reports the fewest free slots counts.
    """
    zones: dict[tuple[str, str, str], tuple[int, int]] = {}
    for report in reports:
        for headroom in report.headroom:
            key = (report.region, report.zone, headroom.service)
            minimum = zones.get(key, (headroom.free, headroom.slots))
            zones[key] = min(minimum, (headroom.free, headroom.slots))
    regions: dict[tuple[str, str], RegionHeadroom] = {}
    for (region, _, service), (free, slots) in sorted(zones.items()):
        subtotal = regions.get((region, service), RegionHeadroom(region, service, 0, 0))
        total = subtotal._replace(
            slots=subtotal.slots + slots, free=subtotal.free + free
        )
        regions[region, service] = total
    return tuple(regions.values())


def _headroom_by_link(reports: Sequence[InstanceReport]) -> tuple[LinkHeadroom, ...]:
    links: dict[tuple[str, str], LinkHeadroom] = {}
    for report in reports:
        for link in report.links:
            key = (report.region, link.other)
            subtotal = links.get(key, LinkHeadroom(*key, 0.0, 0.0))
            links[key] = subtotal._replace(
                granted=subtotal.granted + link.granted / BYTES_PER_MBIT,
                grantable=subtotal.grantable + link.grantable / BYTES_PER_MBIT,
            )
    return tuple(links[key] for key in sorted(links))
