"""The two simulated deployments, at the sizes of the real deployments."""

from typing import NamedTuple

from rhubarbwell_core.model import (
    BackendSpec,
    ClientBlock,
    Configuration,
    DeploymentSpec,
    LinkSpec,
    Rank,
    RegionSpec,
    ServiceSpec,
    SiteSpec,
    WorkKind,
    ZoneSpec,
)

__all__ = ["Deployment", "instance_ids", "vanua", "wellenbrett"]

INSTANCES_PER_ZONE = 2
SHORT_SERVICE_MS = 60
UPLOAD_SERVICE_MS = 2_500
UPLOAD_BYTES = 8_000_000
ANSWER_BYTES = 20_000


class Deployment(NamedTuple):
    """Hold a configuration, its network delays and the services under test.

    Delays are one way, in ms: from a caller to an entry instance of its zone, and
    between two zones of one region or of different regions.
    """

    configuration: Configuration
    flooded_service: str
    upload_service: str
    caller_delay_ms: int
    zone_delay_ms: int
    region_delay_ms: int


def wellenbrett() -> Deployment:
    """Return the deployment of Wellenbrett."""
    return _make_deployment(
        "wellenbrett",
        regions=("tirol", "salzkammer", "adria"),
        backend_counts={"slotsvc": 18, "paysvc": 12, "clipsvc": 12, "rostersvc": 12},
        flooded_service="slotsvc",
        upload_service="clipsvc",
        delays_ms=(1, 3, 35),
        mbit_per_s=4_000,
    )


def vanua() -> Deployment:
    """Return the deployment of Vanua."""
    return _make_deployment(
        "vanua",
        regions=("vitilevu", "vanualevu", "lau-group"),
        backend_counts={
            "boardsvc": 20,
            "payledger": 12,
            "bundledock": 12,
            "alertcast": 12,
        },
        flooded_service="boardsvc",
        upload_service="bundledock",
        delays_ms=(8, 5, 12),
        mbit_per_s=280,
    )


def instance_ids(zone: ZoneSpec) -> tuple[str, ...]:
    """Return the ids of a zone's entry instances."""
    return tuple(f"{zone.name}-{n}" for n in range(zone.entry_instances))


def _make_deployment(
    name: str,
    *,
    regions: tuple[str, ...],
    backend_counts: dict[str, int],
    flooded_service: str,
    upload_service: str,
    delays_ms: tuple[int, int, int],
    mbit_per_s: float,
) -> Deployment:
    zones = tuple(
        ZoneSpec(f"{region}-{zone_letter}", region, INSTANCES_PER_ZONE)
        for region in regions
        for zone_letter in "ab"
    )
    region_pairs = [(a, b) for a in regions for b in regions if a < b]
    spec = DeploymentSpec(
        name,
        tuple(RegionSpec(region) for region in regions),
        zones,
        tuple(LinkSpec(a, b, mbit_per_s, delays_ms[2]) for a, b in region_pairs),
        sites=tuple(_make_site(zone, zones) for zone in zones),
        client_blocks=tuple(
            ClientBlock(f"10.{n}.0.0/16", zone.name) for n, zone in enumerate(zones)
        ),
        look_up_ttl_ms=5_000,
    )
    services = {
        service: _make_service(
            service, backend_count, zones, accepts_uploads=service == upload_service
        )
        for service, backend_count in backend_counts.items()
    }
    return Deployment(
        Configuration(1, "1", spec, services),
        flooded_service,
        upload_service,
        *delays_ms,
    )


def _make_site(zone: ZoneSpec, zones: tuple[ZoneSpec, ...]) -> SiteSpec:
    zone_index = zones.index(zone)
    rotated_zones = zones[zone_index:] + zones[:zone_index]
    same_region = [other.name for other in rotated_zones if other.region == zone.region]
    other_regions = [
        other.name for other in rotated_zones if other.region != zone.region
    ]
    return SiteSpec(zone.name, (*same_region, *other_regions))


def _make_service(
    name: str, backend_count: int, zones: tuple[ZoneSpec, ...], *, accepts_uploads: bool
) -> ServiceSpec:
    kinds = (
        WorkKind("page", "GET", "/page", Rank.URGENT, True, 2_000, 10.0),
        WorkKind("book", "POST", "/book", Rank.STANDARD, False, 3_000, 100.0),
        WorkKind("sync", "GET", "/sync", Rank.BULK, True, 5_000, 1.0),
    )
    if accepts_uploads:
        upload_kind = WorkKind(
            "upload", "PUT", "/upload", Rank.BULK, False, 60_000, 30.0
        )
        kinds = (*kinds[:2], upload_kind)
    backends = tuple(
        BackendSpec(f"{name}-{n}", zones[n % len(zones)].name, "10.0.0.1", n)
        for n in range(backend_count)
    )
    return ServiceSpec(name, kinds, backends)
