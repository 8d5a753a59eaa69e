"""Measurement of event loop lag."""

__all__ = ["LoopLag"]

# Weight of a new delay in the moving average; timers fire four times a second.
SMOOTHING_FACTOR = 0.2
# A request passes the loop about six times; a longer lag costs it its latency
# objective.
BUSY_LAG_MS = 40.0


class LoopLag:
    """Hold a moving average of the delay, in ms, of the event loop's timers.

    >>> lag = LoopLag()
    >>> for _ in range(20):
    ...     lag.record_delay(100)
    >>> lag.is_busy
    True
    """

    def __init__(self) -> None:
        self.average_ms = 0.0

    def record_delay(self, delay_ms: float) -> None:
        """Add the delay of one timer, in ms, to the average."""
        self.average_ms += SMOOTHING_FACTOR * (max(delay_ms, 0.0) - self.average_ms)

    @property
    def is_busy(self) -> bool:
        """Return True if the lag is so high that callers should use other instances."""
        return self.average_ms > BUSY_LAG_MS
