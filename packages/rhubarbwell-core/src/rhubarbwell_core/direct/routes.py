"""Look up routes and distribute split routes over services."""

from collections import defaultdict
from math import sqrt
from random import Random

from rhubarbwell_core.direct.model import Route, RoutingConfig

__all__ = ["RouteTable", "WeightedSplits"]

# Any number of its multiples is spread evenly modulo 1 (Kronecker sequence).
GOLDEN_RATIO = (sqrt(5) - 1) / 2


class RouteTable:
    """Look up the route of a host with the longest matching path prefix.

    >>> from rhubarbwell_core.direct.model import RequestKind, SplitPart
    >>> route = Route("r", "h", "/a/", RequestKind.SAFE, (SplitPart("s", 1),), 9, 9)
    >>> table = RouteTable(RoutingConfig(1, (route,), {}))
    >>> table.find("H", "/a/b?q=/c/").name, table.find("h", "/b/")
    ('r', None)
    """

    def __init__(self, config: RoutingConfig) -> None:
        by_host = defaultdict[str, list[Route]](list)
        for route in config.routes:
            by_host[route.host.lower()].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = dict(by_host)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request target, or None if no route matches."""
        path = target.partition("?")[0]
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class WeightedSplits:
    """Distribute the requests of split routes over services by weight.

    Each instance starts each split at a random position. Otherwise the first requests
    of all instances would go to the heaviest part, and a large fleet in which each
    instance gets a few requests would miss the weights.

    >>> from rhubarbwell_core.direct.model import RequestKind, SplitPart
    >>> parts = SplitPart("a", 3), SplitPart("b", 1)
    >>> route = Route("r", "h", "/", RequestKind.SAFE, parts, 9, 9)
    >>> splits = WeightedSplits(Random(1))
    >>> services = [splits.next_service(route) for _ in range(100)]
    >>> 73 <= services.count("a") <= 77
    True
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._positions: dict[tuple[str, tuple[object, ...]], float] = {}

    def next_service(self, route: Route) -> str:
        """Return the service of the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        position = self._positions.get(key)
        if position is None:
            position = self._rng.random()
        self._positions[key] = (position + GOLDEN_RATIO) % 1.0
        left = position * sum(part.weight for part in route.parts)
        for part in route.parts:
            left -= part.weight
            if left < 0.0:
                return part.service
        return route.parts[-1].service

    def configure(self, config: RoutingConfig) -> None:
        """Delete the positions of splits that are not in the configuration."""
        kept = {(route.name, route.parts) for route in config.routes}
        self._positions = {k: v for k, v in self._positions.items() if k in kept}
