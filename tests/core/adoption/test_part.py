"""Test adoption by real cores on a virtual clock."""

from random import Random

import pytest
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    AdoptionPart,
    ConfigurationAlarmKind,
    LogAnswer,
    LogAnswered,
    LogPosition,
    LogRow,
    chain_digest,
    pack_document,
)
from rhubarbwell_core.messages import PeerState

from benchmarks.control.fleet import Fleet, Network

ZONES = ("ra-1", "ra-2", "rb-1", "rb-2")


def make_fleet(seed=1, network=Network()):  # noqa: B008
    fleet = Fleet(seed=seed, network=network)
    fleet.store.publish({"deployment": "{}"})
    for zone in ZONES:
        for number in range(3):
            fleet.add(f"{zone}-{number}", zone)
    fleet.run_until(fleet.all_ready, 30_000)
    return fleet


def versions_increase(member):
    return all(
        a < b
        for a, b in zip(
            member.adopted_versions, member.adopted_versions[1:], strict=False
        )
    )


def alarm_kinds(fleet):
    return {alarm.kind for m in fleet.members.values() for alarm in m.alarms}


def test_publish_is_in_force_everywhere():
    fleet = make_fleet()
    version = fleet.store.publish({"deployment": "a", "service/x": "b"})
    fleet.run_until(lambda: fleet.all_in_force(version), 10_000)
    assert 2 not in fleet.adopted_at_ms, "a publish of two documents is one change"
    assert not alarm_kinds(fleet)


def test_zone_without_the_store_adopts_from_other_zones():
    fleet = make_fleet()
    fleet.zones_without_store = {"rb-1", "rb-2"}
    version = fleet.store.publish({"deployment": "a"})
    fleet.run_until(lambda: fleet.all_in_force(version), 15_000)


def test_partitioned_zone_keeps_its_version_and_catches_up():
    fleet = make_fleet()
    fleet.cut_zones = {"rb-1"}
    fleet.zones_without_store = {"rb-1"}
    for number in range(300):
        version = fleet.store.publish({"deployment": f"{number}"})
    fleet.run(30_000)
    cut = fleet.members["rb-1-0"].core
    assert cut.adoption.in_force_version == 1 and cut.state is PeerState.READY
    fleet.cut_zones = set()
    fleet.run_until(lambda: fleet.all_in_force(version), 15_000)


@pytest.mark.parametrize("has_snapshot", [False, True])
def test_fresh_instance_starts_from_the_store_in_a_few_reads(has_snapshot):
    fleet = Fleet()
    for number in range(200):
        fleet.store.publish({f"service/{number % 5}": f"{number}"})
    if has_snapshot:
        fleet.store.take_snapshot()
    fleet.add("ra-1-0", "ra-1")
    fleet.run_until(fleet.all_ready, 10_000)
    assert fleet.store.operations <= (3 if has_snapshot else 8)


def test_fresh_instance_starts_from_peers_while_the_store_is_down():
    fleet = make_fleet()
    fleet.store.is_down = True
    fleet.kill("ra-1-0")
    fleet.run(10_000)
    fleet.add("ra-1-0", "ra-1")
    fleet.run_until(fleet.all_ready, 10_000)


def test_instance_without_any_configuration_is_not_ready():
    fleet = Fleet()
    fleet.store.is_down = True
    member = fleet.add("ra-1-0", "ra-1")
    fleet.run(60_000)
    assert member.core.state is PeerState.JOINING
    fleet.store.publish({"deployment": "{}"})
    fleet.store.is_down = False
    fleet.run_until(fleet.all_ready, 15_000)


def test_invalid_version_leaves_the_old_in_force_with_an_alarm():
    fleet = make_fleet()
    fleet.store.publish({"deployment": "invalid"})
    fleet.run(10_000)
    assert {m.core.configuration.version for m in fleet.members.values()} == {1}
    assert alarm_kinds(fleet) == {ConfigurationAlarmKind.REFUSED}
    version = fleet.store.publish({"deployment": "valid"})
    fleet.run_until(lambda: fleet.all_in_force(version), 10_000)


def test_stale_store_reverts_no_version():
    fleet = make_fleet()
    fleet.store.publish({"deployment": "a"})
    fleet.run(10_000)
    fleet.store.head_lag_versions = 1
    fleet.run(30_000)
    assert fleet.all_in_force(2) and all(map(versions_increase, fleet.members.values()))


