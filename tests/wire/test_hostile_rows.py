"""Property tests: decoders of rows return a value or raise their one error."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from rhubarbwell_core.direct import (
    InstanceEntry,
    Refusal,
    ReplicaRow,
    ReplicaUpdate,
    Target,
)
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.changes import ChangesError, ChangesResponse
from rhubarbwell_entry.direct.registrations import decode_instance, encode_instance
from rhubarbwell_entry.direct.wire import RowDecodingError
from rhubarbwell_platform.errors import UnavailableError
from rhubarbwell_wire.adapter import UsersPlatform
from rhubarbwell_wire.store import _decode_update
from support.fleet_state import BACKEND_ENTRY, make_fleet_state
from support.hostile_bytes import hostile_documents
from support.users_platform import config_body
from support.versions import at

HERE = Address("127.0.0.1", 80)
INSTANCE = InstanceEntry("i-9", "inc", "a-2", "a", HERE, HERE, 3, False, 40.0)
CHANGES = {
    "store_is_out": False,
    "reads_store": True,
    "reader": "i-1",
    "tables": {
        "servers": {
            "rows": [["s-1", 4, "e30="]],
            "version": 4,
            "complete": True,
            "age_ms": 7,
        }
    },
}
STORE_PAGE = {
    "rows": [{"key": "s-1", "rowVersion": 3, "value": "e30="}],
    "rowVersion": 3,
    "hasMore": False,
}
KEYS = st.just("s-1") | st.sampled_from(["", "a b", "\ud800", "a\r\nb: c", "é"])
FUZZED = settings(max_examples=300, deadline=None, derandomize=True)


def assert_usable(state, now_ms=1_200):
    """Assert that a request gets a target or a refusal."""
    balancer = state.balancer
    balancer.advance(now_ms)
    route = balancer.routes.find("h.example", "/pay/x")
    req = balancer.start_request("r-1", route, "key", now_ms + 900, now_ms)
    choice = balancer.choose_backend(req, now_ms)
    assert isinstance(choice, Target | Refusal)
    if isinstance(choice, Target):
        balancer.start_attempt(req, choice, now_ms)


# An entry of nested brackets ended the discovery of backend servers for good.
@FUZZED
@given(key=KEYS, data=hostile_documents(BACKEND_ENTRY))
@example(key="s-1", data=b"[" * 2_000)
@example(key="s-1", data=json.dumps({**BACKEND_ENTRY, "slots": 10**400}).encode())
@example(
    key="s-1",
    data=json.dumps({**BACKEND_ENTRY, "coldRemaining": "9" * 400 + "ms"}).encode(),
)
def test_backend_row_is_applied_or_names_no_server(key, data):
    platform, state = UsersPlatform(), make_fleet_state()
    try:
        platform.decode_backend(key, data)
        expected = {key}
    except RowDecodingError:
        expected = set()
    rows = [
        ReplicaRow("s-0", at(2), json.dumps({**BACKEND_ENTRY, "zone": "a-2"}).encode()),
        ReplicaRow(key, at(3), data),
        ReplicaRow("s-2", at(4), json.dumps(BACKEND_ENTRY).encode()),
    ]
    state.apply("servers", ReplicaUpdate(rows, at(4)), 1_000)
    assert set(state.balancer.backends.rows) == {"s-0", "s-2"} | expected
    assert_usable(state)


@FUZZED
@given(data=hostile_documents(config_body()))
def test_configuration_is_decoded_or_refused(data):
    try:
        UsersPlatform().decode_config("config", data)
    except RowDecodingError:
        return


@FUZZED
@given(data=hostile_documents(json.loads(encode_instance(INSTANCE))))
def test_registration_is_applied_or_names_no_instance(data):
    state = make_fleet_state()
    try:
        decode_instance("i-9", data)
    except RowDecodingError:
        known = ["i-1"]
    else:
        known = ["i-1", "i-9"]
    state.apply(
        "instances", ReplicaUpdate([ReplicaRow("i-9", at(2), data)], at(2)), 1_000
    )
    assert state.instances.live_ids() == known
    state.instances.offered_addresses("a-1", "a", True)
    assert_usable(state)


@FUZZED
@given(data=hostile_documents(CHANGES))
def test_changes_of_an_instance_are_decoded_or_refused(data):
    state = make_fleet_state()
    try:
        resp = ChangesResponse.decode(json.loads(data))
    except (ChangesError, ValueError, RecursionError):
        return
    for name, update in resp.tables.items():
        state.apply(name, update, 1_000, age_ms=resp.ages_ms[name])
    assert_usable(state)


@FUZZED
@given(data=hostile_documents(STORE_PAGE))
def test_page_of_the_store_is_decoded_or_refused(data):
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return
    try:
        _decode_update(body, 0)
    except UnavailableError:
        return


@pytest.mark.parametrize("body", [None, [], "x", {"tables": []}, {"tables": None}])
def test_changes_without_tables_are_refused(body):
    with pytest.raises(ChangesError):
        ChangesResponse.decode(body)
