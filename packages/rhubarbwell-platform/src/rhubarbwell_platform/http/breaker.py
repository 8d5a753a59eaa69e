"""Circuit breaker for calls to the platform."""

from random import Random

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Refuse calls for open_duration_ms after consecutive failures.

    The duration varies at random by up to a quarter. One call is then let through as
    a probe; its success closes the circuit.

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
        """Return True if a call may be made.

        The call that is allowed while the circuit is open is a probe: further calls
        are refused until it succeeds or another pause has passed.
        """
        if self._open_until_ms is None:
            return True
        if now_ms < self._open_until_ms:
            return False
        self._open_circuit(now_ms)
        return True

    def record_success(self) -> None:
        """Reset the count of failures and close the circuit."""
        self._failures = 0
        self._open_until_ms = None

    def record_failure(self, now_ms: float) -> None:
        """Count a failure and open the circuit after failures_to_open in a row."""
        self._failures += 1
        if self._failures >= self._failures_to_open:
            self._open_circuit(now_ms)

    def _open_circuit(self, now_ms: float) -> None:
        self._open_until_ms = now_ms + self._open_duration_ms * self._rng.uniform(
            0.75, 1.25
        )
