import pytest
from rhubarbwell_core.links import FORWARDING_FRACTION, link_bytes_per_s, link_share
from rhubarbwell_core.model import DeploymentSpec, LinkSpec, RegionSpec, ZoneSpec

REGIONS = ("north", "south", "west")


def make_deployment(mbit_per_s):
    zones = tuple(
        ZoneSpec(f"{r}-{z}", r, n) for r in REGIONS for z, n in (("a", 2), ("b", 3))
    )
    links = (
        LinkSpec("north", "south", mbit_per_s),
        LinkSpec("west", "south", mbit_per_s),
    )
    return DeploymentSpec("d", tuple(map(RegionSpec, REGIONS)), zones, links)


@pytest.mark.parametrize("mbit_per_s", [280, 4_000])
def test_shares_of_both_sides_stay_within_the_link(mbit_per_s):
    spec = make_deployment(mbit_per_s)
    total = sum(
        zone.entry_instances * link_share(spec, zone.name, zone.region, other)
        for zone in spec.zones
        for other in ("north", "south")
        if zone.region in ("north", "south") and zone.region != other
    )
    budget = link_bytes_per_s(spec, "north", "south")
    assert budget == mbit_per_s * 125_000
    assert 0.99 * FORWARDING_FRACTION * budget < total <= FORWARDING_FRACTION * budget


def test_regions_without_link_share_nothing():
    spec = make_deployment(280)
    assert link_share(spec, "north-a", "north", "west") == 0
    assert link_share(spec, "elsewhere", "north", "south") == 0
