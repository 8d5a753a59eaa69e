"""Test the zones, instances and weights that look-ups answer with."""

from collections import Counter
from random import Random

import pytest
from rhubarbwell_core.engine import Table
from rhubarbwell_core.lookups import LookUpPart, LookUpQuery
from rhubarbwell_core.messages import PeerRecord, PeerState
from rhubarbwell_core.model import (
    Address,
    ClientBlock,
    Configuration,
    DeploymentSpec,
    Identity,
    LinkSpec,
    RegionSpec,
    SiteSpec,
    ZoneSpec,
)

LOOPBACK = Address("127.0.0.1", 1)
DEPLOYMENT = DeploymentSpec(
    "d",
    (RegionSpec("near"), RegionSpec("far")),
    (ZoneSpec("n-a", "near", 2), ZoneSpec("n-b", "near", 2), ZoneSpec("f-a", "far", 2)),
    (LinkSpec("near", "far", 100.0, 5.0),),
    (SiteSpec("coast", ("f-a", "n-a")),),
    (ClientBlock("10.0.0.0/8", "coast"),),
)


def make_peer(instance_id, zone, state=PeerState.READY, load=0.0):
    region = "far" if zone == "f-a" else "near"
    return PeerRecord(
        instance_id, "x", zone, region, LOOPBACK, LOOPBACK, state, 1, 1, load
    )


def make_part(*peers):
    table = Table("peers")
    for row in peers:
        table.put(row.instance_id, row)
    part = LookUpPart(
        Identity("i", "x", "n-a", "near", LOOPBACK, LOOPBACK), table, Random(1)
    )
    part.configure(Configuration(1, "x", DEPLOYMENT, {}), 0)
    return part, table


def look_up(part, shares=None, **query):
    zones = part.zone_order(LookUpQuery("s", **query))
    return part.look_up(part.live_zones(zones), shares=shares or {})


def offered_ids(part, **query):
    answer = look_up(part, **query)
    return [offer.instance_id for offer in answer.instances]


def test_no_ready_instance_gives_an_empty_list():
    part, _ = make_part(make_peer("a", "n-a", PeerState.JOINING))
    assert offered_ids(part) == []


def test_order_is_own_zone_then_own_region_then_next_region():
    part, _ = make_part(
        make_peer("f", "f-a"), make_peer("b", "n-b"), make_peer("a", "n-a")
    )
    assert offered_ids(part) == ["a", "b", "f"]
    assert offered_ids(part, zone="n-b") == ["b", "a", "f"]


def test_address_is_mapped_to_the_zones_of_its_site():
    part, _ = make_part(
        make_peer("f", "f-a"), make_peer("b", "n-b"), make_peer("a", "n-a")
    )
    assert offered_ids(part, address="10.1.1.1") == ["f", "a"]
    with pytest.raises(ValueError, match="does not appear"):
        offered_ids(part, address="lake")


def test_leaving_instance_is_not_offered_after_the_next_refresh():
    part, table = make_part(make_peer("a", "n-a"), make_peer("c", "n-a"))
    table.put("a", make_peer("a", "n-a", PeerState.LEAVING))
    part.refresh(250)
    assert offered_ids(part) == ["c"]


def test_weights_move_to_free_instances_by_the_shift_cap_at_most():
    part, table = make_part(make_peer("a", "n-a"), make_peer("c", "n-a"))
    table.put("a", make_peer("a", "n-a", load=1.0))
    part.refresh(1_000)
    weights = {o.instance_id: o.weight for o in part.directory.offered_instances("n-a")}
    cap = DEPLOYMENT.shift_cap_per_s
    assert 0.5 - cap - 1e-9 <= weights["a"] < 0.5


def test_first_zone_is_drawn_by_shares():
    part, _ = make_part(make_peer("b", "n-b"), make_peer("a", "n-a"))
    firsts = Counter(
        look_up(part, {"n-a": 0.25, "n-b": 0.75}).instances[0].zone for _ in range(400)
    )
    assert 240 < firsts["n-b"] < 360


def test_ttl_is_jittered_below_the_configured_one():
    part, _ = make_part(make_peer("a", "n-a"))
    ttls = {look_up(part).ttl_ms for _ in range(50)}
    assert len(ttls) > 10
    assert max(ttls) <= DEPLOYMENT.look_up_ttl_ms
