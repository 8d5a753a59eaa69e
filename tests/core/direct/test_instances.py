"""Test which instances are live and which are offered to callers."""

from random import Random

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


# The time in ms at which the clocks of the instances began.
BEGAN_MS = 1_700_000_000_000
HEARTBEAT_PERIOD_MS = 2_400
# Look-ups may name an instance for this time after its end.
MAX_NAMED_MS = 7_000
TICK_MS = 100


def beat_of(sent_ms, began_ms=BEGAN_MS):
    return began_ms + sent_ms


# The store performed a heartbeat late, after its writer had lost power.
@pytest.mark.parametrize("late_ms", [3_000, 4_400, 5_800])
def test_late_heartbeat_of_a_dead_instance_does_not_keep_it_in_look_ups(late_ms):
    lost_ms = 2_000
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    table.put(entry("i-2", beat=beat_of(0)), 0)
    table.put(entry("i-3", beat=beat_of(0)), 0)
    for now_ms in range(400, lost_ms + 7_001, 400):
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        if now_ms == lost_ms + late_ms // 400 * 400:
            table.put(entry("i-2", beat=beat_of(lost_ms)), now_ms)
        table.mark_synced(now_ms)
    table.mark_synced(lost_ms + 7_000)
    assert offered_hosts(table) == ["10.0.0.3", "10.0.0.1"]


class Heartbeats:
    """Send heartbeats of instances to the table of i-1 through a store.

    delay_ms returns how late the store performs the one that an instance sends at a
    time; the fields of each instance's entry go with its name.
    """

    def __init__(self, delay_ms, **instances):
        self.table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
        self.ends_ms = {}
        self.period_ms = HEARTBEAT_PERIOD_MS
        self._delay_ms = delay_ms
        self._instances = {n.replace("_", "-"): f for n, f in instances.items()}
        self._arrivals = []

    def run(self, until_ms, start_ms=0):
        """Return the times in ms at which each instance is not offered."""
        missing = {name: [] for name in self._instances}
        for now_ms in range(start_ms, until_ms, TICK_MS):
            self._send(now_ms)
            due = [row for row in self._arrivals if row[0] <= now_ms]
            self._arrivals = [row for row in self._arrivals if row[0] > now_ms]
            for _, row in sorted(due, key=lambda arrival: arrival[0]):
                self.table.put(row, now_ms)
            self.table.mark_synced(now_ms)
            hosts = offered_hosts(self.table)
            for name, times in missing.items():
                if f"10.0.0.{name[-1]}" not in hosts:
                    times.append(now_ms)
        return missing

    def _send(self, now_ms):
        for number, (name, fields) in enumerate(self._instances.items()):
            if (now_ms - 200 * number) % self.period_ms:
                continue
            if now_ms >= self.ends_ms.get(name, now_ms + 1):
                continue
            # No two instances have the same time of day.
            beat = fields.get("beat", beat_of)(now_ms - 5_000 * number)
            row = entry(name, **{**fields, "beat": beat})
            delay_ms = self._delay_ms(name, now_ms)
            if delay_ms is not None:
                self._arrivals.append((now_ms + delay_ms, row))


def on_time(name, now_ms):
    return 0


# Guards against an instance that is named because two of its heartbeats come late.
def test_two_late_heartbeats_of_a_dead_instance_do_not_keep_it_in_look_ups():
    def delay_ms(name, now_ms):
        return 6_000 if name == "i-2" and now_ms >= 24_000 else 0

    fleet = Heartbeats(delay_ms, i_2={}, i_3={})
    fleet.ends_ms["i-2"] = 26_500
    missing = fleet.run(50_000)
    named_until_ms = max(set(range(0, 50_000, TICK_MS)) - set(missing["i-2"]))
    assert named_until_ms <= 26_500 + MAX_NAMED_MS
    assert missing["i-3"] == [0, 100]


