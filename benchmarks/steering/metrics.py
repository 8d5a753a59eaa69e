"""Counts, latencies and peaks of a simulation run, by phase."""

from collections import Counter, defaultdict

from ddsketch import DDSketch
from rhubarbwell_core.model import Outcome, Rank

__all__ = ["RunMetrics"]

LATENCY_RELATIVE_ACCURACY = 0.01
BUCKET_MS = 1_000


class RunMetrics:
    """Store outcomes, latencies and peak loads by phase, service and rank.

    Worth is the value that a work kind gives each request. peak_shift_increase_per_s
    is the largest growth within a second of the share of a service's requests that
    an entry instance may send to other regions.
    """

    def __init__(self) -> None:
        self.phase = "warm-up"
        self.offered: Counter[tuple[str, str, Rank]] = Counter()
        self.served: Counter[tuple[str, str, Rank]] = Counter()
        self.outcomes: Counter[tuple[str, str, Rank, str]] = Counter()
        self.worth_offered: Counter[str] = Counter()
        self.worth_served: Counter[str] = Counter()
        self.first_attempts: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.link_bytes: Counter[tuple[str, str, int]] = Counter()
        self.served_per_s: Counter[tuple[str, int]] = Counter()
        self.peak_region_load: dict[tuple[str, str, str], float] = defaultdict(float)
        self.peak_receiving_region_load = 0.0
        self.peak_shift_increase_per_s = 0.0
        self.forwarded = 0
        self.latencies: dict[tuple[str, str, Rank], DDSketch] = defaultdict(
            lambda: DDSketch(LATENCY_RELATIVE_ACCURACY)
        )

    def record_offered(
        self, phase: str, service: str, rank: Rank, worth: float
    ) -> None:
        """Count a request that a caller sends."""
        self.offered[phase, service, rank] += 1
        self.worth_offered[phase] += worth  # type: ignore[assignment]

    def record_result(
        self,
        phase: str,
        service: str,
        rank: Rank,
        *,
        worth: float,
        outcome: Outcome,
        latency_ms: int,
        is_in_time: bool,
        now_ms: int,
    ) -> None:
        """Count a caller's outcome, and record the latency if the answer is in time."""
        self.outcomes[phase, service, rank, outcome.value] += 1
        if outcome is not Outcome.ANSWERED or not is_in_time:
            return
        self.served[phase, service, rank] += 1
        self.worth_served[phase] += worth  # type: ignore[assignment]
        self.latencies[phase, service, rank].add(latency_ms)
        self.served_per_s[service, now_ms // BUCKET_MS] += 1

    def record_forwarded_bytes(
        self, source: str, target: str, count: int, now_ms: int
    ) -> None:
        """Count bytes that one region sends to another."""
        self.link_bytes[source, target, now_ms // BUCKET_MS] += count

    def record_region_load(self, region: str, service: str, share: float) -> None:
        """Update the peak of a region's load on a service, as a share of its slots."""
        key = (self.phase, region, service)
        self.peak_region_load[key] = max(self.peak_region_load[key], share)

    def record_receiving_region_load(self, share: float) -> None:
        """Update the peak load of regions at the start of forwarded requests.

        The share is the region's load on the service, divided by its slots.
        """
        self.peak_receiving_region_load = max(self.peak_receiving_region_load, share)

    def peak_link_mbit_per_s(self) -> float:
        """Return the peak rate in Mbit/s of a link in one direction, over 1 s."""
        max_bytes = max(self.link_bytes.values(), default=0)
        return max_bytes * 8 / 1_000_000

    def quantile_ms(self, phase: str, service: str, rank: Rank, share: float) -> float:
        """Return a quantile of the latencies in ms, or 0 if no latency was recorded."""
        sketch = self.latencies.get((phase, service, rank))
        return (sketch.get_quantile_value(share) or 0.0) if sketch else 0.0

    def retry_amplification(self) -> float:
        """Return the ratio of all attempts to first attempts, or 0 without attempts."""
        first = sum(self.first_attempts.values())
        return sum(self.attempts.values()) / first if first else 0.0
