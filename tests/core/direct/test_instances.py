"""Test which instances are live and which are offered to callers."""

import pytest
from rhubarbwell_core.direct import InstanceEntry, InstanceTable
from rhubarbwell_core.model import Address


def entry(name, zone="a-1", region="a", **fields):
    address = Address(f"10.0.0.{name[-1]}", 80)
    base = InstanceEntry(name, "x", zone, region, address, address)
    return base._replace(**fields)


def make_table(*others, now_ms=0):
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=3_000)
    for other in others:
        table.put(other, now_ms)
    return table


def offered_hosts(table, zone="a-1", region="a", own_ready=True):
    return [a.host for a in table.offered_addresses(zone, region, own_ready)]


def test_instances_of_the_callers_zone_are_offered_alone():
    table = make_table(entry("i-2"), entry("i-3", "a-2"))
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.1"]


def test_a_zone_with_one_instance_gets_those_of_its_region_too():
    table = make_table(entry("i-3", "a-2"), entry("i-4", "b-1", "b"))
    assert sorted(offered_hosts(table)) == ["10.0.0.1", "10.0.0.3"]


def test_leaving_and_silent_instances_are_not_offered():
    table = make_table(entry("i-2", leaving=True), entry("i-3"))
    table.mark_synced(5_000)
    assert offered_hosts(table) == ["10.0.0.1"]


def test_a_region_without_instances_gets_all():
    table = make_table(entry("i-2"))
    assert sorted(offered_hosts(table, "c-1", "c")) == ["10.0.0.1", "10.0.0.2"]


def test_no_instance_expires_without_any_heartbeat():
    table = make_table(entry("i-2"))
    assert [e.instance_id for e in table.live()] == ["i-2"]


def test_own_instance_is_offered_only_when_ready():
    assert offered_hosts(make_table(), own_ready=False) == []


def test_instances_silent_for_long_are_expired():
    table = make_table(entry("i-2"))
    table.put(entry("i-3"), 50_000)
    table.mark_synced(61_000)
    assert table.expired_ids(60_000) == ["i-2"]


def test_high_capacity_instances_of_the_zone_are_offered_first():
    low_capacity = [entry(f"i-{n}", capacity=60.0) for n in range(4, 9)]
    table = make_table(
        entry("i-2", capacity=700.0), entry("i-3", capacity=700.0), *low_capacity
    )
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.3"]


def test_one_high_capacity_instance_is_joined_by_those_of_its_region():
    table = make_table(
        entry("i-2", capacity=700.0),
        entry("i-3", capacity=60.0),
        entry("i-4", "a-2", capacity=700.0),
    )
    assert sorted(offered_hosts(table)) == ["10.0.0.2", "10.0.0.4"]


def test_low_capacity_instances_are_offered_while_an_event_loop_lags():
    high_capacity = [entry(f"i-{n}", capacity=700.0) for n in (2, 3)]
    table = make_table(*high_capacity, entry("i-4", capacity=60.0))
    table.put(entry("i-2", capacity=700.0, beat=1, busy=("i-2",)), 100)
    assert len(offered_hosts(table)) == 4


def test_a_single_high_capacity_instance_is_not_offered_alone():
    table = make_table(entry("i-2", capacity=700.0), entry("i-3", capacity=60.0))
    assert sorted(offered_hosts(table)) == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def test_an_instance_is_live_while_another_confirms_it():
    table = make_table(entry("i-2"), entry("i-3"))
    for beat in range(1, 4):
        table.put(entry("i-2", beat=beat, followers=("i-1", "i-3")), beat * 2_000)
    assert table.live_ids() == ["i-1", "i-2", "i-3"]
    assert table.own_confirmed_ms == 6_000


def test_a_follower_that_is_no_longer_confirmed_expires_soon():
    table = make_table(entry("i-2"), entry("i-3"))
    table.put(entry("i-2", beat=1, followers=("i-3",)), 0)
    table.put(entry("i-2", beat=2), 500)
    assert "i-3" in table.live_ids()
    table.mark_synced(2_600)
    assert table.live_ids() == ["i-1", "i-2"]


def test_an_instance_with_own_heartbeats_needs_no_confirmation():
    table = make_table(entry("i-2"), entry("i-3"))
    table.put(entry("i-2", beat=1, followers=("i-3",)), 0)
    table.put(entry("i-3", beat=1), 400)
    table.put(entry("i-2", beat=2), 500)
    table.mark_synced(2_600)
    assert "i-3" in table.live_ids()


