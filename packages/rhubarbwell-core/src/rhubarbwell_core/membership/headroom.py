"""Compute a zone's headroom from the backend rows of one instance."""

from collections.abc import Iterable

from rhubarbwell_core.messages import ServiceHeadroom
from rhubarbwell_core.routing import BackendRow

__all__ = ["zone_headroom"]


def zone_headroom(rows: Iterable[BackendRow], zone: str) -> tuple[ServiceHeadroom, ...]:
    """Return the slots and free slots of each service in the zone.

    >>> from rhubarbwell_core.model import Address
    >>> row = BackendRow("b", "slotsvc", "r-a", Address("127.0.0.1", 1), 3, 1)
    >>> zone_headroom([row], "r-a")
    (ServiceHeadroom(service='slotsvc', slots=3, free=2),)
    """
    slots: dict[str, int] = {}
    free: dict[str, int] = {}
    for row in rows:
        if row.zone != zone:
            continue
        slots[row.service] = slots.get(row.service, 0) + row.slots
        free[row.service] = free.get(row.service, 0) + _free_slots(row)
    return tuple(
        ServiceHeadroom(name, slots[name], free[name]) for name in sorted(slots)
    )


def _free_slots(row: BackendRow) -> int:
    if row.draining or (row.reported is not None and not row.reported.healthy):
        return 0
    reported = 0 if row.reported is None else row.reported.in_flight
    return max(0, row.slots - max(reported, row.in_flight))
