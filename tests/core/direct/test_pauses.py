"""Load pattern: full servers turn requests away and ask for a pause."""

from collections import Counter

import pytest
from support.direct_fleet import DirectFleet, OfferedLoad

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
PAUSE_MS = 2_000
# Requests on their way when the pause was asked for arrive within this time.
IN_FLIGHT_MS = 500
MAX_IN_PAUSE = 2
END_MS = 20_000


def run_full_fleet(
    load_per_s, *, shedding=8, probability=0.5, from_ms=5_000, pause_ms=PAUSE_MS
):
    """Run a fleet of which some servers turn requests away with a pause."""
    fleet = DirectFleet(REGIONS, dict.fromkeys(REGIONS, 4), instances=12)
    names = sorted(fleet.servers)[:shedding]

    def set_shedding(value):
        for name in names:
            fleet.servers[name].shed_probability = value
            fleet.servers[name].pause_ms = pause_ms

    fleet.schedule(from_ms, lambda _: set_shedding(probability))
    fleet.schedule(from_ms + 8_000, lambda _: set_shedding(0.0))
    fleet.run([OfferedLoad(z, load_per_s / 4, to_ms=END_MS) for z in REGIONS])
    return fleet, [fleet.servers[name] for name in names]


# These guard against requests to servers that asked for a pause (BUDGET).
@pytest.mark.parametrize("probability", [0.1, 0.5, 1.0])
def test_servers_get_next_to_nothing_during_a_pause(probability):
    _, servers = run_full_fleet(120.0, probability=probability)
    assert any(server.pauses for server in servers)
    for server in servers:
        for index, start_ms, end_ms in server.pauses:
            arrivals = [
                at_ms
                for at_ms, other in server.arrival_log
                if other == index and start_ms + IN_FLIGHT_MS <= at_ms < end_ms
            ]
            assert len(arrivals) <= MAX_IN_PAUSE


def test_more_callers_are_served_than_by_servers_that_ask_for_no_pause():
    answered = {}
    for pause_ms in (PAUSE_MS, None):
        fleet, _ = run_full_fleet(60.0, probability=1.0, pause_ms=pause_ms)
        answered[pause_ms] = sum(row.status == 200 for row in fleet.ended_requests)
    assert answered[PAUSE_MS] > answered[None]


def test_servers_that_paused_are_used_again():
    _, servers = run_full_fleet(120.0, probability=1.0)
    for server in servers:
        assert [at_ms for at_ms, _ in server.arrival_log if at_ms > 17_000]


def test_callers_do_not_return_in_one_burst_when_all_servers_pause():
    fleet, servers = run_full_fleet(120.0, shedding=16, probability=1.0)
    refused = [row for row in fleet.ended_requests if row.status == 503]
    assert len(refused) > 100
    # Nobody is held: the first attempts that fill the pauses take a round trip each.
    assert max(row.latency_ms for row in refused) < 500
    for server in servers:
        after = [t // 100 for t, _ in server.arrival_log if 7_000 <= t < 15_000]
        assert max(Counter(after).values(), default=0) <= 8
