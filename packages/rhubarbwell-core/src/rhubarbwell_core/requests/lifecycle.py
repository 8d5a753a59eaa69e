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
    Target,
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
    is_admitted: bool = False


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
                actions += self._start(decision.request_id, now_ms)
            else:
                actions += self._forward_or_refuse(decision, now_ms)
        return actions

    def _on_arrived(self, event: RequestArrived, now_ms: int) -> list[Action]:
        if event.forwarded and not self._routes.accept_forwarded(event, now_ms):
            return [EndRequest(event.request_id, Outcome.NOT_RUN, Reason.NO_CAPACITY)]
        self.requests.insert(event.request_id, RequestRow(event))
        forwarding = self._forward(event.request_id, now_ms, refused=False)
        if forwarding:
            return forwarding
        return self._admit(event, now_ms)

    def _on_headers(self, event: AttemptHeadersReceived, now_ms: int) -> list[Action]:
        return []

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> list[Action]:
        request_id = self.attempts.remove(event.attempt_id)
        row = None if request_id is None else self.requests.get(request_id)
        if request_id is None or row is None:
            return []
        self._routes.attempt_ended(event, now_ms)
        if row.is_admitted:
            self._admission.observe(request_id, event, now_ms)
        verdict = judge_attempt(event, idempotent=row.arrived.idempotent)
        may_retry = verdict.may_retry and event.body_replayable
        if may_retry and self._may_send_again(row, now_ms):
            return self._send_again(row, now_ms)
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

    def _send_again(self, row: RequestRow, now_ms: int) -> list[Action]:
        if row.is_admitted:
            return self._send(row.arrived.request_id, now_ms)
        self.requests.put(row.arrived.request_id, row._replace(attempt_id=None))
        return self._admit(row.arrived, now_ms)

    def _admit(self, req: RequestArrived, now_ms: int) -> list[Action]:
        decision = self._admission.offer(req, now_ms)
        if isinstance(decision, Refused):
            return self._forward_or_refuse(decision, now_ms)
        if isinstance(decision, Admitted):
            return self._start(req.request_id, now_ms)
        return []

    def _start(self, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        self.requests.put(request_id, row._replace(is_admitted=True))
        return self._send(request_id, now_ms)

    def _send(self, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        target = self._routes.choose(
            row.arrived, self._attempt_id(), exclude=row.tried, now_ms=now_ms
        )
        if target is None:
            forwarding = self._forward(request_id, now_ms, refused=True)
            return forwarding or [
                self._finish(request_id, Outcome.NOT_RUN, Reason.NO_BACKEND, now_ms)
            ]
        return self._send_to(target, request_id)

    def _forward(self, request_id: int, now_ms: int, *, refused: bool) -> list[Action]:
        row = self.requests[request_id]
        if row.arrived.forwarded is not None:
            return []
        target = self._routes.forward(
            row.arrived,
            self._attempt_id(),
            exclude=row.tried,
            refused=refused,
            now_ms=now_ms,
        )
        return [] if target is None else self._send_to(target, request_id)

    def _forward_or_refuse(self, refused: Refused, now_ms: int) -> list[Action]:
        forwarding = self._forward(refused.request_id, now_ms, refused=True)
        return forwarding or self._refuse(refused, now_ms)

    def _attempt_id(self) -> str:
        return f"{self._incarnation}-{self._next_attempt}"

    def _send_to(self, target: Target, request_id: int) -> list[Action]:
        row = self.requests[request_id]
        if not row.tried:
            self._retries.first_attempt(row.arrived.service)
        attempt_id = self._attempt_id()
        self._next_attempt += 1
        tried = (*row.tried, target.target_id)
        self.requests.put(request_id, row._replace(attempt_id=attempt_id, tried=tried))
        self.attempts.insert(attempt_id, request_id)
        deadline_ms = row.arrived.deadline_ms
        fresh = target.fresh_connection
        return [SendAttempt(request_id, attempt_id, target, deadline_ms, fresh)]

    def _refuse(self, refused: Refused, now_ms: int) -> list[Action]:
        self._forget(refused.request_id, now_ms)
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
        row = self._forget(request_id, now_ms)
        if row.is_admitted:
            self._admission.release(request_id, now_ms)
        return EndRequest(request_id, outcome, reason)

    def _forget(self, request_id: int, now_ms: int) -> RequestRow:
        row = self.requests[request_id]
        self.requests.remove(request_id)
        if row.arrived.forwarded is not None:
            self._routes.forwarded_ended(row.arrived, now_ms)
        return row


class _QueueSystem(System):
    period_ms = 10

    def __init__(self, part: RequestPart) -> None:
        self._part = part

    def run(self, now_ms: int) -> Sequence[Action]:
        return self._part.drain_queue(now_ms)
