"""Learn how long work takes at a backend server from the ends of attempts."""

from rhubarbwell_core.direct.backends import BackendState
from rhubarbwell_core.direct.concurrency import UnloadedTimes
from rhubarbwell_core.direct.estimates import CacheEstimates
from rhubarbwell_core.direct.reports import AttemptReport
from rhubarbwell_core.direct.requests import ActiveRequest, Target

__all__ = ["learn_from_answer", "learn_from_timeout"]


def learn_from_answer(
    state: BackendState,
    estimates: CacheEstimates,
    unloaded: UnloadedTimes,
    req: ActiveRequest,
    target: Target,
    report: AttemptReport,
    round_trip_ms: float,
    now_ms: int,
) -> None:
    """Update processing time and hit ratio estimates from an answered request.

    round_trip_ms is the round trip in ms to the server's zone.
    """
    estimates.record_use(target.backend_id, req.route.name, req.object_key, now_ms)
    if target.is_cold:
        return
    limit = state.concurrency
    # The request may have waited in a queue of which the instance did not know.
    is_queued = report.load is not None and report.load.waiting > 0
    is_queued |= target.load >= state.entry.slots
    if is_queued and limit is None:
        return
    network_ms = round_trip_ms + (report.connect_ms or 0.0)
    processing_ms = max(report.latency_ms - network_ms, 1.0)
    # The pace of the machine explains its part of the time.
    paced_ms = processing_ms / state.pace.expected(processing_ms, now_ms)
    is_loaded = False
    if limit is not None:
        slots = state.entry.slots
        concurrency = _concurrency(target, report)
        paced_ms /= limit.expected_slowness(concurrency, slots, now_ms)
        is_loaded = limit.is_loaded(concurrency, slots, now_ms)
        if target.holds_object:
            warm_ms = estimates.processing_times(req.route).warm_ms
            slowness = unloaded.slowness(req.route.name, paced_ms, initial_ms=warm_ms)
            limit.learn(concurrency, slowness, slots, now_ms)
            if not is_loaded:
                unloaded.learn(req.route.name, paced_ms, initial_ms=warm_ms)
    if is_queued:
        return
    # A slow server can only be told from a cold cache if the server held the
    # object, or if processing took longer than with a cold cache.
    times = estimates.processing_times(req.route)
    if target.holds_object:
        ratio = paced_ms / times.warm_ms
        state.record_processing_ratio(ratio, now_ms)
    elif paced_ms > times.cold_ms:
        ratio = paced_ms / times.cold_ms
        state.record_processing_ratio(ratio, now_ms)
    normalized_ms = paced_ms / state.processing_ratio(now_ms)
    # Servers that get slower before their slots are full would change the times of all.
    estimates.learn(
        req.route,
        req.service,
        target.position,
        normalized_ms,
        learns_times=not is_loaded,
    )


def learn_from_timeout(
    state: BackendState, latency_ms: int, explained_ms: float, now_ms: int
) -> None:
    """Raise a server's processing ratio after a request that it did not answer.

    explained_ms is the time that a cold cache and the queue explain; the pace of the
    machine explains a part as well.
    """
    explained_ms *= state.pace.expected(latency_ms, now_ms)
    state.record_timeout(latency_ms / explained_ms, now_ms)


def _concurrency(target: Target, report: AttemptReport) -> float:
    """Return the mean number of requests in progress during an answered attempt."""
    sent = target.load + 1.0
    if report.load is None:
        return sent
    return (sent + report.load.running + report.load.waiting) / 2.0
