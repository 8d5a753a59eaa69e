"""A modelled backend server with slots, a short queue and faults."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from random import Random

from rhubarbwell_core.model import BackendSpec

from benchmarks.steering.clock import VirtualClock

__all__ = ["BackendState", "ModelledBackend", "ReportMode"]

QUEUE_PER_SLOT = 2
SPREAD = 0.5


class BackendState(Enum):
    """Tell how the server takes new connections."""

    UP = "up"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"


class ReportMode(Enum):
    """Tell what the server's load endpoint answers."""

    TRUE = "true"
    ZERO = "zero"
    FROZEN = "frozen"
    BUSY = "busy"
    NONE = "none"


class ModelledBackend:
    """Serve up to spec.slots requests at once, queue a few and shed the rest."""

    def __init__(self, spec: BackendSpec, clock: VirtualClock, rng: Random) -> None:
        self.spec = spec
        self.state = BackendState.UP
        self.reports = ReportMode.TRUE
        self.draining = False
        self.slow_factor = 1.0
        self.working_slots = spec.slots
        self.peak_load = 0
        self.last_offer_ms = 0
        self._clock = clock
        self._rng = rng
        self._running: set[str] = set()
        self._waiting: deque[tuple[str, int, Callable[[], None]]] = deque()
        self._frozen_load = 0

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def offer(
        self, attempt_id: str, mean_ms: int, on_answer: Callable[[], None]
    ) -> bool:
        """Start or queue a request; return False if it is shed."""
        if self.load >= self.spec.slots * (1 + QUEUE_PER_SLOT):
            return False
        self._waiting.append((attempt_id, mean_ms, on_answer))
        self.last_offer_ms = self._clock.now_ms
        self.peak_load = max(self.peak_load, self.load)
        self._start_waiting()
        return True

    def cancel(self, attempt_id: str) -> None:
        """Stop a request that waits or runs."""
        self._running.discard(attempt_id)
        kept = (entry for entry in self._waiting if entry[0] != attempt_id)
        self._waiting = deque(kept)
        self._start_waiting()

    def fail(self, state: BackendState) -> None:
        """Lose every request and take no new one until recover."""
        self.state = state
        self._running.clear()
        self._waiting.clear()

    def freeze_reports(self) -> None:
        """Report the present load from now on."""
        self._frozen_load = self.load
        self.reports = ReportMode.FROZEN

    def reported_load(self) -> int:
        """Return what the load endpoint answers."""
        answers = {
            ReportMode.ZERO: 0,
            ReportMode.FROZEN: self._frozen_load,
            ReportMode.BUSY: 3 * self.spec.slots,
        }
        return answers.get(self.reports, self.load)

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.working_slots:
            attempt_id, mean_ms, on_answer = self._waiting.popleft()
            self._running.add(attempt_id)
            mean_ms = mean_ms * self.slow_factor
            spread = self._rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
            service_ms = max(1, round(mean_ms * spread))
            self._clock.call_later(
                service_ms, lambda a=attempt_id, f=on_answer: self._finish(a, f)
            )

    def _finish(self, attempt_id: str, on_answer: Callable[[], None]) -> None:
        if attempt_id not in self._running:
            return
        self._running.discard(attempt_id)
        on_answer()
        self._start_waiting()
