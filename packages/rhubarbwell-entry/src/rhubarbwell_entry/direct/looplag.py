"""How late the event loop runs what is due."""

__all__ = ["LoopLag"]

# Part of a measured delay in the average; ticks come four times a second.
SMOOTHING_FACTOR = 0.2
# A request passes the loop about six times; beyond this it loses its objective there.
BUSY_LAG_MS = 40.0


class LoopLag:
    """Average the delays with which an event loop wakes its timers.

    >>> lag = LoopLag()
    >>> for _ in range(20):
    ...     lag.record_delay(100)
    >>> lag.is_busy
    True
    """

    def __init__(self) -> None:
        self.average_ms = 0.0

    def record_delay(self, delay_ms: float) -> None:
        """Note a timer that came late_ms after its time."""
        self.average_ms += SMOOTHING_FACTOR * (max(delay_ms, 0.0) - self.average_ms)

    @property
    def is_busy(self) -> bool:
        """Tell whether the loop lags so much that other instances are better."""
        return self.average_ms > BUSY_LAG_MS
