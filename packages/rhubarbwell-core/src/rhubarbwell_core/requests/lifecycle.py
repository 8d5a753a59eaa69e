"""The way of a request: admission, attempts, outcome."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from rhubarbwell_core.admission import Admission, Admitted, Refused
from rhubarbwell_core.engine import Action, EventHandler, Part, System, Table
from rhubarbwell_core.messages import (
    AttemptEnded,
    AttemptHeadersReceived,
    CallerGone,
    CancelAttempt,
    EndRequest,
    RequestArrived,
    SendAttempt,
)
from rhubarbwell_core.model import Outcome, Reason
from rhubarbwell_core.requests.judgement import judge_attempt
from rhubarbwell_core.routing import RetryBudget, RouteChooser

__all__ = ["RequestPart", "RequestRow"]

MAX_ATTEMPTS = 3


class RequestRow(NamedTuple):
    """Hold a request that has not ended."""

    arrived: RequestArrived
    attempt_id: str | None = None
    tried: tuple[str, ...] = ()


class RequestPart(Part):
    """Lead each request from its arrival to its one outcome."""

    def __init__(
        self,
        incarnation: str,
        admission: Admission,
        routes: RouteChooser,
        retries: RetryBudget,
    ) -> None:
        self.requests = Table[int, RequestRow]("requests")
        self.attempts = Table[str, int]("attempts")
        self._incarnation = incarnation
        self._admission = admission
        self._routes = routes
        self._retries = retries
        self._next_attempt = 0

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of request events."""
        return {
            RequestArrived: self._on_arrived,
            AttemptHeadersReceived: self._on_headers,
            AttemptEnded: self._on_attempt_ended,
            CallerGone: self._on_caller_gone,
        }

    def systems(self) -> Sequence[System]:
        """Return the system that starts and refuses queued requests."""
        return (_QueueSystem(self),)

    def drain_queue(self, now_ms: int) -> list[Action]:
        """Start or refuse the queued requests whose turn has come."""
        actions: list[Action] = []
        for decision in self._admission.drain(now_ms):
            if isinstance(decision, Admitted):
                actions += self._send(decision.request_id, now_ms)
            else:
                actions += self._refuse(decision)
        return actions

    def _on_arrived(self, event: RequestArrived, now_ms: int) -> list[Action]:
        self.requests.insert(event.request_id, RequestRow(event))
        decision = self._admission.offer(event, now_ms)
        if isinstance(decision, Refused):
            return self._refuse(decision)
        if isinstance(decision, Admitted):
            return self._send(event.request_id, now_ms)
        return []

    def _on_headers(self, event: AttemptHeadersReceived, now_ms: int) -> list[Action]:
        return []

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> list[Action]:
        request_id = self.attempts.remove(event.attempt_id)
        row = None if request_id is None else self.requests.get(request_id)
        if request_id is None or row is None:
            return []
        self._routes.attempt_ended(event, now_ms)
        self._admission.observe(request_id, event, now_ms)
        verdict = judge_attempt(event, idempotent=row.arrived.idempotent)
        may_retry = verdict.may_retry and event.body_replayable
        if may_retry and self._may_send_again(row, now_ms):
            return self._send(request_id, now_ms)
        return self._end(request_id, verdict.outcome, verdict.reason, now_ms)

    def _on_caller_gone(self, event: CallerGone, now_ms: int) -> list[Action]:
        row = self.requests.get(event.request_id)
        if row is None:
            return []
        if row.attempt_id is not None:
            return [CancelAttempt(row.attempt_id)]
        self._admission.withdraw(event.request_id, now_ms)
        return self._end(event.request_id, Outcome.NOT_RUN, Reason.CALLER_GONE, now_ms)

    def _may_send_again(self, row: RequestRow, now_ms: int) -> bool:
        if len(row.tried) >= MAX_ATTEMPTS or now_ms >= row.arrived.deadline_ms:
            return False
        return self._retries.try_spend(row.arrived.service, row.arrived.rank)

    def _send(self, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        attempt_id = f"{self._incarnation}-{self._next_attempt}"
        target = self._routes.choose(
            row.arrived, attempt_id, exclude=row.tried, now_ms=now_ms
        )
        if target is None:
            return [
                self._finish(request_id, Outcome.NOT_RUN, Reason.NO_BACKEND, now_ms)
            ]
        if not row.tried:
            self._retries.first_attempt(row.arrived.service)
        self._next_attempt += 1
        tried = (*row.tried, target.target_id)
        self.requests.put(request_id, RequestRow(row.arrived, attempt_id, tried))
        self.attempts.insert(attempt_id, request_id)
        deadline_ms = row.arrived.deadline_ms
        fresh = target.fresh_connection
        return [SendAttempt(request_id, attempt_id, target, deadline_ms, fresh)]

    def _refuse(self, refused: Refused) -> list[Action]:
        self.requests.remove(refused.request_id)
        end = EndRequest(refused.request_id, Outcome.NOT_RUN, refused.reason)
        return [end]

    def _end(
        self, request_id: int, outcome: Outcome, reason: Reason, now_ms: int
    ) -> list[Action]:
        end = self._finish(request_id, outcome, reason, now_ms)
        return [end, *self.drain_queue(now_ms)]

    def _finish(
        self, request_id: int, outcome: Outcome, reason: Reason, now_ms: int
    ) -> Action:
        self.requests.remove(request_id)
        self._admission.release(request_id, now_ms)
        return EndRequest(request_id, outcome, reason)


class _QueueSystem(System):
    period_ms = 10

    def __init__(self, part: RequestPart) -> None:
        self._part = part

    def run(self, now_ms: int) -> Sequence[Action]:
        return self._part.drain_queue(now_ms)
