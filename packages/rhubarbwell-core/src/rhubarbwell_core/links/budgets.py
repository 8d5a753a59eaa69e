"""Bandwidth budgets of links between regions and their division among instances."""

from rhubarbwell_core.model import DeploymentSpec, zones_of_region

__all__ = ["FORWARDING_FRACTION", "link_bytes_per_s", "link_share"]

BYTES_PER_MBIT = 125_000
FORWARDING_FRACTION = 0.85
GRANTING_REGIONS = 2


def link_bytes_per_s(deployment: DeploymentSpec, first: str, second: str) -> int:
    """Return the bytes/s of a link in each direction, 0 if there is no link."""
    for link in deployment.links:
        if {link.first, link.second} == {first, second}:
            return int(link.mbit_per_s * BYTES_PER_MBIT)
    return 0


def link_share(deployment: DeploymentSpec, zone: str, region: str, other: str) -> int:
    """Return the bytes/s in each direction that an instance of the zone may grant.

    Each of the two regions grants half of the link's forwarding budget. It is split
    evenly among the region's zones, and a zone's part evenly among its configured
    entry instances.
    """
    zones = zones_of_region(deployment, region)
    counts = [spec.entry_instances for spec in deployment.zones if spec.name == zone]
    if not zones or not counts or counts[0] == 0:
        return 0
    usable = link_bytes_per_s(deployment, region, other) * FORWARDING_FRACTION
    return int(usable / GRANTING_REGIONS / len(zones) / counts[0])
