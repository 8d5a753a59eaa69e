"""Measure the memory of request counts and the size of an instance report."""

import json
from functools import partial

from rhubarbwell_core.burn import BurnObserver, make_burn_rows
from rhubarbwell_core.messages import EndRequest, RequestArrived
from rhubarbwell_core.model import (
    Configuration,
    DeploymentSpec,
    Outcome,
    Rank,
    Reason,
    ServiceSpec,
    WorkKind,
)
from rhubarbwell_entry.reports import InstanceReport, encode_report

from benchmarks.capacity.costs import KB, memory_bytes
from benchmarks.control.fits import Line, fit_line

__all__ = ["measure_reporting"]

SERVICE_COUNTS = (1, 4, 8, 16)
SPAN_MS = 600_000
STEP_MS = 1_000
DEADLINE_MS = 2_000
OUTCOMES = (
    (Outcome.ANSWERED, Reason.SERVED),
    (Outcome.NOT_RUN, Reason.OVERLOAD),
    (Outcome.UNKNOWN, Reason.BACKEND_FAILED),
)


def measure_reporting() -> list[Line]:
    """Return lines of the memory for ten minutes of counts and of the report size.

    Both are over the number of services.
    """
    memory_kb: list[tuple[float, float]] = []
    report_kb: list[tuple[float, float]] = []
    for count in SERVICE_COUNTS:
        memory_kb.append((count, memory_bytes(partial(_make_observer, count)) / KB))
        rows = tuple(make_burn_rows(_make_observer(count), SPAN_MS))
        body = encode_report(InstanceReport("i", "z", "r", rows, (), ()))
        report_kb.append((count, len(json.dumps(body)) / KB))
    return [
        fit_line("reporting", "counts by services", "kB", memory_kb),
        fit_line("reporting", "report asked for by services", "kB", report_kb),
    ]


def _make_observer(services: int) -> BurnObserver:
    observer = BurnObserver()
    names = [f"service-{number}" for number in range(services)]
    observer.configure(_make_configuration(names))
    for now_ms in range(0, SPAN_MS, STEP_MS):
        for number, name in enumerate(names):
            for rank in Rank:
                _record_request(observer, number, name, rank, now_ms)
    return observer


def _record_request(
    observer: BurnObserver, request_id: int, name: str, rank: Rank, now_ms: int
) -> None:
    deadline_ms = now_ms + DEADLINE_MS
    kind = rank.name.lower()
    arrived = RequestArrived(request_id, name, kind, "c", deadline_ms, rank, True)
    observer.record_arrival(arrived, now_ms)
    outcome, reason = OUTCOMES[now_ms // STEP_MS % len(OUTCOMES)]
    latency_ms = now_ms % DEADLINE_MS
    observer.record_end(EndRequest(request_id, outcome, reason), now_ms + latency_ms)


def _make_configuration(names: list[str]) -> Configuration:
    kinds = tuple(WorkKind(rank.name.lower(), "GET", "/", rank) for rank in Rank)
    services = {name: ServiceSpec(name, kinds, ()) for name in names}
    return Configuration(1, "x", DeploymentSpec("d", (), ()), services)
