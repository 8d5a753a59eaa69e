"""Typical latencies of kinds of work, to compare single attempts with."""

from math import exp, log

__all__ = ["KindLatencies"]

TYPICAL_GAIN = 0.02
FIRST_SAMPLES = 50


class KindLatencies:
    """Learn the geometric mean latency of each kind of work.

    >>> latencies = KindLatencies()
    >>> for _ in range(50):
    ...     _ = latencies.log_ratio("slotsvc", "page", 40)
    >>> latencies.typical_ms("slotsvc", "page")
    40
    >>> round(latencies.log_ratio("slotsvc", "page", 80), 2)
    0.69
    """

    def __init__(self) -> None:
        self._typical: dict[tuple[str, str], tuple[float, int]] = {}

    def log_ratio(self, service: str, kind: str, latency_ms: int) -> float:
        """Return the log of the latency over the typical one, and learn from it."""
        sample = log(max(latency_ms, 1))
        typical, seen = self._typical.get((service, kind), (sample, 0))
        gain = max(TYPICAL_GAIN, 1.0 / (seen + 1))
        learned = typical + gain * (sample - typical)
        self._typical[service, kind] = learned, min(seen + 1, FIRST_SAMPLES)
        return sample - typical

    def typical_ms(self, service: str, kind: str) -> int:
        """Return the typical latency in ms, 0 for a kind not yet seen."""
        known = self._typical.get((service, kind))
        return 0 if known is None else round(exp(known[0]))
