"""Look up routes and distribute split routes over services."""

from collections import defaultdict

from rhubarbwell_core.direct.model import Route, RoutingConfig

__all__ = ["RouteTable", "WeightedSplits"]


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
    """Select the services of split routes by smooth weighted round robin.

    >>> from rhubarbwell_core.direct.model import RequestKind, SplitPart
    >>> parts = SplitPart("a", 3), SplitPart("b", 1)
    >>> route = Route("r", "h", "/", RequestKind.SAFE, parts, 9, 9)
    >>> splits = WeightedSplits()
    >>> [splits.next_service(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[object, ...]], list[float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service of the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        credit = self._credits.setdefault(key, [0.0] * len(route.parts))
        for index, part in enumerate(route.parts):
            credit[index] += part.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= sum(part.weight for part in route.parts)
        return route.parts[best].service

    def configure(self, config: RoutingConfig) -> None:
        """Delete the credits of splits that are not in the configuration."""
        kept = {(route.name, route.parts) for route in config.routes}
        self._credits = {k: v for k, v in self._credits.items() if k in kept}
