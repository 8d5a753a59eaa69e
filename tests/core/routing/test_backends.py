from collections import Counter
from random import Random

import pytest
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    BackendLeaving,
    BackendReturned,
    ConnectionSilent,
    LoadReported,
    RequestArrived,
)
from rhubarbwell_core.model import (
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Rank,
    RegionSpec,
    ServiceSpec,
    ZoneSpec,
)
from rhubarbwell_core.routing import BackendTable, rendezvous_subset

REQ = RequestArrived(1, "s", "page", "c", 9_000, Rank.URGENT, True)


def make_configuration(servers=6, draining=(), version=1):
    specs = tuple(
        BackendSpec(f"b{n}", "r-a", "h", n, draining=f"b{n}" in draining)
        for n in range(servers)
    )
    spec = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 2),))
    return Configuration(version, "x", spec, {"s": ServiceSpec("s", (), specs)})


class TableDriver:
    """Drive a table with attempts that end at once or stay open."""

    def __init__(self, servers=6, members=2, name="i"):
        self.table = BackendTable("r", Random(1), instance_id=name)
        self.table.configure(make_configuration(servers), 0)
        self.table.set_member_position(0, members, 0)
        self.sent = 0

    def start_attempt(self, now_ms=0, exclude=()):
        row = self.table.choose("s", ("r-a",), exclude, now_ms=now_ms)
        if row is None:
            return None
        self.sent += 1
        self.table.record_attempt_start(row.backend_id, f"a{self.sent}", REQ)
        return row.backend_id

    def end_attempt(self, end, now_ms, latency_ms=50, fresh=True):
        ended = AttemptEnded(f"a{self.sent}", end, 1, latency_ms, None, fresh)
        self.table.record_attempt_end(ended, now_ms)

    def count_targets(self, now_ms, count=300, slow_name=None):
        seen = Counter()
        for _ in range(count):
            name = self.start_attempt(now_ms)
            seen[name] += 1
            latency_ms = 400 if name == slow_name else 50
            self.end_attempt(AttemptEnd.ANSWERED, now_ms, latency_ms=latency_ms)
        return seen


def test_two_members_at_full_load_fill_every_slot_once():
    taken = Counter()
    for member in range(2):
        driver = TableDriver()
        driver.table.set_member_position(member, 2, 0)
        taken.update(driver.start_attempt() for _ in range(9))
    assert set(taken.values()) == {3}


def leave_by_report(table, name):
    table.on_load_reported(LoadReported(name, 0, 10, draining=True), 10)


def leave_by_instance_list(table, name):
    table.on_leaving(BackendLeaving(name, "instance list"), 10)


def leave_by_configuration(table, name):
    table.configure(make_configuration(draining=(name,), version=2), 10)


@pytest.mark.parametrize(
    "leave", [leave_by_report, leave_by_instance_list, leave_by_configuration]
)
def test_server_reported_as_leaving_by_any_source_gets_no_new_work(leave):
    driver = TableDriver()
    leave(driver.table, "b0")
    assert "b0" not in driver.count_targets(11)
    assert driver.table.usable_slots("s") == 15


def test_contradicting_source_does_not_bring_a_leaving_server_back():
    driver = TableDriver()
    leave_by_instance_list(driver.table, "b0")
    driver.table.on_load_reported(LoadReported("b0", 0, 20, draining=False), 20)
    assert "b0" not in driver.count_targets(21)


def test_returned_server_starts_slowly():
    driver = TableDriver()
    leave_by_instance_list(driver.table, "b0")
    driver.table.on_returned(BackendReturned("b0", "instance list"), 1_000)
    assert driver.table.usable_slots("s") == 16
    driver.table.refresh(20_000)
    assert driver.table.usable_slots("s") == 18


def test_failing_server_is_paused_and_tried_again():
    driver = TableDriver(servers=1)
    for _ in range(3):
        driver.start_attempt(0)
        driver.end_attempt(AttemptEnd.CONNECT_REFUSED, 0)
    assert driver.start_attempt(100) is None
    driver.table.refresh(501)
    assert driver.start_attempt(501) == "b0"


def test_silent_connection_does_not_pause_its_server():
    driver = TableDriver(servers=1)
    for _ in range(5):
        driver.start_attempt(0)
        driver.end_attempt(AttemptEnd.TIMEOUT, 0, fresh=False)
    driver.table.on_connection_silent(ConnectionSilent("b0"), 0)
    row = driver.table.choose("s", ("r-a",), (), now_ms=1)
    assert row is not None and row.fresh_connections_until_ms > 1


def test_shedding_server_is_avoided_for_a_moment_only():
    driver = TableDriver(servers=2)
    shedding = driver.start_attempt(0)
    driver.end_attempt(AttemptEnd.SHED, 0)
    assert shedding not in driver.count_targets(1)
    assert shedding in driver.count_targets(1_000)


def test_slow_server_is_avoided_by_measured_latencies_whatever_it_reports():
    driver = TableDriver(servers=2, members=1)
    for _ in range(200):
        name = driver.start_attempt(0)
        driver.end_attempt(
            AttemptEnd.ANSWERED, 0, latency_ms=400 if name == "b0" else 50
        )
    driver.table.on_load_reported(LoadReported("b0", 0, 0), 0)
    driver.table.on_load_reported(LoadReported("b1", 3, 0), 0)
    assert driver.count_targets(0, slow_name="b0")["b0"] < 30


def test_report_below_own_attempts_loses_trust():
    driver = TableDriver(servers=1)
    for _ in range(6):
        driver.start_attempt()
    for now_ms in (100, 200, 300):
        driver.table.on_load_reported(LoadReported("b0", 0, now_ms), now_ms)
    assert driver.table.rows["b0"].trust < 0.5


def test_unhealthy_report_against_answers_does_not_restart_slow_start():
    driver = TableDriver(servers=1)
    driver.count_targets(0, count=3)
    driver.table.on_load_reported(LoadReported("b0", 0, 10, healthy=False), 10)
    assert driver.table.usable_slots("s") == 3


def test_subsets_bound_the_connections_of_each_server():
    servers = [f"b{n}" for n in range(100)]
    used = Counter()
    for n in range(73):
        used.update(rendezvous_subset(f"i{n}", servers, size=24))
    assert len(used) == 100 and max(used.values()) * 3 <= 400
