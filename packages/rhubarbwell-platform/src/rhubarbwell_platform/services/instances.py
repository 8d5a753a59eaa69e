"""The platform's lagging list of live and leaving instances."""

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
    """Tell whether the platform means to keep an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(NamedTuple):
    """Name an entry instance and where its peers and operators reach it."""

    instance_id: str
    zone: str
    peers: Address
    operators: Address
    state: ListedState = ListedState.LIVE


class ListedBackend(NamedTuple):
    """Name a backend server of a service."""

    backend_id: str
    service: str
    zone: str
    state: ListedState = ListedState.LIVE


class InstanceListing(NamedTuple):
    """Hold the list as the platform knew it at listed_at_ms."""

    listed_at_ms: int
    instances: tuple[ListedInstance, ...] = ()
    backends: tuple[ListedBackend, ...] = ()


class InstanceList(ABC):
    """Read the list of instances and backend servers, which may be stale."""

    @abstractmethod
    async def read(self) -> InstanceListing:
        """Return the list; raise UnavailableError."""
