"""Parsing of deployment files: regions, availability zones, links, sites, limits."""

from ipaddress import IPv4Network, IPv6Network

from rhubarbwell_core.model import (
    ClientBlock,
    DeploymentSpec,
    LinkSpec,
    RankFloors,
    RegionSpec,
    SiteSpec,
    ZoneSpec,
)

from rhubarbwell_platform.documents.addresses import parse_cidr_block
from rhubarbwell_platform.documents.fields import FieldReader, Range, nearest_hint
from rhubarbwell_platform.documents.service_files import FORMAT_RANGE, FORMAT_VERSION

__all__ = ["read_deployment"]

DELAY_RANGE = Range(0, 10_000, "ms")
ENTRY_INSTANCE_RANGE = Range(1, 10_000)
BANDWIDTH_RANGE = Range(0.001, 10_000_000, "Mbit/s")
FLOOR_RANGE = Range(0, 1, "of the capacity")
SHIFT_CAP_RANGE = Range(0.0001, 1, "of the traffic per s")
GROWTH_RANGE = Range(0.0001, 10, "of the capacity per s")
TTL_RANGE = Range(100, 3_600_000, "ms")
MEASUREMENT_AGE_RANGE = Range(100, 600_000, "ms")

_DEFAULTS = DeploymentSpec("", (), ())
_FLOOR_DEFAULTS = RankFloors()


def read_deployment(fields: FieldReader) -> DeploymentSpec:
    """Return the deployment of an object; invalid fields are reported as findings."""
    fields.integer("format", FORMAT_RANGE, default=FORMAT_VERSION)
    name = fields.name("deployment")
    regions, zones = _read_regions(fields)
    links = _read_links(fields, regions)
    sites, blocks = _read_sites(fields, zones)
    deployment = DeploymentSpec(
        name=name,
        regions=regions,
        zones=zones,
        links=links,
        sites=sites,
        client_blocks=blocks,
        floors=_read_floors(fields),
        shift_cap_per_s=fields.number(
            "shift_cap_per_s", SHIFT_CAP_RANGE, default=_DEFAULTS.shift_cap_per_s
        ),
        cold_start_growth_per_s=fields.number(
            "cold_start_growth_per_s",
            GROWTH_RANGE,
            default=_DEFAULTS.cold_start_growth_per_s,
        ),
        look_up_ttl_ms=fields.integer(
            "look_up_ttl_ms", TTL_RANGE, default=_DEFAULTS.look_up_ttl_ms
        ),
        measurement_max_age_ms=fields.integer(
            "measurement_max_age_ms",
            MEASUREMENT_AGE_RANGE,
            default=_DEFAULTS.measurement_max_age_ms,
        ),
    )
    fields.report_unknown_fields()
    return deployment


def _read_regions(
    fields: FieldReader,
) -> tuple[tuple[RegionSpec, ...], tuple[ZoneSpec, ...]]:
    regions: dict[str, RegionSpec] = {}
    zones: dict[str, ZoneSpec] = {}
    for region_fields in fields.objects("regions", required=True):
        name = region_fields.name("name")
        delay_ms = region_fields.number("zone_delay_ms", DELAY_RANGE, default=0.0)
        if name in regions:
            region_fields.add_finding(
                "name", f"region {name!r} is defined more than once"
            )
        regions.setdefault(name, RegionSpec(name, delay_ms))
        for zone_fields in region_fields.objects("zones", required=True):
            zone = ZoneSpec(
                zone_fields.name("name"),
                name,
                zone_fields.integer("entry_instances", ENTRY_INSTANCE_RANGE),
            )
            zone_fields.report_unknown_fields()
            if zone.name in zones:
                zone_fields.add_finding(
                    "name", f"zone {zone.name!r} is defined more than once"
                )
            zones.setdefault(zone.name, zone)
        region_fields.report_unknown_fields()
    return tuple(regions.values()), tuple(zones.values())


