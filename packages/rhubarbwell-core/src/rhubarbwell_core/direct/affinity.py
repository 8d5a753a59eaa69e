"""Order a service's servers per object for cache affinity, without coordination."""

from collections import Counter, OrderedDict
from typing import NamedTuple

from rhubarbwell_core.direct.backends import BackendState, BackendTable
from rhubarbwell_core.hashing import rendezvous

__all__ = ["AffinityOrders", "ObjectCounter", "RankedBackend"]

MAX_ORDERS = 4_096
# Maximum share of a region's servers that cache the same object.
MAX_COPIES_SHARE = 0.125
# Objects assigned to each server's cache; servers evict beyond 20 to 70 objects.
ASSIGNED_OBJECTS_PER_SERVER = 6
# Objects that a server's cache is assumed to hold; the smallest cache seen held 20.
CACHED_OBJECTS_PER_SERVER = 24
# Requests per distinct object after which most objects have been seen.
MIN_REQUESTS_PER_OBJECT = 3
MAX_OBJECTS = 8_192


class ObjectCounter:
    """Count the distinct objects requested from a service.

    >>> counter = ObjectCounter()
    >>> counter.add("a")
    >>> counter.copies_per_region(48)
    1
    >>> for _ in range(5):
    ...     counter.add("a")
    >>> counter.copies_per_region(48)
    6
    """

    def __init__(self) -> None:
        self._objects: set[str] = set()
        self._requests = 0

    def __deepcopy__(self, _: object) -> "ObjectCounter":
        """Return a copy; there may be thousands of objects."""
        other = ObjectCounter()
        other._objects, other._requests = self._objects.copy(), self._requests
        return other

    def add(self, object_key: str) -> None:
        """Count a request for an object."""
        self._requests += 1
        if len(self._objects) < MAX_OBJECTS:
            self._objects.add(object_key)

    def fits_caches(self, servers: int) -> bool:
        """Return True if the caches of `servers` servers can hold all known objects."""
        return len(self._objects) <= CACHED_OBJECTS_PER_SERVER * servers

    def copies_per_region(self, servers: int) -> int:
        """Return how many of a region's servers should cache each object.

        The result is 1 until most objects have been seen: more objects mean fewer
        copies of each, and warming a copy that is soon dropped wastes work.
        """
        known = len(self._objects)
        if self._requests < MIN_REQUESTS_PER_OBJECT * max(known, 1):
            return 1
        by_memory = ASSIGNED_OBJECTS_PER_SERVER * servers // max(known, 1)
        return max(1, min(by_memory, round(MAX_COPIES_SHARE * servers)))


class RankedBackend(NamedTuple):
    """Hold a backend server and its position in its region's order for an object.

    position starts at 0; servers is the number of servers in the region.
    """

    state: BackendState
    position: int
    servers: int


class AffinityOrders:
    """Cache the rendezvous-hashing order of a service's servers for each object.

    All instances compute the same order from the same registry, so all of them send
    an object to the same few servers of a region. Adding or removing a server moves
    few objects.
    """

    def __init__(self, backends: BackendTable) -> None:
        self._backends = backends
        self._generation = -1
        self._orders: OrderedDict[tuple[str, str], list[RankedBackend]] = OrderedDict()

    def ranked_backends(self, service: str, object_key: str) -> list[RankedBackend]:
        """Return a service's servers in the order in which they rank for an object."""
        if self._generation != self._backends.generation:
            self._orders.clear()
            self._generation = self._backends.generation
        key = (service, object_key)
        known = self._orders.get(key)
        if known is None:
            known = self._new_ranking(service, object_key)
            self._orders[key] = known
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        return known

    def _new_ranking(self, service: str, object_key: str) -> list[RankedBackend]:
        states = {s.entry.backend_id: s for s in self._backends.available(service)}
        sizes = Counter(state.region for state in states.values())
        ranked: list[RankedBackend] = []
        positions: dict[str, int] = {}
        for backend_id in rendezvous(object_key, states, len(states)):
            state = states[backend_id]
            position = positions.get(state.region, 0)
            positions[state.region] = position + 1
            ranked.append(RankedBackend(state, position, sizes[state.region]))
        return ranked
