"""Simulate load patterns on a fleet of entry instances and backend servers."""

from collections import Counter

from rhubarbwell_core.direct import RequestKind
from support.direct_fleet import DirectFleet, OfferedLoad, ServiceProfile, read_route

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"}
# Region a has a third of the callers and a ninth of the servers.
SMALL_REGION = {"a-1": 1, "a-2": 1, "b-1": 4, "b-2": 4, "c-1": 4, "c-2": 4}


def even_load(per_s, **fields):
    return [OfferedLoad(zone, per_s / len(REGIONS), **fields) for zone in REGIONS]


def test_requests_reach_servers_that_cache_their_objects():
    """With cold caches the load is 1.6 times the slots, with warm ones half of them."""
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)
    fleet.run(even_load(240.0, to_ms=30_000))
    assert fleet.cache_hit_ratio() > 0.9
    assert fleet.answered_share(from_ms=10_000) > 0.85


def test_region_with_a_third_of_the_callers_and_a_ninth_of_the_slots():
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)
    fleet.run(even_load(200.0, to_ms=30_000))
    for zone in ("a-1", "a-2"):
        assert fleet.answered_share(zone=zone, from_ms=10_000) > 0.7
    answered = [row for row in fleet.ended_requests if row.status == 200]
    assert len(answered) > 0.95 * len(fleet.ended_requests)


def test_region_whose_caches_cannot_hold_the_objects_of_its_callers():
    """27 instances and 226 servers; a server of the small region caches 12 objects.

    Its 21 servers would have to cache 299 objects, a tenth of the capacity of all
    servers serves a third of the callers.
    """
    zones = {f"{region}-{n}": region for region in "abc" for n in (1, 2, 3)}
    servers = {zone: {"a": 7, "b": 31, "c": 37}[zones[zone]] for zone in zones}
    profile = ServiceProfile(
        warm_ms=300.0, cold_ms=1_200.0, object_count=299, cache_capacity=12
    )
    route = read_route(objective_ms=800, timeout_ms=2_000)
    fleet = DirectFleet(zones, servers, instances=27, profile=profile, routes=(route,))
    fleet.run(
        [OfferedLoad(z, 50.0, to_ms=20_000, deadline_ms=5_000) for z in sorted(zones)]
    )
    in_time = {
        zone: fleet.answered_share(zone=zone, from_ms=10_000, within_ms=800.0)
        for zone in ("a-1", "a-2", "a-3", "b-1", "c-1")
    }
    # Callers of the small region are served almost as well as the others.
    assert min(in_time.values()) > max(in_time.values()) - 0.05


def test_hot_object_is_spread_over_more_than_one_server():
    """Guard against overloading one server: a hot object needs the slots of several."""
    fleet = DirectFleet(REGIONS, SMALL_REGION, profile=ServiceProfile(object_count=1))
    fleet.run(even_load(60.0))
    assert len([n for n in fleet.attempt_counts.values() if n > 20]) >= 2
    assert fleet.answered_share(from_ms=3_000) > 0.9


def test_half_of_the_servers_slow_by_factor_twelve():
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)
    names = sorted(fleet.servers)[::2]

    def slow_down(_now_ms):
        for name in names:
            fleet.servers[name].slowdown_factor = 12.0

    fleet.schedule(10_000, slow_down)
    fleet.run(even_load(90.0, to_ms=25_000))
    late = [row for row in fleet.ended_requests if row.ended_ms > 15_000]
    answered = [row for row in late if row.status == 200]
    assert len(answered) > 0.8 * len(late)


def test_servers_that_shed_almost_half_of_their_requests():
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)
    for server in list(fleet.servers.values())[:6]:
        server.shed_probability = 0.45
    fleet.run(even_load(90.0))
    answered = [row for row in fleet.ended_requests if row.status == 200]
    assert len(answered) > 0.95 * len(fleet.ended_requests)


