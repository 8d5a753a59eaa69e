"""Counts of good and bad requests over sliding windows of time."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from ddsketch import DDSketch

from rhubarbwell_core.model import Reason

__all__ = ["BurnSeries", "Tally", "WINDOWS_MS"]

WINDOWS_MS = (60_000, 300_000, 3_600_000, 21_600_000)
BUCKETS_PER_WINDOW = 12
LATENCY_WINDOW_MS = 300_000
LATENCY_RELATIVE_ACCURACY = 0.02


class Tally(NamedTuple):
    """Hold the request counts of a window; allowed_bad is the permitted bad count."""

    total: int = 0
    bad: int = 0
    allowed_bad: float = 0.0
    causes: Mapping[Reason, int] = {}


class _Bucket:
    __slots__ = ("allowed_bad", "bad", "causes", "number", "total")

    def __init__(self, number: int) -> None:
        self.number = number
        self.total = 0
        self.bad = 0
        self.allowed_bad = 0.0
        self.causes: Counter[Reason] = Counter()

    def add(self, cause: Reason | None, allowed_bad: float) -> None:
        self.total += 1
        self.allowed_bad += allowed_bad
        if cause is not None:
            self.bad += 1
            self.causes[cause] += 1


class _Ring:
    """Count the requests of one sliding window in BUCKETS_PER_WINDOW buckets."""

    __slots__ = ("_bucket_ms", "_buckets")

    def __init__(self, window_ms: int) -> None:
        self._bucket_ms = window_ms // BUCKETS_PER_WINDOW
        self._buckets = [_Bucket(-1) for _ in range(BUCKETS_PER_WINDOW)]

    def add(self, cause: Reason | None, allowed_bad: float, now_ms: int) -> None:
        number = now_ms // self._bucket_ms
        index = number % BUCKETS_PER_WINDOW
        if self._buckets[index].number != number:
            self._buckets[index] = _Bucket(number)
        self._buckets[index].add(cause, allowed_bad)

    def tally(self, now_ms: int) -> Tally:
        oldest = now_ms // self._bucket_ms - BUCKETS_PER_WINDOW + 1
        recent = [bucket for bucket in self._buckets if bucket.number >= oldest]
        causes: Counter[Reason] = Counter()
        for bucket in recent:
            causes.update(bucket.causes)
        return Tally(
            sum(bucket.total for bucket in recent),
            sum(bucket.bad for bucket in recent),
            sum(bucket.allowed_bad for bucket in recent),
            dict(causes),
        )


class BurnSeries:
    """Hold the counts of one series per window and its recent latencies in ms.

    >>> series = BurnSeries()
    >>> series.add(None, allowed_bad=0.01, latency_ms=5, now_ms=1_000)
    >>> series.add(Reason.OVERLOAD, allowed_bad=0.01, latency_ms=0, now_ms=2_000)
    >>> tally = series.tallies(3_000)[60_000]
    >>> tally.total, tally.bad
    (2, 1)
    """

    def __init__(self) -> None:
        self._rings = {window_ms: _Ring(window_ms) for window_ms in WINDOWS_MS}
        self._sketches: dict[int, DDSketch] = {}

    def add(
        self, cause: Reason | None, *, allowed_bad: float, latency_ms: int, now_ms: int
    ) -> None:
        """Count a request; cause is None for a good request."""
        for ring in self._rings.values():
            ring.add(cause, allowed_bad, now_ms)
        if cause is None:
            self._sketch_at(now_ms).add(max(latency_ms, 1))

    def tallies(self, now_ms: int) -> dict[int, Tally]:
        """Return the tally of each window, by its length in ms."""
        return {window: ring.tally(now_ms) for window, ring in self._rings.items()}

    def latencies(self, now_ms: int) -> DDSketch:
        """Return the latencies in ms of the good requests of the last five minutes."""
        self._drop_old_sketches(now_ms)
        merged = DDSketch(LATENCY_RELATIVE_ACCURACY)
        for sketch in self._sketches.values():
            merged.merge(sketch)
        return merged

    def _sketch_at(self, now_ms: int) -> DDSketch:
        number = now_ms // (LATENCY_WINDOW_MS // BUCKETS_PER_WINDOW)
        if number not in self._sketches:
            self._drop_old_sketches(now_ms)
            self._sketches[number] = DDSketch(LATENCY_RELATIVE_ACCURACY)
        return self._sketches[number]

    def _drop_old_sketches(self, now_ms: int) -> None:
        bucket_ms = LATENCY_WINDOW_MS // BUCKETS_PER_WINDOW
        oldest = now_ms // bucket_ms - BUCKETS_PER_WINDOW + 1
        for number in [number for number in self._sketches if number < oldest]:
            del self._sketches[number]
