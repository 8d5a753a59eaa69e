"""Orders of a service's backend servers for objects, agreed without messages."""

from collections import Counter, OrderedDict
from typing import NamedTuple

from rhubarbwell_core.direct.backends import BackendState, BackendTable
from rhubarbwell_core.hashing import rendezvous

__all__ = ["AffinityOrders", "PlacedBackend"]

MAX_ORDERS = 4_096


class PlacedBackend(NamedTuple):
    """Place a backend server in the order of its region for an object.

    copies is the number of the region's servers that are to hold the object.
    """

    state: BackendState
    position: int
    copies: int


class AffinityOrders:
    """Order the servers of each region by rendezvous hashing of an object.

    Every instance gets the same order from the same registry, so an object is sent
    to the same few servers of a region by all, and a change of servers moves few
    objects.
    """

    def __init__(self, backends: BackendTable) -> None:
        self._backends = backends
        self._generation = -1
        self._orders: OrderedDict[tuple[str, str], list[PlacedBackend]] = OrderedDict()

    def order(
        self, service: str, object_key: str, copies_share: float
    ) -> list[PlacedBackend]:
        """Return the service's servers, each with its position in its region."""
        if self._generation != self._backends.generation:
            self._orders.clear()
            self._generation = self._backends.generation
        key = (service, object_key)
        known = self._orders.get(key)
        if known is None:
            known = self._compute(service, object_key, copies_share)
            self._orders[key] = known
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        return known

    def _compute(
        self, service: str, object_key: str, copies_share: float
    ) -> list[PlacedBackend]:
        states = {s.entry.backend_id: s for s in self._backends.of_service(service)}
        sizes = Counter(state.region for state in states.values())
        placed: list[PlacedBackend] = []
        positions: dict[str, int] = {}
        for backend_id in rendezvous(object_key, states, len(states)):
            state = states[backend_id]
            position = positions.get(state.region, 0)
            positions[state.region] = position + 1
            copies = max(1, round(copies_share * sizes[state.region]))
            placed.append(PlacedBackend(state, position, copies))
        return placed
