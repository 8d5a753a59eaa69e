"""Interface of the platform's eventually consistent list of instances."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.model import Address

__all__ = [
    "InstanceList",
    "InstanceListing",
    "ListedBackend",
    "ListedInstance",
    "ListedState",
]


class ListedState(Enum):
    """Represent whether the platform keeps an instance or is removing it."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(NamedTuple):
    """Hold an entry instance and its addresses for peers and operators."""

    instance_id: str
    zone: str
    peers: Address
    operators: Address
    state: ListedState = ListedState.LIVE


class ListedBackend(NamedTuple):
    """Hold a backend server of a service."""

    backend_id: str
    service: str
    zone: str
    state: ListedState = ListedState.LIVE


class InstanceListing(NamedTuple):
    """Hold the instances and backend servers known to the platform at listed_at_ms."""

    listed_at_ms: int
    instances: tuple[ListedInstance, ...] = ()
    backends: tuple[ListedBackend, ...] = ()


class InstanceList(ABC):
    """Read the list of instances and backend servers, which may be stale."""

    @abstractmethod
    async def read(self) -> InstanceListing:
        """Return the listing; raise UnavailableError."""
