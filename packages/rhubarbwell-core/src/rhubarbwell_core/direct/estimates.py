"""Estimate processing times, cache hits and round trips to zones."""

from collections import OrderedDict, deque
from collections.abc import Mapping
from copy import deepcopy
from math import sqrt

from rhubarbwell_core.direct.model import Route

__all__ = ["CacheEstimates", "ProcessingTimes", "ZoneDelays"]

# Initial processing times as shares of a route's objective: operators set objectives
# that requests meet with a warm cache and miss with a cold one.
INITIAL_WARM_SHARE = 0.35
INITIAL_COLD_SHARE = 1.2
PROCESSING_TIME_SMOOTHING = 0.05
# Recent processing times that are split into cache hits and misses.
SAMPLES = 64
SAMPLES_PER_LIMIT_UPDATE = 8
# Ratio of the 90th to the 10th percentile of the samples. With a smaller one, they are
# all hits or all misses; within either, times differ by about a sixth.
MIN_SPREAD = 1.8
# Initial cache hit ratio by affinity position.
INITIAL_HIT_RATIOS = (0.9, 0.7, 0.5, 0.35, 0.25, 0.2)
# Low, because ratios that drop while all caches are cold would scatter the objects.
HIT_RATIO_SMOOTHING = 0.01
# Servers most likely still hold an object that this instance recently requested there.
RECENT_HIT_RATIO = 0.95
RECENT_USE_MS = 15_000
MAX_RECENT_USES = 8_192

# Initial round-trip times.
INITIAL_SAME_ZONE_MS = 0.5
INITIAL_SAME_REGION_MS = 8.0
INITIAL_OTHER_REGION_MS = 50.0
ROUND_TRIP_SMOOTHING = 0.3


