"""Test the table replicas that instances pass on to their followers."""

from random import Random

from rhubarbwell_core.direct import ReplicaRow, ReplicaUpdate, TableReplica


def live_values(replica):
    rows = replica.changes_after(0).rows
    return {row.key: row.value for row in rows if row.value is not None}


def test_updates_in_any_order_give_the_newest_rows():
    rng = Random(1)
    updates = []
    newest = {}
    for version in range(1, 60):
        key = f"k{rng.randrange(8)}"
        value = None if rng.random() < 0.3 else str(version).encode()
        updates.append(ReplicaUpdate([ReplicaRow(key, version, value)], version))
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
    rows = [ReplicaRow("a", 1, b"1"), ReplicaRow("b", 2, b"2")]
    replica.apply(ReplicaUpdate(rows, 2))
    changed = replica.apply(ReplicaUpdate(rows[:1], 5, complete=True))
    assert [(row.key, row.value) for row in changed] == [("b", None)]


def test_an_old_listing_deletes_nothing_newer():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", 7, b"1")], 7))
    assert replica.apply(ReplicaUpdate([], 3, complete=True)) == []
    assert live_values(replica) == {"a": b"1"}


def test_restarted_reader_tells_its_followers_what_was_deleted_before_its_listing():
    follower = TableReplica()
    follower.apply(
        ReplicaUpdate([ReplicaRow("a", 1, b"1"), ReplicaRow("b", 2, b"2")], 5)
    )
    restarted = TableReplica()
    restarted.apply(ReplicaUpdate([ReplicaRow("a", 1, b"1")], 10, complete=True))
    follower.apply(restarted.changes_after(follower.version))
    assert live_values(follower) == {"a": b"1"}


def test_late_response_does_not_bring_back_what_a_listing_no_longer_names():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"1")], 10, complete=True))
    late = ReplicaUpdate([ReplicaRow("a", 1, b"1"), ReplicaRow("b", 2, b"2")], 8)
    assert replica.apply(late) == []
    assert replica.apply(ReplicaUpdate([ReplicaRow("b", 11, b"3")], 11)) != []
    assert live_values(replica) == {"a": b"1", "b": b"3"}


def test_a_follower_far_behind_gets_a_listing():
    replica = TableReplica()
    replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"1")], 1))
    for version in range(2, 3_000):
        row = ReplicaRow(f"k{version}", version, None)
        replica.apply(ReplicaUpdate([row], version))
    update = replica.changes_after(1)
    assert update.complete
    assert [row.key for row in update.rows] == ["a"]
    assert not replica.changes_after(2_990).complete


def first_byte(_key, value):
    return value[:1]


def test_heartbeats_of_an_unchanged_row_are_not_passed_on():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"x1")], 1))
    assert replica.apply(ReplicaUpdate([ReplicaRow("a", 5, b"x2")], 5)) == []
    assert replica.version == 5
    assert not replica.has_changes_after(1)
    assert replica.changes_after(1).rows == []
    changed = replica.apply(ReplicaUpdate([ReplicaRow("a", 6, b"y1")], 6))
    assert changed == replica.changes_after(5).rows


def test_a_deletion_older_than_a_heartbeat_changes_nothing():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"x1")], 1))
    replica.apply(ReplicaUpdate([ReplicaRow("a", 9, b"x2")], 9))
    assert replica.apply(ReplicaUpdate([ReplicaRow("a", 7, None)], 7)) == []
    assert live_values(replica) == {"a": b"x2"}


def test_rows_of_a_listing_count_as_changed():
    replica = TableReplica(first_byte)
    replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"x1")], 1))
    row = ReplicaRow("a", 9, b"x2")
    assert replica.apply(ReplicaUpdate([row], 9, complete=True)) == [row]
