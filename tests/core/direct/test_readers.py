"""Test the selection of the instance that reads the store."""

from rhubarbwell_core.direct import InstanceEntry, ReaderSelector
from rhubarbwell_core.model import Address

HERE = Address("127.0.0.1", 1)


def entry(name, region="a", **fields):
    return InstanceEntry(name, "x", f"{region}-1", region, HERE, HERE, **fields)


def reader_of(own, fleet, now_ms=0):
    others = [other for other in fleet if other != own]
    reader = ReaderSelector(own).choose(others, now_ms)
    return own.instance_id if reader is None else reader.instance_id


def test_a_small_fleet_agrees_on_one_reader():
    fleet = [entry(f"i-{n}", region) for n, region in enumerate("aabbcc")]
    assert len({reader_of(own, fleet) for own in fleet}) == 1


def test_a_large_fleet_has_a_reader_in_each_region():
    fleet = [entry(f"i-{n}", "abc"[n % 3]) for n in range(60)]
    regions = {e.instance_id: e.region for e in fleet}
    readers = {own.region: set() for own in fleet}
    for own in fleet:
        readers[own.region].add(reader_of(own, fleet))
    assert all(len(names) == 1 for names in readers.values())
    assert all(regions[min(names)] == r for r, names in readers.items())


# Guards against changes that are late because a weak instance passes them on to many.
def test_readers_are_instances_of_high_capacity():
    fleet = [
        entry(f"i-{n}", "abc"[n % 3], capacity=860.0 if n < 9 else 125.0)
        for n in range(195)
    ]
    capacities = {e.instance_id: e.capacity for e in fleet}
    assert {capacities[reader_of(own, fleet)] for own in fleet} == {860.0}


def test_weak_instances_read_while_the_strong_ones_are_excluded():
    own = entry("i-9", capacity=125.0)
    strong = [entry(f"i-{n}", capacity=860.0) for n in range(3)]
    selector = ReaderSelector(own)
    for other in strong:
        selector.exclude(other.instance_id, 0)
    assert selector.choose(strong, 0) is None


def test_a_failed_reader_is_passed_over_for_a_while():
    fleet = [entry(f"i-{n}") for n in range(6)]
    first = reader_of(fleet[0], fleet)
    own = next(e for e in fleet if e.instance_id != first)
    others = [e for e in fleet if e != own]
    selector = ReaderSelector(own)
    selector.exclude(first, 0)
    second = selector.choose(others, 1_000)
    assert second is None or second.instance_id != first
    assert selector.choose(others, 3_000).instance_id == first


def test_leaving_instances_are_not_followed():
    own, other = entry("i-1"), entry("i-2", leaving=True)
    assert ReaderSelector(own).choose([other], 0) is None


def test_the_store_is_read_when_all_instances_are_excluded():
    own, other = entry("i-1"), entry("i-2")
    selector = ReaderSelector(own)
    selector.exclude("i-2", 0)
    selector.exclude("i-1", 0)
    assert selector.choose([other], 0) is None


def test_rank_counts_the_instances_preferred_as_reader():
    fleet = [entry(f"i-{n}") for n in range(6)]
    ranks = {
        own.instance_id: ReaderSelector(own).own_rank([e for e in fleet if e != own])
        for own in fleet
    }
    assert sorted(ranks.values()) == list(range(6))
    assert ranks[reader_of(fleet[0], fleet)] == 0


def test_hint_goes_first_until_it_fails():
    fleet = [entry(f"i-{n}") for n in range(6)]
    own = fleet[0]
    others = fleet[1:]
    selector = ReaderSelector(own)
    for other in others:
        assert selector.choose(others, 0, hint=other.instance_id) == other
    selector.exclude("i-3", 0)
    usual = selector.choose(others, 1_000)
    assert selector.choose(others, 1_000, hint="i-3") == usual
    assert selector.choose(others, 1_000, hint="i-9") == usual
    assert selector.choose(others, 1_000, hint="i-0") == usual
