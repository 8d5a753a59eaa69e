"""Define what is reported of an attempt and of the load of its backend server."""

from typing import NamedTuple

from rhubarbwell_core.direct.verdicts import AttemptResult

__all__ = ["AttemptReport", "LoadReport"]


class LoadReport(NamedTuple):
    """Hold the load that a backend server reported with an answer.

    running includes the answered request. pace tells how long work takes on the
    server's machine at this moment, as a multiple of the usual time; None if the server
    does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class AttemptReport(NamedTuple):
    """Hold the result of an attempt and what was measured during it.

    connect_ms is the time to open a new connection, None if one was reused. cold_ms
    is the remaining time during which the server's caches are cold, None if unknown.
    rate_limit_per_s is the limit on requests from all instances together that the
    server named with its answer, None if it named none. is_leaving is True if the
    answer said that its server is about to end. pause_ms is the time for which the
    server wants no requests from this instance, None if it asked for none.
    opened_ms is the time at which the connection was opened; lost_connection is
    True if it ended before the answer was complete.
    """

    result: AttemptResult
    latency_ms: int
    load: LoadReport | None = None
    cold_ms: int | None = None
    connect_ms: float | None = None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: int | None = None
    opened_ms: int | None = None
    lost_connection: bool = False
