"""Store the region's backend servers and choose among them."""

from collections.abc import Collection
from math import log
from random import Random
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    BackendLeaving,
    BackendReturned,
    ConnectionSilent,
    LoadReported,
    RequestArrived,
)
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    Configuration,
    zones_of_region,
)
from rhubarbwell_core.routing.latencies import KindLatencies, LatencyFloors
from rhubarbwell_core.routing.loads import (
    BackendRow,
    effective_slots,
    expected_cost,
    row_after_report,
)
from rhubarbwell_core.routing.pools import ServicePools
from rhubarbwell_core.routing.recovery import (
    FRESH_CONNECTIONS_MS,
    is_usable,
    row_after_attempt,
)

__all__ = ["BackendTable"]

RANDOM_CANDIDATES = 2
# Factors on the expected cost of a server with free assigned slots, and of one in
# another zone.
ASSIGNED_COST_FACTOR = 0.7
OTHER_ZONE_COST_FACTOR = 1.2
SLOWNESS_DECAY = 0.98  # factor per refresh
CONFIG_SOURCE = "configuration"
HEALTH_SOURCE = "health"


class _Attempt(NamedTuple):
    backend_id: str
    service: str
    kind: str
    is_timed: bool


class BackendTable:
    """Hold the region's backend servers and choose one for each attempt."""

    def __init__(self, region: str, rng: Random, *, instance_id: str = "") -> None:
        self.rows = Table[str, BackendRow]("backends")
        self.latencies = KindLatencies()
        self.busy_other_members = 0
        self._floors: dict[str, LatencyFloors] = {}
        self._attempts = Table[str, _Attempt]("attempts at backend servers")
        self._region = region
        self._rng = rng
        self._pools = ServicePools(self.rows, instance_id)

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Replace the region's backend servers with those of the configuration.

        A server whose address is unchanged keeps its state. One that is added to a
        known service starts slowly; the servers of a new service start warm.
        """
        self._pools.growth_per_s = configuration.deployment.cold_start_growth_per_s
        zones = zones_of_region(configuration.deployment, self._region)
        known = dict(self.rows.items())
        for backend_id in known:
            self.rows.remove(backend_id)
        known_services = [
            name for name in configuration.services if name in self._pools
        ]
        self._pools.set_listed({})
        listed: dict[str, tuple[str, ...]] = {}
        for name, service in configuration.services.items():
            specs = [spec for spec in service.backends if spec.zone in zones]
            specs.sort(key=lambda spec: (spec.zone, spec.backend_id))
            for spec in specs:
                row = _new_row(spec, name, now_ms if name in known_services else None)
                self.rows.insert(
                    spec.backend_id, _with_state_kept(row, known.get(spec.backend_id))
                )
                self._set_leaving(spec.backend_id, CONFIG_SOURCE, spec.draining, now_ms)
            listed[name] = tuple(spec.backend_id for spec in specs)
        self._pools.set_listed(listed)
        self._pools.refresh(now_ms)

    def set_member_position(
        self,
        member_index: int,
        member_count: int,
        now_ms: int,
        *,
        busy_other_members: int = 0,
    ) -> None:
        """Set this instance's index among the region's instances and their count.

        busy_other_members is the number of other members that use up their limits.
        """
        self.busy_other_members = busy_other_members
        pools = self._pools
        if (member_index, member_count) != (pools.member_index, pools.member_count):
            pools.member_index, pools.member_count = member_index, member_count
            pools.refresh(now_ms)

    def refresh(self, now_ms: int) -> None:
        """Update which backend servers are in use and with how many slots."""
        self._decay_slowness()
        self._pools.refresh(now_ms)

    @property
    def member_count(self) -> int:
        """Return the number of instances that share the region's backend servers."""
        return self._pools.member_count

    def usable_slots(self, service: str) -> int:
        """Return how many slots the service's backend servers in use offer."""
        return self._pools.usable_slots(service)

    def assigned_slot_count(self, service: str) -> int:
        """Return the instance's even share of the usable slots."""
        return sum(self._pools.assigned_slots(service).values())

    def latency_floors(self, service: str) -> LatencyFloors:
        """Return the latency floors of a service's kinds over all its servers."""
        return self._floors.setdefault(service, LatencyFloors())

    def others_in_flight(self, service: str, now_ms: int) -> float | None:
        """Return the slots other instances use, or None without recent reports."""
        return self._pools.others_in_flight(service, now_ms)

    def on_load_reported(self, event: LoadReported, now_ms: int) -> list[Action]:
        """Apply a load report unless it is older than the last one."""
        row = self.rows.get(event.backend_id)
        if row is None or _is_older(event, row.reported):
            return []
        row = row_after_report(row, event)
        if not event.healthy and row.answers_since_report == 0:
            row = row._replace(slow_start_from_ms=now_ms)
        self.rows.put(row.backend_id, row._replace(answers_since_report=0))
        self._set_leaving(row.backend_id, HEALTH_SOURCE, event.draining, now_ms)
        return []

    def on_leaving(self, event: BackendLeaving, now_ms: int) -> list[Action]:
        """Stop sending new work to a backend server that is leaving."""
        self._set_leaving(event.backend_id, event.source, True, now_ms)
        return []

    def on_returned(self, event: BackendReturned, now_ms: int) -> list[Action]:
        """Use a backend server again once no source reports it as leaving."""
        self._set_leaving(event.backend_id, event.source, False, now_ms)
        return []

    def on_connection_silent(
        self, event: ConnectionSilent, now_ms: int
    ) -> list[Action]:
        """Require new connections to the backend server for FRESH_CONNECTIONS_MS.

        The event reports that a connection to it made no progress.
        """
        row = self.rows.get(event.backend_id)
        if row is not None:
            until_ms = now_ms + FRESH_CONNECTIONS_MS
            self.rows.put(
                row.backend_id, row._replace(fresh_connections_until_ms=until_ms)
            )
        return []

    def choose(
        self,
        service: str,
        zones: Collection[str],
        exclude: Collection[str],
        *,
        other_zones: Collection[str] = (),
        now_ms: int,
    ) -> BackendRow | None:
        """Return the usable server of lowest expected cost, or None.

        Candidates are the servers with assigned slots, two random servers of zones
        and two of other_zones.
        """
        assigned_slots = self._pools.assigned_slots(service)
        candidates = [
            *self._random_candidates(service, zones),
            *self._random_candidates(service, other_zones),
        ]
        candidates += assigned_slots
        best: BackendRow | None = None
        best_cost = 0.0
        for name in candidates:
            row = self.rows[name]
            if name in exclude or not is_usable(row, now_ms):
                continue
            slots = effective_slots(row, self._pools.growth_per_s, now_ms)
            cost = expected_cost(row, slots, now_ms)
            if row.in_flight < assigned_slots.get(name, 0):
                cost *= ASSIGNED_COST_FACTOR
            if row.zone not in zones:
                cost *= OTHER_ZONE_COST_FACTOR
            if best is None or cost < best_cost:
                best, best_cost = row, cost
        return best

    def record_attempt_start(
        self, backend_id: str, attempt_id: str, req: RequestArrived
    ) -> None:
        """Count an attempt that is about to be sent."""
        row = self.rows[backend_id]
        self.rows.put(backend_id, row._replace(in_flight=row.in_flight + 1))
        attempt = _Attempt(backend_id, req.service, req.kind, not req.body_bytes)
        self._attempts.insert(attempt_id, attempt)

    def record_attempt_end(self, ended: AttemptEnded, now_ms: int) -> None:
        """Count the end of an attempt and update the server's state from it."""
        attempt = self._attempts.remove(ended.attempt_id)
        row = None if attempt is None else self.rows.get(attempt.backend_id)
        if attempt is None or row is None:
            return
        log_ratio = None
        if attempt.is_timed and ended.end is AttemptEnd.ANSWERED:
            log_ratio = self.latencies.observe(
                attempt.service, attempt.kind, ended.latency_ms
            )
            log_latency = log(max(ended.latency_ms, 1)) - row.slowness
            self.latency_floors(attempt.service).add(attempt.kind, log_latency)
        after = row_after_attempt(row, ended, log_ratio, now_ms)
        in_flight = max(0, row.in_flight - 1)
        lowest = min(row.lowest_in_flight, in_flight)
        after = after._replace(in_flight=in_flight, lowest_in_flight=lowest)
        self.rows.put(row.backend_id, after)
        if after.slow_start_from_ms != row.slow_start_from_ms:
            self._pools.refresh_service(row.service, now_ms)

    def _random_candidates(self, service: str, zones: Collection[str]) -> list[str]:
        used: list[str] = []
        for zone in zones:
            used += self._pools.subset(service, zone)
        return self._rng.sample(used, min(RANDOM_CANDIDATES, len(used)))

    def _decay_slowness(self) -> None:
        for name, row in self.rows.items():
            if row.slowness:
                decayed = row.slowness * SLOWNESS_DECAY
                self.rows.put(name, row._replace(slowness=decayed))

    def _set_leaving(
        self, backend_id: str, source: str, is_leaving: bool, now_ms: int
    ) -> None:
        row = self.rows.get(backend_id)
        if row is None or (source in row.leaving_sources) == is_leaving:
            return
        if is_leaving:
            row = row._replace(leaving_sources=row.leaving_sources | {source})
        else:
            sources = row.leaving_sources - {source}
            row = row._replace(leaving_sources=sources, slow_start_from_ms=now_ms)
        self.rows.put(backend_id, row)
        self._pools.refresh_service(row.service, now_ms)


def _new_row(
    spec: BackendSpec, service: str, slow_start_from_ms: int | None
) -> BackendRow:
    address = Address(spec.host, spec.port)
    return BackendRow(
        spec.backend_id,
        service,
        spec.zone,
        address,
        spec.slots,
        slow_start_from_ms=slow_start_from_ms,
    )


def _with_state_kept(row: BackendRow, old: BackendRow | None) -> BackendRow:
    if old is None or old.address != row.address:
        return row
    return old._replace(service=row.service, zone=row.zone, slots=row.slots)


def _is_older(event: LoadReported, last: LoadReported | None) -> bool:
    return last is not None and event.measured_ms < last.measured_ms
