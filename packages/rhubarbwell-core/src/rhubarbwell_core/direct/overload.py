"""Shed load that the servers of a service cannot answer in time."""

from collections.abc import Iterable, Mapping
from math import exp
from random import Random

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.admission import (
    Admission,
    AdmissionRule,
    admits,
    retry_limit_ms,
)
from rhubarbwell_core.direct.backends import MAX_REPORT_AGE_MS, BackendState
from rhubarbwell_core.direct.demand import COUNT_MEMORY_MS, ServiceDemand
from rhubarbwell_core.direct.drain import DrainControl
from rhubarbwell_core.direct.fairness import AccountShares
from rhubarbwell_core.direct.reports import LoadReport
from rhubarbwell_core.direct.requests import (
    ActiveRequest,
    Refusal,
    RefusalReason,
    Target,
)
from rhubarbwell_core.direct.reservations import HomeReservations, ServiceRegion

__all__ = ["LoadShedder"]

# Share of the shortest objective up to which requests queue, by priority; the last
# value applies to all lower ones. The rest of the objective is for the processing. What
# a lower priority leaves free keeps the queue open to more urgent requests.
QUEUE_SHARES = (0.6, 0.5, 0.35)
# Part of these shares for requests bound to some regions: with cold caches, processing
# takes most of the time that the route allows.
BOUND_QUEUE_FACTOR = 0.5
# Mean load per slot from which a service is overloaded: of its servers, some are full.
MIN_OVERLOAD_PER_SLOT = 0.9
# Mean load per slot from which most servers have a queue.
MIN_BACKLOG_PER_SLOT = 1.5
# Room for the error of an estimate that contains a queue: load reports arrive late, and
# whether the server holds the object is a guess.
ESTIMATE_MARGIN = 1.25
# Without a queue, the estimate errs by the difference of a cold and a warm cache.
MIN_PROCESSING_SHARE = 0.3
# Largest share of the slots that is kept for more urgent requests: two of nine. With
# three, no more was answered in time under the load of test_uneven_regions.py.
MAX_RESERVED_SHARE = 0.22
# A server that reported a free slot within this time is used in any case.
FRESH_REPORT_MS = 400
# Weight of the mean load against that of a server without a recent report. With all
# of it, instances that hear of a server rarely left a tenth of the slots idle.
MEAN_WEIGHT = 0.5
# Time constant of the mean load over the reports of a service's servers, and the
# least time for which a report counts.
LOAD_SMOOTHING_MS = 1_000.0
MIN_REPORT_GAP_MS = 20
MAX_SILENCE_MS = 300
# Minimum jitter of Retry-After, about the time in which a server ends a request.
MIN_JITTER_MS = 100.0
MIN_RETRY_AFTER_MS = 50.0


class _Service:
    """Hold what an instance knows of the load of a service."""

    def __init__(self) -> None:
        self.demand = ServiceDemand()
        self.drain = DrainControl()
        self._load_per_slot = 0.0
        self._reported_ms = 0

    def load_per_slot(self, now_ms: int) -> float:
        """Return the mean load per slot of the servers that reported theirs.

        It fades without reports, so that an instance which sends nothing tries again.
        """
        silent_ms = max(now_ms - self._reported_ms - MAX_SILENCE_MS, 0)
        return self._load_per_slot * exp(-silent_ms / LOAD_SMOOTHING_MS)

    def is_overloaded(self, now_ms: int) -> bool:
        """Return True if servers run at or above their slots."""
        return self.load_per_slot(now_ms) >= MIN_OVERLOAD_PER_SLOT

    def record_load_per_slot(self, load_per_slot: float, now_ms: int) -> None:
        """Update the mean load of the servers."""
        elapsed_ms = max(now_ms - self._reported_ms, MIN_REPORT_GAP_MS)
        weight = 1.0 - exp(-elapsed_ms / LOAD_SMOOTHING_MS)
        known = self.load_per_slot(now_ms)
        self._load_per_slot = known + weight * (load_per_slot - known)
        self._reported_ms = now_ms


