"""The two deployments that the benchmark models, at their true sizes."""

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
    """Hold a configuration with the delays and service times of the model."""

    configuration: Configuration
    flooded: str
    upload: str
    caller_delay_ms: int
    zone_delay_ms: int
    region_delay_ms: int


def wellenbrett() -> Deployment:
    """Return the deployment of Wellenbrett."""
    return _deployment(
        "wellenbrett",
        regions=("tirol", "salzkammer", "adria"),
        services={"slotsvc": 18, "paysvc": 12, "clipsvc": 12, "rostersvc": 12},
        flooded="slotsvc",
        upload="clipsvc",
        delays_ms=(1, 3, 35),
        mbit_per_s=4_000,
    )


def vanua() -> Deployment:
    """Return the deployment of Vanua."""
    return _deployment(
        "vanua",
        regions=("vitilevu", "vanualevu", "lau-group"),
        services={"boardsvc": 20, "payledger": 12, "bundledock": 12, "alertcast": 12},
        flooded="boardsvc",
        upload="bundledock",
        delays_ms=(8, 5, 12),
        mbit_per_s=280,
    )


def instance_ids(zone: ZoneSpec) -> tuple[str, ...]:
    """Return the names of a zone's entry instances."""
    return tuple(f"{zone.name}-{n}" for n in range(zone.entry_instances))


def _deployment(
    name: str,
    *,
    regions: tuple[str, ...],
    services: dict[str, int],
    flooded: str,
    upload: str,
    delays_ms: tuple[int, int, int],
    mbit_per_s: float,
) -> Deployment:
    zones = tuple(
        ZoneSpec(f"{region}-{letter}", region, INSTANCES_PER_ZONE)
        for region in regions
        for letter in "ab"
    )
    pairs = [(a, b) for a in regions for b in regions if a < b]
    spec = DeploymentSpec(
        name,
        tuple(RegionSpec(region) for region in regions),
        zones,
        tuple(LinkSpec(a, b, mbit_per_s, delays_ms[2]) for a, b in pairs),
        sites=tuple(_site(zone, zones) for zone in zones),
        client_blocks=tuple(
            ClientBlock(f"10.{n}.0.0/16", zone.name) for n, zone in enumerate(zones)
        ),
        look_up_ttl_ms=5_000,
    )
    specs = {
        service: _service(service, count, zones, has_uploads=service == upload)
        for service, count in services.items()
    }
    return Deployment(Configuration(1, "1", spec, specs), flooded, upload, *delays_ms)


def _site(zone: ZoneSpec, zones: tuple[ZoneSpec, ...]) -> SiteSpec:
    place = zones.index(zone)
    turned = zones[place:] + zones[:place]
    near = [other.name for other in turned if other.region == zone.region]
    far = [other.name for other in turned if other.region != zone.region]
    return SiteSpec(zone.name, (*near, *far))


def _service(
    name: str, count: int, zones: tuple[ZoneSpec, ...], *, has_uploads: bool
) -> ServiceSpec:
    kinds = (
        WorkKind("page", "GET", "/page", Rank.URGENT, True, 2_000, 10.0),
        WorkKind("book", "POST", "/book", Rank.STANDARD, False, 3_000, 100.0),
        WorkKind("sync", "GET", "/sync", Rank.BULK, True, 5_000, 1.0),
    )
    if has_uploads:
        upload = WorkKind("upload", "PUT", "/upload", Rank.BULK, False, 60_000, 30.0)
        kinds = (*kinds[:2], upload)
    backends = tuple(
        BackendSpec(f"{name}-{n}", zones[n % len(zones)].name, "10.0.0.1", n)
        for n in range(count)
    )
    return ServiceSpec(name, kinds, backends)
