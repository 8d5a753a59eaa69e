"""Load pattern: servers leave one after the other and say so in their answers."""

from rhubarbwell_core.direct import BackendEntry, BackendTable
from rhubarbwell_core.model import Address
from support.direct_fleet import DirectFleet, OfferedLoad

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
ADDRESS = Address("10.0.0.1", 80)


def entry(name="b-1", **fields):
    return BackendEntry(name, "svc", ADDRESS, "a-1", 3, born_ms=1_000)._replace(
        **fields
    )


def make_table(*entries):
    table = BackendTable({"a-1": "a"})
    for row in entries:
        table.put(row, 0)
    return table


def available_ids(table):
    return [state.entry.backend_id for state in table.available("svc")]


# These guard against requests to servers that said that they leave (DRAIN).
def test_servers_that_leave_in_turn_get_nothing_from_instances_that_were_told():
    fleet = DirectFleet(REGIONS, dict.fromkeys(REGIONS, 6), instances=12)
    leaving = sorted(fleet.servers)[::2]

    def leave(name):
        fleet.servers[name].is_leaving = True

    for number, name in enumerate(leaving):
        fleet.schedule(5_000 + 500 * number, lambda _, name=name: leave(name))
    fleet.run([OfferedLoad(z, 30.0, to_ms=20_000) for z in REGIONS])
    for name in leaving:
        server = fleet.servers[name]
        assert server.told_ms
        for at_ms, index in server.arrival_log:
            # A request may be on its way to the server for a round trip and the time
            # to connect.
            assert at_ms <= server.told_ms.get(index, 20_000) + 200
    answered = [row for row in fleet.ended_requests if row.status == 200]
    assert len(answered) > 0.97 * len(fleet.ended_requests)


def test_row_that_still_calls_a_leaving_server_ready_changes_nothing():
    table = make_table(entry(), entry("b-2", address=Address("10.0.0.2", 80)))
    table.mark_leaving(ADDRESS)
    table.put(entry(cold_ms=100), 1_000)
    assert available_ids(table) == ["b-2"]


def test_last_server_of_a_service_gets_nothing_once_it_leaves():
    table = make_table(entry())
    table.mark_leaving(ADDRESS)
    assert available_ids(table) == []


def test_late_row_of_a_removed_server_that_left_is_not_used():
    table = make_table(entry())
    table.mark_leaving(ADDRESS)
    table.remove("b-1", 2_000)
    table.put(entry(), 3_000)
    assert available_ids(table) == []


def test_new_incarnation_under_the_same_id_is_used_despite_a_late_row_of_the_old_one():
    table = make_table(entry())
    table.mark_leaving(ADDRESS)
    table.put(entry(born_ms=9_000), 3_000)
    assert available_ids(table) == ["b-1"]
    table.put(entry(), 3_100)
    assert available_ids(table) == []
    table.put(entry(born_ms=9_000), 3_200)
    assert available_ids(table) == ["b-1"]


def test_new_server_at_the_address_is_used():
    table = make_table(entry())
    table.mark_leaving(ADDRESS)
    table.put(entry("b-9", born_ms=9_000), 3_000)
    assert available_ids(table) == ["b-9"]


def test_server_that_answers_in_place_of_one_that_ended_is_the_one_that_leaves():
    table = make_table(entry(), entry("b-9", born_ms=9_000))
    table.mark_leaving(ADDRESS)
    assert available_ids(table) == []
