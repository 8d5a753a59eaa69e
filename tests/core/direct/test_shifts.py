"""Simulate how many requests shift between regions from window to window."""

from collections import Counter, defaultdict
from itertools import pairwise

from support.direct_fleet import DirectFleet, OfferedLoad, ServiceProfile

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"}
# Region a has a third of the callers and a ninth of the servers.
SMALL_REGION = {"a-1": 2, "a-2": 2, "b-1": 8, "b-2": 8, "c-1": 8, "c-2": 8}
WINDOW_MS = 2_000
MAX_SHIFT = 0.15


def shifts_between_windows(fleet, region):
    """Return the share of a region's requests that shifted, per pair of windows."""
    windows = defaultdict(Counter)
    for row in fleet.ended_requests:
        if fleet.zones[row.zone] == region and row.serving_region is not None:
            windows[row.ended_ms // WINDOW_MS][row.serving_region] += 1
    shares = [
        {name: n / counts.total() for name, n in counts.items()}
        for _, counts in sorted(windows.items())
        if counts.total() > 50
    ]
    return [
        sum(max(0.0, after.get(name, 0.0) - before.get(name, 0.0)) for name in "abc")
        for before, after in pairwise(shares)
    ]


def simulate(per_s):
    profile = ServiceProfile(warm_ms=160.0, cold_ms=528.0, object_count=140)
    fleet = DirectFleet(REGIONS, SMALL_REGION, instances=12, profile=profile)
    fleet.run(
        [OfferedLoad(zone, per_s / len(REGIONS), to_ms=16_000) for zone in REGIONS]
    )
    return fleet


def test_cold_start_moves_few_requests_between_regions():
    fleet = simulate(240.0)
    assert max(shifts_between_windows(fleet, "a")) <= MAX_SHIFT


def test_steady_load_moves_few_requests_between_regions():
    fleet = simulate(240.0)
    assert max(shifts_between_windows(fleet, "a")[3:]) <= MAX_SHIFT
