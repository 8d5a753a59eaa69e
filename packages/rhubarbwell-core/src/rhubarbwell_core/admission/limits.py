"""Adapt limits on concurrent requests to latencies and shed requests."""

from math import log
from typing import NamedTuple

from rhubarbwell_core.routing.latencies import LatencyFloors

__all__ = ["AdaptiveLimit", "SlotUsage"]

MIN_WINDOW_MS = 500
MAX_WINDOW_MS = 3_000
MIN_SAMPLES = 30
# Enough for a window that has lasted MAX_WINDOW_MS.
MIN_SAMPLES_AFTER_MAX_WINDOW = 5
# Mean log of latency over its floor in a window.
CONGESTED_LOG_RATIO = log(1.5)
UNCONGESTED_LOG_RATIO = log(1.3)
CONGESTED_SHED_SHARE = 0.05
DECREASE_FACTOR = 0.75
GROWTH_PER_WINDOW = 0.1
# Others may exceed their part by this much before this share counts as taken.
SHARE_TOLERANCE_SLOTS = 0.5
# An instance that uses this part of its limit for CLAIM_AFTER_MS claims more slots.
BUSY_SHARE = 0.8
CLAIM_AFTER_MS = 3_000
# For this many windows of growth the limit stays below its last congested value.
CONGESTION_MEMORY_WINDOWS = 10
# A decrease that lowers the log ratio by less than this has not helped.
MIN_IMPROVEMENT_LOG_RATIO = 0.1


class SlotUsage(NamedTuple):
    """Represent the use of a region's slots by this instance and the others.

    members is the number of instances that share the region; claimants is the number
    of them that want more slots, including this one.
    """

    own: float
    others: float
    members: int
    claimants: int


class _Decrease(NamedTuple):
    value: float
    log_ratio: float


class AdaptiveLimit:
    """Limit the concurrent requests of a service from one entry instance.

    The share is what the instance may use while the other instances use theirs. The
    limit rises above it, up to the ceiling, while others leave slots unused.
    """

    def __init__(self, floors: LatencyFloors, *, now_ms: int) -> None:
        self.value = 0.0
        self._share = 0
        self._ceiling = 0
        self._floors = floors
        self._window_start_ms = now_ms
        self._samples = 0
        self._sheds = 0
        self._was_limit_reached = False
        self._last_decrease: _Decrease | None = None
        self._congested_value = float("inf")
        self._windows_since_congestion = 0
        self._busy_since_ms = now_ms

    @property
    def slots(self) -> int:
        """Return the limit in whole requests."""
        return min(max(int(self.value), 1), self._ceiling)

    @property
    def share(self) -> int:
        """Return this instance's even part of the region's slots."""
        return self._share

    def set_bounds(self, *, share: int, ceiling: int) -> None:
        """Set the bounds and scale the limit in proportion to the share."""
        if share != self._share:
            scale = share / self._share if self._share else 0.0
            self.value = self.value * scale if scale else float(share)
        self._share = share
        self._ceiling = ceiling
        self.value = min(self.value, float(ceiling))

    def record_limit_reached(self) -> None:
        """Record that a request could not start because the limit was reached."""
        self._was_limit_reached = True

    def observe_answer(self) -> None:
        """Count an answered attempt."""
        self._samples += 1

    def observe_shed(self) -> None:
        """Count an attempt that was shed or timed out."""
        self._samples += 1
        self._sheds += 1

    def adjust(self, now_ms: int, *, usage: SlotUsage | None) -> None:
        """Update the limit once the window holds enough attempts.

        Each call also bounds the limit by this instance's use plus its part of the free
        slots, but not below the share. usage is None if no recent report gives it; the
        limit then does not grow beyond the share.
        """
        self._update_busy_since(usage, now_ms)
        upper_bound = max(float(self._share), self._upper_bound(usage, now_ms))
        self.value = min(self.value, upper_bound)
        age_ms = now_ms - self._window_start_ms
        needed = MIN_SAMPLES if age_ms < MAX_WINDOW_MS else MIN_SAMPLES_AFTER_MAX_WINDOW
        if age_ms < MIN_WINDOW_MS or self._samples < needed:
            return
        self._update_value(
            self._floors.close_window(), upper_bound, self._is_share_taken(usage)
        )
        self._window_start_ms = now_ms
        self._samples = self._sheds = 0
        self._was_limit_reached = False

    def _update_busy_since(self, usage: SlotUsage | None, now_ms: int) -> None:
        if usage is None or usage.own < BUSY_SHARE * self.slots:
            self._busy_since_ms = now_ms

    def _upper_bound(self, usage: SlotUsage | None, now_ms: int) -> float:
        if usage is None:
            return self.value
        free = self._ceiling - usage.others - usage.own
        is_claimant = now_ms - self._busy_since_ms >= CLAIM_AFTER_MS
        claimants = usage.claimants if is_claimant else usage.members
        free_share = free / claimants if free > 0.0 else free
        return min(float(self._ceiling), usage.own + free_share)

    def _is_share_taken(self, usage: SlotUsage | None) -> bool:
        if usage is None:
            return False
        return usage.others > self._ceiling - self._share + SHARE_TOLERANCE_SLOTS

    def _update_value(
        self, log_ratio: float, upper_bound: float, is_share_taken: bool
    ) -> None:
        if is_share_taken and self.value < self._share:
            self._last_decrease = None
            self.value = float(self._share)
        elif self._sheds > CONGESTED_SHED_SHARE * self._samples:
            self._last_decrease = None
            self._decrease_value()
        elif log_ratio > CONGESTED_LOG_RATIO:
            self._decrease_for_latency(log_ratio, is_share_taken)
        elif self._was_limit_reached and log_ratio < UNCONGESTED_LOG_RATIO:
            self._last_decrease = None
            grown = self.value + max(1.0, GROWTH_PER_WINDOW * self.value)
            self.value = max(
                self.value, min(upper_bound, grown, self._next_congestion_bound())
            )

    def _decrease_for_latency(self, log_ratio: float, is_share_taken: bool) -> None:
        if is_share_taken and self.value <= self._share:
            return
        last = self._last_decrease
        # The last decrease did not help: undo it and take this latency as the floor.
        if last is not None and log_ratio > last.log_ratio - MIN_IMPROVEMENT_LOG_RATIO:
            self._floors.raise_all(log_ratio)
            self.value = last.value
            self._last_decrease = None
            self._congested_value = float("inf")
            return
        self._last_decrease = _Decrease(self.value, log_ratio)
        if self.value <= self._share:
            self._congested_value = self.value
            self._windows_since_congestion = 0
        self._decrease_value()

    def _next_congestion_bound(self) -> float:
        self._windows_since_congestion += 1
        if self._windows_since_congestion > CONGESTION_MEMORY_WINDOWS:
            self._congested_value = float("inf")
        return self._congested_value - 1.0

    def _decrease_value(self) -> None:
        lowest = self._share if self.value > self._share else self._share / 4
        self.value = max(float(lowest), self.value * DECREASE_FACTOR)
