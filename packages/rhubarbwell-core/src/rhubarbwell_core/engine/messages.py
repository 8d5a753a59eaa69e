"""The common shape of events and actions."""

from typing import Any, Protocol

__all__ = ["Action", "Event", "Message"]


class Message(Protocol):
    """Stand for any NamedTuple that enters or leaves the core."""

    def _asdict(self) -> dict[str, Any]: ...


Event = Message
Action = Message