def _read_links(
    fields: FieldReader, regions: tuple[RegionSpec, ...]
) -> tuple[LinkSpec, ...]:
    names = [region.name for region in regions]
    links: dict[frozenset[str], LinkSpec] = {}
    for link_fields in fields.objects("links"):
        ends = link_fields.texts("between", required=True)
        mbit_per_s = link_fields.number("mbit_per_s", BANDWIDTH_RANGE)
        delay_ms = link_fields.number("delay_ms", DELAY_RANGE, default=0.0)
        link_fields.report_unknown_fields()
        for end in ends:
            if end not in names:
                hint = nearest_hint(end, names)
                link_fields.add_finding("between", f"unknown region {end!r}{hint}")
        if len(ends) != 2 or len(set(ends)) != 2:
            link_fields.add_finding("between", "must name two different regions")
            continue
        if frozenset(ends) in links:
            link_fields.add_finding(
                "between",
                f"the link between {ends[0]} and {ends[1]} is defined more than once",
            )
        link = LinkSpec(ends[0], ends[1], mbit_per_s, delay_ms)
        links.setdefault(frozenset(ends), link)
    _check_every_pair_of_regions_has_a_link(fields, names, links)
    return tuple(links.values())


def _check_every_pair_of_regions_has_a_link(
    fields: FieldReader, names: list[str], links: dict[frozenset[str], LinkSpec]
) -> None:
    for index, first in enumerate(names):
        for second in names[index + 1 :]:
            if frozenset((first, second)) not in links:
                fields.add_finding("links", f"no link between {first!r} and {second!r}")


def _read_sites(
    fields: FieldReader, zones: tuple[ZoneSpec, ...]
) -> tuple[tuple[SiteSpec, ...], tuple[ClientBlock, ...]]:
    names = [zone.name for zone in zones]
    sites: dict[str, SiteSpec] = {}
    blocks: dict[IPv4Network | IPv6Network, ClientBlock] = {}
    for site_fields in fields.objects("sites"):
        name = site_fields.name("name")
        preferred = site_fields.texts("zones", required=True)
        texts = site_fields.texts("blocks")
        site_fields.report_unknown_fields()
        if name in sites:
            site_fields.add_finding("name", f"site {name!r} is defined more than once")
        if len(set(preferred)) < len(preferred):
            site_fields.add_finding("zones", "must not list a zone more than once")
        for zone in preferred:
            if zone not in names:
                hint = nearest_hint(zone, names)
                site_fields.add_finding("zones", f"unknown zone {zone!r}{hint}")
        sites.setdefault(name, SiteSpec(name, preferred))
        for index, text in enumerate(texts):
            _read_block(site_fields, f"blocks[{index}]", text, name, blocks)
    return tuple(sites.values()), tuple(blocks.values())


def _read_block(
    fields: FieldReader,
    name: str,
    text: str,
    site: str,
    blocks: dict[IPv4Network | IPv6Network, ClientBlock],
) -> None:
    try:
        network = parse_cidr_block(text)
    except ValueError as exc:
        fields.log.add_at_key(fields.key_of(name), str(exc))
        return
    if network in blocks:
        message = f"block {text!r} already belongs to site {blocks[network].site!r}"
        fields.log.add_at_key(fields.key_of(name), message)
    blocks.setdefault(network, ClientBlock(text, site))


def _read_floors(fields: FieldReader) -> RankFloors:
    floor_fields = fields.object("floors")
    if floor_fields is None:
        return _FLOOR_DEFAULTS
    floors = RankFloors(
        *(
            floor_fields.number(name, FLOOR_RANGE, default=default)
            for name, default in _FLOOR_DEFAULTS._asdict().items()
        )
    )
    floor_fields.report_unknown_fields()
    if sum(floors) > 1.0 + 1e-9:
        total = f"{sum(floors):g}"
        fields.add_finding(
            "floors", f"the floors of all ranks add up to {total}, the limit is 1"
        )
    return floors
