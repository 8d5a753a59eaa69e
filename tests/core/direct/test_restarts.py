"""Load patterns of servers that crash and start again under their id, cold."""

from itertools import product
from random import Random

import pytest
from rhubarbwell_core.direct import AttemptReport, AttemptResult, RequestKind
from support.direct_fleet import (
    IDLE_TIMEOUT_MS,
    DirectFleet,
    OfferedLoad,
    ServiceProfile,
    read_route,
)

ZONES = {"z-1": "r"}
COLD_START_MS = 3_000
CRASH_MS = 3_000
END_MS = 9_000
# Factor of the processing times while the caches are cold.
COLD_SLOWNESS = 6.4
# The cold rate of the simulated service, 6.8 a second, times 1.5, and 5 requests.
ALLOWED_PER_S = 15.2
LAGS_MS = (0, 400, 800, 2_000)
RATES_PER_S = (60, 90, 120, 180)
INSTANCES = (2, 3, 5)
DOWNTIMES_MS = (50, 300, 1_000, 5_000)
# Two instances have never sent to the server that starts again, and notice nothing.
KNOWN_RED = (2_000, 60, 16, 50, 3, 100)


def make_fleet(servers, instances):
    """Return a fleet in which all servers take 45 ms for an unsafe request."""
    return DirectFleet(
        ZONES,
        {"z-1": servers},
        instances=instances,
        profile=ServiceProfile(warm_ms=45.0, cold_ms=45.0),
        routes=(read_route("pay", kind=RequestKind.UNSAFE, timeout_ms=2_500),),
    )


def schedule_restart(fleet, server, lag_ms, downtime_ms):
    """Let a server crash and start again, cold; return when it does."""
    cold_from_ms = CRASH_MS + downtime_ms

    def start_again(now_ms):
        fleet.restart(server, now_ms)
        server.slowdown_factor = COLD_SLOWNESS

    def register(now_ms):
        cold_ms = cold_from_ms + COLD_START_MS - now_ms
        fleet.register(server, max(cold_ms, 0), now_ms)

    def warm_up(_):
        server.slowdown_factor = 1.0

    fleet.schedule(CRASH_MS, lambda now_ms: fleet.crash(server, now_ms))
    fleet.schedule(cold_from_ms, start_again)
    fleet.schedule(cold_from_ms + lag_ms, register)
    fleet.schedule(cold_from_ms + COLD_START_MS, warm_up)
    return cold_from_ms


def schedule_losses(fleet, servers, period_ms):
    """Reset a connection to any of the servers in each period; return the times."""
    rng = Random(1)
    lost_ms = []

    def lose_connection(now_ms):
        index, server = rng.randrange(len(fleet.balancers)), rng.choice(servers)
        if fleet.lose_connection(index, server, now_ms):
            lost_ms.append(now_ms)

    for at_ms in range(1_000, END_MS, period_ms):
        fleet.schedule(at_ms, lose_connection)
    return lost_ms


def run_requests(fleet, rate_per_s):
    """Send requests at a rate to the end of the pattern."""
    fleet.run([OfferedLoad("z-1", rate_per_s, 0, END_MS, "pay", deadline_ms=2_500)])


def most_while_cold(lag_ms, rate_per_s, instances, downtime_ms, crashing):
    """Return the most requests in a second at a cold server that started again."""
    fleet = make_fleet(1 + crashing, instances)
    return _most_at_restarting(fleet, crashing, lag_ms, downtime_ms, rate_per_s)


def _most_at_restarting(fleet, crashing, lag_ms, downtime_ms, rate_per_s):
    servers = list(fleet.servers.values())[:crashing]
    for server in servers:
        cold_from_ms = schedule_restart(fleet, server, lag_ms, downtime_ms)
    run_requests(fleet, rate_per_s)
    cold_until_ms = cold_from_ms + COLD_START_MS
    return max(_most_per_s(server, cold_from_ms, cold_until_ms) for server in servers)


def _most_per_s(server, from_ms, until_ms):
    times = [at for at, _ in server.arrival_log if from_ms <= at < until_ms]
    return max((sum(at <= t < at + 1_000 for t in times) for at in times), default=0)


# A server that starts again under its id was taken for the warm one until its row came.
@pytest.mark.parametrize("crashing", [1, 3])
@pytest.mark.parametrize(
    ("lag_ms", "rate_per_s", "instances", "downtime_ms"),
    list(product(LAGS_MS, RATES_PER_S, INSTANCES, DOWNTIMES_MS)),
)
def test_cold_server_under_a_known_id_gets_no_more_than_its_rate(
    lag_ms, rate_per_s, instances, downtime_ms, crashing
):
    most = most_while_cold(lag_ms, rate_per_s, instances, downtime_ms, crashing)
    assert most <= ALLOWED_PER_S


