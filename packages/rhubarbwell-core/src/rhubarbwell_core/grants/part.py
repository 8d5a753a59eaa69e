"""The core part that lends capacity to other regions and borrows it from them."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from rhubarbwell_core.engine import (
    Action,
    EventHandler,
    Part,
    PeriodicCall,
    System,
    Table,
)
from rhubarbwell_core.grants.borrowing import BORROW_PERIOD_MS, Borrowing
from rhubarbwell_core.grants.capacity import measured_fraction
from rhubarbwell_core.grants.lending import Lending
from rhubarbwell_core.grants.routes import GrantedRouteChooser
from rhubarbwell_core.messages import (
    GrantAnswered,
    GrantAskReceived,
    PeerRecord,
    ZoneHeadroomReceived,
)
from rhubarbwell_core.model import Identity
from rhubarbwell_core.routing import BackendTable
from rhubarbwell_core.routing.loads import estimated_others_in_flight

__all__ = ["GrantPart"]

# An instance with a larger remote weight for a service lends none of its slots.
SPILLING_FRACTION = 0.005
MIN_MEASURED_FRACTION = 0.2
MEASUREMENT_MAX_AGE_MS = 3_000


class GrantPart(Part):
    """Connect grants, shift weights and link rates to the core's events and timers."""

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerRecord],
        backends: BackendTable,
        rng: Random,
        *,
        may_grant: Callable[[int], bool],
    ) -> None:
        self._backends = backends
        self.borrowing = Borrowing(
            identity, peers, rng, free_fraction=self._free_fraction
        )
        self.lending = Lending(
            identity,
            backends,
            may_grant=may_grant,
            is_spilling=self._is_spilling,
        )
        self.routes = GrantedRouteChooser(
            identity, backends, self.borrowing, self.lending
        )

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of GrantAsks, replies and headroom reports."""
        return {
            GrantAskReceived: self.lending.on_asked,
            GrantAnswered: self.borrowing.on_answered,
            ZoneHeadroomReceived: self._on_headroom,
        }

    def systems(self) -> Sequence[System]:
        """Return the system that asks for grants and updates the shift weights."""
        return (PeriodicCall(BORROW_PERIOD_MS, self.update_grants),)

    def update_grants(self, now_ms: int) -> list[Action]:
        """Expire grants, update the shift weights and return the GrantAsks to send."""
        self.lending.grantor.remove_expired(now_ms)
        return self.borrowing.update_shift_weights(now_ms)

    def _on_headroom(self, event: ZoneHeadroomReceived, now_ms: int) -> list[Action]:
        self.borrowing.selector.update_headroom(event, now_ms)
        return []

    def _is_spilling(self, service: str) -> bool:
        return self.borrowing.remote_weight(service) > SPILLING_FRACTION

    def _free_fraction(self, service: str, now_ms: int) -> float | None:
        """Return the free fraction of the region's slots, None without measurements."""
        rows = [row for row in self._backends.rows.rows() if row.service == service]
        slots = self._backends.usable_slots(service)
        fresh = measured_fraction(
            rows, max_age_ms=MEASUREMENT_MAX_AGE_MS, now_ms=now_ms
        )
        if not slots or fresh < MIN_MEASURED_FRACTION:
            return None
        busy = sum(
            row.in_flight + estimated_others_in_flight(row, now_ms) for row in rows
        )
        return max(0.0, 1.0 - busy / slots)
