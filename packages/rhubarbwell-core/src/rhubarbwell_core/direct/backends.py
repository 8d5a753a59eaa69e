"""Store the backend servers and the observed state of each of them."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from math import exp2

from rhubarbwell_core.direct.concurrency import ConcurrencyLimit
from rhubarbwell_core.direct.model import BackendEntry
from rhubarbwell_core.direct.pace import MachinePace
from rhubarbwell_core.direct.requests import ActiveRequest
from rhubarbwell_core.direct.reservations import ServiceRegion
from rhubarbwell_core.direct.restarts import RestartSuspicion
from rhubarbwell_core.direct.weighing import Exclusion
from rhubarbwell_core.engine import Table
from rhubarbwell_core.model import Address

__all__ = ["BackendState", "BackendTable"]

# Registry entries that expire during a store outage reappear within about 2 s after it.
RETURN_GRACE_MS = 2_200
# A load report loses weight linearly over this time, in which a server works off a
# queue of twice its slots.
MAX_REPORT_AGE_MS = 1_500
# Weight of a new report in the moving average of other instances' load.
AVERAGE_LOAD_SMOOTHING = 0.2
# Ejections double with each consecutive failure; the maximum bounds how long a server
# that has recovered stays unused.
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000
# Fewer consecutive failures are common at servers that are merely full.
MIN_FAILURES_DOWN = 3
# Weight of a new outcome; the failure share averages over about five outcomes.
FAILURE_SMOOTHING = 0.2
# A processing ratio of this size is not explained by chance or by a short queue.
MIN_SLOWNESS = 2.0
# Connections beyond a server's slots and short queue do not stay idle for long.
MAX_IDLE_CONNECTIONS = 8
# Bounds of one measured processing ratio: a stall says nothing about a server's speed.
MAX_PROCESSING_RATIO = 20.0
MIN_PROCESSING_RATIO = 0.2
# Weight of a new measurement; the ratio averages over about four of them.
PROCESSING_RATIO_SMOOTHING = 0.25
# Servers that slow down usually recover after some seconds.
PROCESSING_RATIO_HALF_LIFE_MS = 5_000

# Servers that left, of which late rows are recognized.
MAX_LEAVING_ENTRIES = 4_096


class BackendState:
    """Hold the state of one backend server as observed by an instance."""

    __slots__ = (
        "average_other_load",
        "cold_until_ms",
        "concurrency",
        "ejected_until_ms",
        "entry",
        "failure_share",
        "failures_in_row",
        "idle_since_ms",
        "in_flight",
        "is_leaving",
        "last_answer_ms",
        "learned_processing_ratio",
        "pace",
        "paused_until_ms",
        "processing_ratio_learned_ms",
        "rate_limit_per_s",
        "region",
        "removal_due_ms",
        "reported_at_ms",
        "reported_in_flight",
        "reported_load",
        "sent_at_ms",
        "suspicion",
    )

    def __init__(self, entry: BackendEntry, region: str, now_ms: int) -> None:
        self.entry = entry
        self.region = region
        self.in_flight = 0
        # True once an answer said that the server is about to end, whatever the
        # registry says of this incarnation later.
        self.is_leaving = False
        self.reported_load = 0
        self.average_other_load = 0.0
        self.reported_in_flight = 0
        self.reported_at_ms = -MAX_REPORT_AGE_MS
        self.cold_until_ms = now_ms + entry.cold_ms
        # None unless a lost connection suggests that the server has restarted.
        self.suspicion: RestartSuspicion | None = None
        self.ejected_until_ms = 0
        # End of the time for which the server asked for no requests.
        self.paused_until_ms = 0
        self.failures_in_row = 0
        self.failure_share = 0.0
        self.learned_processing_ratio = 1.0
        self.processing_ratio_learned_ms = now_ms
        # What the server reports of its machine; the processing ratio is learned
        # relative to it, so that no slowness counts twice.
        self.pace = MachinePace()
        # None if the slots alone limit the requests in progress at the server.
        self.concurrency: ConcurrencyLimit | None = None
        self.last_answer_ms = now_ms
        self.removal_due_ms: int | None = None
        # Requests per second that the server takes from all instances together, as
        # its last answer named it.
        self.rate_limit_per_s: float | None = None
        self.sent_at_ms: dict[ActiveRequest, int] = {}
        # Times at which this instance's idle connections to the server became idle.
        self.idle_since_ms: list[int] = []

    def load(self, now_ms: int) -> float:
        """Return the estimated number of requests running or queued at the server.

        The estimate adds this instance's requests in flight to those of other
        instances. For the latter, the last report loses weight with age in favour of
        the moving average, which itself decays to 0.
        """
        age_ms = now_ms - self.reported_at_ms
        average = self.average_other_load * min(
            max(2.0 - age_ms / MAX_REPORT_AGE_MS, 0.0), 1.0
        )
        weight = max(1.0 - age_ms / MAX_REPORT_AGE_MS, 0.0)
        others = max(0, self.reported_load - self.reported_in_flight)
        return self.in_flight + weight * others + (1.0 - weight) * average

    def is_cold(self, now_ms: int) -> bool:
        """Return True if the server's caches are cold, or if it may have restarted."""
        return self.suspicion is not None or self.cold_until_ms > now_ms

    def resolve_suspicion(
        self, opened_ms: int | None, cold_start_ms: int, now_ms: int
    ) -> None:
        """Record an answer on a connection that was opened at opened_ms.

        A connection from before the suspicion shows that the server has not restarted.
        If only later ones answer, it counts as one that has just started.
        """
        suspicion = self.suspicion
        if suspicion is None:
            return
        self.suspicion = None
        if opened_ms is None or opened_ms >= suspicion.opened_before_ms:
            self.cold_until_ms = max(self.cold_until_ms, now_ms + cold_start_ms)

    def record_open_connection(self, opened_ms: int, now_ms: int) -> None:
        """Record that a connection that was opened at opened_ms has not ended."""
        suspicion = self.suspicion
        if suspicion is not None and suspicion.is_disproved(opened_ms, now_ms):
            self.suspicion = None

    def usable_slots(self, now_ms: int) -> float:
        """Return the slots divided by the slowness of the server; 0 while it is down.

        A server that is only full, and rejects requests or answers late, counts with
        all its slots.
        """
        is_ejected = self.ejected_until_ms > now_ms
        if is_ejected and self.failures_in_row >= MIN_FAILURES_DOWN:
            return 0.0
        ratio = self.processing_ratio(now_ms) * self.pace.average(now_ms)
        return self.entry.slots / (ratio if ratio >= MIN_SLOWNESS else 1.0)

    def processing_ratio(self, now_ms: int) -> float:
        """Return the server's processing time relative to that of other servers.

        It does not include what the reported pace of the machine explains. The learned
        ratio decays towards 1, so that a server which was slow is tried again.
        """
        age_ms = now_ms - self.processing_ratio_learned_ms
        faded = exp2(-age_ms / PROCESSING_RATIO_HALF_LIFE_MS)
        return 1.0 + (self.learned_processing_ratio - 1.0) * faded

    def slowness(self, work_ms: float, now_ms: int) -> float:
        """Return how many times work_ms a request of that work is expected to take."""
        return self.processing_ratio(now_ms) * self.pace.expected(work_ms, now_ms)

    def concurrency_limit(self, now_ms: int) -> float:
        """Return the number of requests in progress above which further ones wait.

        These are the slots, or fewer if the server gets slower before they are full.
        """
        if self.concurrency is None:
            return self.entry.slots
        return self.concurrency.value(self.entry.slots, now_ms)

    def can_bear(self, load: float, priority: int, now_ms: int) -> bool:
        """Return False if a further request would slow down all at the server."""
        if self.concurrency is None:
            return True
        return self.concurrency.admits(load, priority, self.entry.slots, now_ms)

    def report_age_ms(self, now_ms: int) -> int | None:
        """Return the age in ms of the last load report, or None if it has expired."""
        age_ms = now_ms - self.reported_at_ms
        return age_ms if age_ms < MAX_REPORT_AGE_MS else None

    def has_connection(self, max_idle_ms: int, now_ms: int) -> bool:
        """Return True if a connection has been idle for at most max_idle_ms."""
        idle = self.idle_since_ms
        return bool(idle) and now_ms - idle[-1] <= max_idle_ms

    def acquire_connection(self) -> None:
        """Mark the most recently used idle connection as in use."""
        if self.idle_since_ms:
            self.idle_since_ms.pop()

    def release_connection(self, now_ms: int) -> None:
        """Mark a connection as idle from now on."""
        self.idle_since_ms.append(now_ms)
        del self.idle_since_ms[:-MAX_IDLE_CONNECTIONS]

    def record_load_report(self, running: int, waiting: int, now_ms: int) -> None:
        """Store the load reported with an answer.

        running must not include the answered request.
        """
        others = max(0, running + waiting - self.in_flight)
        self.average_other_load += AVERAGE_LOAD_SMOOTHING * (
            others - self.average_other_load
        )
        self.reported_load = running + waiting
        self.reported_in_flight = self.in_flight
        self.reported_at_ms = now_ms

    def oldest_wait_ms(self, now_ms: int) -> int:
        """Return for how many ms requests in flight have waited without any answer.

        The time starts when the oldest of them was sent, or with the server's last
        answer if that came later. It is 0 if no request is in flight.
        """
        if not self.sent_at_ms:
            return 0
        oldest = next(iter(self.sent_at_ms.values()))
        return now_ms - max(oldest, self.last_answer_ms)

    def record_answer(self, now_ms: int) -> None:
        """Record an answer: reset the failure count and lower the failure share."""
        self.last_answer_ms = now_ms
        self.failures_in_row = 0
        self.failure_share *= 1.0 - FAILURE_SMOOTHING

    def record_processing_ratio(self, processing_ratio: float, now_ms: int) -> None:
        """Record a processing time, given relative to the expected one."""
        ratio = min(max(processing_ratio, MIN_PROCESSING_RATIO), MAX_PROCESSING_RATIO)
        known = self.processing_ratio(now_ms)
        self.learned_processing_ratio = known + PROCESSING_RATIO_SMOOTHING * (
            ratio - known
        )
        self.processing_ratio_learned_ms = now_ms

    def record_timeout(self, processing_ratio: float, now_ms: int) -> None:
        """Raise the learned ratio to at least that of a request that timed out.

        processing_ratio relates the time until the timeout to the expected processing
        time, and is thus a lower bound.
        """
        min_ratio = min(processing_ratio, MAX_PROCESSING_RATIO)
        self.learned_processing_ratio = max(self.processing_ratio(now_ms), min_ratio)
        self.processing_ratio_learned_ms = now_ms

    def record_pause(self, until_ms: int) -> None:
        """Send nothing up to a time; a later answer does not shorten the pause."""
        self.paused_until_ms = max(self.paused_until_ms, until_ms)

    def record_failure(self) -> None:
        """Raise the failure share after a request that was rejected or failed."""
        self.failure_share += FAILURE_SMOOTHING * (1.0 - self.failure_share)

    def record_connection_failure(self, now_ms: int) -> None:
        """Record a failed or broken connection or a timeout and eject the server."""
        self.record_failure()
        self.failures_in_row += 1
        pause_ms = FIRST_EJECTION_MS << min(self.failures_in_row - 1, 3)
        self.ejected_until_ms = now_ms + min(pause_ms, MAX_EJECTION_MS)


