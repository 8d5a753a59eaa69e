"""Which instances run and which a caller is offered."""

from rhubarbwell_core.direct import InstanceEntry, InstanceTable
from rhubarbwell_core.model import Address


def entry(name, zone="a-1", region="a", **fields):
    address = Address(f"10.0.0.{name[-1]}", 80)
    base = InstanceEntry(name, "x", zone, region, address, address)
    return base._replace(**fields)


def make(*others, now_ms=0):
    table = InstanceTable(entry("i-1"), silence_ms=3_000)
    for other in others:
        table.put(other, now_ms)
    return table


def offered(table, zone="a-1", region="a", own_ready=True):
    return [a.host for a in table.offered(zone, region, own_ready)]


def test_instances_of_the_callers_zone_come_alone():
    table = make(entry("i-2"), entry("i-3", "a-2"))
    assert offered(table) == ["10.0.0.2", "10.0.0.1"]


def test_a_zone_with_one_instance_gets_those_of_its_region_too():
    table = make(entry("i-3", "a-2"), entry("i-4", "b-1", "b"))
    assert sorted(offered(table)) == ["10.0.0.1", "10.0.0.3"]


def test_leaving_and_silent_instances_are_not_offered():
    table = make(entry("i-2", leaving=True), entry("i-3"))
    table.heard(5_000)
    assert offered(table) == ["10.0.0.1"]


def test_a_region_without_instances_gets_all():
    table = make(entry("i-2"))
    assert sorted(offered(table, "c-1", "c")) == ["10.0.0.1", "10.0.0.2"]


def test_nothing_lapses_while_no_beats_are_heard():
    table = make(entry("i-2"))
    assert [e.instance_id for e in table.live()] == ["i-2"]


def test_own_instance_is_offered_only_when_ready():
    assert offered(make(), own_ready=False) == []


def test_instances_silent_for_long_have_lapsed():
    table = make(entry("i-2"))
    table.put(entry("i-3"), 50_000)
    table.heard(61_000)
    assert table.lapsed(60_000) == ["i-2"]
