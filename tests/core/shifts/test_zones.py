import pytest
from rhubarbwell_core.messages import ServiceHeadroom, ZoneHeadroomHeard
from rhubarbwell_core.model import DeploymentSpec, RegionSpec, ZoneSpec
from rhubarbwell_core.shifts import ZoneShares

ZONES = ("r-a", "r-b", "q-a")
DEPLOYMENT = DeploymentSpec(
    "d",
    (RegionSpec("r"), RegionSpec("q")),
    (ZoneSpec("r-a", "r", 1), ZoneSpec("r-b", "r", 1), ZoneSpec("q-a", "q", 1)),
)


def make_shares():
    """Return shares of a full zone r-a and a free zone r-b at 1,000 ms."""
    shares = ZoneShares()
    shares.configure(DEPLOYMENT)
    shares.shares("s", ZONES, 0)
    for zone, free in (("r-a", 0), ("r-b", 9)):
        room = ServiceHeadroom("s", 9, free)
        shares.hear(ZoneHeadroomHeard(zone, "r", (room,)), 900)
    return shares


def test_nearest_zone_has_everything_at_first():
    shares = ZoneShares()
    shares.configure(DEPLOYMENT)
    assert shares.shares("s", ZONES, 0) == {"r-a": 1.0}
    assert shares.shares("s", (), 0) == {}


def test_share_moves_to_the_sister_zone_within_the_cap():
    moved = make_shares().shares("s", ZONES, 1_000)
    assert moved == pytest.approx({"r-a": 0.95, "r-b": 0.05})


def test_new_configuration_leaves_the_shares_where_they_were():
    shares = make_shares()
    moved = shares.shares("s", ZONES, 1_000)
    shares.configure(DEPLOYMENT._replace(look_up_ttl_ms=1))
    assert shares.shares("s", ZONES, 1_000) == moved


def test_shares_of_a_removed_zone_are_forgotten():
    shares = make_shares()
    shares.shares("s", ZONES, 1_000)
    shares.configure(DEPLOYMENT._replace(zones=DEPLOYMENT.zones[:1]))
    assert shares.shares("s", ("r-a",), 1_000) == {"r-a": 1.0}
