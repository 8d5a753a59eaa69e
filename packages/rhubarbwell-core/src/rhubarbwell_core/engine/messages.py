"""Define the protocol that events and actions share."""

from typing import Any, Protocol

__all__ = ["Action", "Event", "Message"]


class Message(Protocol):
    """Represent any NamedTuple that enters or leaves the core."""

    def _asdict(self) -> dict[str, Any]: ...


Event = Message
Action = Message
