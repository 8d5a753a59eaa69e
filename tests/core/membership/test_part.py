"""Test membership between real cores on a virtual clock."""

from random import Random

import pytest
from rhubarbwell_core import Core
from rhubarbwell_core.membership import MemberTable
from rhubarbwell_core.messages import (
    ConfigReceived,
    InstancesListed,
    Liveness,
    MemberNews,
    PeerRecord,
    PeerState,
    ShutdownRequested,
)
from rhubarbwell_core.model import Address, Configuration, DeploymentSpec, Identity

from benchmarks.control.fleet import Fleet, Network

ZONES = ("ra-1", "ra-2", "rb-1", "rb-2", "rc-1", "rc-2")
LOOPBACK = Address("127.0.0.1", 1)


def make_fleet(seed=1, network=Network(), per_zone=2):  # noqa: B008
    fleet = Fleet(seed=seed, network=network)
    fleet.store.publish({"deployment": "{}"})
    for zone in ZONES:
        for number in range(per_zone):
            fleet.add(f"{zone}-{number}", zone)
    fleet.run_until(lambda: fleet.converged() and fleet.all_ready(), 30_000)
    return fleet


def test_killed_instance_leaves_every_view_and_rejoins():
    fleet = make_fleet()
    fleet.kill("ra-1-0")
    fleet.run_until(fleet.converged, 15_000)
    fleet.add("ra-1-0", "ra-1")
    fleet.run_until(fleet.converged, 15_000)


def test_views_converge_despite_loss_and_reordering():
    fleet = make_fleet(seed=5, network=Network(loss=0.05, jitter_ms=300))
    fleet.kill("rb-1-1")
    fleet.run_until(fleet.converged, 120_000)


def test_partitioned_zone_sees_only_its_own_instances():
    fleet = make_fleet()
    fleet.cut_zones = {"rb-1"}
    fleet.run(20_000)
    inside = {"rb-1-0", "rb-1-1"}
    for name, member in fleet.members.items():
        seen = set(member.core.peers)
        assert seen == (inside if name in inside else set(fleet.members) - inside)
    fleet.cut_zones = set()
    fleet.run_until(fleet.converged, 10_000)


def test_isolated_instance_rejoins_after_it_was_declared_gone():
    fleet = make_fleet()
    isolated = fleet.members["ra-1-0"]
    isolated.paused_until_ms = fleet.now_ms + 60_000
    fleet.run(50_000)
    assert "ra-1-0" not in fleet.members["ra-1-1"].core.peers
    fleet.run(10_000)
    fleet.run_until(fleet.converged, 15_000)
    assert not isolated.is_superseded


def test_paused_incarnation_leaves_once_it_is_superseded():
    fleet = make_fleet()
    old = fleet.members["ra-1-0"]
    old.paused_until_ms = fleet.now_ms + 60_000
    fleet.run(20_000)
    address = old.identity.peers._replace(port=7002)
    new = fleet.add("ra-1-0", "ra-1")
    fleet._by_address[address] = old
    old.identity = old.identity._replace(peers=address)
    old.core.membership.own.heard = old.core.membership.own.heard._replace(
        peers=address
    )
    fleet.run(60_000)
    fleet._execute_actions(old, old.core.advance(fleet.now_ms))
    for _ in range(100):
        fleet.run(100)
        fleet._execute_actions(old, old.core.advance(fleet.now_ms))
    assert old.is_superseded and old.core.state is PeerState.LEAVING
    assert not new.is_superseded and new.core.state is PeerState.READY
    for name, member in fleet.members.items():
        seen = member.core.peers["ra-1-0"]
        assert seen.incarnation == new.identity.incarnation, name


def test_replacement_outranks_its_predecessor_whatever_their_ids():
    for seed in range(6):
        fleet = make_fleet(seed=seed)
        new = fleet.add("rc-2-1", "rc-2")

        def is_replaced_everywhere(fleet=fleet, new=new):
            rows = [
                member.core.peers.get("rc-2-1") for member in fleet.members.values()
            ]
            return all(
                peer and peer.incarnation == new.identity.incarnation for peer in rows
            )

        fleet.run_until(is_replaced_everywhere, 15_000)
        assert not new.is_superseded


def test_leaving_state_reaches_zone_peers_at_once():
    fleet = make_fleet()
    leaving = fleet.members["ra-1-0"]
    fleet._deliver_event(leaving, ShutdownRequested())
    fleet.run(10)
    peers = fleet.members["ra-1-1"].core.peers
    assert peers["ra-1-0"].state is PeerState.LEAVING
    fleet.run(10_000)
    for member in fleet.members.values():
        assert member.core.peers["ra-1-0"].state is PeerState.LEAVING


def test_unreachable_listed_addresses_leave_views_unchanged():
    fleet = make_fleet()
    unreachable = [Address("10.9.9.9", 1), Address("10.9.9.8", 1)]
    fleet.set_instance_list(unreachable)
    fleet.run(60_000)
    assert fleet.converged()


def test_joining_instance_waits_for_its_configuration_and_for_peers():
    core = Core(Identity("i", "i-1", "r-a", "r", LOOPBACK, LOOPBACK), Random(1))
    core.handle(InstancesListed((Address("10.0.0.9", 1),)), 0)
    assert core.state is PeerState.JOINING
    cfg = Configuration(1, "c", DeploymentSpec("d", (), ()), {})
    core.handle(ConfigReceived(cfg), 100)
    assert core.state is PeerState.JOINING
    core.advance(2_100)
    assert core.state is PeerState.READY
    assert core.peers["i"].state is PeerState.READY


def make_news(incarnation="i", generation=0, sequence=1, liveness=Liveness.ALIVE):
    heard = PeerRecord(
        "a", incarnation, "r-a", "r", LOOPBACK, LOOPBACK, PeerState.READY, 1, sequence
    )
    return MemberNews(heard._replace(generation=generation), liveness)


NEWS = [
    make_news(),
    make_news(liveness=Liveness.SUSPECT),
    make_news(liveness=Liveness.GONE),
    make_news(sequence=2),
    make_news(sequence=2, liveness=Liveness.GONE),
    make_news(incarnation="h", generation=1),
    make_news(incarnation="h", generation=1, liveness=Liveness.GONE),
    make_news(incarnation="z", generation=1, sequence=5),
]


@pytest.mark.parametrize("seed", range(20))
def test_news_in_any_order_lead_to_the_same_row_and_digest(seed):
    shuffled = Random(seed).choices(NEWS, k=30) + NEWS
    Random(seed).shuffle(shuffled)
    table, expected = MemberTable(), MemberTable()
    for news in shuffled:
        table.merge(news, 0)
    expected.merge(NEWS[-1], 0)
    assert table.get("a").news == NEWS[-1]
    assert table.digests() == expected.digests()
    assert table.view_digest() == expected.view_digest()