# Guards against live instances that vanish because the store performs all writes late.
@pytest.mark.parametrize("late_ms", [1_000, 2_000, 3_000, 6_000])
def test_live_instance_stays_offered_while_the_store_performs_all_writes_late(late_ms):
    # The delay grows slowly, and ends at once.
    def delay_ms(name, now_ms):
        if not 24_000 <= now_ms < 60_000:
            return 0
        return min((now_ms - 24_000) // 2, late_ms)

    missing = Heartbeats(delay_ms, i_2={}, i_3={}, i_4={}).run(80_000)
    assert missing == {"i-2": [], "i-3": [0, 100], "i-4": [0, 100, 200, 300]}


@pytest.mark.parametrize("seed", range(20))
def test_live_instance_stays_offered_with_writes_of_random_delays(seed):
    rng = Random(seed)
    fleet = Heartbeats(lambda name, now_ms: rng.randrange(1_600), i_2={}, i_3={})
    missing = fleet.run(120_000)
    assert max(missing["i-2"] + missing["i-3"]) < 2_000


# Guards against an outage of the store after which live instances stay out of look-ups.
def test_instances_are_back_two_seconds_after_a_store_outage():
    def delay_ms(name, now_ms):
        return None if 24_000 <= now_ms < 40_000 else 0

    fleet = Heartbeats(delay_ms, i_2={}, i_3={})
    fleet.period_ms = 1_200
    missing = fleet.run(24_000)
    missing = fleet.run(60_000, start_ms=40_000)
    assert max(missing["i-2"] + missing["i-3"]) < 42_000


# Guards against an instance of an earlier build that vanishes in a rolling update.
def test_heartbeats_of_an_earlier_build_count_from_their_arrival():
    fleet = Heartbeats(on_time, i_2={"beat": lambda ms: 1 + ms // 2_400}, i_3={})
    assert fleet.run(80_000)["i-2"] == []


# Guards against an instance that stays out of look-ups after its machine was suspended.
def test_instance_that_was_suspended_is_offered_with_its_first_heartbeat():
    def delay_ms(name, now_ms):
        return None if name == "i-2" and 24_000 <= now_ms < 60_000 else 0

    missing = Heartbeats(delay_ms, i_2={}, i_3={}).run(80_000)["i-2"]
    assert (missing[0], missing[-1]) == (26_100, 59_900)


# Guards against a restarted instance whose clock is compared with that of before.
@pytest.mark.parametrize("step_ms", [-60_000, 500, 60_000])
def test_instance_that_started_again_under_its_id_is_offered(step_ms):
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    for now_ms in range(0, 60_000, 2_000):
        began_ms = BEGAN_MS + (step_ms if now_ms >= 20_000 else 0)
        name = "new" if now_ms >= 20_000 else "old"
        beat = beat_of(now_ms, began_ms)
        table.put(entry("i-2", incarnation=name, beat=beat), now_ms)
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        table.mark_synced(now_ms)
        assert len(offered_hosts(table)) == 3


# Guards against a late heartbeat of the incarnation before, whose machine is gone too.
def test_late_heartbeat_of_an_earlier_incarnation_is_no_sign_of_life():
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    for now_ms in range(0, 8_000, 2_000):
        table.put(entry("i-2", incarnation="old", beat=beat_of(now_ms)), now_ms)
    for now_ms in range(8_000, 24_000, 2_000):
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        if now_ms == 8_000:
            table.put(entry("i-2", incarnation="new", beat=beat_of(now_ms)), now_ms)
        if now_ms == 14_000:
            late = entry("i-2", incarnation="old", beat=beat_of(7_900))
            table.put(late, now_ms)
        table.mark_synced(now_ms)
        if now_ms > 8_000 + MAX_NAMED_MS:
            assert offered_hosts(table) == ["10.0.0.3", "10.0.0.1"]


# Guards against a dead follower that a late heartbeat of its dead reader lists.
def test_late_heartbeat_of_a_dead_reader_does_not_keep_its_followers_in_look_ups():
    def delay_ms(name, now_ms):
        return 6_000 if name == "i-2" and now_ms >= 24_000 else 0

    fleet = Heartbeats(delay_ms, i_2={"followers": ("i-4",)}, i_3={}, i_4={})
    fleet.ends_ms.update({"i-2": 24_100, "i-4": 3_000})
    missing = fleet.run(50_000)
    for name in ("i-2", "i-4"):
        named_until_ms = max(set(range(0, 50_000, TICK_MS)) - set(missing[name]))
        assert named_until_ms <= 24_100 + MAX_NAMED_MS


# Guards against a follower that writes no heartbeat of its own, as a late one of its
# dead reader lists it.
def test_follower_is_not_confirmed_by_a_late_heartbeat():
    def delay_ms(name, now_ms):
        return 6_000 if name == "i-2" and now_ms >= 24_000 else 0

    fleet = Heartbeats(delay_ms, i_2={"followers": ("i-1",)}, i_3={})
    fleet.ends_ms["i-2"] = 24_100
    fleet.run(50_000)
    assert fleet.table.own_confirmed_ms <= 24_000 + 1_000


# Guards against a late row of a dead instance in a first listing.
def test_late_heartbeat_in_a_first_listing_counts_for_a_short_time():
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    rows = [entry("i-2", beat=beat_of(0)), entry("i-3", beat=beat_of(6_000))]
    table.put_listed(rows, 6_000)
    for now_ms in range(7_000, 12_000, 1_000):
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        table.mark_synced(now_ms)
        if now_ms > MAX_NAMED_MS + 2_000:
            assert offered_hosts(table) == ["10.0.0.3", "10.0.0.1"]


# Guards against shares of budgets that change with a late heartbeat.
def test_late_heartbeat_of_a_leaving_instance_does_not_change_the_shares():
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    for now_ms in range(0, 30_000, 2_000):
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        if now_ms < 10_000:
            table.put(entry("i-2", beat=beat_of(now_ms)), now_ms)
        if now_ms == 10_000:
            left = entry("i-2", beat=beat_of(now_ms), leaving=True)
            table.put(left, now_ms)
        if now_ms == 14_000:
            table.put(entry("i-2", beat=beat_of(9_000)), now_ms)
        table.mark_synced(now_ms)
        if now_ms >= 16_000:
            assert table.sender_ids() == ["i-1", "i-3"]
            assert table.budget_instance_ids() == ["i-1", "i-3"]


# Guards against live instances that vanish as the clocks of machines drift apart.
def test_heartbeats_of_a_clock_that_goes_slow_count_from_their_arrival():
    table = InstanceTable(entry("i-1"), liveness_timeout_ms=4_400)
    for now_ms in range(0, 36_000_000, 2_000):
        table.put(entry("i-2", beat=beat_of(now_ms * 999 // 1_000)), now_ms)
        table.put(entry("i-3", beat=beat_of(now_ms)), now_ms)
        table.mark_synced(now_ms)
        assert len(table.live()) == 2


# Guards against live instances that vanish as their reader's heartbeats come late.
def test_followers_of_a_reader_that_answers_stay_offered_without_its_heartbeats():
    table = make_table(entry("i-3"), entry("i-2", followers=("i-3",)))
    for now_ms in range(500, 9_500, 500):
        table.confirm_reader("i-2", now_ms)
        table.mark_synced(now_ms)
        assert len(table.live()) == 2
    table.mark_synced(13_000)
    assert table.live() == []


# Guards against a dead follower that an answer of its reader keeps in look-ups.
def test_follower_that_its_reader_no_longer_lists_is_not_confirmed():
    table = make_table(entry("i-3"), entry("i-2", followers=("i-3",)))
    table.put(entry("i-2", beat=1), 1_000)
    for now_ms in range(1_500, 9_500, 500):
        table.confirm_reader("i-2", now_ms)
        table.mark_synced(now_ms)
        names = [e.instance_id for e in table.live()]
        assert names == (["i-3", "i-2"] if now_ms <= 3_000 else ["i-2"])


# Guards against a dead follower in a list that its reader cannot replace.
def test_list_of_a_reader_that_cannot_write_counts_for_a_limited_time():
    table = make_table(entry("i-3"), entry("i-2", followers=("i-3",)))
    for now_ms in range(500, 20_000, 500):
        table.confirm_reader("i-2", now_ms)
        table.mark_synced(now_ms)
        names = [e.instance_id for e in table.live()]
        assert names == (["i-3", "i-2"] if now_ms <= 13_000 else ["i-2"])
