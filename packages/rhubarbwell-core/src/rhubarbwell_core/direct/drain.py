"""Control which share of a service's requests is admitted, by its queue."""

from math import exp

__all__ = ["DrainControl"]

# Rate in 1/s at which the admitted share changes per unit of relative error. Reports of
# a change come back within about half a second.
GAIN_PER_S = 2.0
# Bounds of the relative error: a queue far above its target drains no sooner if nothing
# is admitted for long, as servers would then be idle.
MIN_ERROR, MAX_ERROR = -1.0, 1.0
MIN_ADMITTED_SHARE = 0.1
# Time constant of the mean wait over the reports of all servers.
WAIT_SMOOTHING_MS = 300.0
# Without a report for this time, the queue counts as empty.
MAX_SILENCE_MS = 1_000


class DrainControl:
    """Keep the admitted load below what the servers finish while the queue is long.

    Load reports of a server are old when there are many instances, and each instance
    alone would still send to it. All instances hear of the same queues, so that each of
    them lowers the share that it admits while the mean wait is above the target, and
    raises it while it is below.

    >>> control = DrainControl()
    >>> for now_ms in range(0, 1_000, 100):
    ...     control.record_wait(500.0, 100.0, now_ms)
    >>> control.admitted_share(1_000) < 0.5
    True
    >>> control.admitted_share(5_000)
    1.0
    """

    def __init__(self) -> None:
        self.mean_wait_ms = 0.0
        self._admitted = 1.0
        self._error = MIN_ERROR
        self._updated_ms: int | None = None
        self._reported_ms = 0

    def record_wait(self, wait_ms: float, target_ms: float, now_ms: int) -> None:
        """Record the wait at a server that reported its load, and the wanted wait."""
        self._advance(now_ms)
        elapsed_ms = now_ms - self._reported_ms
        weight = 1.0 - exp(-max(elapsed_ms, 20) / WAIT_SMOOTHING_MS)
        self.mean_wait_ms += weight * (wait_ms - self.mean_wait_ms)
        error = (self.mean_wait_ms - target_ms) / max(target_ms, 1.0)
        self._error = min(max(error, MIN_ERROR), MAX_ERROR)
        self._reported_ms = now_ms

    def admitted_share(self, now_ms: int) -> float:
        """Return the share of requests that may be admitted, 1 without a queue."""
        self._advance(now_ms)
        return self._admitted

    def _advance(self, now_ms: int) -> None:
        if self._updated_ms is None:
            self._updated_ms = now_ms
        heard_until_ms = self._reported_ms + MAX_SILENCE_MS
        heard_ms = min(now_ms, heard_until_ms) - self._updated_ms
        silent_ms = now_ms - max(self._updated_ms, heard_until_ms)
        self._change(self._error, max(heard_ms, 0))
        if silent_ms > 0:
            self._error = MIN_ERROR
            self.mean_wait_ms = 0.0
            self._change(MIN_ERROR, silent_ms)
        self._updated_ms = now_ms

    def _change(self, error: float, elapsed_ms: int) -> None:
        admitted = self._admitted * exp(-GAIN_PER_S * error * elapsed_ms / 1_000)
        self._admitted = min(max(admitted, MIN_ADMITTED_SHARE), 1.0)
