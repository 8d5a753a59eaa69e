"""Lending of capacity: grants to other regions and their forwarded requests."""

from collections.abc import Callable

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.grants.capacity import lendable_slots
from rhubarbwell_core.grants.grantor import BorrowerKey, Grantor
from rhubarbwell_core.links import link_share
from rhubarbwell_core.messages import (
    Allowance,
    GrantAsk,
    GrantAskReceived,
    GrantReply,
    RequestArrived,
    SendGrantReply,
)
from rhubarbwell_core.model import Configuration, Identity, zones_of_region
from rhubarbwell_core.routing.backends import BackendTable
from rhubarbwell_core.shifts import GrowthRamp

__all__ = ["Lending"]


class Lending:
    """Answer other regions' GrantAsks and count requests forwarded under the grants."""

    def __init__(
        self,
        identity: Identity,
        backends: BackendTable,
        *,
        may_grant: Callable[[int], bool],
        is_spilling: Callable[[str], bool],
    ) -> None:
        self.grantor = Grantor(identity.instance_id, identity.incarnation)
        self._identity = identity
        self._backends = backends
        self._may_grant = may_grant
        self._is_spilling = is_spilling
        self._ramp = GrowthRamp()
        self._cfg: Configuration | None = None
        self._members = 1
        self._accepted_requests = Table[int, BorrowerKey]("forwarded requests accepted")

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the links, zones and growth rate of a configuration."""
        self._cfg = configuration
        deployment = configuration.deployment
        zones = zones_of_region(deployment, self._identity.region)
        counts = [
            zone.entry_instances for zone in deployment.zones if zone.name in zones
        ]
        self._members = max(1, sum(counts))

    def on_asked(self, event: GrantAskReceived, now_ms: int) -> list[Action]:
        """Return the reply to a GrantAsk, or [] if it or a later one was answered."""
        ask = event.ask
        reply = self.grantor.answer(ask, self.grant_cap(ask, now_ms), now_ms)
        if reply is None:
            return []
        return [_reply_action(event, reply)]

    def grant_cap(self, ask: GrantAsk, now_ms: int) -> Allowance:
        """Return the most that may be granted at once, over all borrowers.

        The slots are those of the wanted service, the rates those of the link with
        the borrower's region. All are 0 while this instance may not grant or itself
        forwards requests of the service.
        """
        cfg = self._cfg
        own = self._identity.region
        is_peer_region = ask.borrower_region != own
        if cfg is None or not is_peer_region or not self._may_grant(now_ms):
            return Allowance()
        if self._is_spilling(ask.service):
            return Allowance()
        deployment = cfg.deployment
        zone = self._identity.zone
        link = link_share(deployment, zone, own, ask.borrower_region)
        return Allowance(self._grantable_slots(ask.service, cfg, now_ms), link, link)

    def accept(self, req: RequestArrived, now_ms: int) -> bool:
        """Return True and count a forwarded request if a grant covers it."""
        hop = req.forwarded
        if hop is None or hop.hops > 1:
            return False
        borrower_key = self.grantor.accept(hop.grant_id, req.rank, now_ms)
        if borrower_key is None:
            return False
        self._accepted_requests.put(req.request_id, borrower_key)
        return True

    def record_end(self, req: RequestArrived) -> None:
        """Record the end of a forwarded request."""
        borrower_key = self._accepted_requests.remove(req.request_id)
        if borrower_key is not None:
            self.grantor.record_end(borrower_key)

    def _grantable_slots(self, service: str, cfg: Configuration, now_ms: int) -> int:
        lendable = lendable_slots(
            self._backends,
            service,
            members=self._members,
            running=self.grantor.running_requests(service),
            max_age_ms=cfg.deployment.measurement_max_age_ms,
            now_ms=now_ms,
        )
        if lendable == 0:
            return 0
        return min(
            lendable,
            self._ramp.max_in_use(
                service,
                self.grantor.reserved_slots(service, now_ms),
                self._backends.usable_slots(service) // self._members,
                growth_per_s=cfg.deployment.cold_start_growth_per_s,
                now_ms=now_ms,
            ),
        )


def _reply_action(event: GrantAskReceived, reply: GrantReply) -> SendGrantReply:
    return SendGrantReply(event.ask.borrower_id, event.address, reply)
