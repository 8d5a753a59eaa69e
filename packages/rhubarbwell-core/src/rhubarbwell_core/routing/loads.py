"""Estimate a backend server's load from its reports and this instance's attempts."""

from math import exp
from typing import NamedTuple

from rhubarbwell_core.messages import LoadReported
from rhubarbwell_core.model import Address

__all__ = [
    "BackendRow",
    "effective_slots",
    "expected_cost",
    "has_recent_report",
    "estimated_others_in_flight",
    "row_after_report",
]

REPORT_MAX_AGE_MS = 3_000
TRUST_GAIN = 0.05  # added after a plausible report
TRUST_LOSS_FACTOR = 0.5  # applied after a wrong report
MIN_TRUST = 0.5
OTHERS_SMOOTHING = 0.4
MIN_SLOW_START_WEIGHT = 0.1
SPREAD_COST = 0.1  # prefers the emptier of two servers with free slots


class BackendRow(NamedTuple):
    """Hold the state of one backend server.

    slow_start_from_ms is the beginning of its slow start, None for a warm server;
    slowness is the log of its latency over the typical one; others_in_flight is the
    smoothed number of attempts that other instances have in flight; lowest_in_flight
    is the smallest in_flight since the last report; failures and sheds count
    failed and shed attempts since the last answer, sheds up to 10.
    """

    backend_id: str
    service: str
    zone: str
    address: Address
    slots: int
    in_flight: int = 0
    reported: LoadReported | None = None
    others_in_flight: float = 0.0
    lowest_in_flight: int = 0
    trust: float = 1.0
    leaving_sources: frozenset[str] = frozenset()
    slow_start_from_ms: int | None = None
    paused_until_ms: int = 0
    failures: int = 0
    sheds: int = 0
    answers_since_report: int = 0
    slowness: float = 0.0
    fresh_connections_until_ms: int = 0

    @property
    def draining(self) -> bool:
        """Return True if any source reports that the server is leaving."""
        return bool(self.leaving_sources)


def row_after_report(row: BackendRow, report: LoadReported) -> BackendRow:
    """Return the row after a report, with the trust in the server's reports updated.

    A report is wrong if it counts fewer attempts than lowest_in_flight, or more than
    twice the slots although the server is not slow.

    >>> row = BackendRow("b", "s", "z", Address("127.0.0.1", 1), 3)
    >>> row = row._replace(in_flight=3, lowest_in_flight=2)
    >>> row_after_report(row, LoadReported("b", 0, 10)).trust
    0.5
    """
    is_wrong = report.in_flight < row.lowest_in_flight
    is_wrong = is_wrong or (report.in_flight > 2 * row.slots and row.slowness < 0.2)
    trust = (
        row.trust * TRUST_LOSS_FACTOR if is_wrong else min(1.0, row.trust + TRUST_GAIN)
    )
    others_in_flight = report.in_flight - row.in_flight
    gain = 1.0 if row.reported is None else OTHERS_SMOOTHING
    return row._replace(
        reported=report,
        others_in_flight=row.others_in_flight
        + gain * (others_in_flight - row.others_in_flight),
        trust=trust,
        lowest_in_flight=row.in_flight,
    )


def estimated_others_in_flight(row: BackendRow, now_ms: int) -> float:
    """Return others' attempts in flight, weighted by the report's age and trust."""
    if row.reported is None:
        return 0.0
    age_ms = now_ms - row.reported.measured_ms
    weight = row.trust * max(0.0, 1.0 - age_ms / REPORT_MAX_AGE_MS)
    return weight * max(0.0, row.others_in_flight)


def has_recent_report(row: BackendRow, now_ms: int) -> bool:
    """Return True if the last report is recent and trusted."""
    if row.reported is None or row.trust < MIN_TRUST:
        return False
    return now_ms - row.reported.measured_ms <= REPORT_MAX_AGE_MS


def slow_start_weight(row: BackendRow, growth_per_s: float, now_ms: int) -> float:
    """Return the share of its slots that a new or returned server may use."""
    if row.slow_start_from_ms is None:
        return 1.0
    age_ms = now_ms - row.slow_start_from_ms
    return min(1.0, MIN_SLOW_START_WEIGHT + growth_per_s * age_ms / 1_000)


def effective_slots(row: BackendRow, growth_per_s: float, now_ms: int) -> int:
    """Return the number of the server's slots that may be used now."""
    weight = slow_start_weight(row, growth_per_s, now_ms)
    return max(1, int(row.slots * weight))


def expected_cost(row: BackendRow, slots: int, now_ms: int) -> float:
    """Return one more attempt's expected latency divided by the typical latency."""
    share = (row.in_flight + estimated_others_in_flight(row, now_ms) + 1.0) / slots
    return (max(1.0, share) + SPREAD_COST * share) * exp(row.slowness)
