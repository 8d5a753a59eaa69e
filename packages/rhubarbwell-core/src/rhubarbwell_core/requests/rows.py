"""Rows of requests that have not ended."""

from typing import NamedTuple

from rhubarbwell_core.messages import RequestArrived

__all__ = ["RequestRow"]


class RequestRow(NamedTuple):
    """Hold a request that has not ended and its attempts that are under way."""

    request: RequestArrived
    attempts: tuple[str, ...] = ()
    tried_targets: tuple[str, ...] = ()
    is_admitted: bool = False
    may_have_run: bool = False
    answering_attempt: str | None = None
    sent_ms: int = 0

    def without_attempt(self, attempt_id: str) -> "RequestRow":
        """Return the row without an attempt that has ended."""
        rest = tuple(other for other in self.attempts if other != attempt_id)
        return self._replace(attempts=rest)
