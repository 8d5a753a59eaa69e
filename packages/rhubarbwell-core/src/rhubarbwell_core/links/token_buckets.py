"""Token buckets that limit bytes to a granted rate."""

__all__ = ["TokenBucket"]

BURST_MS = 100


class TokenBucket:
    """Limit small messages to a rate, part of which can be reserved for large ones.

    A message may overdraw the bucket; the next then waits until the balance is
    positive again.

    >>> bucket = TokenBucket()
    >>> bucket.set_rate(1_000_000, now_ms=0)
    >>> bucket.charge(300_000), bucket.has_credit(100), bucket.has_credit(300)
    (None, False, True)
    """

    def __init__(self) -> None:
        self._rate = 0
        self._reserved = 0
        self._balance = 0.0
        self._refilled_ms = 0

    def set_rate(self, bytes_per_s: int, now_ms: int) -> None:
        """Set the rate in bytes/s; a change from 0 adds one burst to the balance."""
        self._refill(now_ms)
        if self._rate == 0:
            self._balance = min(self._balance, 0.0) + bytes_per_s * BURST_MS / 1_000
        self._rate = bytes_per_s
        self._balance = min(self._balance, self._burst())

    def has_credit(self, now_ms: int) -> bool:
        """Return True if a message may be sent at now_ms."""
        self._refill(now_ms)
        return self._balance > 0.0

    def charge(self, count: int) -> None:
        """Subtract the bytes of a message from the balance."""
        self._balance -= count

    def can_reserve(self, bytes_per_s: int) -> bool:
        """Return True if a paced message of the rate fits in the unreserved rate."""
        return 0 < bytes_per_s <= self._rate - self._reserved

    def reserve(self, bytes_per_s: int, now_ms: int) -> None:
        """Reserve a rate in bytes/s for a paced message."""
        self._refill(now_ms)
        self._reserved += bytes_per_s

    def release(self, bytes_per_s: int, now_ms: int) -> None:
        """Release the rate of a paced message that has ended."""
        self._refill(now_ms)
        self._reserved -= bytes_per_s

    def _refill(self, now_ms: int) -> None:
        free = max(0, self._rate - self._reserved)
        earned = free * max(0, now_ms - self._refilled_ms) / 1_000
        self._balance = min(self._burst(), self._balance + earned)
        self._refilled_ms = max(self._refilled_ms, now_ms)

    def _burst(self) -> float:
        return self._rate * BURST_MS / 1_000
