"""Track the entry instances that share a region's backend servers."""

from collections.abc import Iterable, Sequence

from rhubarbwell_core.engine import Action, System, Table
from rhubarbwell_core.messages import PeerRecord, PeerState
from rhubarbwell_core.model import Configuration, Identity
from rhubarbwell_core.routing.backends import BackendTable

__all__ = ["UpdateMemberPosition", "member_position"]

BUSY_LOAD = 0.8


class UpdateMemberPosition(System):
    """Update this instance's index among the region's instances and their count.

    Both decide which slots of the backend servers this instance uses first.
    """

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
        self._configured_count = 1

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the configured number of the region's entry instances."""
        zones = configuration.deployment.zones
        region = self._identity.region
        counts = [zone.entry_instances for zone in zones if zone.region == region]
        self._configured_count = max(1, sum(counts))
        self.run(now_ms)

    def run(self, now_ms: int) -> Sequence[Action]:
        """Update this instance's index, the instance count and the servers in use."""
        own = self._identity
        regional_peers = [
            peer for peer in self._peers.rows() if peer.region == own.region
        ]
        member_index, live_count = member_position(own, regional_peers)
        busy = [peer for peer in regional_peers if peer.load >= BUSY_LOAD]
        busy_other_members = sum(peer.instance_id != own.instance_id for peer in busy)
        member_count = max(live_count, self._configured_count)
        self._backends.set_member_position(
            member_index, member_count, now_ms, busy_other_members=busy_other_members
        )
        self._backends.refresh(now_ms)
        return ()


def member_position(identity: Identity, peers: Iterable[PeerRecord]) -> tuple[int, int]:
    """Return the instance's index among its region's ready members, and their count.

    >>> from rhubarbwell_core.model import Address
    >>> here = Address("127.0.0.1", 1)
    >>> member_position(Identity("i", "i-1", "r-a", "r", here, here), ())
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
