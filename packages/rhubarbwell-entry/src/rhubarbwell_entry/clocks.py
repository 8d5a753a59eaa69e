"""Provide the clocks of an entry instance."""

import time

__all__ = ["monotonic_ms", "suspended_ms", "unix_ms"]


def monotonic_ms() -> int:
    """Return the time of the monotonic clock in ms."""
    return time.monotonic_ns() // 1_000_000


def suspended_ms() -> int:
    """Return for how many ms the machine was suspended since it started.

    The monotonic clock stands still in that time.
    """
    elapsed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (elapsed_ns - time.monotonic_ns()) // 1_000_000


def unix_ms() -> int:
    """Return the time of day in ms since 1970."""
    return time.time_ns() // 1_000_000
