"""Test the backend server table and the state of a server."""

import pytest
from rhubarbwell_core.direct import BackendEntry, BackendTable
from rhubarbwell_core.model import Address


def entry(name="b-1", **fields):
    return BackendEntry(name, "svc", Address("10.0.0.1", 80), "a-1", 3)._replace(
        **fields
    )


def make_table():
    table = BackendTable({"a-1": "a"})
    table.put(entry(), 0)
    return table


def available_ids(table):
    return [state.entry.backend_id for state in table.available("svc")]


def test_removed_entry_is_gone_at_once():
    table = make_table()
    table.remove("b-1", 10)
    assert available_ids(table) == []


def test_entry_expired_in_an_outage_is_kept_two_seconds_after_it():
    table = make_table()
    table.mark_store_lost(0)
    table.remove("b-1", 100)
    assert table.remove_expired(9_000) == []
    table.mark_store_up(10_000)
    assert table.remove_expired(12_000) == []
    assert available_ids(table) == ["b-1"]
    assert table.remove_expired(12_300) == ["b-1"]
    assert available_ids(table) == []


def test_entry_that_returns_in_time_is_kept():
    table = make_table()
    table.mark_store_lost(0)
    table.mark_store_up(10_000)
    table.keep_only([], 10_000)
    table.put(entry(), 11_000)
    assert table.remove_expired(20_000) == []
    assert available_ids(table) == ["b-1"]


def test_restart_under_the_same_id_resets_the_state():
    table = make_table()
    table.rows["b-1"].record_connection_failure(0)
    table.put(entry(born_ms=5, cold_ms=3_000), 100)
    state = table.rows["b-1"]
    assert state.failures_in_row == 0
    assert state.cold_until_ms == 3_100


def test_consecutive_failures_double_the_ejection():
    state = make_table().rows["b-1"]
    ejected_until = []
    for _ in range(5):
        state.record_connection_failure(0)
        ejected_until.append(state.ejected_until_ms)
    assert ejected_until == [500, 1_000, 2_000, 4_000, 4_000]


def test_load_reports_lose_weight_with_age():
    state = make_table().rows["b-1"]
    state.record_load_report(6, 0, 0)
    # The moving average takes on a fifth of the report and lasts twice as long.
    average = 1.2
    assert state.load(0) == 6
    assert state.load(750) == pytest.approx(3 + average / 2)
    assert state.load(1_500) == pytest.approx(average)
    assert state.load(2_250) == pytest.approx(average / 2)
    assert state.load(3_000) == 0


def test_learned_slowness_decays():
    state = make_table().rows["b-1"]
    state.record_timeout(9.0, 1_000)
    assert state.processing_ratio(1_000) == 9.0
    assert state.processing_ratio(6_000) == pytest.approx(5.0)
    state.record_processing_ratio(1.0, 6_000)
    assert state.processing_ratio(6_000) == pytest.approx(4.0)
    assert state.usable_slots(6_000) == pytest.approx(0.75)


# Guards against the flood of cold servers (FAILBACK): a heartbeat of the time before
# the restart, written late, hid that the server was cold.
def test_late_row_of_an_earlier_incarnation_does_not_end_a_cold_start():
    table = make_table()
    table.put(entry(born_ms=1_000), 0)
    table.put(entry(born_ms=9_000, cold_ms=3_000), 8_000)
    table.put(entry(born_ms=1_000), 8_500)
    assert table.rows["b-1"].cold_until_ms == 11_000
