"""Test the table replicas that instances pass on to their followers."""

from random import Random

from rhubarbwell_core.direct import ReplicaRow, ReplicaUpdate, TableReplica
from support.versions import at


def live_values(replica):
    rows = replica.changes_after(at(0)).rows
    return {row.key: row.value for row in rows if row.value is not None}


def test_updates_in_any_order_give_the_newest_rows():
    rng = Random(1)
    updates = []
    newest = {}
    for version in range(1, 60):
        key = f"k{rng.randrange(8)}"
        value = None if rng.random() < 0.3 else str(version).encode()
        updates.append(
            ReplicaUpdate([ReplicaRow(key, at(version), value)], at(version))
        )
        newest[key] = value
    expected = {key: value for key, value in newest.items() if value is not None}
    for seed in range(20):
        shuffled = [*updates, *updates[:20]]
        Random(seed).shuffle(shuffled)
        replica = TableReplica()
        for update in shuffled:
            replica.apply(update)
        assert live_values(replica) == expected


def test_listing_deletes_what_it_does_not_name():
    replica = TableReplica()
    rows = [ReplicaRow("a", at(1), b"1"), ReplicaRow("b", at(2), b"2")]
    replica.apply(ReplicaUpdate(rows, at(2)))
    changed = replica.apply(ReplicaUpdate(rows[:1], at(5), complete=True))
    assert [(row.key, row.value) for row in changed] == [("b", None)]


def test_an_old_listing_deletes_nothing_newer():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(7), b"1")], at(7)))
    assert replica.apply(ReplicaUpdate([], at(3), complete=True)) == []
    assert live_values(replica) == {"a": b"1"}


def test_restarted_reader_tells_its_followers_what_was_deleted_before_its_listing():
    follower = TableReplica()
    follower.apply(
        ReplicaUpdate(
            [ReplicaRow("a", at(1), b"1"), ReplicaRow("b", at(2), b"2")], at(5)
        )
    )
    restarted = TableReplica()
    restarted.apply(
        ReplicaUpdate([ReplicaRow("a", at(1), b"1")], at(10), complete=True)
    )
    follower.apply(restarted.changes_after(follower.version))
    assert live_values(follower) == {"a": b"1"}


def test_late_response_does_not_bring_back_what_a_listing_no_longer_names():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(1), b"1")], at(10), complete=True))
    late = ReplicaUpdate(
        [ReplicaRow("a", at(1), b"1"), ReplicaRow("b", at(2), b"2")], at(8)
    )
    assert replica.apply(late) == []
    assert replica.apply(ReplicaUpdate([ReplicaRow("b", at(11), b"3")], at(11))) != []
    assert live_values(replica) == {"a": b"1", "b": b"3"}


def test_a_follower_far_behind_gets_a_listing():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(1), b"1")], at(1)))
    for version in range(2, 3_000):
        row = ReplicaRow(f"k{version}", at(version), None)
        replica.apply(ReplicaUpdate([row], at(version)))
    update = replica.changes_after(at(1))
    assert update.complete
    assert [row.key for row in update.rows] == ["a"]
    assert not replica.changes_after(at(2_990)).complete


def first_byte(_key, value):
    return value[:1]


def test_heartbeats_of_an_unchanged_row_are_not_passed_on():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(1), b"x1")], at(1)))
    assert replica.apply(ReplicaUpdate([ReplicaRow("a", at(5), b"x2")], at(5))) == []
    assert replica.version == at(5)
    assert not replica.has_changes_after(at(1))
    assert replica.changes_after(at(1)).rows == []
    changed = replica.apply(ReplicaUpdate([ReplicaRow("a", at(6), b"y1")], at(6)))
    assert changed == replica.changes_after(at(5)).rows


def test_a_deletion_older_than_a_heartbeat_changes_nothing():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(1), b"x1")], at(1)))
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(9), b"x2")], at(9)))
    assert replica.apply(ReplicaUpdate([ReplicaRow("a", at(7), None)], at(7))) == []
    assert live_values(replica) == {"a": b"x2"}


def test_rows_of_a_listing_count_as_changed():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", at(1), b"x1")], at(1)))
    row = ReplicaRow("a", at(9), b"x2")
    assert replica.apply(ReplicaUpdate([row], at(9), complete=True)) == [row]


def listing(era, number, *rows):
    return ReplicaUpdate(
        [ReplicaRow(key, at(version, era), value) for key, version, value in rows],
        at(number, era),
        complete=True,
    )


# A store that came back from a copy gives out numbers again: all that it said then was
# older than what was known.
def test_listing_of_a_later_era_takes_the_place_of_all_rows():
    replica = TableReplica(first_byte)
    replica.apply(listing(0, 90, ("a", 70, b"a"), ("b", 80, b"b"), ("c", 90, b"c")))
    replica.apply(ReplicaUpdate([ReplicaRow("c", at(91), None)], at(91)))
    changed = replica.apply(listing(1, 40, ("a", 30, b"x"), ("c", 20, b"c")))
    assert {(row.key, row.value) for row in changed} == {
        ("a", b"x"),
        ("c", b"c"),
        ("b", None),
    }
    assert live_values(replica) == {"a": b"x", "c": b"c"}
    assert replica.version == at(40, 1)
    row = ReplicaRow("b", at(41, 1), b"y")
    assert replica.apply(ReplicaUpdate([row], at(41, 1))) == [row]


def test_answers_of_an_earlier_era_change_nothing():
    replica = TableReplica()
    replica.apply(listing(1, 40, ("a", 30, b"x")))
    late = ReplicaUpdate([ReplicaRow("a", at(99), b"late")], at(99))
    assert replica.apply(late) == []
    assert replica.apply(listing(0, 99, ("b", 98, b"late"))) == []
    assert live_values(replica) == {"a": b"x"}
    assert replica.version == at(40, 1)


def test_changes_of_a_later_era_wait_for_a_listing():
    replica = TableReplica()
    replica.apply(listing(0, 40, ("a", 30, b"x")))
    update = ReplicaUpdate([ReplicaRow("a", at(41, 1), b"y")], at(41, 1))
    assert not replica.accepts(update)
    assert replica.apply(update) == []
    assert replica.version == at(40)


def test_follower_of_an_earlier_era_gets_a_listing_and_one_of_a_later_era_nothing():
    reader = TableReplica()
    reader.apply(listing(1, 40, ("a", 30, b"x")))
    assert reader.has_changes_after(at(99))
    assert reader.changes_after(at(99)) == listing(1, 40, ("a", 30, b"x"))
    assert not reader.has_changes_after(at(3, era=2))
    follower = TableReplica()
    follower.apply(listing(2, 3, ("a", 2, b"y")))
    assert follower.apply(reader.changes_after(follower.version)) == []
    assert live_values(follower) == {"a": b"y"}


def test_rows_are_those_of_one_era():
    replica = TableReplica()
    replica.apply(listing(0, 40, ("a", 30, b"x"), ("b", 31, b"y")))
    replica.apply(ReplicaUpdate([ReplicaRow("b", at(41), None)], at(41)))
    replica.apply(listing(1, 35, ("a", 30, b"x")))
    assert {row.version.era for row in replica._rows.values()} == {1}
