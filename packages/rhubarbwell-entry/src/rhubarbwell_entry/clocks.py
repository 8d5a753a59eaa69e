"""Provide the clock of an entry instance."""

import time

__all__ = ["monotonic_ms"]


def monotonic_ms() -> int:
    """Return the time of the monotonic clock in ms."""
    return time.monotonic_ns() // 1_000_000
