"""Routes of which each instance of a large fleet gets only a few requests."""

from random import Random

import pytest
from rhubarbwell_core.direct import (
    LoadBalancer,
    LoadBalancerRules,
    RequestKind,
    RetryBudgetRule,
    RoutingConfig,
    SplitPart,
)
from rhubarbwell_core.direct.routes import WeightedSplits
from support.direct_fleet import DirectFleet, OfferedLoad, ServiceProfile, read_route

INSTANCES = 195
# Instances of high capacity, which alone share the fleet's budgets.
SHARING = 27
ZONES = {"z-1": "r-1", "z-2": "r-2", "z-3": "r-3"}
# Largest difference between the share of a split's part and its weight.
MAX_WEIGHT_ERROR = 0.1
# Test requests at each instance in the seconds after a configuration has changed.
REQUESTS_PER_INSTANCE = 2
BURST_MS = 2_000


def split_shares(weights, requests_per_instance):
    """Return the share of requests that each part of a split gets in a fleet."""
    parts = tuple(SplitPart(f"s-{n}", weight) for n, weight in enumerate(weights))
    route = read_route()._replace(parts=parts)
    counts = dict.fromkeys((part.service for part in parts), 0)
    rules = LoadBalancerRules(RetryBudgetRule(0.2, 62, 10_000))
    for number in range(INSTANCES):
        balancer = LoadBalancer(f"i-{number}", "z-1", ZONES, rules, Random(number))
        balancer.configure(RoutingConfig(1, (route,), {}))
        for n in range(requests_per_instance):
            req = balancer.start_request(f"r-{n}", route, str(n), 2_000, 0)
            counts[req.service] += 1
    return [count / (INSTANCES * requests_per_instance) for count in counts.values()]


# Guards against splits whose shares are wrong in sum although each instance keeps them.
@pytest.mark.parametrize("requests_per_instance", [1, 2, 3, 5])
@pytest.mark.parametrize(
    "weights", [(1, 1), (3, 2), (7, 3), (1, 2, 3), (9, 1), (0.61, 0.39)]
)
def test_few_requests_at_each_instance_keep_the_weights_of_a_split(
    weights, requests_per_instance
):
    shares = split_shares(weights, requests_per_instance)
    for share, weight in zip(shares, weights, strict=True):
        assert share == pytest.approx(weight / sum(weights), abs=MAX_WEIGHT_ERROR)


@pytest.mark.parametrize("weights", [(1, 1), (7, 3), (1, 2, 3), (95, 5), (0.61, 0.39)])
def test_one_instance_keeps_the_weights_of_a_split(weights):
    parts = tuple(SplitPart(f"s-{n}", weight) for n, weight in enumerate(weights))
    route = read_route()._replace(parts=parts)
    for seed in range(50):
        splits = WeightedSplits(Random(seed))
        services = [splits.next_service(route) for _ in range(300)]
        for part in parts:
            share = services.count(part.service) / len(services)
            weight = part.weight / sum(weights)
            assert share == pytest.approx(weight, abs=MAX_WEIGHT_ERROR)


def served_share(kind, cold_ms, warm_ms):
    """Return the share of requests without an object that a large fleet serves.

    Each instance gets a few requests of a route that it has just learned of.
    """
    profile = ServiceProfile(warm_ms=warm_ms, cold_ms=cold_ms)
    timeout_ms = 2_000
    route = read_route("new", kind=kind, timeout_ms=timeout_ms)
    fleet = DirectFleet(
        ZONES,
        dict.fromkeys(ZONES, 36),
        instances=INSTANCES,
        profile=profile,
        routes=(route,),
    )
    names = [f"i-{n}" for n in range(SHARING)]
    for balancer in fleet.balancers:
        balancer.set_instances(INSTANCES, names)
    rate_per_s = INSTANCES * REQUESTS_PER_INSTANCE / len(ZONES) / (BURST_MS / 1_000)
    loads = [
        OfferedLoad(zone, rate_per_s, 0, BURST_MS, "new", object_key="")
        for zone in ZONES
    ]
    fleet.run(loads)
    return fleet.answered_share(within_ms=timeout_ms)


# Guards against added routes whose first requests all go to one server of a region.
@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
@pytest.mark.parametrize("cold_ms, warm_ms", [(360, 108), (480, 480), (1_200, 360)])
def test_first_requests_of_an_added_route_are_served(kind, cold_ms, warm_ms):
    # The servers have room for all of the requests, also while their caches are cold.
    assert served_share(kind, cold_ms, warm_ms) >= 0.95
