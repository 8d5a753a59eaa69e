"""Messages, events and actions of membership."""

from enum import IntEnum
from typing import NamedTuple

from rhubarbwell_core.messages.grants import ServiceHeadroom
from rhubarbwell_core.messages.peers import PeerRecord
from rhubarbwell_core.model import Address

__all__ = [
    "Heartbeat",
    "HeartbeatReceived",
    "IncarnationSuperseded",
    "InstancesListed",
    "ShutdownRequested",
    "Liveness",
    "MemberNews",
    "SendPeerMessage",
    "SyncAnswer",
    "SyncAnswered",
    "SyncAsk",
    "SyncAsked",
    "ZoneDigest",
    "ZoneReach",
    "ZoneSummary",
]


class Liveness(IntEnum):
    """Tell whether an instance is believed to run; a higher value outweighs."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class MemberNews(NamedTuple):
    """Tell of one instance and whether it is believed to run."""

    heard: PeerRecord
    liveness: Liveness = Liveness.ALIVE


class ZoneSummary(NamedTuple):
    """Sum up a zone's headroom; sequence grows with each change."""

    zone: str
    sequence: int
    services: tuple[ServiceHeadroom, ...] = ()


class ZoneReach(NamedTuple):
    """Tell zone peers whether another zone answers one of them."""

    zone: str
    watcher: str
    sequence: int
    reachable: bool


class ZoneDigest(NamedTuple):
    """Digest what is known of a zone's instances and its summary."""

    zone: str
    digest: int


class Heartbeat(NamedTuple):
    """Probe a peer or answer its probe, with news on the way.

    own is the sender's row; None when the receiver should have it already, and
    wants_own asks for the receiver's.
    """

    probe_id: int
    is_answer: bool
    instance_id: str
    incarnation: str
    sequence: int
    log_version: int
    view_digest: int
    load: float = 0.0
    own: PeerRecord | None = None
    members: tuple[MemberNews, ...] = ()
    zones: tuple[ZoneSummary, ...] = ()
    reaches: tuple[ZoneReach, ...] = ()
    wants_own: bool = False


class HeartbeatReceived(NamedTuple):
    """Report a heartbeat from the peer whose peers address is given."""

    address: Address
    heartbeat: Heartbeat


class SyncAsk(NamedTuple):
    """Ask a peer for what it knows of the zones whose digests differ."""

    digests: tuple[ZoneDigest, ...]


class SyncAsked(NamedTuple):
    """Report a peer's wish to compare views."""

    address: Address
    ask: SyncAsk


class SyncAnswer(NamedTuple):
    """Give what is known of zones; is_last is False when some were left out."""

    members: tuple[MemberNews, ...]
    zones: tuple[ZoneSummary, ...]
    is_last: bool = True


class SyncAnswered(NamedTuple):
    """Report a peer's answer to a comparison of views."""

    address: Address
    answer: SyncAnswer


class SendPeerMessage(NamedTuple):
    """Ask the shell to send a message to a peer; it may be lost."""

    address: Address
    message: NamedTuple


class InstancesListed(NamedTuple):
    """Report the peers addresses of the platform's instance list, a lagging hint."""

    addresses: tuple[Address, ...]


class ShutdownRequested(NamedTuple):
    """Report that this instance is to stop after a graceful shutdown."""


class IncarnationSuperseded(NamedTuple):
    """Tell the shell that a newer incarnation has taken this instance's place."""

    incarnation: str
