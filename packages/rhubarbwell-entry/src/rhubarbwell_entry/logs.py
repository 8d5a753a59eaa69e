"""Log records with an event name and limit their rate."""

import logging
from collections.abc import Callable

from rhubarbwell_entry.clocks import monotonic_ms

__all__ = ["EventRateFilter", "log_event", "log_exception"]

MAX_EVENTS_PER_WINDOW = 20
WINDOW_MS = 10_000


def log_event(
    log: logging.Logger,
    level: int,
    event: str,
    message: str,
    **fields: object,
) -> None:
    """Log a message under an event name with its fields."""
    log.log(level, message, extra={"event": event, **fields})


def log_exception(
    log: logging.Logger, event: str, message: str, exc: Exception, **fields: object
) -> None:
    """Log an unexpected exception under an event name, with its traceback."""
    extra = {"event": event, "error": repr(exc), **fields}
    log.error(message, exc_info=exc, extra=extra)


class EventRateFilter(logging.Filter):
    """Limit the number of log records of each event in a time window.

    Records without an event name are counted under the name of their logger.
    The first record in a later window holds the number of dropped ones as left_out.
    """

    def __init__(
        self,
        *,
        max_events: int = MAX_EVENTS_PER_WINDOW,
        window_ms: int = WINDOW_MS,
        clock_ms: Callable[[], int] = monotonic_ms,
    ) -> None:
        super().__init__()
        self._max_events = max_events
        self._window_ms = window_ms
        self._clock_ms = clock_ms
        self._window = -1
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return True if the record is within the limit of its event."""
        self._roll_window()
        event = getattr(record, "event", record.name)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > self._max_events:
            return False
        left_out = self._left_out.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True

    def _roll_window(self) -> None:
        window = self._clock_ms() // self._window_ms
        if window == self._window:
            return
        self._window = window
        for event, count in self._counts.items():
            excess = max(0, count - self._max_events)
            self._left_out[event] = self._left_out.get(event, 0) + excess
        self._counts = {}
