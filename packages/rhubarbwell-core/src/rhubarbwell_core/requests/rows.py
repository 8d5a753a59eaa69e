"""Store the state of requests that have not ended."""

from typing import NamedTuple

from rhubarbwell_core.messages import RequestArrived

__all__ = ["RequestRow"]


class RequestRow(NamedTuple):
    """Hold a request that has not ended, and its attempts.

    attempts holds the ids of the open attempts, tried_targets the targets of all
    attempts, answering_attempt the attempt that has returned headers and sent_ms
    the time of the last attempt. may_have_run is set once an attempt has ended with
    an unknown outcome.
    """

    request: RequestArrived
    attempts: tuple[str, ...] = ()
    tried_targets: tuple[str, ...] = ()
    is_admitted: bool = False
    may_have_run: bool = False
    answering_attempt: str | None = None
    sent_ms: int = 0

    def without_attempt(self, attempt_id: str) -> "RequestRow":
        """Return a copy of the row without one of its open attempts."""
        rest = tuple(other for other in self.attempts if other != attempt_id)
        return self._replace(attempts=rest)
