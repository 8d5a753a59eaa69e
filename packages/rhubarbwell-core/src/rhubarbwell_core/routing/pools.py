"""Track each service's backend servers in use and their slots."""

from collections.abc import Sequence

from rhubarbwell_core.engine import Table
from rhubarbwell_core.routing.loads import (
    BackendRow,
    effective_slots,
    has_recent_report,
)
from rhubarbwell_core.routing.recovery import is_usable
from rhubarbwell_core.routing.subsets import member_slots, rendezvous_subset

__all__ = ["ServicePools"]

SUBSET_SIZE = 24  # servers of a service in one zone


class ServicePools:
    """Store which servers of each service and zone are in use with which slots."""

    def __init__(self, rows: Table[str, BackendRow], instance_id: str) -> None:
        self.member_index = 0
        self.member_count = 1
        self.growth_per_s = 0.1
        self._rows = rows
        self._instance_id = instance_id
        self._listed: dict[str, tuple[str, ...]] = {}
        self._in_use: dict[tuple[str, str], tuple[str, ...]] = {}
        self._subsets: dict[tuple[str, str], tuple[str, ...]] = {}
        self._usable_slots: dict[str, int] = {}
        self._assigned_slots: dict[str, dict[str, int]] = {}

    def __contains__(self, service: str) -> bool:
        return service in self._listed

    def set_listed(self, listed: dict[str, tuple[str, ...]]) -> None:
        """Replace the backend servers that each service lists."""
        self._listed = listed
        self._usable_slots.clear()
        self._assigned_slots.clear()
        self._in_use.clear()
        self._subsets.clear()

    def refresh(self, now_ms: int) -> None:
        """Update which backend servers are in use and with how many slots."""
        for service in self._listed:
            self.refresh_service(service, now_ms)

    def refresh_service(self, service: str, now_ms: int) -> None:
        """Update a service's servers in use; an unlisted service has no servers."""
        rows = self.rows_of(service)
        used = [row for row in rows if _is_in_use(row, now_ms)]
        slots = [
            (row.backend_id, effective_slots(row, self.growth_per_s, now_ms))
            for row in used
        ]
        self._usable_slots[service] = sum(count for _, count in slots)
        self._assigned_slots[service] = member_slots(
            slots, member_index=self.member_index, member_count=self.member_count
        )
        for zone in {row.zone for row in rows}:
            in_use = tuple(row.backend_id for row in used if row.zone == zone)
            self._replace_servers_in_use((service, zone), in_use)

    def rows_of(self, service: str) -> list[BackendRow]:
        """Return the rows of the backend servers that a service lists."""
        return [self._rows[name] for name in self._listed.get(service, ())]

    def subset(self, service: str, zone: str) -> Sequence[str]:
        """Return the ids of a zone's backend servers that this instance may use."""
        return self._subsets.get((service, zone), ())

    def assigned_slots(self, service: str) -> dict[str, int]:
        """Return how many slots of each backend server this instance uses first."""
        return self._assigned_slots.get(service, {})

    def usable_slots(self, service: str) -> int:
        """Return how many slots the service's backend servers in use offer."""
        return self._usable_slots.get(service, 0)

    def others_in_flight(self, service: str, now_ms: int) -> float | None:
        """Return the slots other instances use, or None without recent reports.

        Servers without a recent report count with the mean of those that have one.
        """
        rows = self.rows_of(service)
        reporting = [row for row in rows if has_recent_report(row, now_ms)]
        if not reporting:
            return None
        taken = sum(min(row.slots, max(0.0, row.others_in_flight)) for row in reporting)
        return taken * len(rows) / len(reporting)

    def _replace_servers_in_use(
        self, key: tuple[str, str], in_use: tuple[str, ...]
    ) -> None:
        if self._in_use.get(key) == in_use:
            return
        self._in_use[key] = in_use
        self._subsets[key] = rendezvous_subset(
            self._instance_id, in_use, size=SUBSET_SIZE
        )


def _is_in_use(row: BackendRow, now_ms: int) -> bool:
    # A server that is paused only because it sheds load keeps its slots.
    is_only_shedding = not row.leaving_sources and row.sheds > 0 and row.failures == 0
    return is_only_shedding or is_usable(row, now_ms)
