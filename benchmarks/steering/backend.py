"""Simulated backend server with slots, a short queue and faults."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from random import Random

from rhubarbwell_core.model import BackendSpec

from benchmarks.steering.clock import VirtualClock

__all__ = ["BackendState", "ReportMode", "SimulatedBackend"]

MAX_QUEUED_PER_SLOT = 2
SERVICE_TIME_SIGMA = 0.5  # of the log-normal distribution of service times


class BackendState(Enum):
    """Represent how a backend server answers new connections."""

    UP = "up"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"


class ReportMode(Enum):
    """Represent what a backend server's load endpoint reports."""

    ACCURATE = "accurate"
    ZERO = "zero"
    FROZEN = "frozen"
    BUSY = "busy"
    NONE = "none"


class SimulatedBackend:
    """Serve up to spec.slots requests at once, queue a few and shed the rest."""

    def __init__(self, spec: BackendSpec, clock: VirtualClock, rng: Random) -> None:
        self.spec = spec
        self.state = BackendState.UP
        self.report_mode = ReportMode.ACCURATE
        self.draining = False
        self.slow_factor = 1.0
        self.working_slots = spec.slots
        self.peak_load = 0
        self.last_accepted_ms = 0
        self._clock = clock
        self._rng = rng
        self._running: set[str] = set()
        self._queue: deque[tuple[str, int, Callable[[], None]]] = deque()
        self._frozen_load = 0

    @property
    def load(self) -> int:
        """Return the number of requests that run or wait in the queue."""
        return len(self._running) + len(self._queue)

    def offer(
        self, attempt_id: str, mean_ms: int, on_answer: Callable[[], None]
    ) -> bool:
        """Start or queue a request; return False if the queue is full."""
        if self.load >= self.spec.slots * (1 + MAX_QUEUED_PER_SLOT):
            return False
        self._queue.append((attempt_id, mean_ms, on_answer))
        self.last_accepted_ms = self._clock.now_ms
        self.peak_load = max(self.peak_load, self.load)
        self._start_queued()
        return True

    def cancel(self, attempt_id: str) -> None:
        """Remove a running or queued request and start queued ones."""
        self._running.discard(attempt_id)
        remaining = (queued for queued in self._queue if queued[0] != attempt_id)
        self._queue = deque(remaining)
        self._start_queued()

    def fail(self, state: BackendState) -> None:
        """Drop every request and enter the given state."""
        self.state = state
        self._running.clear()
        self._queue.clear()

    def freeze_reports(self) -> None:
        """Report the current load from now on, whatever the load becomes."""
        self._frozen_load = self.load
        self.report_mode = ReportMode.FROZEN

    def reported_load(self) -> int:
        """Return the load that the load endpoint reports in the current mode."""
        load_by_mode = {
            ReportMode.ZERO: 0,
            ReportMode.FROZEN: self._frozen_load,
            ReportMode.BUSY: 3 * self.spec.slots,
        }
        return load_by_mode.get(self.report_mode, self.load)

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.working_slots:
            attempt_id, mean_ms, on_answer = self._queue.popleft()
            self._running.add(attempt_id)
            mean_ms = mean_ms * self.slow_factor
            # A log-normal variate with mu = -sigma**2 / 2 has a mean of 1.
            time_factor = self._rng.lognormvariate(
                -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
            )
            service_ms = max(1, round(mean_ms * time_factor))
            self._clock.call_later(
                service_ms, lambda a=attempt_id, f=on_answer: self._finish(a, f)
            )

    def _finish(self, attempt_id: str, on_answer: Callable[[], None]) -> None:
        if attempt_id not in self._running:
            return
        self._running.discard(attempt_id)
        on_answer()
        self._start_queued()
