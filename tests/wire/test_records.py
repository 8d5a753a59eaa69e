"""Tests of decoding rows of the users' store and headers of answers."""

import json
import platform as standard_platform

import pytest
from rhubarbwell_core.direct import RequestKind
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.wire import BackendReport, RowDecodingError
from rhubarbwell_wire.adapter import UsersPlatform
from rhubarbwell_wire.records import decode_pause_ms, decode_rate_limit
from support.users_platform import config_body

ENTRY = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "a-1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemaining": "1.5s",
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def test_folder_does_not_shadow_the_standard_platform_module():
    assert standard_platform.python_implementation()


def test_backend_entry():
    entry = UsersPlatform().decode_backend("i-1", json.dumps(ENTRY).encode())
    assert entry.address == Address("10.128.0.9", 8080)
    assert (entry.cold_ms, entry.slots, entry.draining) == (1_500, 3, False)
    assert entry.born_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 7},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:0"},
        {"address": ["10.128.0.9", 8080]},
        {"zone": ""},
        {"slots": "3"},
        {"slots": 0},
        {"slots": True},
        {"slots": float("nan")},
        {"state": "asleep"},
        {"coldRemaining": 1500},
        {"coldRemaining": "soon"},
        {"born": "today"},
    ],
)
def test_invalid_backend_entry_is_rejected(changes):
    data = json.dumps({**ENTRY, **changes}).encode()
    with pytest.raises(RowDecodingError):
        UsersPlatform().decode_backend("i-1", data)


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"null", b'{"a"'])
def test_undecodable_backend_entry_is_rejected(data):
    with pytest.raises(RowDecodingError):
        UsersPlatform().decode_backend("i-1", data)


def test_configuration():
    data = json.dumps(config_body(7)).encode()
    config = UsersPlatform().decode_config("config", data)
    assert config.version == 7
    safe, unsafe = config.routes
    assert (safe.kind, unsafe.kind) == (RequestKind.SAFE, RequestKind.UNSAFE)
    assert (safe.timeout_ms, safe.objective_ms, safe.max_attempts) == (1_000, 300, 2)
    assert config.services["svc"].cold_rate_per_s == 6.8
    assert config.limits.idle_timeout_ms == 15_000


def test_split_route():
    split = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
    body = config_body(split=split)
    for item in body["resources"]:
        item["spec"].pop("service", None)
    config = UsersPlatform().decode_config("config", json.dumps(body).encode())
    assert [part.weight for part in config.routes[0].parts] == [90, 10]


def test_row_of_an_evacuation():
    platform = UsersPlatform()
    assert platform.evacuated_zone("evacuate/a-1") == "a-1"
    assert platform.evacuated_zone("config") is None
    assert platform.decode_config("evacuate/a-1", b"{}") is None


def test_unreadable_configuration():
    with pytest.raises(RowDecodingError):
        UsersPlatform().decode_config("config", b'{"version":3}')


@pytest.mark.parametrize(
    "value, expected",
    [("1500", 1_500), ("2.5s", 2_500), ("40ms", 40), ("soon", None), ("", None)],
)
def test_cold_time_of_an_answer_with_and_without_a_unit(value, expected):
    backend_report = UsersPlatform().decode_backend_report(
        {"X-Rhubarbwell-Cold-Remaining": value}
    )
    assert backend_report.cold_ms == expected


def test_answer_without_report_headers():
    assert UsersPlatform().decode_backend_report({}) == BackendReport()


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e999", "four", "3 4"])
def test_unreadable_rate_limit_is_logged_and_names_none(value, caplog):
    assert decode_rate_limit(value) is None
    assert [record.event for record in caplog.records] == ["header_unreadable"]


def test_rate_limit_of_zero_is_a_limit():
    assert decode_rate_limit("0") == 0.0


@pytest.mark.parametrize(
    ("value", "pause_ms"),
    [
        ("-3", 1_000),
        ("nan", 1_000),
        ("soon", 1_000),
        ("inf", 1 << 53),
        ("1e999", 1 << 53),
        ("1e14", 1 << 53),
    ],
)
def test_unreadable_and_endless_pauses_are_logged_and_bounded(value, pause_ms, caplog):
    assert decode_pause_ms(value) == pause_ms
    assert [record.event for record in caplog.records] == ["header_unreadable"]


def test_pauses_are_decimal_seconds():
    assert decode_pause_ms("0.25") == 250
    assert decode_pause_ms("0") == 0


# Above 60 s the word of the server was cut, and it was asked before its time.
def test_long_pauses_are_kept(caplog):
    assert decode_pause_ms("90") == 90_000
    assert decode_pause_ms("1e9") == 1_000_000_000_000
    assert not caplog.records
