"""The part of a region's free capacity that one entry instance may grant."""

from collections.abc import Iterable

from rhubarbwell_core.routing.backends import BackendTable
from rhubarbwell_core.routing.loads import BackendRow, estimated_others_in_flight

__all__ = ["lendable_slots", "measured_fraction"]

# Usable part of the slots when the load reports are fresh.
SAFE_FRACTION = 0.9
# Usable part of the slots when no load report is fresh.
UNMEASURED_FRACTION = 0.5


def lendable_slots(
    backends: BackendTable,
    service: str,
    *,
    members: int,
    running: int,
    max_age_ms: int,
    now_ms: int,
) -> int:
    """Return the slots of a service that this instance may lend, including lent slots.

    members is the number of instances that share the region evenly; running is the
    number of requests forwarded to this instance that are running.
    """
    rows = [row for row in backends.rows.rows() if row.service == service]
    share = backends.usable_slots(service) / members
    fresh = measured_fraction(rows, max_age_ms=max_age_ms, now_ms=now_ms)
    share *= min(
        SAFE_FRACTION, UNMEASURED_FRACTION + (1.0 - UNMEASURED_FRACTION) * fresh
    )
    own = sum(row.in_flight for row in rows) - running
    region = sum(
        row.in_flight + estimated_others_in_flight(row, now_ms) for row in rows
    )
    return max(0, int(share - max(own, region / members - running, 0)))


def measured_fraction(
    rows: Iterable[BackendRow], *, max_age_ms: int, now_ms: int
) -> float:
    """Return the mean freshness of the backend servers' load reports.

    A report's freshness falls linearly from 1 when measured to 0 at max_age_ms; a
    missing report counts 0. Draining servers are left out.
    """
    weights = [
        0.0
        if row.reported is None
        else max(0.0, 1.0 - (now_ms - row.reported.measured_ms) / max_age_ms)
        for row in rows
        if not row.draining
    ]
    return sum(weights) / len(weights) if weights else 0.0
