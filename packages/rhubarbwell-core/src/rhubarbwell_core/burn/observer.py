"""Classification of ended requests for the report on error budget burn."""

from typing import NamedTuple

from rhubarbwell_core.burn.series import BurnSeries
from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import EndRequest, RequestArrived
from rhubarbwell_core.model import Configuration, Outcome, Rank, Reason, WorkKind

__all__ = ["BurnObserver", "EndedRequest", "SeriesKey"]

MIN_SERVER_ERROR_STATUS = 500


class SeriesKey(NamedTuple):
    """Identify a series by the service and rank that it counts."""

    service: str
    rank: Rank


class EndedRequest(NamedTuple):
    """Describe an ended request; cause is None for a good request."""

    key: SeriesKey
    outcome: Outcome
    reason: Reason
    cause: Reason | None
    latency_ms: int


class _OpenRequest(NamedTuple):
    key: SeriesKey
    arrived_ms: int
    deadline_ms: int
    allowed_bad: float


class BurnObserver:
    """Count each request once, when it ends, as good or as bad with its cause."""

    def __init__(self) -> None:
        self.series = Table[SeriesKey, BurnSeries]("burn series")
        self._open = Table[int, _OpenRequest]("observed requests")
        self._kinds: dict[tuple[str, str], WorkKind] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the objectives of the configuration and drop removed services."""
        self._kinds = {
            (service.name, kind.name): kind
            for service in configuration.services.values()
            for kind in service.kinds
        }
        for key, _ in self.series.items():
            if key.service not in configuration.services:
                self.series.remove(key)

    def record_arrival(self, event: RequestArrived, now_ms: int) -> None:
        """Record a request's arrival unless a peer forwarded it and so counts it."""
        kind = self._kinds.get((event.service, event.kind))
        if event.forwarded is not None or kind is None:
            return
        key = SeriesKey(event.service, event.rank)
        allowed_bad = 1.0 - kind.objective
        row = _OpenRequest(key, now_ms, event.deadline_ms, allowed_bad)
        self._open.put(event.request_id, row)

    def record_end(
        self, end: EndRequest, now_ms: int, *, status: int | None = None
    ) -> EndedRequest | None:
        """Count and return an ended request, or None if its arrival is not recorded."""
        row = self._open.remove(end.request_id)
        if row is None:
            return None
        latency_ms = now_ms - row.arrived_ms
        cause = _cause_if_bad(end, row.deadline_ms, now_ms, status)
        series = self.series.get(row.key)
        if series is None:
            series = BurnSeries()
            self.series.insert(row.key, series)
        series.add(
            cause, allowed_bad=row.allowed_bad, latency_ms=latency_ms, now_ms=now_ms
        )
        return EndedRequest(row.key, end.outcome, end.reason, cause, latency_ms)


def _cause_if_bad(
    end: EndRequest, deadline_ms: int, now_ms: int, status: int | None
) -> Reason | None:
    if end.reason is Reason.CALLER_GONE:
        return None
    if end.outcome is not Outcome.ANSWERED:
        return end.reason
    if status is not None and status >= MIN_SERVER_ERROR_STATUS:
        return Reason.BACKEND_FAILED
    return Reason.DEADLINE if now_ms > deadline_ms else None