def test_lost_publishes_are_appended_to_a_restored_store():
    fleet = make_fleet()
    backup = fleet.store.back_up()
    for number in range(5):
        fleet.store.publish({"deployment": f"{number}"})
    fleet.run(10_000)
    chain = fleet.store.head.chain
    fleet.store.restore(backup)
    fleet.run(30_000)
    assert fleet.store.head.version == 6 and fleet.store.head.chain == chain
    assert ConfigurationAlarmKind.STORE_BEHIND in alarm_kinds(fleet)
    assert fleet.all_in_force(6) and all(map(versions_increase, fleet.members.values()))


def test_forked_log_is_refused_with_an_alarm():
    fleet = make_fleet()
    backup = fleet.store.back_up()
    fleet.store.publish({"deployment": "a"})
    fleet.run(10_000)
    fleet.store.restore(backup)
    fleet.store.publish({"deployment": "other"})
    fleet.store.publish({"deployment": "another"})
    fleet.run(30_000)
    assert {m.core.adoption.in_force_version for m in fleet.members.values()} == {2}
    assert ConfigurationAlarmKind.FORKED in alarm_kinds(fleet)


@pytest.mark.parametrize("fault", ["chain", "text", "cut", "base"])
def test_unverifiable_peer_answer_is_refused(fault):
    fleet = make_fleet()
    member = fleet.members["ra-1-0"]
    position = member.core.adoption.position
    document = pack_document("deployment", "forged")
    row = LogRow(2, "deployment", document.digest, position.chain, "p", "eve", 1)
    if fault == "chain":
        row = row._replace(previous_chain=EMPTY_CHAIN)
    elif fault == "text":
        document = document._replace(packed=pack_document("x", "other").packed)
    elif fault == "cut":
        document = document._replace(packed=document.packed[:-3])
    answer = LogAnswer((row,), (document,))
    if fault == "base":
        answer = LogAnswer((), (document,), 9, chain_digest(row))
    fleet._deliver_event(
        member, LogAnswered(fleet.members["ra-1-1"].identity.peers, answer)
    )
    assert position.version == 1
    kinds = {alarm.kind for alarm in member.alarms}
    assert kinds == (
        set() if fault == "base" else {ConfigurationAlarmKind.PEER_UNPROVEN}
    )


def inject_fault(fleet, rng):
    """Publish a document or inject or clear a fault, chosen at random."""
    names = sorted(fleet.members)
    name = rng.choice(names)
    choice = rng.randrange(10)
    if choice < 4:
        fleet.store.publish(
            {rng.choice(["deployment", "service/x"]): f"{rng.random()}"}
        )
    elif choice == 4:
        zone = fleet.members[name].identity.zone
        fleet.kill(name)
        fleet.run(rng.randrange(8_000))
        fleet.add(name, zone)
    elif choice == 5:
        fleet.cut_zones = {rng.choice(ZONES)}
        fleet.zones_without_store = set(fleet.cut_zones)
    elif choice == 6:
        fleet.cut_zones = fleet.zones_without_store = set()
    elif choice == 7:
        fleet.store.is_down = not fleet.store.is_down
    elif choice == 8:
        fleet.members[name].paused_until_ms = fleet.now_ms + rng.randrange(20_000)
    else:
        fleet.store.head_lag_versions = rng.randrange(3)


def run_with_faults(seed, events=25):
    """Return the fleet with all faults cleared and every member it ever had."""
    rng = Random(seed)
    fleet = make_fleet(seed, Network(loss=0.03, jitter_ms=200))
    all_members = list(fleet.members.values())
    for _ in range(events):
        inject_fault(fleet, rng)
        fleet.run(rng.randrange(4_000))
        all_members += [m for m in fleet.members.values() if m not in all_members]
    fleet.cut_zones = fleet.zones_without_store = set()
    fleet.store.is_down = False
    fleet.store.head_lag_versions = 0
    return fleet, all_members


@pytest.mark.parametrize("seed", range(8))
def test_no_version_reverts_and_views_converge_after_faults(seed):
    fleet, all_members = run_with_faults(seed)
    version = fleet.store.head.version
    fleet.run_until(lambda: fleet.all_in_force(version), 60_000)
    fleet.run_until(fleet.converged, 90_000)
    assert all(map(versions_increase, all_members))


def test_adoption_of_a_lower_head_is_detected(monkeypatch):
    original_on_head = AdoptionPart._on_head

    def accept_lower_head(self, event, now_ms):
        if event.head is not None and event.head.version < self.position.version:
            self.position = LogPosition()
            self.in_force_version = self._parsed_version = 0
        return original_on_head(self, event, now_ms)

    monkeypatch.setattr(AdoptionPart, "_on_head", accept_lower_head)
    fleet = make_fleet()
    fleet.store.publish({"deployment": "a"})
    fleet.run(10_000)
    fleet.store.head_lag_versions = 1
    fleet.run(10_000)
    assert not all(map(versions_increase, fleet.members.values()))
