"""Pause backend servers after failed attempts and return them to use."""

from rhubarbwell_core.messages import AttemptEnd, AttemptEnded
from rhubarbwell_core.routing.loads import BackendRow

__all__ = ["row_after_attempt", "is_usable"]

FAILURES_TO_PAUSE = 3
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 10_000
FIRST_SHED_PAUSE_MS = 20
MAX_SHED_PAUSE_MS = 640
FRESH_CONNECTIONS_MS = 5_000
SLOWNESS_GAIN = 0.1
MAX_SLOWNESS = 2.0

_REQUEST_FAILURES = frozenset(
    {
        AttemptEnd.RESET_BEFORE_ANSWER,
        AttemptEnd.RESET_AFTER_HEADERS,
        AttemptEnd.RESET_MID_BODY,
        AttemptEnd.CUT_SHORT,
        AttemptEnd.CROSSED,
        AttemptEnd.TIMEOUT,
    }
)


def is_usable(row: BackendRow, now_ms: int) -> bool:
    """Return True if the backend server may get new work."""
    return not row.leaving_sources and now_ms >= row.paused_until_ms


def row_after_attempt(
    row: BackendRow, ended: AttemptEnded, log_ratio: float | None, now_ms: int
) -> BackendRow:
    """Return the row after an attempt.

    A failure on a reused connection does not count against the server, which gets
    new connections for FRESH_CONNECTIONS_MS instead. log_ratio is the log of the
    latency over the typical one, None if the latency is not compared.
    """
    if ended.end is AttemptEnd.ANSWERED:
        return _row_after_answer(row, log_ratio)
    if ended.end is AttemptEnd.SHED:
        return _row_after_shed(row, now_ms)
    if ended.end.is_connect_failure:
        return _row_after_failure(row, now_ms)
    if ended.end not in _REQUEST_FAILURES:
        return row
    if not ended.connection_was_fresh:
        return row._replace(fresh_connections_until_ms=now_ms + FRESH_CONNECTIONS_MS)
    return _row_after_failure(row, now_ms)


def _row_after_answer(row: BackendRow, log_ratio: float | None) -> BackendRow:
    slowness = row.slowness
    if log_ratio is not None:
        slowness += SLOWNESS_GAIN * (log_ratio - slowness)
        slowness = max(-MAX_SLOWNESS, min(MAX_SLOWNESS, slowness))
    return row._replace(
        failures=0,
        sheds=0,
        answers_since_report=row.answers_since_report + 1,
        slowness=slowness,
    )


def _row_after_shed(row: BackendRow, now_ms: int) -> BackendRow:
    pause_ms = min(FIRST_SHED_PAUSE_MS << row.sheds, MAX_SHED_PAUSE_MS)
    sheds = min(row.sheds + 1, 10)
    paused_until_ms = max(row.paused_until_ms, now_ms + pause_ms)
    return row._replace(sheds=sheds, paused_until_ms=paused_until_ms)


def _row_after_failure(row: BackendRow, now_ms: int) -> BackendRow:
    failures = row.failures + 1
    if failures < FAILURES_TO_PAUSE:
        return row._replace(failures=failures)
    doublings = min(failures - FAILURES_TO_PAUSE, 10)
    paused_until_ms = now_ms + min(FIRST_PAUSE_MS << doublings, MAX_PAUSE_MS)
    return row._replace(
        failures=failures,
        paused_until_ms=paused_until_ms,
        slow_start_from_ms=paused_until_ms,
    )
