"""A circuit breaker that spares a platform that fails."""

from random import Random

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Refuse calls for a while after several failures in a row.

    After the pause one call probes; its success closes the circuit.

    >>> breaker = CircuitBreaker(Random(1), failures_to_open=2, open_duration_ms=1_000)
    >>> breaker.record_failure(0)
    >>> breaker.record_failure(10)
    >>> breaker.allow(20), breaker.allow(1_600), breaker.allow(1_601)
    (False, True, False)
    >>> breaker.record_success()
    >>> breaker.allow(1_700)
    True
    """

    def __init__(
        self, rng: Random, *, failures_to_open: int = 5, open_duration_ms: int = 2_000
    ) -> None:
        self._rng = rng
        self._failures_to_open = failures_to_open
        self._open_duration_ms = open_duration_ms
        self._failures = 0
        self._open_until_ms: float | None = None

    def allow(self, now_ms: float) -> bool:
        """Tell whether a call may be made; the one allowed after the pause probes."""
        if self._open_until_ms is None:
            return True
        if now_ms < self._open_until_ms:
            return False
        self._open(now_ms)
        return True

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._open_until_ms = None

    def record_failure(self, now_ms: float) -> None:
        """Count a failure; open the circuit after several in a row."""
        self._failures += 1
        if self._failures >= self._failures_to_open:
            self._open(now_ms)

    def _open(self, now_ms: float) -> None:
        self._open_until_ms = now_ms + self._open_duration_ms * self._rng.uniform(
            0.75, 1.25
        )
