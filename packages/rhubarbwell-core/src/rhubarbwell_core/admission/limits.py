"""Adaptive limits on concurrent requests, from latencies and sheds."""

from math import log
from typing import NamedTuple

from rhubarbwell_core.routing.latencies import LatencyFloors

__all__ = ["AdaptiveLimit", "SlotUsage"]

MIN_WINDOW_MS = 500
MAX_WINDOW_MS = 3_000
MIN_SAMPLES = 30
MIN_SAMPLES_OF_LONG_WINDOW = 5
CONGESTED_LOG_RATIO = log(1.5)
CALM_LOG_RATIO = log(1.3)
CONGESTED_SHED_SHARE = 0.05
DECREASE = 0.75
GROWTH = 0.1
CROWDING_SLOTS = 0.5
BUSY_SHARE = 0.8
CLAIM_AFTER_MS = 3_000
REMEMBERED_WINDOWS = 10
SAME_LOG_RATIO = 0.1


class SlotUsage(NamedTuple):
    """Give the slots of a region that an instance and the others use.

    members share the region; claimants are those that want more slots, this
    instance included.
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

    The share is what the instance may use while the other instances use theirs;
    it takes more, up to the ceiling, while nobody else does.
    """

    def __init__(self, floors: LatencyFloors, *, now_ms: int) -> None:
        self.value = 0.0
        self._share = 0
        self._ceiling = 0
        self._floors = floors
        self._opened_ms = now_ms
        self._samples = 0
        self._sheds = 0
        self._was_full = False
        self._decrease: _Decrease | None = None
        self._congested = float("inf")
        self._windows_since = 0
        self._busy_since_ms = now_ms

    @property
    def slots(self) -> int:
        """Return the limit in whole requests."""
        return min(max(int(self.value), 1), self._ceiling)

    @property
    def share(self) -> int:
        """Return the part of the slots that other instances leave alone."""
        return self._share

    def set_bounds(self, *, share: int, ceiling: int) -> None:
        """Keep the limit's place between the share and the ceiling as they change."""
        if share != self._share:
            scale = share / self._share if self._share else 0.0
            self.value = self.value * scale if scale else float(share)
        self._share = share
        self._ceiling = ceiling
        self.value = min(self.value, float(ceiling))

    def note_full(self) -> None:
        """Note that a request had to wait for the limit."""
        self._was_full = True

    def observe_answer(self) -> None:
        """Count an answer."""
        self._samples += 1

    def observe_shed(self) -> None:
        """Take in an attempt that was shed or timed out."""
        self._samples += 1
        self._sheds += 1

    def adjust(self, now_ms: int, *, usage: SlotUsage | None) -> None:
        """Move the limit once enough attempts have ended; usage None is unknown."""
        self._note_use(usage, now_ms)
        top = max(float(self._share), self._top(usage, now_ms))
        self.value = min(self.value, top)
        age_ms = now_ms - self._opened_ms
        needed = MIN_SAMPLES if age_ms < MAX_WINDOW_MS else MIN_SAMPLES_OF_LONG_WINDOW
        if age_ms < MIN_WINDOW_MS or self._samples < needed:
            return
        self._move(self._floors.close_window(), top, self._is_crowded(usage))
        self._opened_ms = now_ms
        self._samples = self._sheds = 0
        self._was_full = False

    def _note_use(self, usage: SlotUsage | None, now_ms: int) -> None:
        if usage is None or usage.own < BUSY_SHARE * self.slots:
            self._busy_since_ms = now_ms

    def _top(self, usage: SlotUsage | None, now_ms: int) -> float:
        if usage is None:
            return self.value
        free = self._ceiling - usage.others - usage.own
        is_long_busy = now_ms - self._busy_since_ms >= CLAIM_AFTER_MS
        claimants = usage.claimants if is_long_busy else usage.members
        part = free / claimants if free > 0.0 else free
        return min(float(self._ceiling), usage.own + part)

    def _is_crowded(self, usage: SlotUsage | None) -> bool:
        if usage is None:
            return False
        return usage.others > self._ceiling - self._share + CROWDING_SLOTS

    def _move(self, log_ratio: float, top: float, is_crowded: bool) -> None:
        if is_crowded and self.value < self._share:
            self._decrease = None
            self.value = float(self._share)
        elif self._sheds > CONGESTED_SHED_SHARE * self._samples:
            self._decrease = None
            self._lower()
        elif log_ratio > CONGESTED_LOG_RATIO:
            self._lower_for_latency(log_ratio, is_crowded)
        elif self._was_full and log_ratio < CALM_LOG_RATIO:
            self._decrease = None
            grown = self.value + max(1.0, GROWTH * self.value)
            self.value = max(self.value, min(top, grown, self._known_top()))

    def _lower_for_latency(self, log_ratio: float, is_crowded: bool) -> None:
        if is_crowded and self.value <= self._share:
            return
        last = self._decrease
        if last is not None and log_ratio > last.log_ratio - SAME_LOG_RATIO:
            self._floors.raise_all(log_ratio)
            self.value = last.value
            self._decrease = None
            self._congested = float("inf")
            return
        self._decrease = _Decrease(self.value, log_ratio)
        if self.value <= self._share:
            self._congested = self.value
            self._windows_since = 0
        self._lower()

    def _known_top(self) -> float:
        self._windows_since += 1
        if self._windows_since > REMEMBERED_WINDOWS:
            self._congested = float("inf")
        return self._congested - 1.0

    def _lower(self) -> None:
        lowest = self._share if self.value > self._share else self._share / 4
        self.value = max(float(lowest), self.value * DECREASE)
