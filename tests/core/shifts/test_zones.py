import pytest
from rhubarbwell_core.messages import ServiceHeadroom, ZoneHeadroomReceived
from rhubarbwell_core.model import DeploymentSpec, RegionSpec, ZoneSpec
from rhubarbwell_core.shifts import ZoneShares

ZONES = ("n-a", "n-b", "s-a", "s-b")


def make_shares(**free):
    shares = ZoneShares()
    zones = tuple(ZoneSpec(zone, zone[0], 2) for zone in ZONES)
    shares.configure(DeploymentSpec("d", (RegionSpec("n"), RegionSpec("s")), zones))
    for zone, count in free.items():
        headroom = (ServiceHeadroom("slotsvc", 10, count),)
        name = zone.replace("_", "-")
        shares.update_headroom(ZoneHeadroomReceived(name, name[0], headroom), 0)
    return shares


def test_own_region_keeps_its_callers_and_moves_them_under_the_cap():
    shares = make_shares(n_a=0, n_b=8, s_a=10, s_b=10)
    weights = {}
    for now_ms in range(0, 2_001, 500):
        weights = shares.shares("slotsvc", ZONES, ZONES, now_ms)
    assert weights == pytest.approx({"n-a": 0.9, "n-b": 0.1})


def test_callers_of_a_lost_region_spread_by_headroom():
    shares = make_shares(s_a=2, s_b=6)
    live = ("s-a", "s-b")
    assert shares.shares("slotsvc", ZONES, live, 0) == {"s-a": 0.25, "s-b": 0.75}


def test_old_measurements_move_nothing():
    shares = make_shares(n_a=10, n_b=10)
    shares.shares("slotsvc", ZONES, ZONES, 0)
    shares.update_headroom(
        ZoneHeadroomReceived("n-a", "n", (ServiceHeadroom("slotsvc", 10, 0),)), 100
    )
    assert shares.shares("slotsvc", ZONES, ZONES, 20_000) == {"n-a": 1.0}


def test_new_configuration_leaves_the_shares_where_they_were():
    shares = make_shares(n_a=0, n_b=8)
    shares.shares("slotsvc", ZONES, ZONES, 0)
    moved = shares.shares("slotsvc", ZONES, ZONES, 1_000)
    assert moved == pytest.approx({"n-a": 0.95, "n-b": 0.05})
    zones = tuple(ZoneSpec(zone, zone[0], 3) for zone in ZONES)
    shares.configure(DeploymentSpec("d", (RegionSpec("n"), RegionSpec("s")), zones))
    assert shares.shares("slotsvc", ZONES, ZONES, 1_000) == moved


def test_shares_of_a_removed_zone_are_forgotten():
    shares = make_shares(n_a=0, n_b=8)
    shares.shares("slotsvc", ZONES, ZONES, 0)
    shares.shares("slotsvc", ZONES, ZONES, 1_000)
    shares.configure(
        DeploymentSpec("d", (RegionSpec("n"),), (ZoneSpec("n-a", "n", 2),))
    )
    assert shares.shares("slotsvc", ("n-a",), ("n-a",), 1_000) == {"n-a": 1.0}