class LoadShedder(Admission):
    """Keep queues short enough for all requests of a service to be answered in time.

    A request joins a queue if the wait, together with what the request adds to the wait
    of those behind it, stays within a share of the shortest objective of the requests
    of the same or a more urgent priority that recently used the service. So requests
    that take long do not fill a queue in which short ones would be late, and servers
    stay busy. A request that cannot be answered in its time is refused, and so is one
    that would queue while its account has more than an equal share.

    With a rule, that decides instead while a service is not overloaded: at servers of
    few slots, one queued request exceeds the share of an objective, although it would
    be answered in time. With reserves_slots, a server counts as full for a request once
    the slots left are those that more urgent requests of the service need.
    """

    def __init__(
        self,
        rng: Random,
        rule: AdmissionRule | None = None,
        *,
        reserves_slots: bool = False,
    ) -> None:
        self._rng = rng
        self._rule = rule
        self._reserves_slots = reserves_slots
        self._services: dict[str, _Service] = {}
        # The same for the requests bound to some regions, by service and regions.
        self._bound: dict[str, dict[frozenset[str], _Service]] = {}
        self._accounts = AccountShares()
        self._reservations = HomeReservations()

    def configure(self, accounts: Iterable[ClientAccount]) -> None:
        """Set the client accounts of the configuration in force."""
        self._reservations.configure(accounts)

    def set_slots(self, slots: Mapping[ServiceRegion, float]) -> None:
        """Set the slots of the servers that may be used, by service and region."""
        self._reservations.set_slots(slots)

    def usable_limit(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> float:
        """Return the limit less what is kept for accounts bound to the region."""
        limit = state.concurrency_limit(now_ms)
        if _is_bound(req):
            return limit
        servers = ServiceRegion(req.service, state.region)
        mean_ms = self._service(req.service).demand.mean_ms or 0.0
        return max((1.0 - self._reservations.share(servers, mean_ms)) * limit, 1.0)

    def record_request(self, req: ActiveRequest, now_ms: int) -> None:
        """Count a request that arrived."""
        for service in self._counted_services(req):
            service.demand.record_request(req, now_ms)
        self._reservations.record_request(req.service)
        self._accounts.record_request(req, now_ms)

    def record_attempt(self, req: ActiveRequest, target: Target, now_ms: int) -> None:
        """Count an attempt that is about to be sent."""
        processing_ms = target.processing_ms
        if _is_bound(req):
            # The caches of a region that is short of servers hold few objects, so that
            # requests take about their objective there.
            processing_ms = max(processing_ms, req.route.objective_ms)
            self._reservations.record_bound(req.service, processing_ms)
        for service in self._counted_services(req):
            service.demand.record_sent(processing_ms, now_ms)
        if not req.attempts:
            self._accounts.record_sent(req, now_ms)

    def record_load_report(
        self, state: BackendState, load: LoadReport, now_ms: int
    ) -> None:
        """Update the queue of the service by the report of one of its servers."""
        name, region = state.entry.service, state.region
        self._record_report(self._service(name), state, load, now_ms)
        for homes, service in self._bound.get(name, {}).items():
            if region in homes:
                self._record_report(service, state, load, now_ms)

    def _record_report(
        self, service: _Service, state: BackendState, load: LoadReport, now_ms: int
    ) -> None:
        slots = state.entry.slots
        load_per_slot = (load.running - 1 + load.waiting) / slots
        service.record_load_per_slot(load_per_slot, now_ms)
        objective_ms = service.demand.min_objective_ms(now_ms)
        if service.demand.mean_ms is None or objective_ms is None:
            return
        wait_ms = service.demand.mean_ms * state.processing_ratio(now_ms)
        wait_ms *= load.waiting / slots
        service.drain.record_wait(wait_ms, QUEUE_SHARES[0] * objective_ms, now_ms)

    def load(self, state: BackendState, now_ms: int) -> float:
        """Return the load; under a backlog, old reports count less than the others'.

        Otherwise servers of which nothing is heard would look empty to all instances.
        """
        known = state.load(now_ms)
        load_per_slot = self._service(state.entry.service).load_per_slot(now_ms)
        if load_per_slot < MIN_BACKLOG_PER_SLOT:
            return known
        age_ms = min(now_ms - state.reported_at_ms, MAX_REPORT_AGE_MS)
        mean = load_per_slot * state.entry.slots
        return known + MEAN_WEIGHT * age_ms / MAX_REPORT_AGE_MS * max(mean - known, 0.0)

    def queue_ms(
        self,
        service: str,
        server_ms: float,
        slowness: float,
        queued: float,
        slots: float,
    ) -> float:
        """Return the wait in ms behind requests of all kinds."""
        mean_ms = self._service(service).demand.mean_ms
        wait_ms = server_ms if mean_ms is None else mean_ms * slowness
        return wait_ms * queued / slots

    def explained_ms(self, target: Target, cold_ms: float, slots: float) -> float:
        """Return the time that a cold cache and the queue of all requests explain."""
        return cold_ms + target.queue_ms

    def refusal(
        self, req: ActiveRequest, target: Target, slots: float, now_ms: int
    ) -> Refusal | None:
        """Return why a request must not be sent to the server chosen for it."""
        if self._reserves_slots:
            slots -= slots * self._reserved_share(req, now_ms)
        reason = self._refusal_reason(req, target, slots, now_ms)
        if reason is None:
            return None
        service = self._competitors(req)
        service.demand.refused.add(now_ms)
        return Refusal(
            reason,
            self.retry_after_ms(req, now_ms, queue_ms=target.queue_ms),
            target.load,
            target.expected_ms,
            target.queue_ms,
            service.drain.admitted_share(now_ms),
        )

    def retry_after_ms(
        self, req: ActiveRequest, now_ms: int, *, queue_ms: float | None = None
    ) -> int:
        """Return when capacity is expected, spread over the time that it takes.

        The backlog is the queue and the refused requests, which come back. It drains at
        the rate at which this instance sends requests. Without the wait at a server,
        that of the service counts.
        """
        service = self._competitors(req)
        if queue_ms is None:
            queue_ms = service.drain.mean_wait_ms
        sent = service.demand.sent.value(now_ms)
        refused = service.demand.refused.value(now_ms)
        backlog_ms = queue_ms + COUNT_MEMORY_MS * refused / max(sent, 1.0)
        limit_ms = retry_limit_ms(req.deadline_ms - now_ms)
        jitter_ms = min(max(backlog_ms, MIN_JITTER_MS), limit_ms)
        start_ms = min(max(queue_ms, MIN_RETRY_AFTER_MS), limit_ms - jitter_ms)
        return round(start_ms + self._rng.uniform(0.0, jitter_ms))

    def _refusal_reason(
        self, req: ActiveRequest, target: Target, slots: float, now_ms: int
    ) -> RefusalReason | None:
        remaining_ms = req.expires_ms - now_ms
        rule = self._rule
        if rule is not None and not self._service(req.service).is_overloaded(now_ms):
            is_admitted = admits(
                rule,
                req.route.objective_ms,
                req.priority,
                load=target.load,
                slots=slots,
                expected_ms=target.expected_ms,
                remaining_ms=remaining_ms,
            )
            return None if is_admitted else RefusalReason.NO_ROOM
        is_free = target.load < slots
        error_factor = MIN_PROCESSING_SHARE if is_free else ESTIMATE_MARGIN
        if error_factor * target.expected_ms > remaining_ms:
            return RefusalReason.TOO_LATE
        if is_free and _is_fresh(target):
            return None
        is_over_share = self._is_over_share(req, now_ms)
        if not req.attempts and not self._is_drawn(req, is_over_share, now_ms):
            return RefusalReason.FAIR_SHARE if is_over_share else RefusalReason.BACKLOG
        if is_free:
            return None
        added_ms, queue_ms = target.processing_ms / slots, target.queue_ms
        if _is_bound(req):
            added_ms = max(added_ms, req.route.objective_ms / slots)
            queue_ms = max(queue_ms, (target.load + 1.0 - slots) * added_ms)
        if queue_ms + added_ms > self._max_queue_ms(req, now_ms):
            return RefusalReason.NO_ROOM
        return RefusalReason.FAIR_SHARE if is_over_share else None

    def _reserved_share(self, req: ActiveRequest, now_ms: int) -> float:
        """Return the share of slots that a request leaves to more urgent ones.

        A server processes its queue in order, so that a slot which long requests do not
        take is all that a short one can be given. It is at most the share that more
        urgent requests have of those that arrived.
        """
        demand = self._service(req.service).demand
        return min(demand.rank(req.priority, 0.0, now_ms), MAX_RESERVED_SHARE)

    def _is_over_share(self, req: ActiveRequest, now_ms: int) -> bool:
        """Return True if the service is overloaded and the account has its share."""
        is_overloaded = self._competitors(req).is_overloaded(now_ms)
        return is_overloaded and self._accounts.is_over_share(req, now_ms)

    def _max_queue_ms(self, req: ActiveRequest, now_ms: int) -> float:
        """Return the longest wait that a request may join or add to.

        Without an overload, servers with a queue are few and queues are short, and only
        the request's own objective counts.
        """
        service = self._competitors(req)
        objective_ms: float | None = None
        if service.is_overloaded(now_ms):
            objective_ms = service.demand.min_objective_ms(now_ms, req.priority)
        share = QUEUE_SHARES[min(max(req.priority, 0), len(QUEUE_SHARES) - 1)]
        if _is_bound(req):
            share *= BOUND_QUEUE_FACTOR
        return share * (objective_ms or req.route.objective_ms)

    def _is_drawn(self, req: ActiveRequest, is_over_share: bool, now_ms: int) -> bool:
        """Return True if a request is in the admitted share, the most urgent first.

        Those of accounts above their share come last among their priority.
        """
        service = self._competitors(req)
        admitted = service.drain.admitted_share(now_ms)
        if admitted == 1.0:
            return True
        position = 1.0 if is_over_share else self._rng.random()
        return service.demand.rank(req.priority, position, now_ms) < admitted

    def _competitors(self, req: ActiveRequest) -> _Service:
        """Return what is known of the requests that compete for the same servers."""
        if not _is_bound(req):
            return self._service(req.service)
        assert req.home_regions is not None
        by_homes = self._bound.setdefault(req.service, {})
        return by_homes.setdefault(req.home_regions, _Service())

    def _counted_services(self, req: ActiveRequest) -> list[_Service]:
        general = self._service(req.service)
        return [general, self._competitors(req)] if _is_bound(req) else [general]

    def _service(self, service: str) -> _Service:
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service()
        return known


def _is_bound(req: ActiveRequest) -> bool:
    """Return True if the request's account may not use the servers of all regions."""
    return req.account is not None and req.account.home_regions is not None


def _is_fresh(target: Target) -> bool:
    return target.load_age_ms is not None and target.load_age_ms < FRESH_REPORT_MS