def test_a_follower_that_changed_its_reader_stays():
    table = make_table(entry("i-2"), entry("i-3"), entry("i-4"))
    table.put(entry("i-2", beat=1, followers=("i-3",)), 0)
    table.put(entry("i-4", beat=1, followers=("i-3",)), 400)
    table.put(entry("i-2", beat=2), 500)
    table.mark_synced(3_000)
    assert "i-3" in table.live_ids()


def test_budgets_are_shared_by_high_capacity_instances_of_each_region():
    table = make_table(
        entry("i-2", capacity=700.0),
        entry("i-3", capacity=60.0),
        entry("i-4", "b-1", "b", capacity=60.0),
        entry("i-5", "b-2", "b", capacity=50.0),
    )
    assert table.budget_instance_ids() == ["i-2", "i-4", "i-5"]


def test_write_that_reached_the_store_late_does_not_undo_a_leave():
    """A write without a response may be performed after the writes that followed it."""
    table = make_table(entry("i-2", beat=4), entry("i-3"))
    table.put(entry("i-2", beat=5, leaving=True), 100)
    table.put(entry("i-2", beat=4), 200)
    assert offered_hosts(table) == ["10.0.0.3", "10.0.0.1"]


def test_restarted_instance_counts_its_beats_anew():
    table = make_table(entry("i-2", beat=9, leaving=True))
    table.put(entry("i-2", beat=1, incarnation="y"), 100)
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.1"]


def test_copy_with_an_unknown_earlier_incarnation_does_not_silence_a_later_one():
    """A store that comes back from a copy may show the row of before a restart."""
    table = make_table(entry("i-2", beat=3, incarnation="y"))
    table.put(entry("i-2", beat=40, incarnation="x", leaving=True), 1_000)
    table.put(entry("i-2", beat=4, incarnation="y"), 2_000)
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.1"]
    # The row of before the restart, once known, does not act again.
    table.put(entry("i-2", beat=40, incarnation="x", leaving=True), 3_000)
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.1"]
    table.put(entry("i-2", beat=5, incarnation="y"), 70_000)
    assert table.expired_ids(60_000) == []


def test_row_of_a_crashed_instance_expires_soon_after_it_was_listed():
    """A listing does not tell how old its rows are; live instances are confirmed."""
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    reader = entry("i-2", beat=7, followers=("i-3",))
    table.put_listed([entry("i-4"), entry("i-3"), reader], 1_000)
    assert len(table.live()) == 3
    table.put(reader._replace(beat=8), 2_500)
    table.mark_synced(3_600)
    assert [e.instance_id for e in table.live()] == ["i-3", "i-2"]


def test_listed_reader_stays_live_until_its_next_heartbeat_is_due():
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    table.put_listed([entry("i-2", beat=7)], 1_000)
    table.mark_synced(3_000)
    assert [e.instance_id for e in table.live()] == ["i-2"]


def test_a_follower_that_polls_this_instance_is_live_and_offered():
    table = make_table(entry("i-2"))
    for now_ms in range(500, 20_000, 500):
        table.confirm_follower("i-2", False, now_ms)
        table.mark_synced(now_ms)
    assert offered_hosts(table) == ["10.0.0.2", "10.0.0.1"]
    table.mark_synced(23_000)
    assert offered_hosts(table) == ["10.0.0.1"]


def test_a_poll_of_an_unknown_instance_is_ignored():
    table = make_table()
    table.confirm_follower("i-9", False, 0)
    assert table.live_ids() == ["i-1"]


# The store performed a heartbeat late, after its writer had lost power.
@pytest.mark.known_red
@pytest.mark.parametrize("late_ms", [3_000, 4_400, 5_800])
def test_late_heartbeat_of_a_dead_instance_does_not_keep_it_in_look_ups(late_ms):
    lost_ms = 2_000
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    table.put(entry("i-2", beat=1), 0)
    table.put(entry("i-3", beat=1), 0)
    for now_ms in range(400, lost_ms + 7_001, 400):
        table.put(entry("i-3", beat=1 + now_ms), now_ms)
        if now_ms == lost_ms + late_ms // 400 * 400:
            table.put(entry("i-2", beat=2), now_ms)
        table.mark_synced(now_ms)
    table.mark_synced(lost_ms + 7_000)
    assert offered_hosts(table) == ["10.0.0.3", "10.0.0.1"]
