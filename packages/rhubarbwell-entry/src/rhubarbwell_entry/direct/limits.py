"""Metrics and log lines of the learned concurrency limits of backend servers."""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from opentelemetry.metrics import Observation
from rhubarbwell_core.direct import BackendState, BackendTable

from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.meters import MeterRegistry

__all__ = ["ConcurrencyWatch"]

_log = logging.getLogger(__name__)

# Change of a limit that is logged, as a factor. Limits vary by less with chance.
MIN_LOGGED_CHANGE = 1.5
# Shortest time between two lines on one server, and most lines of one check.
MIN_LOG_PERIOD_MS = 3_000
MAX_LINES_PER_CHECK = 3
# Share of its slots below which a server counts as limited.
LIMITED_SHARE = 0.85


class _LoggedLimit(NamedTuple):
    limit: float
    logged_ms: int


class ConcurrencyWatch:
    """Report the learned limits by service, and log marked changes by server.

    Servers whose limits are not learned are left out.
    """

    def __init__(self, backends: BackendTable, clock_ms: Callable[[], int]) -> None:
        self._backends = backends
        self._clock_ms = clock_ms
        # Limits that were logged last; servers without a line had all their slots.
        self._logged: dict[str, _LoggedLimit] = {}

    def add_gauges(self, metrics: MeterRegistry) -> None:
        """Add gauges whose number of series is the number of services."""
        metrics.add_gauge(
            "rhubarbwell.concurrency.limit",
            "{request}",
            "Sum of the learned concurrency limits of a service's servers.",
            lambda: self._observe(lambda state, limit: limit),
        )
        metrics.add_gauge(
            "rhubarbwell.concurrency.slots",
            "{slot}",
            "Sum of the slots of a service's servers.",
            lambda: self._observe(lambda state, limit: state.entry.slots),
        )
        metrics.add_gauge(
            "rhubarbwell.concurrency.limited",
            "{server}",
            "Servers whose learned limit is clearly below their slots.",
            lambda: self._observe(lambda state, limit: int(_is_limited(state, limit))),
        )

    def _observe(
        self, value: Callable[[BackendState, float], float]
    ) -> Iterable[Observation]:
        now_ms = self._clock_ms()
        sums: dict[str, float] = {}
        for state in self._backends.rows.rows():
            if state.concurrency is None:
                continue
            service = state.entry.service
            measured = value(state, state.concurrency_limit(now_ms))
            sums[service] = sums.get(service, 0.0) + measured
        return [Observation(total, {"service": name}) for name, total in sums.items()]

    def log_changes(self, now_ms: int) -> None:
        """Log the limits that have changed markedly since their last line."""
        lines = 0
        known = self._logged
        self._logged = {}
        for backend_id, state in self._backends.rows.items():
            if state.concurrency is None:
                continue
            logged = known.get(backend_id)
            limit = state.concurrency_limit(now_ms)
            if lines < MAX_LINES_PER_CHECK and _has_changed(state, logged, now_ms):
                lines += 1
                self._log_limit(backend_id, state, logged, limit)
                logged = _LoggedLimit(limit, now_ms)
            if logged is not None:
                self._logged[backend_id] = logged

    def _log_limit(
        self,
        backend_id: str,
        state: BackendState,
        logged: _LoggedLimit | None,
        limit: float,
    ) -> None:
        slots = state.entry.slots
        log_event(
            _log,
            logging.INFO,
            "concurrency_limit_changed",
            "the learned concurrency limit of a backend server has changed",
            backend_id=backend_id,
            service=state.entry.service,
            zone=state.entry.zone,
            limit=round(limit, 1),
            limit_before=round(slots if logged is None else logged.limit, 1),
            slots=slots,
        )


def _is_limited(state: BackendState, limit: float) -> bool:
    return limit < LIMITED_SHARE * state.entry.slots


def _has_changed(state: BackendState, logged: _LoggedLimit | None, now_ms: int) -> bool:
    limit = state.concurrency_limit(now_ms)
    before = float(state.entry.slots)
    if logged is not None:
        if now_ms - logged.logged_ms < MIN_LOG_PERIOD_MS:
            return False
        before = logged.limit
    return not before / MIN_LOGGED_CHANGE < limit < before * MIN_LOGGED_CHANGE
