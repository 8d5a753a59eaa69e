"""Orders of a service's backend servers for objects, agreed without messages."""

from collections import Counter, OrderedDict
from typing import NamedTuple

from rhubarbwell_core.direct.backends import BackendState, BackendTable
from rhubarbwell_core.hashing import rendezvous

__all__ = ["AffinityOrders", "ObjectCounter", "RankedBackend"]

MAX_ORDERS = 4_096
# Servers of a region that share an object at the most, as a part of them.
MAX_COPIES_SHARE = 0.125
# Objects that a server is given to remember; servers forget beyond 20 to 70.
ASSIGNED_OBJECTS_PER_SERVER = 6
# Objects that a server certainly remembers; the least of what was seen is 20.
CACHED_OBJECTS_PER_SERVER = 24
# Requests for each known object after which most objects are known.
MIN_REQUESTS_PER_OBJECT = 3
MAX_OBJECTS = 8_192


class ObjectCounter:
    """Count the objects that requests for a service concern.

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

    def add(self, object_key: str) -> None:
        """Count a request."""
        self._requests += 1
        if len(self._objects) < MAX_OBJECTS:
            self._objects.add(object_key)

    def fits_caches(self, servers: int) -> bool:
        """Tell whether a few servers remember all objects that are known."""
        return len(self._objects) <= CACHED_OBJECTS_PER_SERVER * servers

    def copies_per_region(self, servers: int) -> int:
        """Return how many of a region's servers are to share an object.

        Until most objects are known each is kept at one server, as copies that are
        given up were warmed in vain.
        """
        known = len(self._objects)
        if self._requests < MIN_REQUESTS_PER_OBJECT * max(known, 1):
            return 1
        by_memory = ASSIGNED_OBJECTS_PER_SERVER * servers // max(known, 1)
        return max(1, min(by_memory, round(MAX_COPIES_SHARE * servers)))


class RankedBackend(NamedTuple):
    """Place a backend server in the order of its region for an object.

    servers is the number of the region's servers.
    """

    state: BackendState
    position: int
    servers: int


class AffinityOrders:
    """Order the servers of each region by rendezvous hashing of an object.

    Every instance gets the same order from the same registry, so an object is sent
    to the same few servers of a region by all, and a change of servers moves few
    objects.
    """

    def __init__(self, backends: BackendTable) -> None:
        self._backends = backends
        self._generation = -1
        self._orders: OrderedDict[tuple[str, str], list[RankedBackend]] = OrderedDict()

    def order(self, service: str, object_key: str) -> list[RankedBackend]:
        """Return the service's servers, each with its position in its region."""
        if self._generation != self._backends.generation:
            self._orders.clear()
            self._generation = self._backends.generation
        key = (service, object_key)
        known = self._orders.get(key)
        if known is None:
            known = self._ranked_backends(service, object_key)
            self._orders[key] = known
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        return known

    def _ranked_backends(self, service: str, object_key: str) -> list[RankedBackend]:
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
