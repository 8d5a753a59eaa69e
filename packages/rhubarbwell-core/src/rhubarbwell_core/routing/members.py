"""The entry instances that share a region's backend servers."""

from collections.abc import Iterable, Sequence

from rhubarbwell_core.engine import Action, System, Table
from rhubarbwell_core.messages import PeerRecord, PeerState
from rhubarbwell_core.model import Configuration, Identity
from rhubarbwell_core.routing.backends import BackendTable

__all__ = ["ShareBackends", "place_among"]

BUSY_LOAD = 0.8


class ShareBackends(System):
    """Keep the instance's place among the members that share the region."""

    period_ms = 200

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerRecord],
        backends: BackendTable,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._backends = backends
        self._configured = 1

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take the number of the region's entry instances into force."""
        zones = configuration.deployment.zones
        region = self._identity.region
        counts = [zone.entry_instances for zone in zones if zone.region == region]
        self._configured = max(1, sum(counts))
        self.run(now_ms)

    def run(self, now_ms: int) -> Sequence[Action]:
        """Work out the instance's place and the backend servers in use."""
        own = self._identity
        sharers = [peer for peer in self._peers.rows() if peer.region == own.region]
        member, live = place_among(own, sharers)
        busy = [peer for peer in sharers if peer.load >= BUSY_LOAD]
        busy_others = sum(peer.instance_id != own.instance_id for peer in busy)
        members = max(live, self._configured)
        self._backends.set_member(member, members, now_ms, busy_others=busy_others)
        self._backends.refresh(now_ms)
        return ()


def place_among(identity: Identity, peers: Iterable[PeerRecord]) -> tuple[int, int]:
    """Return the instance's place among the ready ones of its region, and their number.

    >>> from rhubarbwell_core.model import Address
    >>> here = Address("127.0.0.1", 1)
    >>> place_among(Identity("i", "i-1", "r-a", "r", here, here), ())
    (0, 1)
    """
    own = (identity.zone, identity.instance_id)
    live = {
        (peer.zone, peer.instance_id)
        for peer in peers
        if peer.region == identity.region and peer.state is PeerState.READY
    }
    ordered = sorted(live | {own})
    return ordered.index(own), len(ordered)
