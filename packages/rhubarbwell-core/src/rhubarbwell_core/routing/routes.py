"""Choose an attempt's target in the region, or in another region by grant."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from rhubarbwell_core.messages import AttemptEnded, RequestArrived, Target
from rhubarbwell_core.model import Configuration, zones_of_region
from rhubarbwell_core.routing.backends import BackendTable

__all__ = ["RegionalRouteChooser", "RouteChooser"]


class RouteChooser(ABC):
    """Choose the target of each attempt."""

    @abstractmethod
    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply a configuration."""

    @abstractmethod
    def choose(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        now_ms: int,
    ) -> Target | None:
        """Return a target and count the attempt; return None if no target is usable."""

    @abstractmethod
    def record_attempt_end(self, ended: AttemptEnded, now_ms: int) -> None:
        """Update the target's state after an attempt has ended."""

    def choose_peer(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        refused: bool,
        now_ms: int,
    ) -> Target | None:
        """Return a peer in another region that is to serve the request, else None.

        Called before admission, and again with refused=True after a refusal.
        """
        return None

    def accept_forwarded(self, req: RequestArrived, now_ms: int) -> bool:
        """Return True and count a forwarded request if its grant covers the request."""
        return False

    def record_forwarded_end(self, req: RequestArrived, now_ms: int) -> None:
        """Subtract an ended forwarded request from the accepted ones still running."""
        return None


class RegionalRouteChooser(RouteChooser):
    """Choose among the region's backend servers, preferring the instance's zone."""

    def __init__(self, zone: str, region: str, backends: BackendTable) -> None:
        self._zone = zone
        self._region = region
        self._backends = backends
        self._other_zones: tuple[str, ...] = ()

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Set the region's other zones and its backend servers."""
        zones = zones_of_region(configuration.deployment, self._region)
        self._other_zones = tuple(zone for zone in zones if zone != self._zone)
        self._backends.configure(configuration, now_ms)

    def choose(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        now_ms: int,
    ) -> Target | None:
        """Return a server and count the attempt; return None if no server is usable."""
        row = self._backends.choose(
            req.service,
            (self._zone,),
            exclude,
            other_zones=self._other_zones,
            now_ms=now_ms,
        )
        if row is None:
            return None
        self._backends.record_attempt_start(row.backend_id, attempt_id, req)
        fresh = now_ms < row.fresh_connections_until_ms
        return Target(row.backend_id, row.address, fresh_connection=fresh)

    def record_attempt_end(self, ended: AttemptEnded, now_ms: int) -> None:
        """Free the backend server's slot and update its state from the outcome."""
        self._backends.record_attempt_end(ended, now_ms)
