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
    "SyncAskReceived",
    "ZoneDigest",
    "ZoneReach",
    "ZoneSummary",
]


class Liveness(IntEnum):
    """State whether an instance is believed to run.

    Of two claims about the same sequence of an incarnation, the higher value wins.
    """

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class MemberNews(NamedTuple):
    """Hold an instance's record and whether it is believed to run."""

    heard: PeerRecord
    liveness: Liveness = Liveness.ALIVE


class ZoneSummary(NamedTuple):
    """Summarize a zone's headroom; sequence increases with each change."""

    zone: str
    sequence: int
    services: tuple[ServiceHeadroom, ...] = ()


class ZoneReach(NamedTuple):
    """Tell zone peers whether another zone answers the watcher's probes."""

    zone: str
    watcher: str
    sequence: int
    reachable: bool


class ZoneDigest(NamedTuple):
    """Hold a digest of a zone's instances that are not gone in the sender's view.

    It covers their ids, incarnations and sequences, but not the zone's summary.
    """

    zone: str
    digest: int


class Heartbeat(NamedTuple):
    """Probe a peer or answer its probe, and gossip about members and zones.

    own is the sender's record, None if the receiver should have it already;
    wants_own asks for the receiver's record.
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
    """Report a heartbeat received from the peer at the given peers address."""

    address: Address
    heartbeat: Heartbeat


class SyncAsk(NamedTuple):
    """Ask a peer for its view of the zones whose digests differ from these."""

    digests: tuple[ZoneDigest, ...]


class SyncAskReceived(NamedTuple):
    """Report a SyncAsk received from a peer."""

    address: Address
    ask: SyncAsk


class SyncAnswer(NamedTuple):
    """Hold the sender's view of zones; is_last is False if zones are left out."""

    members: tuple[MemberNews, ...]
    zones: tuple[ZoneSummary, ...]
    is_last: bool = True


class SyncAnswered(NamedTuple):
    """Report a peer's answer to a SyncAsk."""

    address: Address
    answer: SyncAnswer


class SendPeerMessage(NamedTuple):
    """Ask the shell to send a message to a peer; it may be lost."""

    address: Address
    message: NamedTuple


class InstancesListed(NamedTuple):
    """Report the peers addresses in the platform's instance list, which may lag."""

    addresses: tuple[Address, ...]


class ShutdownRequested(NamedTuple):
    """Report that this instance is to shut down gracefully."""


class IncarnationSuperseded(NamedTuple):
    """Tell the shell which newer incarnation has replaced this one."""

    incarnation: str
