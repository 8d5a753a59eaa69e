"""Define systems, which run periodically, and parts, which group them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from rhubarbwell_core.engine.messages import Action

__all__ = ["EventHandler", "Part", "PeriodicCall", "System"]

EventHandler = Callable[[Any, int], Sequence[Action]]


class System(ABC):
    """Represent a task that updates the tables of its part every period_ms."""

    period_ms: int = 100

    @abstractmethod
    def run(self, now_ms: int) -> Sequence[Action]:
        """Update the tables to now_ms and return the actions to carry out."""


class PeriodicCall(System):
    """Represent a function that runs every period_ms and may return actions.

    >>> PeriodicCall(100, lambda now_ms: None).run(100)
    ()
    """

    def __init__(
        self, period_ms: int, call: Callable[[int], Sequence[Action] | None]
    ) -> None:
        self.period_ms = period_ms
        self._call = call

    def run(self, now_ms: int) -> Sequence[Action]:
        """Call the function and return its actions."""
        return self._call(now_ms) or ()


class Part(ABC):
    """Represent a component that adds event handlers and systems to a core."""

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handler of each event type that the part handles."""
        return {}

    def systems(self) -> Sequence[System]:
        """Return the systems that run periodically."""
        return ()
