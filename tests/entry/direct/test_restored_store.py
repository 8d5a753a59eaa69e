"""Tests of what an instance does with the rows of a store that lost some of them."""

import json

import pytest
from rhubarbwell_core.direct import InstanceEntry, ReplicaRow, ReplicaUpdate
from rhubarbwell_core.direct.backends import RETURN_GRACE_MS
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.changes import ChangesResponse
from rhubarbwell_entry.direct.evacuations import HOLD_MS
from rhubarbwell_entry.direct.registrations import encode_instance
from support.fleet_state import BACKEND_ENTRY, make_fleet_state
from support.users_platform import config_body
from support.versions import at

HERE = Address("127.0.0.1", 1)


def server(state="ready", sequence=4, born=1_700_000_000_000):
    fields = {"state": state, "sequence": sequence, "born": born}
    return json.dumps({**BACKEND_ENTRY, **fields}).encode()


def instance(name, beat=5, incarnation="x", **fields):
    entry = InstanceEntry(name, incarnation, "a-1", "a", HERE, HERE, beat, **fields)
    return encode_instance(entry)


def config(version):
    return json.dumps(config_body(version)).encode()


class RestoredState:
    """Hold a state in era 1; begin a later era as an instance does."""

    def __init__(self):
        self.state = make_fleet_state()
        self.now_ms = 10_000
        self.era = 0
        self._number = 100
        self.state.eras.observe(0)
        self.state.eras.subscribe(
            lambda old, new: self.state.begin_era(old, new, self.now_ms)
        )

    def apply(self, table, complete=False, **rows):
        self._number += 1
        version = at(self._number, self.era)
        update = [ReplicaRow(key, version, value) for key, value in rows.items()]
        self.state.apply(
            table, ReplicaUpdate(update, version, complete=complete), self.now_ms
        )

    def restore(self, table, **rows):
        """Apply the first listing of a new era, whose numbers start again."""
        self.era += 1
        self._number = 20
        self.apply(table, complete=True, **rows)

    def used_servers(self):
        backends = self.state.balancer.backends
        return {s.entry.backend_id for s in backends.available("svc")}

    def live_instances(self):
        return self.state.instances.live_ids()


@pytest.fixture
def restored():
    return RestoredState()


# On cc04a96 no configuration came into force after a drill, for good.
def test_configuration_of_a_new_era_is_in_force(restored):
    restored.apply("op", config=config(7))
    restored.restore("op", config=config(7))
    restored.apply("op", config=config(8))
    assert restored.state.balancer.config.version == 8


def test_older_configuration_of_a_copy_does_not_act(restored):
    restored.apply("op", config=config(7))
    restored.restore("op", config=config(4))
    assert restored.state.balancer.config.version == 7
    restored.apply("op", config=config(7))
    assert restored.state.balancer.config.version == 7


def test_late_update_of_an_earlier_era_does_not_count_as_synced(restored):
    restored.restore("op", config=config(7))
    synced_ms = restored.state.synced_until_ms["op"]
    late = ReplicaUpdate([ReplicaRow("config", at(900), config(9))], at(900))
    restored.state.apply("op", late, 99_000)
    assert restored.state.balancer.config.version == 7
    assert restored.state.synced_until_ms["op"] == synced_ms


def evacuated(restored):
    return set(restored.state.balancer.backends.evacuated_zones)


def test_evacuation_holds_until_the_operators_have_written_it_again(restored):
    restored.apply("op", **{"evacuate/a-1": b"{}"})
    restored.restore("op")
    assert evacuated(restored) == {"a-1"}
    restored.now_ms += 2_000
    restored.apply("op", **{"evacuate/a-1": b"{}"})
    restored.now_ms += HOLD_MS
    restored.apply("op")
    assert evacuated(restored) == {"a-1"}


def test_evacuation_that_is_not_written_again_ends_after_a_while(restored):
    restored.apply("op", **{"evacuate/a-1": b"{}"})
    restored.restore("op")
    restored.now_ms += HOLD_MS - 1
    restored.apply("op")
    assert evacuated(restored) == {"a-1"}
    restored.now_ms += 1
    restored.apply("op")
    assert evacuated(restored) == set()


def test_evacuation_taken_back_in_the_new_era_ends_at_once(restored):
    restored.apply("op", **{"evacuate/a-1": b"{}"})
    restored.restore("op", **{"evacuate/a-1": b"{}"})
    restored.apply("op", **{"evacuate/a-1": None})
    assert evacuated(restored) == set()