class ProcessingTimes:
    """Learn a route's processing times with a warm and with a cold cache.

    >>> times = ProcessingTimes(objective_ms=120)
    >>> for _ in range(200):
    ...     kinds = [times.is_hit(30.0), times.is_hit(100.0)]
    ...     times.learn(30.0)
    ...     times.learn(100.0)
    >>> kinds, round(times.warm_ms), round(times.cold_ms)
    ([True, False], 30, 100)
    """

    def __init__(self, objective_ms: float) -> None:
        self.warm_ms = INITIAL_WARM_SHARE * objective_ms
        self.cold_ms = INITIAL_COLD_SHARE * objective_ms
        self._hit_limit_ms = sqrt(self.warm_ms * self.cold_ms)
        self._samples = deque[float](maxlen=SAMPLES)
        self._learned = 0

    def is_hit(self, processing_ms: float) -> bool:
        """Return True if a processing time indicates a cache hit."""
        return processing_ms < self._hit_limit_ms

    def learn(self, processing_ms: float) -> None:
        """Update the estimates with the processing time of a request."""
        self._samples.append(processing_ms)
        self._learned += 1
        if self._learned % SAMPLES_PER_LIMIT_UPDATE == 0:
            self._update_hit_limit()
        if self.is_hit(processing_ms):
            self.warm_ms += PROCESSING_TIME_SMOOTHING * (processing_ms - self.warm_ms)
        else:
            self.cold_ms += PROCESSING_TIME_SMOOTHING * (processing_ms - self.cold_ms)

    def _update_hit_limit(self) -> None:
        """Set the limit between hits and misses if the samples contain both."""
        ordered = sorted(self._samples)
        low, high = ordered[len(ordered) // 10], ordered[len(ordered) * 9 // 10]
        if high < MIN_SPREAD * low:
            return
        self._hit_limit_ms = sqrt(low * high)
        warm = [x for x in ordered if x < self._hit_limit_ms]
        cold = ordered[len(warm) :]
        self.warm_ms = sum(warm) / len(warm)
        self.cold_ms = sum(cold) / len(cold)


class CacheEstimates:
    """Estimate cache hit ratios and processing times at backend servers.

    Hit ratios are learned per service and position in the affinity order. They are
    not kept per region, because after a cold start the first region to be used would
    look worse than regions without any samples.

    >>> estimates = CacheEstimates()
    >>> first = estimates.hit_ratio("s", 0)
    >>> first > estimates.hit_ratio("s", 1)
    True
    """

    def __init__(self) -> None:
        self._times: dict[str, ProcessingTimes] = {}
        self._hit_ratios: dict[str, list[float]] = {}
        self._last_used_ms: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def __deepcopy__(self, memo: dict[int, object]) -> "CacheEstimates":
        """Return a copy; there may be thousands of uses."""
        other = CacheEstimates()
        other._times = deepcopy(self._times, memo)
        other._hit_ratios = deepcopy(self._hit_ratios, memo)
        other._last_used_ms = self._last_used_ms.copy()
        return other

    def processing_times(self, route: Route) -> ProcessingTimes:
        """Return the processing times of a route."""
        known = self._times.get(route.name)
        if known is None:
            known = self._times[route.name] = ProcessingTimes(route.objective_ms)
        return known

    def hit_ratio(
        self, service: str, position: int, *, used_recently: bool = False
    ) -> float:
        """Return the probability that the server at a position holds an object."""
        ratio = self._service_hit_ratios(service)[_ratio_index(position)]
        return max(ratio, RECENT_HIT_RATIO) if used_recently else ratio

    def learn(
        self,
        route: Route,
        service: str,
        position: int,
        processing_ms: float,
        *,
        learns_times: bool = True,
    ) -> None:
        """Update the estimates with the processing time of a request.

        If learns_times is False, only the hit ratio is updated.
        """
        times = self.processing_times(route)
        if learns_times:
            times.learn(processing_ms)
        ratios = self._service_hit_ratios(service)
        index = _ratio_index(position)
        ratios[index] += HIT_RATIO_SMOOTHING * (
            float(times.is_hit(processing_ms)) - ratios[index]
        )

    def record_use(
        self, backend_id: str, route: str, object_key: str, now_ms: int
    ) -> None:
        """Record that a server answered a request of this instance for an object."""
        key = (backend_id, route, object_key)
        self._last_used_ms[key] = now_ms
        self._last_used_ms.move_to_end(key)
        if len(self._last_used_ms) > MAX_RECENT_USES:
            self._last_used_ms.popitem(last=False)

    def used_recently(
        self, backend_id: str, route: str, object_key: str, now_ms: int
    ) -> bool:
        """Return True if a server recently answered this instance for an object."""
        used_ms = self._last_used_ms.get((backend_id, route, object_key))
        return used_ms is not None and now_ms - used_ms < RECENT_USE_MS

    def _service_hit_ratios(self, service: str) -> list[float]:
        return self._hit_ratios.setdefault(service, list(INITIAL_HIT_RATIOS))


class ZoneDelays:
    """Learn the round-trip time in ms to each zone from new connections.

    >>> delays = ZoneDelays("a-1", {"a-1": "a", "a-2": "a", "b-1": "b"})
    >>> delays.round_trip_ms("a-2") < delays.round_trip_ms("b-1")
    True
    """

    def __init__(self, zone: str, regions: Mapping[str, str]) -> None:
        self._round_trips_ms: dict[str, float] = {}
        for name, region in regions.items():
            delay = (
                INITIAL_SAME_REGION_MS
                if region == regions[zone]
                else INITIAL_OTHER_REGION_MS
            )
            self._round_trips_ms[name] = INITIAL_SAME_ZONE_MS if name == zone else delay

    def round_trip_ms(self, zone: str) -> float:
        """Return the round-trip time in ms to the backend servers of a zone."""
        return self._round_trips_ms.get(zone, INITIAL_OTHER_REGION_MS)

    def record_connect_time(self, zone: str, connect_ms: float) -> None:
        """Update a zone's round-trip time with the time to open a connection."""
        known = self._round_trips_ms.get(zone, INITIAL_OTHER_REGION_MS)
        # A lost packet delays one connection and says nothing about the path.
        connect_ms = min(connect_ms, 2 * known + 5.0)
        self._round_trips_ms[zone] = known + ROUND_TRIP_SMOOTHING * (connect_ms - known)


def _ratio_index(position: int) -> int:
    return min(position, len(INITIAL_HIT_RATIOS) - 1)
