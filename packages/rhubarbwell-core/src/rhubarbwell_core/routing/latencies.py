"""Estimate the typical latencies of kinds of work."""

from math import exp, log

__all__ = ["KindLatencies", "LatencyFloors"]

TYPICAL_GAIN = 0.02
LEARNING_SAMPLES = 50
FALL_SAMPLES = 300
RISE_SAMPLES = 2_000


class KindLatencies:
    """Track the geometric mean latency of each kind of work.

    >>> latencies = KindLatencies()
    >>> for _ in range(50):
    ...     _ = latencies.observe("slotsvc", "page", 40)
    >>> latencies.typical_ms("slotsvc", "page")
    40
    >>> round(latencies.observe("slotsvc", "page", 80), 2)
    0.69
    """

    def __init__(self) -> None:
        self._typical: dict[tuple[str, str], tuple[float, int]] = {}

    def observe(self, service: str, kind: str, latency_ms: int) -> float:
        """Return log(latency / typical latency) and update the typical latency."""
        sample = log(max(latency_ms, 1))
        typical, seen = self._typical.get((service, kind), (sample, 0))
        gain = max(TYPICAL_GAIN, 1.0 / (seen + 1))
        learned = typical + gain * (sample - typical)
        self._typical[service, kind] = learned, min(seen + 1, LEARNING_SAMPLES)
        return sample - typical

    def typical_ms(self, service: str, kind: str) -> int:
        """Return the typical latency in ms, or 0 for a kind not yet seen."""
        known = self._typical.get((service, kind))
        return 0 if known is None else round(exp(known[0]))


class LatencyFloors:
    """Track the lowest latency of each kind, falling fast and rising slowly.

    >>> floors = LatencyFloors()
    >>> floors.add("page", log(40))
    >>> floors.close_window()
    0.0
    >>> floors.add("page", log(80))
    >>> round(floors.close_window(), 2)
    0.69
    """

    def __init__(self) -> None:
        self._floors: dict[str, tuple[float, int]] = {}
        self._window: dict[str, tuple[float, int]] = {}

    def add(self, kind: str, log_latency: float) -> None:
        """Add the log of a latency in ms to the window."""
        total, count = self._window.get(kind, (0.0, 0))
        self._window[kind] = total + log_latency, count + 1

    def close_window(self) -> float:
        """Return the mean of log(latency / floor) and start a new window."""
        excess = 0.0
        samples = 0
        for kind, (total, count) in self._window.items():
            mean = total / count
            floor, seen = self._floors.get(kind, (mean, 0))
            excess += count * (mean - floor)
            samples += count
            time_constant = FALL_SAMPLES if mean < floor else RISE_SAMPLES
            gain = min(1.0, count / time_constant)
            if seen < LEARNING_SAMPLES:
                gain = count / (seen + count)
            seen = min(seen + count, LEARNING_SAMPLES)
            self._floors[kind] = floor + gain * (mean - floor), seen
        self._window.clear()
        return excess / samples if samples else 0.0

    def raise_all(self, log_ratio: float) -> None:
        """Add log_ratio to the log of all floors, as lower limits did not reduce it."""
        for kind, (floor, seen) in self._floors.items():
            self._floors[kind] = floor + log_ratio, seen
