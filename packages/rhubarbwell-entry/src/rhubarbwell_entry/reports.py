"""Collect one entry instance's part of the fleet report and convert it to JSON."""

from typing import Any, NamedTuple

from rhubarbwell_core import Core
from rhubarbwell_core.burn import (
    BurnRow,
    SeriesKey,
    Tally,
    decode_sketch,
    encode_sketch,
    make_burn_rows,
)
from rhubarbwell_core.links import link_share
from rhubarbwell_core.membership import zone_headroom
from rhubarbwell_core.messages import ServiceHeadroom
from rhubarbwell_core.model import Reason, rank_from_name, rank_name

__all__ = [
    "InstanceReport",
    "LinkUse",
    "decode_report",
    "encode_report",
    "link_uses",
    "make_report",
]


class LinkUse(NamedTuple):
    """Hold the granted and the grantable bytes/s of the link to another region.

    Both cover one instance's share of the link. granted is the larger of the rates
    granted for requests and for responses.
    """

    other: str
    granted: int
    grantable: int


class InstanceReport(NamedTuple):
    """Hold an instance's burn rows and link uses, and its zone's headroom.

    draining holds the ids of all draining backend servers that the instance knows.
    """

    instance_id: str
    zone: str
    region: str
    rows: tuple[BurnRow, ...]
    headroom: tuple[ServiceHeadroom, ...]
    draining: tuple[str, ...]
    links: tuple[LinkUse, ...] = ()


def make_report(core: Core, now_ms: int) -> InstanceReport:
    """Return the core's counts and backend state as a report."""
    backends = core.backends.rows.rows()
    zone = core.identity.zone
    return InstanceReport(
        core.identity.instance_id,
        zone,
        core.identity.region,
        tuple(make_burn_rows(core.burn, now_ms)),
        zone_headroom(backends, zone),
        tuple(row.backend_id for row in backends if row.draining),
        link_uses(core, now_ms),
    )


def encode_report(report: InstanceReport) -> dict[str, Any]:
    """Return the report as JSON-compatible values."""
    return {
        "instance_id": report.instance_id,
        "zone": report.zone,
        "region": report.region,
        "rows": [_encode_row(row) for row in report.rows],
        "headroom": [headroom._asdict() for headroom in report.headroom],
        "draining": list(report.draining),
        "links": [use._asdict() for use in report.links],
    }


def decode_report(body: Any) -> InstanceReport:
    """Return the report of a decoded JSON body.

    Raises KeyError, TypeError or ValueError if the body is malformed.
    """
    return InstanceReport(
        str(body["instance_id"]),
        str(body["zone"]),
        str(body["region"]),
        tuple(_decode_row(row) for row in body["rows"]),
        tuple(_decode_headroom(item) for item in body["headroom"]),
        tuple(str(backend_id) for backend_id in body["draining"]),
        tuple(_decode_link(item) for item in body["links"]),
    )


def link_uses(core: Core, now_ms: int) -> tuple[LinkUse, ...]:
    """Return the use of this instance's share of the links to other regions.

    Links without a share are left out. Empty while there is no configuration.
    """
    if core.configuration is None:
        return ()
    deployment = core.configuration.deployment
    own = core.identity
    uses = []
    for region in deployment.regions:
        share = link_share(deployment, own.zone, own.region, region.name)
        if region.name == own.region or not share:
            continue
        lent = core.grants.lending.grantor.reserved_link(region.name, now_ms)
        granted = max(lent.request_bytes_per_s, lent.response_bytes_per_s)
        uses.append(LinkUse(region.name, granted, share))
    return tuple(uses)


def _encode_row(row: BurnRow) -> dict[str, Any]:
    windows = [
        {
            "window_ms": window_ms,
            "total": tally.total,
            "bad": tally.bad,
            "allowed_bad": tally.allowed_bad,
            "causes": {reason.value: n for reason, n in tally.causes.items()},
        }
        for window_ms, tally in row.windows.items()
    ]
    return {
        "service": row.key.service,
        "rank": rank_name(row.key.rank),
        "windows": windows,
        "latencies": encode_sketch(row.latencies),
    }


def _decode_row(row: Any) -> BurnRow:
    key = SeriesKey(str(row["service"]), rank_from_name(row["rank"]))
    windows = {int(item["window_ms"]): _decode_tally(item) for item in row["windows"]}
    return BurnRow(key, windows, decode_sketch(row["latencies"]))


def _decode_tally(item: Any) -> Tally:
    causes = {Reason(name): int(n) for name, n in item["causes"].items()}
    return Tally(
        int(item["total"]), int(item["bad"]), float(item["allowed_bad"]), causes
    )


def _decode_headroom(item: Any) -> ServiceHeadroom:
    return ServiceHeadroom(str(item["service"]), int(item["slots"]), int(item["free"]))


def _decode_link(item: Any) -> LinkUse:
    return LinkUse(str(item["other"]), int(item["granted"]), int(item["grantable"]))
