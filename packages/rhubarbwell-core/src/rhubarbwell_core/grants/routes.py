"""Selection of a target for each request, including other regions under grants."""

from collections.abc import Collection

from rhubarbwell_core.grants.borrowing import Borrowing
from rhubarbwell_core.grants.lending import Lending
from rhubarbwell_core.messages import AttemptEnded, RequestArrived, Target
from rhubarbwell_core.model import Configuration, Identity
from rhubarbwell_core.routing import BackendTable, RegionalRouteChooser

__all__ = ["GrantedRouteChooser"]


class GrantedRouteChooser(RegionalRouteChooser):
    """Choose this zone, another zone of the region, then a region under a grant."""

    def __init__(
        self,
        identity: Identity,
        backends: BackendTable,
        borrowing: Borrowing,
        lending: Lending,
    ) -> None:
        super().__init__(identity.zone, identity.region, backends)
        self._borrowing = borrowing
        self._lending = lending

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the zones, links and caps of a configuration."""
        super().configure(configuration, now_ms)
        self._borrowing.configure(configuration, now_ms)
        self._lending.configure(configuration, now_ms)

    def record_attempt_end(self, ended: AttemptEnded, now_ms: int) -> None:
        """Record the end of an attempt at a peer or a backend server."""
        if not self._borrowing.record_attempt_end(ended, now_ms):
            super().record_attempt_end(ended, now_ms)

    def choose_peer(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        refused: bool,
        now_ms: int,
    ) -> Target | None:
        """Return a peer with a usable grant, within shift weights and link rates."""
        return self._borrowing.choose_peer(
            req, attempt_id, exclude=exclude, refused=refused, now_ms=now_ms
        )

    def accept_forwarded(self, req: RequestArrived, now_ms: int) -> bool:
        """Return True and count a forwarded request if a grant covers it."""
        return self._lending.accept(req, now_ms)

    def record_forwarded_end(self, req: RequestArrived, now_ms: int) -> None:
        """Subtract an ended forwarded request from the accepted ones still running."""
        self._lending.record_end(req)
