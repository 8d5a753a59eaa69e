"""Choose a backend server for each attempt of a request."""

from collections.abc import Collection, Mapping, Sequence
from copy import deepcopy
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import AccountTable, ClientAccount
from rhubarbwell_core.direct.activation import AdmissionByService, PacedServices
from rhubarbwell_core.direct.admission import (
    Admission,
    AdmissionRule,
    QueueLimits,
    retry_after_ms,
)
from rhubarbwell_core.direct.affinity import (
    AffinityOrders,
    ObjectCounter,
    RankedBackend,
)
from rhubarbwell_core.direct.backends import BackendState, BackendTable
from rhubarbwell_core.direct.bodies import BodyBytesLimit
from rhubarbwell_core.direct.budgets import RetryBudgetRule, SharedRetryBudget
from rhubarbwell_core.direct.concurrency import UnloadedTimes
from rhubarbwell_core.direct.estimates import CacheEstimates, ZoneDelays
from rhubarbwell_core.direct.learning import learn_from_answer, learn_from_timeout
from rhubarbwell_core.direct.model import Route, RoutingConfig
from rhubarbwell_core.direct.overload import LoadShedder
from rhubarbwell_core.direct.random_copies import copied_random
from rhubarbwell_core.direct.rates import SharedRateLimiter
from rhubarbwell_core.direct.regions import (
    RegionShares,
    planned_shares,
    region_costs_ms,
    shares_of,
)
from rhubarbwell_core.direct.reports import AttemptReport
from rhubarbwell_core.direct.requests import (
    ActiveRequest,
    Refusal,
    RefusalReason,
    Target,
)
from rhubarbwell_core.direct.restarts import RestartSuspicion, trial_spread_ms
from rhubarbwell_core.direct.routes import RouteTable, WeightedSplits
from rhubarbwell_core.direct.verdicts import AttemptResult, Verdict, attempt_verdict
from rhubarbwell_core.direct.weighing import ChoiceTrace, Exclusion, WeighedServer
from rhubarbwell_core.hashing import weighted_rendezvous
from rhubarbwell_core.model import Address

__all__ = ["LoadBalancer", "LoadBalancerRules"]

# Requests with bodies of at least this size prefer a server in this instance's zone,
# where links cost nothing, even if it is not among those that cache the object.
LARGE_BODY_BYTES = 8 << 10
# Cost of sending one KiB over a link between zones, as an equivalent delay.
LINK_COST_MS_PER_KIB = 3.0
# Maximum random cost as a share of the processing time, so that instances with equal
# views choose differently.
COST_NOISE_SHARE = 0.1
# Round trips above this share of the objective make requests late that a nearby server
# would answer in time; a new connection takes two of them.
MAX_ROUND_TRIP_SHARE = 0.25
# Maximum idle time of reused connections. It is shorter for requests that must not run
# twice, because a connection that turns out closed leaves it unknown whether they ran.
MAX_SAFE_IDLE_MS = 10_000
MAX_UNSAFE_IDLE_MS = 2_000
# Cost of a failed attempt as a multiple of the route's objective.
FAILURE_COST = 1.0
# Share of a backend server's connection limit that all instances use together.
CONNECTION_SHARE_USED = 0.8
MIN_REMAINING_FOR_RETRY_MS = 30
# Affinity orders among which an instance distributes its requests that name no object.
# Few orders reuse connections; all instances together still use all servers.
UNKEYED_ORDERS = 4
# Window in which an instance sends its share of one second's requests to a cold server.
# It is longer than 1 s, so that a delayed request does not reach the server in the same
# second as the next one.
COLD_WINDOW_MS = 1_150
# Share of a server's rate limit that the instances without a share of their own use to
# learn whether it still holds.
PROBE_SHARE = 0.1
# Random extension of pauses, as a share of the pause and as a maximum, so that the
# instances and callers that wait for their end do not return in one burst.
MAX_PAUSE_EXTENSION_SHARE = 0.25
MAX_PAUSE_EXTENSION_MS = 1_000
# About the time in which a server ends one of its requests, and has room for a body.
BODY_RETRY_MS = 200
BYTES_PER_KIB = 1_024


