"""Decide which requests are sent to a backend server and which are refused."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.backends import BackendState
from rhubarbwell_core.direct.reports import LoadReport
from rhubarbwell_core.direct.requests import (
    ActiveRequest,
    Refusal,
    RefusalReason,
    Target,
)
from rhubarbwell_core.direct.reservations import ServiceRegion

__all__ = [
    "Admission",
    "AdmissionRule",
    "QueueLimits",
    "admits",
    "retry_after_ms",
    "retry_limit_ms",
]

MIN_RETRY_AFTER_MS = 50
# Callers wait for at most a third of the time left until their deadline.
MAX_RETRY_AFTER_SHARE = 0.3


class AdmissionRule(NamedTuple):
    """Store the queue limits at a backend server by request priority.

    A short queue gives the same throughput as a long one, with less latency, as long
    as the server is never idle. A request that would queue behind min_queue_length
    or more others is sent only if its expected latency is within objective_factors
    times the route's objective, and the server's load is below max_loads times its
    slots. Lower limits for lower priorities reserve the rest of the queue for more
    urgent requests. The highest priority has a limit too, because load reports arrive
    late and a full queue rejects every request. The last value of each tuple applies
    to all lower priorities.
    """

    objective_factors: tuple[float, ...] = (4.0, 1.1, 1.0)
    max_loads: tuple[float, ...] = (3.0, 3.0, 2.0)
    # Queued requests that keep a server busy until the next request arrives.
    min_queue_length: int = 1

    def max_expected_ms(self, objective_ms: float, priority: int) -> float:
        """Return the maximum expected latency in ms of a request that has to queue."""
        return _value_for(self.objective_factors, priority) * objective_ms

    def max_load(self, priority: int) -> float:
        """Return the load per slot at which further requests are refused."""
        return _value_for(self.max_loads, priority)


class Admission(ABC):
    """Decide which requests are sent to the servers chosen for them."""

    @abstractmethod
    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Record a request that arrived."""

    @abstractmethod
    def record_attempt(self, req: ActiveRequest, target: Target, now_ms: int) -> None:
        """Record an attempt that is about to be sent."""

    @abstractmethod
    def record_load_report(
        self, state: BackendState, load: LoadReport, now_ms: int
    ) -> None:
        """Record the load that a server reported."""

    @abstractmethod
    def load(self, state: BackendState, now_ms: int) -> float:
        """Return the estimated number of requests running or queued at a server."""

    @abstractmethod
    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Set the client accounts of the configuration in force."""

    @abstractmethod
    def set_slots(self, slots: Mapping[ServiceRegion, float]) -> None:
        """Set the slots of the servers that may be used, by service and region."""

    @abstractmethod
    def usable_limit(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> float:
        """Return the requests in progress from which a request has to queue."""

    @abstractmethod
    def queue_ms(
        self,
        service: str,
        server_ms: float,
        slowness: float,
        queued: float,
        slots: float,
    ) -> float:
        """Return the expected wait in ms behind `queued` requests at a server.

        server_ms is the arriving request's processing time there, slowness that of the
        server relative to others.
        """

    @abstractmethod
    def explained_ms(self, target: Target, cold_ms: float, slots: float) -> float:
        """Return the time in ms that an answer may take at a server of usual speed.

        cold_ms is the processing time with a cold cache.
        """

    @abstractmethod
    def retry_after_ms(self, req: ActiveRequest, now_ms: int) -> int:
        """Return after which time in ms a caller retries that no server is left for."""

    @abstractmethod
    def refusal(
        self, req: ActiveRequest, target: Target, slots: float, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request, None if it may be sent to the target."""


class QueueLimits(Admission):
    """Apply an AdmissionRule to each server by itself."""

    def __init__(self, rule: AdmissionRule) -> None:
        self._rule = rule

    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Ignore the request."""

    def record_attempt(self, req: ActiveRequest, target: Target, now_ms: int) -> None:
        """Ignore the attempt."""

    def record_load_report(
        self, state: BackendState, load: LoadReport, now_ms: int
    ) -> None:
        """Ignore the report."""

    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Ignore the accounts."""

    def set_slots(self, slots: Mapping[ServiceRegion, float]) -> None:
        """Ignore the slots."""

    def usable_limit(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> float:
        """Return the limit of the server, the same for all requests."""
        return state.concurrency_limit(now_ms)

    def load(self, state: BackendState, now_ms: int) -> float:
        """Return the load by the reports of the server alone."""
        return state.load(now_ms)

    def queue_ms(
        self,
        service: str,
        server_ms: float,
        slowness: float,
        queued: float,
        slots: float,
    ) -> float:
        """Return the wait in ms behind requests like the arriving one."""
        return server_ms * queued / slots

    def explained_ms(self, target: Target, cold_ms: float, slots: float) -> float:
        """Return the time in ms behind a queue of requests like this one."""
        turns = 1.0 + max(0.0, target.load + 1.0 - slots) / slots
        return turns * cold_ms

    def retry_after_ms(self, req: ActiveRequest, now_ms: int) -> int:
        """Return the minimum, whatever the load."""
        return retry_after_ms(0.0, 0.0, req.deadline_ms - now_ms)

    def refusal(
        self, req: ActiveRequest, target: Target, slots: float, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request, None if it may be sent to the target."""
        if admits(
            self._rule,
            req.route.objective_ms,
            req.priority,
            load=target.load,
            slots=slots,
            expected_ms=target.expected_ms,
            remaining_ms=req.expires_ms - now_ms,
        ):
            return None
        retry_ms = retry_after_ms(
            target.expected_ms, req.route.objective_ms, req.deadline_ms - now_ms
        )
        reason = RefusalReason.NO_ROOM
        return Refusal(
            reason, retry_ms, target.load, target.expected_ms, target.queue_ms
        )


def admits(
    rule: AdmissionRule,
    objective_ms: float,
    priority: int,
    *,
    load: float,
    slots: float,
    expected_ms: float,
    remaining_ms: float,
) -> bool:
    """Return True if a request may be sent to the backend server chosen for it."""
    if load < slots + rule.min_queue_length:
        return remaining_ms > 0
    if load >= slots * rule.max_load(priority):
        return False
    return expected_ms <= min(
        remaining_ms, rule.max_expected_ms(objective_ms, priority)
    )


def retry_after_ms(expected_ms: float, objective_ms: float, remaining_ms: float) -> int:
    """Return the time in ms after which a refused caller should retry.

    This is the excess of the expected latency over the objective, at least
    MIN_RETRY_AFTER_MS and at most MAX_RETRY_AFTER_SHARE of the remaining time.

    >>> retry_after_ms(900.0, 300.0, 1_500.0)
    450
    """
    excess = max(expected_ms - objective_ms, MIN_RETRY_AFTER_MS)
    return round(min(excess, retry_limit_ms(remaining_ms)))


def retry_limit_ms(remaining_ms: float) -> float:
    """Return the longest time in ms for which callers wait before they retry."""
    return max(MAX_RETRY_AFTER_SHARE * remaining_ms, 0.0)


def _value_for(values: tuple[float, ...], priority: int) -> float:
    return values[min(priority, len(values) - 1)]
