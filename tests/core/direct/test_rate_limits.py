"""Load pattern: most servers of a service name a limit below what they get."""

from itertools import pairwise

import pytest
from rhubarbwell_core.direct import SharedRateLimiter
from support.direct_fleet import DirectFleet, OfferedLoad

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"}
SERVERS = {"a-1": 4, "a-2": 4, "b-1": 5, "b-2": 5, "c-1": 1, "c-2": 1}
LIMITED_FROM_MS = 6_000
LIMITED_TO_MS = 25_000
END_MS = 40_000
# The platform gives instances this long to keep to a new limit, and counts those that
# learned of it at least 0.5 s before, in windows of 4 s.
STABILITY_WINDOW_MS = 3_000
TOLD_MS = 500
WINDOW_MS = 4_000


def max_requests(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def most_in_window(times):
    """Return the largest number of times that lie within WINDOW_MS."""
    return max((sum(t <= u < t + WINDOW_MS for u in times) for t in times), default=0)


def counted_arrivals(server, to_ms):
    """Return the times of the arrivals that count against a server's limit."""
    if not server.told_ms:
        return []
    first_ms = min(server.told_ms.values()) + STABILITY_WINDOW_MS
    return [
        at_ms
        for at_ms, index in server.arrival_log
        if first_ms <= at_ms < to_ms
        and server.told_ms.get(index, END_MS) + TOLD_MS <= at_ms
    ]


def run_limited_fleet(instances, load_per_s, limits, seed=1):
    """Run a fleet of which some servers name a limit, given by index."""
    fleet = DirectFleet(REGIONS, SERVERS, instances=instances, seed=seed)
    names = sorted(fleet.servers)

    def set_limits(values):
        for index, limit in values.items():
            fleet.servers[names[index]].rate_limit_per_s = limit

    fleet.schedule(LIMITED_FROM_MS, lambda _: set_limits(limits))
    fleet.schedule(LIMITED_TO_MS, lambda _: set_limits(dict.fromkeys(limits)))
    fleet.run([OfferedLoad(z, load_per_s / 6, to_ms=END_MS) for z in REGIONS])
    return fleet, [fleet.servers[names[index]] for index in limits]


# These guard against servers that get more than the limit that they named (LIMIT).
@pytest.mark.parametrize("instances", [3, 12, 60])
@pytest.mark.parametrize("seed", [1, 2])
def test_servers_that_name_a_limit_get_no_more(instances, seed):
    limits = {index: 0.6 + 1.1 * index for index in range(14)}
    _, limited = run_limited_fleet(instances, 200.0, limits, seed)
    for server, limit in zip(limited, limits.values(), strict=True):
        times = counted_arrivals(server, LIMITED_TO_MS)
        assert most_in_window(times) <= max_requests(limit)


def test_the_other_servers_take_the_load_that_the_limits_leave():
    fleet, _ = run_limited_fleet(12, 120.0, dict.fromkeys(range(8), 4.0))
    answered = [row for row in fleet.ended_requests if row.status == 200]
    assert len(answered) > 0.95 * len(fleet.ended_requests)


def test_limited_servers_are_used_up_to_their_limit():
    """All servers are limited and the load is twice the sum of the limits."""
    fleet, limited = run_limited_fleet(12, 200.0, dict.fromkeys(range(20), 5.0))
    for server in limited:
        times = [
            at_ms for at_ms, _ in server.arrival_log if 12_000 <= at_ms < LIMITED_TO_MS
        ]
        assert len(times) > 0.6 * 5.0 * (LIMITED_TO_MS - 12_000) / 1_000
    refused = [row for row in fleet.ended_requests if row.status == 503]
    assert max(row.latency_ms for row in refused) < 2_000


def test_servers_are_used_as_before_once_they_name_no_limit():
    fleet, _ = run_limited_fleet(12, 120.0, dict.fromkeys(range(20), 2.0))
    late = [row for row in fleet.ended_requests if row.ended_ms > LIMITED_TO_MS + 8_000]
    assert len([r for r in late if r.status == 200]) > 0.95 * len(late)


def test_an_instance_without_a_share_asks_again_after_some_time():
    limiters = [SharedRateLimiter(f"i-{n}", probe_share=0.1) for n in range(40)]
    for limiter in limiters:
        limiter.configure([f"i-{n}" for n in range(40)])
    for limiter in limiters:
        times = [t for t in range(0, 300_000, 100) if limiter.try_send("b-1", 2.0, t)]
        assert len(times) >= 5
        assert all(later - earlier <= 60_100 for earlier, later in pairwise(times))


def test_no_rate_allows_probes_alone():
    limiter = SharedRateLimiter("i-1", probe_share=0.1)
    limiter.configure(["i-1"])
    assert limiter.try_send("b-1", 0.0, 0)
    assert not limiter.may_send("b-1", 0.0, 59_000)
    assert limiter.pause_ms("b-1", 0.0, 59_000) == 1_001