def test_server_that_the_copy_lacks_stays_for_the_grace_period(restored):
    restored.apply("servers", b1=server())
    restored.restore("servers")
    assert restored.used_servers() == {"b1"}
    restored.apply("servers", b1=server(sequence=5))
    restored.now_ms += RETURN_GRACE_MS
    restored.state.balancer.advance(restored.now_ms)
    assert restored.used_servers() == {"b1"}


def test_server_that_is_not_written_again_is_removed_after_the_grace_period(restored):
    restored.apply("servers", b1=server())
    restored.restore("servers")
    restored.now_ms += RETURN_GRACE_MS
    restored.state.balancer.advance(restored.now_ms)
    assert restored.used_servers() == set()


# A server that left got up to 137 requests, until 7.9 s after it had.
@pytest.mark.parametrize("departure", [None, server("draining", 5)])
def test_server_that_has_left_is_not_used_again_for_an_older_row(restored, departure):
    restored.apply("servers", b1=server(sequence=4))
    restored.apply("servers", b1=departure)
    restored.restore("servers", b1=server(sequence=4))
    assert restored.used_servers() == set()
    # A write without an answer may be performed late, in the new era.
    restored.apply("servers", b1=server(sequence=4))
    assert restored.used_servers() == set()


# The heartbeats of an unchanged row are no changes, but are known.
def test_last_heartbeat_of_a_server_that_left_is_known(restored):
    restored.apply("servers", b1=server(sequence=4))
    restored.apply("servers", b1=server(sequence=9))
    restored.apply("servers", b1=None)
    restored.restore("servers", b1=server(sequence=8))
    assert restored.used_servers() == set()


@pytest.mark.parametrize(
    "row", [server(sequence=6), server(sequence=1, born=2 * 10**12)]
)
def test_server_that_lives_on_or_started_again_is_used(restored, row):
    restored.apply("servers", b1=server(sequence=4))
    restored.apply("servers", b1=server("draining", 5))
    restored.restore("servers", b1=server(sequence=4))
    restored.apply("servers", b1=row)
    assert restored.used_servers() == {"b1"}


def test_older_row_of_an_earlier_start_does_not_act(restored):
    restored.apply("servers", b1=server(sequence=2, born=2 * 10**12))
    restored.restore("servers", b1=server("draining", sequence=90))
    assert restored.used_servers() == {"b1"}
    restored.apply("servers", b1=server("draining", sequence=3, born=2 * 10**12))
    assert restored.used_servers() == set()


def test_server_that_leaves_after_the_loss_is_not_used(restored):
    restored.apply("servers", b1=server(sequence=4), b2=server(sequence=4))
    restored.restore("servers", b1=server(sequence=3), b2=server(sequence=3))
    assert restored.used_servers() == {"b1", "b2"}
    restored.apply("servers", b1=server("draining", sequence=5))
    restored.now_ms += RETURN_GRACE_MS
    restored.apply("servers", b2=None)
    assert restored.used_servers() == set()


def test_server_that_registered_again_before_the_loss_is_used_when_it_is_back(restored):
    restored.apply("servers", b1=server(sequence=4))
    restored.apply("servers", b1=None)
    restored.apply("servers", b1=server(sequence=4))
    restored.restore("servers")
    restored.apply("servers", b1=server(sequence=4))
    restored.now_ms += RETURN_GRACE_MS
    restored.state.balancer.advance(restored.now_ms)
    assert restored.used_servers() == {"b1"}


def test_row_without_an_age_acts_as_the_store_gives_it(restored):
    row = json.dumps({**BACKEND_ENTRY, "sequence": 0, "born": 0}).encode()
    restored.apply("servers", b1=row)
    restored.apply("servers", b1=None)
    restored.restore("servers", b1=row)
    assert restored.used_servers() == {"b1"}


def test_instance_that_the_copy_lacks_stays_live_and_keeps_its_share(restored):
    restored.apply("instances", **{"i-2": instance("i-2")})
    restored.restore("instances")
    assert restored.live_instances() == ["i-1", "i-2"]
    assert restored.state.instances.budget_instance_ids() == ["i-1", "i-2"]
    assert restored.state.instances.expired_ids(0) == []


def test_held_instance_that_stays_silent_is_removed(restored):
    restored.apply("instances", **{"i-2": instance("i-2")})
    restored.restore("instances")
    restored.now_ms += 60_001
    restored.apply("instances")
    restored.apply("instances")
    assert restored.state.instances.budget_instance_ids() == ["i-1"]