class LoadBalancerRules(NamedTuple):
    """Store the limits that apply to all instances together.

    max_shift is the maximum share of requests that may shift between regions from one
    window to the next; each instance applies it to its own requests. With sheds_load,
    queues are bounded by what can be answered in time instead of the admission rule,
    and the request bodies outstanding at a server by body_bytes_per_slot.
    adapts_concurrency is True if each instance learns how many concurrent requests a
    server bears. With sheds_load_by_pace and adapts_concurrency_by_pace, the same
    applies to a service from the first load report on that names the pace of a machine,
    except for the bound on bodies, which a pace says nothing about.
    """

    retries: RetryBudgetRule
    admission: AdmissionRule = AdmissionRule()
    max_shift: float = 0.15
    sheds_load: bool = False
    body_bytes_per_slot: int = 1 << 20
    adapts_concurrency: bool = False
    sheds_load_by_pace: bool = True
    adapts_concurrency_by_pace: bool = True


class LoadBalancer:
    """Choose backend servers for the requests of one entry instance or refuse them."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        regions: dict[str, str],
        rules: LoadBalancerRules,
        rng: Random,
    ) -> None:
        self.zone = zone
        self.region = regions[zone]
        self.config: RoutingConfig | None = None
        self.routes: RouteTable | None = None
        # None if requests need no client account.
        self.accounts: AccountTable | None = None
        self.backends = BackendTable(
            regions, adapts_concurrency=rules.adapts_concurrency
        )
        self.zone_delays = ZoneDelays(zone, regions)
        self.cache_estimates = CacheEstimates()
        self._unloaded_times = UnloadedTimes()
        self.cold_starts = SharedRateLimiter(instance_id, min_window_ms=COLD_WINDOW_MS)
        self.rate_limits = SharedRateLimiter(instance_id, probe_share=PROBE_SHARE)
        self.retry_budget = SharedRetryBudget(rules.retries)
        self.region_shares = RegionShares(rules.max_shift)
        self.paced_services = PacedServices()
        self.admission = _make_admission(rules, self.paced_services, rng)
        bytes_per_slot = rules.body_bytes_per_slot if rules.sheds_load else None
        self._body_limit = BodyBytesLimit(bytes_per_slot)
        self._splits = WeightedSplits(rng)
        self._object_counters: dict[str, ObjectCounter] = {}
        self._orders = AffinityOrders(self.backends)
        self._regions = regions
        self._rules = rules
        self._rng = rng
        self._instance_id = instance_id
        self._senders = 1
        # Number of the instances that share the cold rates.
        self._sharing = 1
        # Share of the retry budget's slack, 0 until the registrations are known.
        self._slack_share = 0.0
        self._capacity_by_region: dict[str, float] = {}
        self._planned_shares: dict[str, float] = {}
        self._usable_slots: Mapping[str, float] = {}

    def configure(self, config: RoutingConfig) -> bool:
        """Return True and apply a configuration if its version is newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.routes = RouteTable(config)
        accounts = config.accounts
        self.accounts = None if accounts is None else AccountTable(accounts)
        self.admission.configure(accounts or ())
        self._splits.configure(config)
        return True

    def set_instances(self, senders: int, budget_instance_ids: Sequence[str]) -> None:
        """Set the number of instances that may send requests, including this one.

        budget_instance_ids lists the instances that share the fleet's budgets.
        """
        self._senders = max(senders, 1)
        is_sharing = self._instance_id in budget_instance_ids
        self._slack_share = 1.0 / len(budget_instance_ids) if is_sharing else 0.0
        self._sharing = max(len(budget_instance_ids), 1)
        self.cold_starts.configure(budget_instance_ids)
        self.rate_limits.configure(budget_instance_ids)
        self.region_shares.set_instances(
            len(budget_instance_ids) // len(set(self._regions.values()))
        )

    def set_capacity_by_region(self, capacity_by_region: Mapping[str, float]) -> None:
        """Set the entry instances' total capacity in requests per second by region."""
        self._capacity_by_region = dict(capacity_by_region)

    def advance(self, now_ms: int) -> Sequence[str]:
        """Update the usable slots and planned shares; return the servers removed.

        These are the ids of the servers whose grace period has ended.
        """
        expired = self.backends.remove_expired(now_ms)
        for backend_id in expired:
            self.cold_starts.forget(backend_id)
            self.rate_limits.forget(backend_id)
        usable_slots = self.backends.usable_slots(now_ms)
        self.region_shares.set_usable_slots(usable_slots)
        self._usable_slots = usable_slots
        if self.accounts is not None:
            self.admission.set_slots(self.backends.slots_by_service())
        self._planned_shares = planned_shares(
            self.region, usable_slots, self._capacity_by_region
        )
        self.region_shares.set_planned(self._planned_shares)
        return expired

    def set_evacuated_zones(self, zones: Collection[str], now_ms: int) -> None:
        """Set the zones whose backend servers get no requests."""
        rules = self.config.services.values() if self.config is not None else ()
        cold_ms = max((rule.cold_start_ms for rule in rules), default=0)
        self.backends.set_evacuated_zones(frozenset(zones), cold_ms, now_ms)

    def start_request(
        self,
        request_id: str,
        route: Route,
        key: str,
        deadline_ms: int,
        now_ms: int,
        *,
        body_bytes: int = 0,
        account: ClientAccount | None = None,
    ) -> ActiveRequest:
        """Create a request of a route, count it and assign its service.

        An empty key names no object; such a request gets an affinity order of this
        instance, as the instances would otherwise send them all to the same servers.
        """
        service = self._splits.next_service(route)
        if not key:
            key = f"{self._instance_id}/{self._rng.randrange(UNKEYED_ORDERS)}"
        self.retry_budget.record_request(service, now_ms)
        self._object_counter(service).add(key)
        req = ActiveRequest(
            request_id,
            route,
            service,
            key,
            arrived_ms=now_ms,
            deadline_ms=deadline_ms,
            body_bytes=body_bytes,
            account=account,
            uses_accounts=self.accounts is not None,
        )
        self.admission.record_request(req, now_ms)
        self._body_limit.record_request(req)
        return req

    def choose_backend(
        self, req: ActiveRequest, now_ms: int, trace: ChoiceTrace | None = None
    ) -> Target | Refusal:
        """Return the backend server for the next attempt, or a refusal.

        A trace, which changes nothing in the choice, is filled if one is given.
        """
        candidates = self._candidates(req, now_ms, trace)
        if not candidates:
            return self._no_backend_refusal(req, now_ms)
        if not req.attempts:
            usable = candidates
            candidates = self._candidates_in_allowed_regions(req.route, usable, now_ms)
            if trace is not None:
                trace.keep_only(_backend_ids(candidates), among=_backend_ids(usable))
        assigned_region = self._assigned_region(req)
        if trace is not None:
            trace.assigned_region = assigned_region
        objective_ms = req.route.objective_ms
        region_costs = region_costs_ms(objective_ms, candidates, assigned_region)
        scored = [
            self._scored_target(
                req, ranked, region_costs[ranked.state.region], now_ms, trace
            )
            for ranked in candidates
        ]
        best = min(scored, key=lambda pair: pair[0])[1]
        best = best._replace(assigned_region=assigned_region)
        state = self.backends.rows[best.backend_id]
        limit = self.admission.usable_limit(req, state, now_ms)
        refusal = self.admission.refusal(req, best, limit, now_ms)
        if refusal is None and not state.can_bear(best.load, req.priority, now_ms):
            retry_ms = self.admission.retry_after_ms(req, now_ms)
            refusal = Refusal(
                RefusalReason.NO_ROOM, retry_ms, best.load, best.expected_ms
            )
        return refusal or best

    def copy_for_query(self) -> "LoadBalancer":
        """Return a copy that chooses as this one would now, without effects on it.

        The servers' states, which a choice only reads, are shared. All else is copied,
        also what no choice reads today.
        """
        read_only = (
            self.config,
            self.routes,
            self.accounts,
            self.backends,
            self.zone_delays,
            self._unloaded_times,
        )
        memo: dict[int, object] = {id(part): part for part in read_only}
        memo[id(self._rng)] = copied_random(self._rng)
        # Orders of thousands of objects, which the copy computes as it needs them.
        memo[id(self._orders)] = AffinityOrders(self.backends)
        return deepcopy(self, memo)

    def start_attempt(self, req: ActiveRequest, target: Target, now_ms: int) -> None:
        """Record an attempt that is about to be sent."""
        self.admission.record_attempt(req, target, now_ms)
        state = self.backends.rows[target.backend_id]
        state.in_flight += 1
        state.acquire_connection()
        state.sent_at_ms[req] = now_ms
        if not req.attempts:
            self.region_shares.count_request(
                state.region, now_ms, assigned=target.assigned_region
            )
        req.attempts += 1
        req.tried_backends.add(target.backend_id)
        if target.is_cold:
            rate = self._cold_rate(target.service)
            self.cold_starts.try_send(target.backend_id, rate, now_ms)
            self._postpone_trial(state, now_ms)
        if state.rate_limit_per_s is not None:
            self.rate_limits.try_send(target.backend_id, state.rate_limit_per_s, now_ms)

    def end_attempt(
        self,
        req: ActiveRequest,
        target: Target,
        report: AttemptReport,
        now_ms: int,
    ) -> Verdict:
        """Record the end of an attempt and return how the request proceeds."""
        self._record_result(req, target, report, now_ms)
        if report.result is AttemptResult.NOT_SENT:
            req.attempts -= 1
        may_retry = self._try_reserve_retry(req, report.result, now_ms)
        verdict = attempt_verdict(
            report.result,
            is_idempotent=req.route.kind.is_idempotent,
            may_have_run=req.may_have_run,
            may_retry=may_retry,
        )
        req.may_have_run |= not report.result.proves_not_run
        return verdict

    def abandon_attempt(self, req: ActiveRequest, target: Target) -> None:
        """Remove an attempt from those in flight, without learning from it.

        Also called when the request's caller disconnects before the answer.
        """
        state = self.backends.rows.get(target.backend_id)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)
            state.sent_at_ms.pop(req, None)

    def _record_result(
        self, req: ActiveRequest, target: Target, report: AttemptReport, now_ms: int
    ) -> None:
        self.abandon_attempt(req, target)
        if report.is_leaving:
            self.backends.mark_leaving(target.address)
        state = self.backends.rows.get(target.backend_id)
        if state is None:
            return
        if report.load is not None:
            load = report.load
            running = max(0, load.running - 1)
            state.record_load_report(running, load.waiting, now_ms)
            state.pace.record(load.pace, now_ms)
            is_new = self.paced_services.record(state.entry.service, load.pace)
            if is_new and self._rules.adapts_concurrency_by_pace:
                self.backends.adapt_concurrency(state.entry.service)
            self.admission.record_load_report(state, load, now_ms)
        if report.connect_ms is not None:
            self.zone_delays.record_connect_time(target.zone, report.connect_ms)
        if report.lost_connection or report.result is AttemptResult.NOT_SENT:
            self._suspect_restart(
                state, now_ms, was_connected=report.result is not AttemptResult.NOT_SENT
            )
        elif report.result.is_answer:
            state.resolve_suspicion(
                report.opened_ms, self._cold_start_ms(target.service), now_ms
            )
        if report.cold_ms is not None:
            state.cold_until_ms = now_ms + report.cold_ms
        if report.pause_ms is not None:
            state.record_pause(now_ms + self._extended_ms(report.pause_ms))
        result = report.result
        if result.is_answer:
            self._set_rate_limit(state, report.rate_limit_per_s, now_ms)
        if result is AttemptResult.ANSWERED:
            state.record_answer(now_ms)
            state.release_connection(now_ms)
            network_ms = self.zone_delays.round_trip_ms(target.zone)
            learn_from_answer(
                state,
                self.cache_estimates,
                self._unloaded_times,
                req,
                target,
                report,
                network_ms,
                now_ms,
            )
        elif result is AttemptResult.NOT_RUN or result is AttemptResult.SERVER_ERROR:
            state.last_answer_ms = now_ms
            # A server that asks for a pause is sound, and gets nothing meanwhile.
            if report.pause_ms is None:
                state.record_failure()
        else:
            state.record_connection_failure(now_ms)
        if result is AttemptResult.TIMED_OUT:
            # A cold cache and the queue explain a part of the time.
            cold_ms = self.cache_estimates.processing_times(req.route).cold_ms
            limit = state.concurrency_limit(now_ms)
            explained_ms = self.admission.explained_ms(target, cold_ms, limit)
            learn_from_timeout(state, report.latency_ms, explained_ms, now_ms)

    def record_idle_connection_lost(self, address: Address, now_ms: int) -> None:
        """Record that a server closed an idle connection before any idle timeout."""
        for state in self.backends.rows.rows():
            if state.entry.address == address:
                self._suspect_restart(state, now_ms, was_connected=True)

    def record_open_connection(
        self, address: Address, opened_ms: int, now_ms: int
    ) -> None:
        """Record that a connection that was opened at opened_ms has not ended."""
        for state in self.backends.rows.rows():
            if state.entry.address == address:
                state.record_open_connection(opened_ms, now_ms)

    def _suspect_restart(
        self, state: BackendState, now_ms: int, *, was_connected: bool
    ) -> None:
        """Record a sign that a server has ended, and may start again under its id."""
        service = state.entry.service
        if not self._cold_start_ms(service):
            return
        if state.suspicion is not None:
            state.suspicion = state.suspicion.renewed(now_ms)
            return
        # Trials that are due at the same time at all instances would be a burst.
        due_ms = now_ms + self._random_trial_delay_ms(service, 0.0)
        if was_connected:
            state.suspicion = RestartSuspicion.of_loss(now_ms, due_ms)
        else:
            state.suspicion = RestartSuspicion.of_failed_connect(now_ms, due_ms)

    def _postpone_trial(self, state: BackendState, now_ms: int) -> None:
        """Set the time of the trial that follows one without a result."""
        if state.suspicion is not None:
            delay_ms = self._random_trial_delay_ms(state.entry.service, 0.5)
            due_ms = now_ms + delay_ms
            state.suspicion = state.suspicion._replace(trial_due_ms=due_ms)

    def _random_trial_delay_ms(self, service: str, min_share: float) -> int:
        """Return a random time of min_share to 1 + min_share of the spread in ms."""
        spread_ms = trial_spread_ms(self._sharing, self._cold_rate(service))
        return round(spread_ms * self._rng.uniform(min_share, 1.0 + min_share))

    def _set_rate_limit(
        self, state: BackendState, limit: float | None, now_ms: int
    ) -> None:
        """Store the limit that a server named; None if it named none."""
        if state.rate_limit_per_s is None and limit is not None:
            # The request that learned of the limit is a part of the share.
            self.rate_limits.try_send(state.entry.backend_id, limit, now_ms)
        state.rate_limit_per_s = limit

    def _try_reserve_retry(
        self, req: ActiveRequest, result: AttemptResult, now_ms: int
    ) -> bool:
        """Return True and spend retry budget if the request may be retried.

        After an attempt that was not sent, a retry costs no budget unless an earlier
        attempt may have run.
        """
        if result is AttemptResult.ANSWERED:
            return False
        if req.attempts >= req.route.max_attempts:
            return False
        if req.expires_ms - now_ms < MIN_REMAINING_FOR_RETRY_MS:
            return False
        if result is AttemptResult.NOT_SENT and not req.may_have_run:
            return True
        return self.retry_budget.try_spend(req.service, self._slack_share, now_ms)

    def _candidates(
        self, req: ActiveRequest, now_ms: int, trace: ChoiceTrace | None = None
    ) -> list[RankedBackend]:
        """Return the servers that may get the next attempt.

        If all of them are ejected, return only the one whose ejection ends first.
        """
        usable: list[RankedBackend] = []
        ejected: list[RankedBackend] = []
        copies: dict[str, int] = {}
        counter = self._object_counter(req.service)
        order = self._orders.ranked_backends(req.service, req.object_key)
        needs_own_zone = self._prefers_own_zone(req, order)
        limit = self._connection_limit(req.service)
        for ranked in order:
            state = ranked.state
            left = copies.get(state.region)
            if left is None:
                left = copies[state.region] = counter.copies_per_region(ranked.servers)
            is_own_zone = state.entry.zone == self.zone
            # Skip servers beyond the wanted copies before the costlier checks: in a
            # large service, these are most of the servers.
            if left <= 0 and not (needs_own_zone and is_own_zone):
                if trace is not None:
                    trace.exclude(state.entry.backend_id, Exclusion.AFFINITY)
                continue
            if state.in_flight >= limit or not self._may_send_to(req, state, now_ms):
                if trace is not None:
                    reason = self._exclusion(req, state, now_ms)
                    reason = reason or Exclusion.CONNECTION_LIMIT
                    trace.exclude(state.entry.backend_id, reason)
                continue
            if state.ejected_until_ms > now_ms:
                ejected.append(ranked)
                if trace is not None:
                    trace.exclude(state.entry.backend_id, Exclusion.EJECTED)
                continue
            copies[state.region] = max(left - 1, 0)
            usable.append(ranked)
            needs_own_zone &= not is_own_zone
        if usable or not ejected:
            return usable
        first = min(ejected, key=lambda ranked: ranked.state.ejected_until_ms)
        if trace is not None:
            del trace.excluded[first.state.entry.backend_id]
        return [first]

    def _may_send_to(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> bool:
        """Return True if a request may be sent to a server.

        Servers that were tried, that are outside the request's home regions, that asked
        for a pause, or of whose cold start rate, rate limit or bound of body bytes this
        instance's share is used up are excluded.
        """
        return self._exclusion(req, state, now_ms) is None

    def _exclusion(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> Exclusion | None:
        """Return why a request may not be sent to a server, None if it may."""
        homes = req.home_regions
        if homes is not None and state.region not in homes:
            return Exclusion.HOME_REGION
        if state.entry.backend_id in req.tried_backends:
            return Exclusion.TRIED
        if req.body_bytes and not self._has_body_room(req, state, now_ms):
            return Exclusion.BODY_BYTES
        pause_ms = self._pause_ms(state, now_ms)
        if pause_ms == 0:
            return None
        if pause_ms == state.paused_until_ms - now_ms:
            return Exclusion.PAUSED
        if state.is_cold(now_ms) and pause_ms == self._cold_pause_ms(state, now_ms):
            return Exclusion.COLD
        return Exclusion.RATE_LIMIT

    def _has_body_room(
        self, req: ActiveRequest, state: BackendState, now_ms: int
    ) -> bool:
        """Return True if a server may get the bytes of a request's body."""
        load = self.admission.load(state, now_ms)
        return self._body_limit.admits(req, state, load, self._sharing)

    def _pause_ms(self, state: BackendState, now_ms: int) -> int:
        """Return the ms until pause, cold start and rate limit allow a request."""
        backend_id, limit = state.entry.backend_id, state.rate_limit_per_s
        pause_ms = max(0, state.paused_until_ms - now_ms)
        if state.is_cold(now_ms):
            pause_ms = max(pause_ms, self._cold_pause_ms(state, now_ms))
        if limit is not None:
            pause_ms = max(
                pause_ms, self.rate_limits.pause_ms(backend_id, limit, now_ms)
            )
        return pause_ms

    def _cold_pause_ms(self, state: BackendState, now_ms: int) -> int:
        """Return the ms until a server that is or may be cold may get a request."""
        backend_id = state.entry.backend_id
        rate = self._cold_rate(state.entry.service)
        pause_ms = self.cold_starts.pause_ms(backend_id, rate, now_ms)
        if state.suspicion is None:
            return min(pause_ms, state.cold_until_ms - now_ms)
        if self.cold_starts.has_share(backend_id, rate):
            return pause_ms
        return max(0, state.suspicion.trial_due_ms - now_ms)

    def _prefers_own_zone(
        self, req: ActiveRequest, order: Sequence[RankedBackend]
    ) -> bool:
        """Return True if a request should prefer a server in this instance's zone.

        This applies to large bodies, if the caches of the zone's servers can hold
        all known objects.
        """
        if req.body_bytes < LARGE_BODY_BYTES:
            return False
        zone_servers = sum(ranked.state.entry.zone == self.zone for ranked in order)
        return self._object_counter(req.service).fits_caches(zone_servers)

    def _candidates_in_allowed_regions(
        self, route: Route, candidates: list[RankedBackend], now_ms: int
    ) -> list[RankedBackend]:
        """Return the candidates in regions that may get more requests.

        The limit on shifts does not apply if the round trip to a candidate's region
        would make the request late.
        """
        round_trips = {
            ranked.state.region: self.zone_delays.round_trip_ms(ranked.state.entry.zone)
            for ranked in candidates
        }
        if max(round_trips.values()) > MAX_ROUND_TRIP_SHARE * route.objective_ms:
            return candidates
        regions = self.region_shares.allowed_regions(round_trips.keys(), now_ms)
        return [p for p in candidates if p.state.region in regions]

    def _assigned_region(self, req: ActiveRequest) -> str | None:
        """Return the region whose caches hold an object for this region's callers.

        Returns None before the instances and servers of the regions are known.

        A region with fewer servers than its callers need caches its share of the
        objects. Otherwise each object would be cached there and in the other regions.
        Objects of an account are cached in the request's home regions, if it has any.
        """
        shares: Mapping[str, float] = self._planned_shares
        if not shares:
            return None
        homes = req.home_regions
        if req.account is not None and homes is not None:
            shares = shares_of(homes, shares) or shares_of(homes, self._usable_slots)
            if not shares:
                return None
        return weighted_rendezvous(req.object_key, shares)

    def _scored_target(
        self,
        req: ActiveRequest,
        ranked: RankedBackend,
        region_cost_ms: float,
        now_ms: int,
        trace: ChoiceTrace | None = None,
    ) -> tuple[float, Target]:
        """Return the cost in ms of sending a request to a server, and the target."""
        state, route = ranked.state, req.route
        entry = state.entry
        load = self.admission.load(state, now_ms)
        times = self.cache_estimates.processing_times(route)
        holds_object = self.cache_estimates.used_recently(
            entry.backend_id, route.name, req.object_key, now_ms
        )
        hit_ratio = self.cache_estimates.hit_ratio(
            req.service, ranked.position, used_recently=holds_object
        )
        processing_ms = times.cold_ms + hit_ratio * (times.warm_ms - times.cold_ms)
        slowness = state.slowness(processing_ms, now_ms)
        server_ms = processing_ms * slowness
        stalled_ms = state.oldest_wait_ms(now_ms)
        if stalled_ms > 2 * server_ms:
            server_ms = float(stalled_ms)
        limit = self.admission.usable_limit(req, state, now_ms)
        queued = max(0.0, load + 1.0 - limit)
        queue_ms = self.admission.queue_ms(
            req.service, server_ms, slowness, queued, limit
        )
        network_ms = self.zone_delays.round_trip_ms(entry.zone)
        max_idle_ms = (
            MAX_SAFE_IDLE_MS if route.kind.is_idempotent else MAX_UNSAFE_IDLE_MS
        )
        if not state.has_connection(max_idle_ms, now_ms):
            network_ms *= 2
        expected_ms = network_ms + queue_ms + server_ms
        failure_ms = FAILURE_COST * state.failure_share * route.objective_ms
        link_ms = 0.0
        if entry.zone != self.zone:
            link_ms = LINK_COST_MS_PER_KIB * req.body_bytes / BYTES_PER_KIB
        noise_ms = self._rng.uniform(0.0, COST_NOISE_SHARE * processing_ms)
        cost = expected_ms + failure_ms + region_cost_ms + link_ms + noise_ms
        target = Target(
            entry.backend_id,
            entry.address,
            req.service,
            entry.zone,
            ranked.position,
            expected_ms,
            processing_ms,
            load,
            state.report_age_ms(now_ms),
            state.is_cold(now_ms),
            holds_object,
            queue_ms=queue_ms,
        )
        if trace is not None:
            trace.weighed.append(
                WeighedServer(
                    target,
                    state.region,
                    cost,
                    network_ms,
                    server_ms,
                    slowness=state.processing_ratio(now_ms),
                    pace=state.pace.expected(processing_ms, now_ms),
                    stalled_ms=stalled_ms,
                    hit_ratio=hit_ratio,
                    limit=limit,
                    failure_ms=failure_ms,
                    region_ms=region_cost_ms,
                    link_ms=link_ms,
                    noise_ms=noise_ms,
                )
            )
        return cost, target

    def _no_backend_refusal(self, req: ActiveRequest, now_ms: int) -> Refusal:
        """Return a refusal until the first server may get a request again."""
        left_ms = req.deadline_ms - now_ms
        homes = req.home_regions
        if homes is not None and not homes:
            # Its route and its account have no home region in common.
            return Refusal(
                RefusalReason.NO_HOME_REGION, retry_after_ms(0.0, 0.0, left_ms)
            )
        paused = [
            (self._pause_ms(state, now_ms), state)
            for state in self.backends.available(req.service)
            if state.entry.backend_id not in req.tried_backends
            and (homes is None or state.region in homes)
        ]
        if not paused:
            listed = self.backends.available(req.service)
            reason = RefusalReason.NO_ROOM if listed else RefusalReason.NO_BACKEND
            return Refusal(reason, self.admission.retry_after_ms(req, now_ms))
        pause_ms, state = min(paused, key=lambda pair: pair[0])
        reason = RefusalReason.COLD_START
        if pause_ms == 0:
            reason = RefusalReason.NO_ROOM
            if not self._has_body_room(req, state, now_ms):
                reason, pause_ms = RefusalReason.BODY_BYTES, BODY_RETRY_MS
        elif state.paused_until_ms > now_ms:
            reason = RefusalReason.PAUSED
        elif state.rate_limit_per_s is not None:
            reason = RefusalReason.RATE_LIMIT
        pause_ms = self._extended_ms(pause_ms)
        return Refusal(reason, retry_after_ms(pause_ms, 0.0, left_ms))

    def _extended_ms(self, pause_ms: int) -> int:
        """Return a pause with a random extension."""
        extension_ms = min(MAX_PAUSE_EXTENSION_SHARE * pause_ms, MAX_PAUSE_EXTENSION_MS)
        return pause_ms + round(self._rng.uniform(0.0, extension_ms))

    def _object_counter(self, service: str) -> ObjectCounter:
        return self._object_counters.setdefault(service, ObjectCounter())

    def _connection_limit(self, service: str) -> int:
        assert self.config is not None
        rule = self.config.services.get(service)
        if rule is None:
            return 1
        return max(1, int(CONNECTION_SHARE_USED * rule.max_connections / self._senders))

    def _cold_rate(self, service: str) -> float:
        assert self.config is not None
        rule = self.config.services.get(service)
        return rule.cold_rate_per_s if rule is not None else 0.0

    def _cold_start_ms(self, service: str) -> int:
        assert self.config is not None
        rule = self.config.services.get(service)
        return rule.cold_start_ms if rule is not None else 0


def _make_admission(
    rules: LoadBalancerRules, paced: PacedServices, rng: Random
) -> Admission:
    if rules.sheds_load:
        return LoadShedder(rng)
    limits = QueueLimits(rules.admission)
    if not rules.sheds_load_by_pace:
        return limits
    shedder = LoadShedder(rng, rules.admission, reserves_slots=True)
    return AdmissionByService(paced, shedder, limits)


def _backend_ids(candidates: Sequence[RankedBackend]) -> list[str]:
    return [ranked.state.entry.backend_id for ranked in candidates]