# With 12 and 16 instances, 6 have a share of the cold rate and the others have none.
@pytest.mark.parametrize(
    (
        "lag_ms",
        "rate_per_s",
        "instances",
        "downtime_ms",
        "crashing",
        "losses_period_ms",
    ),
    [
        pytest.param(
            *pattern, marks=[pytest.mark.known_red] if pattern == KNOWN_RED else []
        )
        for pattern in product(
            LAGS_MS, (60, 120, 240), (12, 16), DOWNTIMES_MS, (1, 3), (None, 100)
        )
    ],
)
def test_many_instances_send_a_cold_server_no_more_than_its_rate(
    lag_ms, rate_per_s, instances, downtime_ms, crashing, losses_period_ms
):
    fleet = make_fleet(4, instances)
    for server in fleet.servers.values():
        server.idle_timeout_ms = IDLE_TIMEOUT_MS
    if losses_period_ms is not None:
        sound = list(fleet.servers.values())[crashing:]
        schedule_losses(fleet, sound, losses_period_ms)
    most = _most_at_restarting(fleet, crashing, lag_ms, downtime_ms, rate_per_s)
    assert most <= ALLOWED_PER_S


# The opposite error: instances left sound servers unused that had lost a connection.
@pytest.mark.parametrize("servers", [1, 2, 4])
@pytest.mark.parametrize(
    ("rate_per_s", "instances", "losses_period_ms"),
    list(product((20, 40), (12, 16), (300, 1_000))),
)
def test_lost_connection_of_a_sound_server_costs_at_most_a_request(
    rate_per_s, instances, losses_period_ms, servers
):
    unserved, lost = [], 0
    for is_losing in (False, True):
        fleet = make_fleet(servers, instances)
        for server in fleet.servers.values():
            server.idle_timeout_ms = IDLE_TIMEOUT_MS
        lost_ms = []
        if is_losing:
            lost_ms = schedule_losses(
                fleet, list(fleet.servers.values()), losses_period_ms
            )
        run_requests(fleet, rate_per_s)
        unserved.append(sum(row.status != 200 for row in fleet.ended_requests))
        lost = len(lost_ms)
    assert lost
    assert unserved[1] - unserved[0] <= lost


def one_balancer():
    """Return the balancer of a fleet of one instance and one server, and its route."""
    fleet = DirectFleet(ZONES, {"z-1": 1}, instances=1, routes=(read_route(),))
    return fleet.balancers[0], fleet.routes[0]


def end_one(balancer, route, now_ms, result, **report):
    """Send a request at now_ms and end it 20 ms later; return the server's state."""
    number = f"r-{now_ms}"
    req = balancer.start_request(number, route, "k", now_ms + 900, now_ms)
    target = balancer.choose_backend(req, now_ms)
    balancer.start_attempt(req, target, now_ms)
    balancer.end_attempt(req, target, AttemptReport(result, 20, **report), now_ms + 20)
    return balancer.backends.rows[target.backend_id]


# The opposite error: a sound, warm server that loses one connection is not starved.
def test_connection_from_before_the_loss_clears_the_suspicion():
    balancer, route = one_balancer()
    state = end_one(balancer, route, 0, AttemptResult.ANSWERED, opened_ms=0)
    end_one(balancer, route, 100, AttemptResult.BROKEN, lost_connection=True)
    assert state.is_cold(130)
    end_one(balancer, route, 700, AttemptResult.ANSWERED, opened_ms=0)
    assert not state.is_cold(730)


def test_connections_from_after_the_loss_alone_make_the_server_cold():
    balancer, route = one_balancer()
    state = end_one(balancer, route, 0, AttemptResult.ANSWERED, opened_ms=0)
    end_one(balancer, route, 100, AttemptResult.BROKEN, lost_connection=True)
    end_one(balancer, route, 9_000, AttemptResult.ANSWERED, opened_ms=9_000)
    assert state.is_cold(9_020 + COLD_START_MS - 1)
    assert not state.is_cold(9_020 + COLD_START_MS)


def test_lost_idle_connection_limits_the_server_to_its_cold_rate():
    balancer, route = one_balancer()
    state = end_one(balancer, route, 0, AttemptResult.ANSWERED, opened_ms=0)
    balancer.record_idle_connection_lost(state.entry.address, 500)
    assert state.is_cold(60_000)
    end_one(balancer, route, 60_000, AttemptResult.ANSWERED, opened_ms=0)
    assert not state.is_cold(60_030)


def test_wrong_answer_on_a_kept_connection_says_nothing_of_a_restart():
    balancer, route = one_balancer()
    state = end_one(balancer, route, 0, AttemptResult.BROKEN)
    assert not state.is_cold(30)
