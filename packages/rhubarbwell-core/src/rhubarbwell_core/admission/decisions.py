"""Define the interface of admission control and its decisions."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from rhubarbwell_core.messages import AttemptEnded, RequestArrived
from rhubarbwell_core.model import Configuration, Reason

__all__ = ["Admission", "Admitted", "Queued", "Refused"]


class Admitted(NamedTuple):
    """Represent the decision to start a request now."""

    request_id: int


class Queued(NamedTuple):
    """Represent the decision to queue a request.

    A later call of dispatch_queued admits or refuses it.
    """

    request_id: int


class Refused(NamedTuple):
    """Represent the decision to refuse a request that has not been run."""

    request_id: int
    reason: Reason


class Admission(ABC):
    """Decide which requests may start, by rank and capacity."""

    @abstractmethod
    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply a configuration."""

    @abstractmethod
    def offer(self, req: RequestArrived, now_ms: int) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a new request."""

    @abstractmethod
    def dispatch_queued(self, now_ms: int) -> list[Admitted | Refused]:
        """Admit or refuse queued requests and return the decisions."""

    @abstractmethod
    def withdraw(self, request_id: int, now_ms: int) -> None:
        """Remove a queued request whose caller has disconnected."""

    @abstractmethod
    def observe(self, request_id: int, ended: AttemptEnded, now_ms: int) -> None:
        """Update the limit with the result of an admitted request's attempt."""

    @abstractmethod
    def release(self, request_id: int, now_ms: int) -> None:
        """Release the slot of an admitted request that has ended."""

    @abstractmethod
    def concurrency_limit(self, service: str) -> int:
        """Return how many of a service's requests this instance may run at once.

        The result is 0 for an unknown service.
        """
