"""Non-blocking JSON logging to standard output, limited in volume."""

import asyncio
import logging
import os
from collections import Counter
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

from rhubarbwell_entry.clocks import monotonic_ms

__all__ = ["BoundedLogHandler", "LogRateLimiter", "install_log_handler"]

STDOUT_FD = 1
FLUSH_S = 0.1
# Limits the lines that wait while the reader of standard output is slow.
MAX_BUFFER_BYTES = 256 << 10
# Fraction of the buffer that lines below WARNING may fill.
INFO_BUFFER_SHARE = 0.5
SUMMARY_PERIOD_MS = 5_000
# Lines of each event that are logged in any case in each period, so that rare events
# are not lost among the lines of requests.
RESERVED_LINES = 5
RESERVE_PERIOD_MS = 5_000
MS_PER_S = 1_000


class LogRateLimiter:
    """Limit the rate of log lines; WARNING and above have their own bucket.

    A full token bucket allows the lines of two seconds at once. The first
    RESERVED_LINES of each event in a period need no token.

    >>> rates = LogRateLimiter(info_per_s=1, warning_per_s=2, now_ms=0)
    >>> [rates.allow(logging.INFO, 0, "request") for _ in range(6)]
    [True, True, True, True, True, False]
    >>> rates.allow(logging.INFO, 0, "other")
    True
    """

    def __init__(
        self, *, info_per_s: float = 60.0, warning_per_s: float = 120.0, now_ms: int
    ) -> None:
        self._rates = {True: warning_per_s, False: info_per_s}
        self._tokens = {urgent: 2 * rate for urgent, rate in self._rates.items()}
        self._refilled_ms = now_ms
        self._period = 0
        self._counts = Counter[str]()

    def allow(self, level: int, now_ms: int, event: str) -> bool:
        """Return True and count a line of an event if it may be logged."""
        elapsed_s = (now_ms - self._refilled_ms) / MS_PER_S
        self._refilled_ms = now_ms
        for urgent, rate in self._rates.items():
            filled = self._tokens[urgent] + elapsed_s * rate
            self._tokens[urgent] = min(filled, 2 * rate)
        if (period := now_ms // RESERVE_PERIOD_MS) != self._period:
            self._period = period
            self._counts.clear()
        urgent = level >= logging.WARNING
        if self._tokens[urgent] >= 1.0:
            self._tokens[urgent] -= 1.0
        elif self._counts[event] >= RESERVED_LINES:
            return False
        self._counts[event] += 1
        return True


class BoundedLogHandler(logging.Handler):
    """Write JSON lines to a file descriptor from the event loop.

    Lines that exceed the rate or the buffer are dropped and counted by event; the
    counts are logged in a summary line once lines can be written again.
    """

    def __init__(
        self,
        fd: int = STDOUT_FD,
        *,
        rates: LogRateLimiter | None = None,
        clock_ms: Callable[[], int] = monotonic_ms,
    ) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock_ms = clock_ms
        self._rate_limiter = rates or LogRateLimiter(now_ms=clock_ms())
        self._buffer = bytearray()
        self._dropped_counts: Counter[str] = Counter()
        self._last_summary_ms = clock_ms()
        self._flush_scheduled = False
        self.setFormatter(
            JsonFormatter(
                "{levelname}{message}",
                style="{",
                rename_fields={"levelname": "level"},
                timestamp=True,
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if rate or buffer are exhausted."""
        now_ms = self._clock_ms()
        urgent = record.levelno >= logging.WARNING
        max_bytes = MAX_BUFFER_BYTES * (1.0 if urgent else INFO_BUFFER_SHARE)
        event = getattr(record, "event", record.name)
        if len(self._buffer) > max_bytes or not self._rate_limiter.allow(
            record.levelno, now_ms, event
        ):
            self._dropped_counts[event] += 1
            return
        self._queue_line(record)
        self._queue_summary(now_ms)
        if not self._flush_scheduled:
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        self._flush_scheduled = False
        try:
            while self._buffer:
                written = os.write(self._fd, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            self._schedule_flush()
        except OSError:
            # The reader has closed the pipe; the lines have no receiver.
            self._buffer.clear()

    def _queue_line(self, record: logging.LogRecord) -> None:
        self._buffer += self.format(record).encode() + b"\n"
        self._schedule_flush()

    def _queue_summary(self, now_ms: int) -> None:
        if (
            not self._dropped_counts
            or now_ms - self._last_summary_ms < SUMMARY_PERIOD_MS
        ):
            return
        self._last_summary_ms = now_ms
        counts, self._dropped_counts = dict(self._dropped_counts), Counter()
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            "log lines were left out to bound their volume",
            None,
            None,
        )
        record.event = "lines_left_out"
        record.counts = counts
        self._queue_line(record)

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop, emit() writes each line at once; what the
            # descriptor does not accept is written with the next line.
            return
        self._flush_scheduled = True
        loop.call_later(FLUSH_S, self.flush)


def install_log_handler(level: int = logging.INFO) -> BoundedLogHandler:
    """Route all logs to standard output and return the bounded handler."""
    handler = BoundedLogHandler()
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler
