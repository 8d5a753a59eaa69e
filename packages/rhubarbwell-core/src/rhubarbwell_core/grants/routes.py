"""The choice of a target with other regions under grants."""

from collections.abc import Collection

from rhubarbwell_core.grants.borrowing import Borrowing
from rhubarbwell_core.grants.lending import Lending
from rhubarbwell_core.messages import AttemptEnded, RequestArrived, Target
from rhubarbwell_core.model import Configuration, Identity
from rhubarbwell_core.routing import BackendTable, RegionalRouteChooser

__all__ = ["GrantedRouteChooser"]


class GrantedRouteChooser(RegionalRouteChooser):
    """Choose the own zone, a sister zone, then another region under a grant."""

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
        """Learn zones, links and caps."""
        super().configure(configuration, now_ms)
        self._borrowing.configure(configuration, now_ms)
        self._lending.configure(configuration, now_ms)

    def attempt_ended(self, ended: AttemptEnded, now_ms: int) -> None:
        """Count the end at the peer or at the backend server."""
        if not self._borrowing.attempt_ended(ended, now_ms):
            super().attempt_ended(ended, now_ms)

    def forward(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        refused: bool,
        now_ms: int,
    ) -> Target | None:
        """Return a peer under a usable grant, within shift weight and link rates."""
        return self._borrowing.forward(
            req, attempt_id, exclude=exclude, refused=refused, now_ms=now_ms
        )

    def accept_forwarded(self, req: RequestArrived, now_ms: int) -> bool:
        """Count a forwarded request within its grant; return False without one."""
        return self._lending.accept(req, now_ms)

    def forwarded_ended(self, req: RequestArrived, now_ms: int) -> None:
        """Count the end of a forwarded request that was accepted."""
        self._lending.record_end(req)
