"""Estimate how fast the machine of a backend server works from its load reports."""

from math import exp, exp2

__all__ = ["MachinePace"]

# Time over which the reported pace changes. A report says little about what comes
# later, and a request that runs much longer meets about the average pace.
CORRELATION_MS = 200.0
# Weight of a new report in the moving average, which covers about five reports: an
# instance gets 2 to 5 a second from a server that it uses.
PACE_SMOOTHING = 0.2
# The average counts in full up to this age, the usual time between two reports. Later
# it returns to the usual pace, so that a machine which was slow is tried again.
FULL_WEIGHT_MS = 1_000
PACE_HALF_LIFE_MS = 2_000.0
# Bounds of one report: a stall says nothing about a machine's pace.
MAX_PACE = 20.0
MIN_PACE = 0.2


class MachinePace:
    """Estimate the pace of one machine: the time that work takes there, 1.0 is usual.

    The estimate consists of a moving average and of the last report's deviation from
    it. The deviation loses weight with the report's age, and the longer the work lasts.
    Without reports, the estimate is exactly 1.0.

    >>> pace = MachinePace()
    >>> pace.expected(300.0, 0)
    1.0
    >>> for now_ms in range(0, 9_000, 300):
    ...     pace.record(2.0, now_ms)
    >>> round(pace.expected(300.0, 8_700), 2)
    2.0
    """

    __slots__ = ("_average", "_last", "_reported_at_ms")

    def __init__(self) -> None:
        self._average = 1.0
        self._last = 1.0
        self._reported_at_ms = 0

    def record(self, pace: float | None, now_ms: int) -> None:
        """Record the pace that an answer reported, None if it reported none."""
        if pace is None:
            return
        pace = min(max(pace, MIN_PACE), MAX_PACE)
        known = self.average(now_ms)
        self._average = known + PACE_SMOOTHING * (pace - known)
        self._last = pace
        self._reported_at_ms = now_ms

    def average(self, now_ms: int) -> float:
        """Return the average pace, which returns to 1.0 without new reports."""
        old_ms = max(now_ms - self._reported_at_ms - FULL_WEIGHT_MS, 0)
        faded = exp2(-old_ms / PACE_HALF_LIFE_MS)
        return 1.0 + (self._average - 1.0) * faded

    def expected(self, work_ms: float, now_ms: int) -> float:
        """Return the mean pace of work that takes work_ms and starts now.

        Directly after a report it is also the mean pace of work that has just ended,
        as changes that fade over a time do so in both directions.
        """
        average = self.average(now_ms)
        # Mean over the work of a deviation that fades exponentially.
        periods = max(work_ms, 1.0) / CORRELATION_MS
        share = (1.0 - exp(-periods)) / periods
        share *= exp(-max(now_ms - self._reported_at_ms, 0) / CORRELATION_MS)
        return average + share * (self._last - average)