class BackendTable:
    """Store the backend servers that the registry lists.

    The caller passes in registry rows as they change. Whether a server may be used
    also depends on its state, the evacuated zones and the current time.
    """

    def __init__(
        self, regions: Mapping[str, str], *, adapts_concurrency: bool = False
    ) -> None:
        self._adapts_concurrency = adapts_concurrency
        # Services whose limits are learned although the others' are not.
        self._adapting_services: set[str] = set()
        self.rows = Table[str, BackendState]("backend servers")
        self.evacuated_zones: frozenset[str] = frozenset()
        self.generation = 0
        self._regions = regions
        self._by_service: dict[str, list[BackendState]] = {}
        self._store_is_out = False
        # Time since which the store has been up after an outage, None without one.
        self._store_up_since_ms: int | None = None
        # Time at which the store came back from a copy, None if it never did.
        self._store_restored_ms: int | None = None
        # The last entries of servers that said that they leave, by id.
        self._leaving_entries = OrderedDict[str, BackendEntry]()

    def available(self, service: str) -> list[BackendState]:
        """Return a service's servers that may get requests.

        These neither drain nor leave, nor are they in evacuated zones.
        """
        return self._by_service.get(service, [])

    def unavailable(self, service: str) -> dict[str, Exclusion]:
        """Return the ids of a service's servers that get no requests, and why."""
        return {
            backend_id: reason
            for backend_id, state in self.rows.items()
            if state.entry.service == service
            and (reason := self._exclusion(state)) is not None
        }

    def usable_slots(self, now_ms: int) -> dict[str, float]:
        """Return, by region, the concurrent requests that the servers can process.

        Slow servers count with a part of their slots, ejected ones with none.
        """
        usable_slots = dict.fromkeys(self._regions.values(), 0.0)
        for states in self._by_service.values():
            for state in states:
                if state.ejected_until_ms <= now_ms:
                    usable_slots[state.region] = usable_slots.get(
                        state.region, 0.0
                    ) + state.usable_slots(now_ms)
        return usable_slots

    def slots_by_service(self) -> dict[ServiceRegion, float]:
        """Return the slots of the servers that may get requests."""
        slots = defaultdict[ServiceRegion, float](float)
        for service, states in self._by_service.items():
            for state in states:
                slots[ServiceRegion(service, state.region)] += state.entry.slots
        return dict(slots)

    def put(self, entry: BackendEntry, now_ms: int) -> None:
        """Add a server or update its entry; reset the state if it has restarted."""
        state = self.rows.get(entry.backend_id)
        if state is None or _has_restarted(state.entry, entry):
            cold_until_ms = state.cold_until_ms if state is not None else 0
            state = BackendState(entry, self._regions.get(entry.zone, ""), now_ms)
            # A row of an earlier incarnation may be written late, and tells nothing
            # about the caches of the current one.
            state.cold_until_ms = max(state.cold_until_ms, cold_until_ms)
            state.is_leaving = self._has_left(entry)
            if self._adapts_concurrency or entry.service in self._adapting_services:
                state.concurrency = ConcurrencyLimit()
            self.rows.put(entry.backend_id, state)
            self._rebuild()
            return
        changed = state.entry.draining != entry.draining
        changed |= state.entry.service != entry.service
        changed |= state.removal_due_ms is not None
        changed |= state.entry.zone != entry.zone
        state.entry = entry
        state.region = self._regions.get(entry.zone, "")
        state.removal_due_ms = None
        if entry.cold_ms:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + entry.cold_ms)
        if changed:
            self._rebuild()

    def adapt_concurrency(self, service: str) -> None:
        """Learn the concurrency limits of a service's servers from now on."""
        self._adapting_services.add(service)
        for state in self.rows.rows():
            if state.entry.service == service and state.concurrency is None:
                state.concurrency = ConcurrencyLimit()

    def mark_leaving(self, address: Address) -> None:
        """Stop using the servers at an address, one of which said that it leaves.

        A server that answers in place of one that has ended has the same address.
        """
        for backend_id, state in self.rows.items():
            if state.entry.address != address or state.is_leaving:
                continue
            state.is_leaving = True
            self._leaving_entries[backend_id] = state.entry
            if len(self._leaving_entries) > MAX_LEAVING_ENTRIES:
                self._leaving_entries.popitem(last=False)
            self._rebuild()

    def remove(self, backend_id: str, now_ms: int) -> None:
        """Remove a server, after a grace period if the store is or just was down.

        A store that just came back from a copy may have lost its entry.
        """
        state = self.rows.get(backend_id)
        if state is None:
            return
        if self._store_is_out:
            state.removal_due_ms = now_ms + RETURN_GRACE_MS
        elif now_ms < self._grace_end_ms():
            state.removal_due_ms = self._grace_end_ms()
        else:
            self.rows.remove(backend_id)
        self._rebuild()

    def keep_only(self, listed: Iterable[str], now_ms: int) -> None:
        """Remove the servers that are missing from a full listing."""
        names = set(listed)
        for backend_id in self.rows:
            if backend_id not in names:
                self.remove(backend_id, now_ms)

    def mark_store_lost(self, now_ms: int) -> None:
        """Record the start of a store outage, during which no server is removed."""
        self._store_is_out = True

    def mark_store_up(self, since_ms: int) -> None:
        """Record since when the store is up, and end an outage.

        Entries that expired during the outage have a grace period from since_ms on.
        """
        self._store_is_out = False
        self._store_up_since_ms = since_ms
        self._postpone_removals()

    def mark_store_restored(self, now_ms: int) -> None:
        """Record that the store came back from a copy.

        Entries that it has lost have a grace period from now on.
        """
        self._store_restored_ms = now_ms
        self._postpone_removals()

    def remove_expired(self, now_ms: int) -> list[str]:
        """Remove the servers whose grace period has ended and return their ids."""
        if self._store_is_out:
            return []
        expired = [
            backend_id
            for backend_id, state in self.rows.items()
            if state.removal_due_ms is not None and state.removal_due_ms <= now_ms
        ]
        for backend_id in expired:
            self.rows.remove(backend_id)
        if expired:
            self._rebuild()
        return expired

    def set_evacuated_zones(
        self, zones: frozenset[str], cold_ms: int, now_ms: int
    ) -> None:
        """Set the zones whose servers are not used.

        Servers of zones that are no longer evacuated count as cold for cold_ms.
        """
        returned = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for state in self.rows.rows():
            if state.entry.zone in returned:
                state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)
        self._rebuild()

    def _has_left(self, entry: BackendEntry) -> bool:
        """Return True if an entry is of an incarnation that said that it leaves.

        Its rows may arrive late, or again after they were removed.
        """
        known = self._leaving_entries.get(entry.backend_id)
        if known is None or known.address != entry.address:
            return False
        return 0 < entry.born_ms <= known.born_ms

    def _postpone_removals(self) -> None:
        for state in self.rows.rows():
            if state.removal_due_ms is not None:
                state.removal_due_ms = self._grace_end_ms()

    def _grace_end_ms(self) -> int:
        """Return the end of the grace period, 0 if the store was always there."""
        starts_ms = (self._store_up_since_ms, self._store_restored_ms)
        known_ms = [start_ms for start_ms in starts_ms if start_ms is not None]
        return max(known_ms) + RETURN_GRACE_MS if known_ms else 0

    def _rebuild(self) -> None:
        self.generation += 1
        by_service: dict[str, list[BackendState]] = {}
        for state in self.rows.rows():
            if self._exclusion(state) is None:
                by_service.setdefault(state.entry.service, []).append(state)
        self._by_service = by_service

    def _exclusion(self, state: BackendState) -> Exclusion | None:
        """Return why a server gets no requests of any kind, None if it does."""
        if state.entry.draining:
            return Exclusion.DRAINED
        if state.is_leaving:
            return Exclusion.LEAVING
        if state.entry.zone in self.evacuated_zones:
            return Exclusion.EVACUATED_ZONE
        return None


def _has_restarted(old: BackendEntry, new: BackendEntry) -> bool:
    return old.born_ms != new.born_ms or old.address != new.address
