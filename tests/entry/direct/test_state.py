"""Tests of applying rows of the store, of which some cannot be applied."""

import json

import pytest
from rhubarbwell_core.direct import ReplicaRow, ReplicaUpdate
from support.fleet_state import BACKEND_ENTRY, make_fleet_state
from support.versions import at

GOOD = json.dumps(BACKEND_ENTRY).encode()


def listing(*keys):
    rows = [ReplicaRow(key, at(number), GOOD) for number, key in enumerate(keys, 2)]
    return ReplicaUpdate(rows, at(len(keys) + 1))


@pytest.fixture
def failing_puts(monkeypatch):
    """Return a state and the set of the servers that it cannot put."""
    state, failing = make_fleet_state(), {"b-1"}
    put = state.balancer.backends.put

    def put_or_fail(entry, now_ms):
        if entry.backend_id in failing:
            raise ZeroDivisionError("injected")
        put(entry, now_ms)

    monkeypatch.setattr(state.balancer.backends, "put", put_or_fail)
    return state, failing


# A row whose application failed took the rest of its update with it for good.
def test_row_that_cannot_be_applied_leaves_the_others_applied(failing_puts, caplog):
    state, _ = failing_puts
    state.apply("servers", listing("b-0", "b-1", "b-2"), 1_000)
    assert set(state.balancer.backends.rows) == {"b-0", "b-2"}
    (record,) = [
        r for r in caplog.records if getattr(r, "event", "") == "row_not_applied"
    ]
    assert (record.key, record.exc_info[0]) == ("b-1", ZeroDivisionError)


def test_row_that_was_not_applied_is_tried_again_with_the_next_update(failing_puts):
    state, failing = failing_puts
    state.apply("servers", listing("b-0", "b-1"), 1_000)
    failing.clear()
    state.apply("servers", ReplicaUpdate([], at(5)), 1_500)
    assert set(state.balancer.backends.rows) == {"b-0", "b-1"}


def test_row_that_was_not_applied_gives_way_to_a_newer_one(failing_puts):
    state, failing = failing_puts
    state.apply("servers", listing("b-0", "b-1"), 1_000)
    failing.clear()
    removal = ReplicaRow("b-1", at(5), None)
    state.apply("servers", ReplicaUpdate([removal], at(5)), 1_500)
    state.apply("servers", ReplicaUpdate([], at(6)), 2_000)
    assert set(state.balancer.backends.rows) == {"b-0"}


def test_table_of_an_instance_of_another_version_is_ignored():
    state = make_fleet_state()
    state.apply("later", listing("b-0"), 1_000)
    assert "later" not in state.replicas
