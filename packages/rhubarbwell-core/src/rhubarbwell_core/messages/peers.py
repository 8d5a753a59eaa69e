"""States and records that entry instances announce to each other."""

from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = ["PeerRecord", "PeerState"]


class PeerState(Enum):
    """State whether an entry instance is joining, ready or leaving."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"


class PeerRecord(NamedTuple):
    """Hold what an entry instance announces about itself.

    generation orders the incarnations of an instance id, sequence the changes
    of one incarnation. load is the used fraction of capacity, 0 to 1.
    """

    instance_id: str
    incarnation: str
    zone: str
    region: str
    callers: Address
    peers: Address
    state: PeerState
    config_version: int
    sequence: int
    load: float = 0.0
    generation: int = 0
