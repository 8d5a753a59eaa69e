"""Regions, availability zones, links and the limits of a deployment."""

from typing import NamedTuple

from rhubarbwell_core.model.ranks import Rank

__all__ = [
    "ClientBlock",
    "DeploymentSpec",
    "LinkSpec",
    "RankFloors",
    "RegionSpec",
    "SiteSpec",
    "ZoneSpec",
    "region_of_zone",
    "zones_of_region",
]


class RegionSpec(NamedTuple):
    """Describe one region and the one-way delay between its zones, in ms."""

    name: str
    zone_delay_ms: float = 0.0


class ZoneSpec(NamedTuple):
    """Describe one availability zone and its number of entry instances."""

    name: str
    region: str
    entry_instances: int


class LinkSpec(NamedTuple):
    """Describe the link between two regions: Mbit/s each way and delay in ms."""

    first: str
    second: str
    mbit_per_s: float
    delay_ms: float = 0.0


class SiteSpec(NamedTuple):
    """Describe a site of callers and the zones it prefers, nearest first."""

    name: str
    zones: tuple[str, ...]


class ClientBlock(NamedTuple):
    """Map a block of caller addresses, in CIDR form, to a site."""

    prefix: str
    site: str


class RankFloors(NamedTuple):
    """Hold each rank's share of capacity, kept while another rank causes overload."""

    urgent: float = 0.5
    standard: float = 0.2
    bulk: float = 0.1

    def of(self, rank: Rank) -> float:
        """Return the share of capacity kept for the rank.

        >>> RankFloors().of(Rank.BULK)
        0.1
        """
        return self[rank]


class DeploymentSpec(NamedTuple):
    """Hold the contents of a deployment file."""

    name: str
    regions: tuple[RegionSpec, ...]
    zones: tuple[ZoneSpec, ...]
    links: tuple[LinkSpec, ...] = ()
    sites: tuple[SiteSpec, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()
    floors: RankFloors = RankFloors()
    shift_cap_per_s: float = 0.05
    cold_start_growth_per_s: float = 0.1
    look_up_ttl_ms: int = 10_000
    measurement_max_age_ms: int = 3_000


def region_of_zone(deployment: DeploymentSpec, zone: str) -> str | None:
    """Return the region of the zone, None for a zone that is not listed.

    >>> spec = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 2),))
    >>> region_of_zone(spec, "r-a")
    'r'
    """
    for spec in deployment.zones:
        if spec.name == zone:
            return spec.region
    return None


def zones_of_region(deployment: DeploymentSpec, region: str) -> tuple[str, ...]:
    """Return the names of the region's availability zones.

    >>> spec = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 2),))
    >>> zones_of_region(spec, "r")
    ('r-a',)
    """
    return tuple(spec.name for spec in deployment.zones if spec.region == region)