def test_servers_that_are_down_get_no_requests():
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)

    def kill(_now_ms):
        for name in ("b-4", "b-12"):
            fleet.servers[name].down = True

    fleet.schedule(10_000, kill)
    fleet.run(even_load(90.0))
    statuses = Counter(
        row.status for row in fleet.ended_requests if row.ended_ms > 10_000
    )
    assert statuses[200] > 0.97 * statuses.total()


def test_bulk_overload_does_not_starve_urgent_requests():
    urgent = read_route("urgent", priority=0)
    bulk = read_route("bulk", kind=RequestKind.UPLOAD, priority=2, objective_ms=800)
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12, routes=(urgent, bulk))
    loads = even_load(60.0, route="urgent") + even_load(600.0, route="bulk")
    fleet.run(loads)
    rows = [row for row in fleet.ended_requests if row.ended_ms > 5_000]
    served = Counter(row.route for row in rows if row.status == 200)
    arrived = Counter(row.route for row in rows)
    assert served["urgent"] / arrived["urgent"] > 0.9
    refused = [r for r in rows if r.route == "bulk" and r.status == 503]
    assert refused
    # Refusals by admission control do not wait for a server's answer.
    assert sorted(r.latency_ms for r in refused)[len(refused) // 2] < 150


def test_overload_keeps_the_latency_of_answers_low():
    """The overload is about twice the throughput of the servers with warm caches."""
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12)
    normal_per_s, overload_per_s = 150.0, 1_000.0
    loads = even_load(normal_per_s, to_ms=10_000)
    loads += even_load(overload_per_s, from_ms=10_000, to_ms=16_000)
    fleet.run(loads)
    rows = [row for row in fleet.ended_requests if 11_000 < row.ended_ms < 16_000]
    answered = [row for row in rows if row.status == 200]
    in_time = [row for row in answered if row.latency_ms <= 300]
    # The servers can answer about half of the requests.
    assert len(answered) > 0.35 * len(rows)
    assert len(in_time) > 0.6 * len(answered)


def test_uploads_leave_a_zone_whose_caches_cannot_hold_their_objects():
    """A zone of the small region has one server, whose cache holds 23 of 36 objects."""
    upload = read_route("up", kind=RequestKind.UPLOAD, priority=2, objective_ms=800)
    profile = ServiceProfile(
        warm_ms=144.0, cold_ms=576.0, object_count=36, cache_capacity=23
    )
    servers = {"a-1": 1, "a-2": 1, "b-1": 4, "b-2": 4, "c-1": 5, "c-2": 5}
    fleet = DirectFleet(
        REGIONS, servers, instances=12, profile=profile, routes=(upload,)
    )
    fleet.run(even_load(90.0, route="up", body_bytes=60_000, to_ms=30_000))
    # One miss per object and zone, except in the two small zones, is 7 in 100.
    assert fleet.cache_hit_ratio() > 0.92
    assert fleet.answered_share(zone="a-1", from_ms=5_000, within_ms=800.0) > 0.995


def test_burst_of_urgent_requests_keeps_the_latency_of_answers_low():
    """1,200 requests per second arrive; 48 slots with warm caches answer 980."""
    urgent = read_route("urgent", priority=0, objective_ms=196)
    profile = ServiceProfile(
        warm_ms=49.0, cold_ms=197.0, object_count=85, cache_capacity=71
    )
    servers = {"a-1": 1, "a-2": 1, "b-1": 3, "b-2": 3, "c-1": 4, "c-2": 4}
    fleet = DirectFleet(
        REGIONS, servers, instances=12, profile=profile, routes=(urgent,)
    )
    loads = even_load(700.0, route="urgent", to_ms=11_000)
    loads += even_load(500.0, route="urgent", from_ms=7_000, to_ms=11_000)
    fleet.run(loads)
    rows = [row for row in fleet.ended_requests if 8_000 < row.ended_ms < 11_000]
    answered = [row for row in rows if row.status == 200]
    in_time = [row for row in answered if row.latency_ms <= 196]
    assert len(answered) > 0.7 * len(rows)
    assert len(in_time) > 0.5 * len(rows)
