"""Deployments of the target size for benchmarks of single decisions."""

from random import Random

from rhubarbwell_core import Core
from rhubarbwell_core.messages import ConfigReceived, PeerRecord, PeerState
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    ClientBlock,
    Configuration,
    DeploymentSpec,
    Identity,
    LinkSpec,
    Rank,
    RegionSpec,
    ServiceSpec,
    SiteSpec,
    WorkKind,
    ZoneSpec,
)

__all__ = ["make_core", "make_deployment", "make_peers"]

REGION_COUNT = 40
ZONE_COUNT = 100
SITE_COUNT = 1_600
LOCAL_ADDRESS = Address("127.0.0.1", 1)
LINK_MBIT_PER_S = 4_000.0
BACKEND_COUNT = 18
REQUEST_DEADLINE_MS = 60_000


def make_deployment(blocks: int, nodes: int) -> DeploymentSpec:
    """Return a deployment with the given numbers of client blocks and instances.

    Entry instances are divided evenly over the zones, with at least one in each.
    """
    regions = tuple(RegionSpec(f"r{number}") for number in range(REGION_COUNT))
    zones = tuple(
        ZoneSpec(f"z{number}", f"r{number % REGION_COUNT}", max(1, nodes // ZONE_COUNT))
        for number in range(ZONE_COUNT)
    )
    links = tuple(
        LinkSpec("r0", f"r{number}", LINK_MBIT_PER_S, float(number))
        for number in range(1, REGION_COUNT)
    )
    sites = tuple(
        SiteSpec(
            f"s{number}", (f"z{number % ZONE_COUNT}", f"z{(number + 40) % ZONE_COUNT}")
        )
        for number in range(SITE_COUNT)
    )
    client_blocks = tuple(
        ClientBlock(
            f"{(number >> 16) + 1}.{number >> 8 & 255}.{number & 255}.0/24", site
        )
        for number in range(blocks)
        for site in [f"s{number % SITE_COUNT}"]
    )
    return DeploymentSpec("bench", regions, zones, links, sites, client_blocks)


def make_core(deployment: DeploymentSpec, *, seed: int) -> Core:
    """Return a configured core of the first zone with one service."""
    identity = Identity("n0", "n0-1", "z0", "r0", LOCAL_ADDRESS, LOCAL_ADDRESS)
    core = Core(identity, Random(seed))
    backends = tuple(
        BackendSpec(f"b{number}", "z0", "127.0.0.1", 9_000 + number)
        for number in range(BACKEND_COUNT)
    )
    kind = WorkKind("page", "GET", "/", Rank.URGENT, True, REQUEST_DEADLINE_MS)
    service = ServiceSpec("slotsvc", (kind,), backends)
    cfg = Configuration(1, "x", deployment, {"slotsvc": service})
    core.handle(ConfigReceived(cfg), 0)
    return core


def make_peers(deployment: DeploymentSpec, nodes: int) -> list[PeerRecord]:
    """Return peer records of ready entry instances, spread over the zones."""
    return [
        PeerRecord(
            f"n{number}",
            f"n{number}-1",
            deployment.zones[number % ZONE_COUNT].name,
            deployment.zones[number % ZONE_COUNT].region,
            LOCAL_ADDRESS,
            LOCAL_ADDRESS,
            PeerState.READY,
            1,
            1,
            load=number % 10 / 10,
        )
        for number in range(nodes)
    ]