def test_older_heartbeat_of_the_copy_is_no_sign_of_life(restored):
    restored.apply("instances", **{"i-2": instance("i-2", beat=9)})
    restored.now_ms += 4_000
    restored.restore("instances", **{"i-2": instance("i-2", beat=7)})
    restored.now_ms += 500
    restored.apply("instances")
    assert restored.live_instances() == ["i-1"]
    assert restored.state.instances.budget_instance_ids() == ["i-1", "i-2"]


def test_row_of_an_earlier_incarnation_does_not_act(restored):
    leaving = instance("i-2", beat=90, incarnation="old", leaving=True)
    restored.apply("instances", **{"i-2": leaving})
    restored.apply("instances", **{"i-2": instance("i-2", beat=1, incarnation="new")})
    restored.restore("instances", **{"i-2": leaving})
    (entry,) = restored.state.instances.live()
    assert (entry.incarnation, entry.leaving) == ("new", False)


def test_removed_instance_that_the_copy_has_is_not_offered_and_expires(restored):
    restored.apply("instances", **{"i-2": instance("i-2")})
    restored.now_ms += 61_000
    restored.apply("instances", **{"i-2": None})
    restored.restore("instances", **{"i-2": instance("i-2", beat=4)})
    assert restored.live_instances() == ["i-1"]
    assert restored.state.instances.expired_ids(60_000) == ["i-2"]


def test_line_of_a_new_era_says_what_was_missing(restored, caplog):
    restoration = restored.state.restoration
    restored.apply("servers", b1=server(), b2=server("draining", 5))
    restored.apply("instances", **{"i-2": instance("i-2")})
    restored.restore("servers", b2=server("ready", 4))
    for table in ("op", "instances"):
        restored.era -= 1
        restored.restore(table, **({"config": config(1)} if table == "op" else {}))
    restoration.advance(11_000)
    restoration.record_registration(True)
    restoration.advance(12_000)
    restoration.advance(60_000)
    (line,) = [
        r for r in caplog.records if getattr(r, "event", "") == "store_era_changed"
    ]
    assert (line.old_era, line.new_era, line.duration_ms) == (0, 1, 2_000)
    assert line.missing_rows == {"servers": 1, "op": 0, "instances": 1}
    assert (line.older_rows, line.registered_again, line.is_complete) == (1, True, True)


def response(era, number, config_version, *, known_era=None):
    """Return the response of an instance whose operators' table is of an era."""
    row = ReplicaRow("config", at(number, era), config(config_version))
    update = ReplicaUpdate([row], at(number, era), complete=True)
    known_era = era if known_era is None else known_era
    return ChangesResponse(
        {"op": update}, {"op": 0}, True, False, era=known_era, era_age_ms=900
    )


def test_reader_of_an_earlier_era_is_not_applied(restored):
    restored.restore("op", config=config(7))
    restored.restore("op", config=config(7))
    synced_ms = restored.state.synced_until_ms["op"]
    restored.state.apply_response(response(1, 900, 9), 99_000)
    assert restored.state.balancer.config.version == 7
    assert restored.state.synced_until_ms["op"] == synced_ms


def test_reader_of_a_later_era_passes_it_on(restored):
    restored.apply("op", config=config(7))
    restored.state.apply_response(response(2, 20, 8), 99_000)
    assert restored.state.eras.current == 2
    assert restored.state.balancer.config.version == 8


# A reader sees the new era with any answer, and lists its tables one by one.
def test_era_of_a_reader_that_has_not_listed_its_table_yet_is_known(restored):
    restored.apply("op", config=config(7))
    restored.state.apply_response(response(1, 900, 9, known_era=2), 99_000)
    assert restored.state.eras.current == 2
    assert restored.state.balancer.config.version == 7


def test_follower_ahead_of_its_reader_gets_no_changes(restored):
    restored.restore("op", config=config(7))
    known_versions = {"op": at(3, era=2)}
    assert not restored.state.has_urgent_changes_after(known_versions)
    assert restored.state.has_urgent_changes_after({"op": at(900)})


# An instance that heard of the era 0.4 s later used a server that had left for longer
# (python -m soak --drills 11 --seeds 1).
def test_grace_period_of_a_follower_ends_with_that_of_its_reader(restored):
    restored.apply("servers", b1=server())
    restored.state.apply_response(response(1, 20, 8), restored.now_ms)
    restored.era = 1
    restored.apply("servers", complete=True)
    restored.now_ms += RETURN_GRACE_MS - 900
    restored.state.balancer.advance(restored.now_ms)
    assert restored.used_servers() == set()


def test_age_of_an_era_is_passed_on(restored):
    restored.state.apply_response(response(1, 20, 8), 20_000)
    assert restored.state.era_age_ms(20_300) == 1_200
