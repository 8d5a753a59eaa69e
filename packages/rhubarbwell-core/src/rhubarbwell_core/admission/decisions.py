"""Decisions of admission."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from rhubarbwell_core.messages import AttemptEnded, RequestArrived
from rhubarbwell_core.model import Configuration, Reason

__all__ = ["Admission", "Admitted", "Queued", "Refused"]


class Admitted(NamedTuple):
    """Let a request start now."""

    request_id: int


class Queued(NamedTuple):
    """Keep a request until a later drain admits or refuses it."""

    request_id: int


class Refused(NamedTuple):
    """Refuse a request that has not been run."""

    request_id: int
    reason: Reason


class Admission(ABC):
    """Decide which requests may start, by rank and capacity."""

    @abstractmethod
    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take a configuration into force."""

    @abstractmethod
    def offer(self, req: RequestArrived, now_ms: int) -> Admitted | Queued | Refused:
        """Decide on a request that has just arrived."""

    @abstractmethod
    def dispatch_queued(self, now_ms: int) -> list[Admitted | Refused]:
        """Return the decisions that queued requests have come to."""

    @abstractmethod
    def withdraw(self, request_id: int, now_ms: int) -> None:
        """Forget a queued request whose caller has gone."""

    @abstractmethod
    def observe(self, request_id: int, ended: AttemptEnded, now_ms: int) -> None:
        """Learn from the end of an attempt of an admitted request."""

    @abstractmethod
    def release(self, request_id: int, now_ms: int) -> None:
        """Return the capacity of an admitted request that has ended."""

    @abstractmethod
    def concurrency_limit(self, service: str) -> int:
        """Return the requests of a service that may run at once, 0 if unknown."""
