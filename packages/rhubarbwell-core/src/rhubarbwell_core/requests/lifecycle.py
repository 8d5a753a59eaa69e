"""The way of a request: admission, attempts, outcome."""

from collections.abc import Mapping, Sequence

from rhubarbwell_core.admission import Admission, Admitted, Refused
from rhubarbwell_core.engine import (
    Action,
    EventHandler,
    Part,
    PeriodicCall,
    System,
    Table,
)
from rhubarbwell_core.keys import KeyedPart
from rhubarbwell_core.messages import (
    AttemptEnded,
    AttemptHeadersReceived,
    CallerGone,
    CancelAttempt,
    EndRequest,
    RequestArrived,
    SendAttempt,
    ShutdownForced,
    Target,
)
from rhubarbwell_core.model import Outcome, Reason
from rhubarbwell_core.requests.hedging import hedge_due_ms, may_hedge
from rhubarbwell_core.requests.judgement import judge_attempt
from rhubarbwell_core.requests.rows import RequestRow
from rhubarbwell_core.routing import RetryBudget, RouteChooser

__all__ = ["RequestPart"]

MAX_ATTEMPTS = 3
QUEUE_PERIOD_MS = 10
HEDGE_PERIOD_MS = 50


class RequestPart(Part):
    """Lead each request from its arrival to its one outcome."""

    def __init__(
        self,
        incarnation: str,
        admission: Admission,
        routes: RouteChooser,
        retries: RetryBudget,
        keys: KeyedPart | None = None,
    ) -> None:
        self.requests = Table[int, RequestRow]("requests")
        self.attempts = Table[str, int]("attempts")
        self._incarnation = incarnation
        self._admission = admission
        self._routes = routes
        self._retries = retries
        self._keys = keys or KeyedPart(incarnation, lambda owner: None)
        self._next_attempt = 0
        self._keys.start_with(self._begin)

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of request events."""
        return {
            RequestArrived: self._on_arrived,
            AttemptHeadersReceived: self._on_headers,
            AttemptEnded: self._on_attempt_ended,
            CallerGone: self._on_caller_gone,
            ShutdownForced: self._on_stop_now,
        }

    def systems(self) -> Sequence[System]:
        """Return the systems that serve the queue and hedge silent attempts."""
        return (
            PeriodicCall(QUEUE_PERIOD_MS, self.drain_queue),
            PeriodicCall(HEDGE_PERIOD_MS, self.hedge_silent),
        )

    def drain_queue(self, now_ms: int) -> list[Action]:
        """Start or refuse the queued requests whose turn has come."""
        actions: list[Action] = []
        for decision in self._admission.dispatch_queued(now_ms):
            if isinstance(decision, Admitted):
                actions += self._start(decision.request_id, now_ms)
            else:
                actions += self._forward_or_refuse(decision, now_ms)
        return actions

    def hedge_silent(self, now_ms: int) -> list[Action]:
        """Start second attempts for idempotent requests without an answer."""
        actions: list[Action] = []
        for row in self.requests.rows():
            if may_hedge(row) and hedge_due_ms(row) <= now_ms:
                actions += self._hedge(row, now_ms)
        return actions

    def _on_arrived(self, event: RequestArrived, now_ms: int) -> list[Action]:
        if self._keys.concerns(event):
            return self._keys.arrived(event, now_ms)
        return self._begin(event, now_ms)

    def _begin(self, event: RequestArrived, now_ms: int) -> list[Action]:
        if event.forwarded and not self._routes.accept_forwarded(event, now_ms):
            return [EndRequest(event.request_id, Outcome.NOT_RUN, Reason.NO_CAPACITY)]
        self.requests.insert(event.request_id, RequestRow(event))
        forwarding = self._forward(event.request_id, now_ms, refused=False)
        if forwarding:
            return forwarding
        return self._admit(event, now_ms)

    def _on_headers(self, event: AttemptHeadersReceived, now_ms: int) -> list[Action]:
        request_id = self.attempts.get(event.attempt_id)
        row = None if request_id is None else self.requests.get(request_id)
        if request_id is None or row is None or row.answering is not None:
            return []
        self.requests.put(request_id, row._replace(answering=event.attempt_id))
        return _cancel_all(row.without(event.attempt_id))

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> list[Action]:
        request_id = self.attempts.remove(event.attempt_id)
        if request_id is None:
            return self._keys.waiting.attempt_ended(event)
        self._routes.attempt_ended(event, now_ms)
        row = self.requests.get(request_id)
        if row is None:
            return []
        if row.is_admitted:
            self._admission.observe(request_id, event, now_ms)
        return self._judge(row.without(event.attempt_id), event, now_ms)

    def _judge(self, row: RequestRow, event: AttemptEnded, now_ms: int) -> list[Action]:
        verdict = judge_attempt(event, idempotent=row.arrived.idempotent)
        if verdict.outcome is Outcome.UNKNOWN:
            row = row._replace(may_have_run=True)
        request_id = row.arrived.request_id
        self.requests.put(request_id, row)
        is_final = row.answering == event.attempt_id
        if row.attempts and not is_final:
            return []
        may_retry = verdict.may_retry and event.body_replayable and not is_final
        if may_retry and self._may_send_again(row, now_ms):
            return self._send_again(row, now_ms)
        end = self._end(request_id, verdict.outcome, verdict.reason, now_ms, event)
        return end if is_final else [*_cancel_all(row), *end]

    def _on_caller_gone(self, event: CallerGone, now_ms: int) -> list[Action]:
        row = self.requests.get(event.request_id)
        if row is None:
            return self._keys.waiting.caller_gone(event.request_id)
        if row.attempts:
            is_keyed = self._keys.is_running(event.request_id)
            return [] if is_keyed else _cancel_all(row)
        self._admission.withdraw(event.request_id, now_ms)
        return self._end(event.request_id, Outcome.NOT_RUN, Reason.CALLER_GONE, now_ms)

    def _on_stop_now(self, event: ShutdownForced, now_ms: int) -> list[Action]:
        actions = self._keys.waiting.stop()
        for row in self.requests.rows():
            request_id = row.arrived.request_id
            self._admission.withdraw(request_id, now_ms)
            actions += _cancel_all(row)
            actions += self._finish(
                request_id, Outcome.UNKNOWN, Reason.STOPPING, now_ms
            )
        return actions

    def _hedge(self, row: RequestRow, now_ms: int) -> list[Action]:
        if not self._may_send_again(row, now_ms):
            return []
        attempt_id = self._attempt_id()
        target = self._routes.choose(
            row.arrived, attempt_id, exclude=row.tried, now_ms=now_ms
        )
        if target is None:
            return []
        fresh = target._replace(fresh_connection=True)
        return self._send_to(fresh, row.arrived.request_id, now_ms)

    def _may_send_again(self, row: RequestRow, now_ms: int) -> bool:
        if len(row.tried) >= MAX_ATTEMPTS or now_ms >= row.arrived.deadline_ms:
            return False
        return self._retries.try_spend(row.arrived.service, row.arrived.rank)

    def _send_again(self, row: RequestRow, now_ms: int) -> list[Action]:
        if row.is_admitted:
            return self._send(row.arrived.request_id, now_ms)
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
            return forwarding or self._finish(
                request_id, Outcome.NOT_RUN, Reason.NO_BACKEND, now_ms
            )
        return self._send_to(target, request_id, now_ms)

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
        return [] if target is None else self._send_to(target, request_id, now_ms)

    def _forward_or_refuse(self, refused: Refused, now_ms: int) -> list[Action]:
        forwarding = self._forward(refused.request_id, now_ms, refused=True)
        return forwarding or self._refuse(refused, now_ms)

    def _attempt_id(self) -> str:
        return f"{self._incarnation}-{self._next_attempt}"

    def _send_to(self, target: Target, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        if not row.tried:
            self._retries.first_attempt(row.arrived.service)
        attempt_id = self._attempt_id()
        self._next_attempt += 1
        sent = row._replace(
            attempts=(*row.attempts, attempt_id),
            tried=(*row.tried, target.target_id),
            sent_ms=now_ms,
        )
        self.requests.put(request_id, sent)
        self.attempts.insert(attempt_id, request_id)
        deadline_ms = row.arrived.deadline_ms
        fresh = target.fresh_connection
        return [SendAttempt(request_id, attempt_id, target, deadline_ms, fresh)]

    def _refuse(self, refused: Refused, now_ms: int) -> list[Action]:
        return self._finish(refused.request_id, Outcome.NOT_RUN, refused.reason, now_ms)

    def _end(
        self,
        request_id: int,
        outcome: Outcome,
        reason: Reason,
        now_ms: int,
        ended: AttemptEnded | None = None,
    ) -> list[Action]:
        end = self._finish(request_id, outcome, reason, now_ms, ended)
        return [*end, *self.drain_queue(now_ms)]

    def _finish(
        self,
        request_id: int,
        outcome: Outcome,
        reason: Reason,
        now_ms: int,
        ended: AttemptEnded | None = None,
    ) -> list[Action]:
        row = self._forget(request_id, now_ms)
        if row.is_admitted:
            self._admission.release(request_id, now_ms)
        if outcome is Outcome.NOT_RUN and row.may_have_run:
            outcome = Outcome.UNKNOWN
        end = EndRequest(request_id, outcome, reason)
        if not self._keys.is_running(request_id):
            return [end]
        repeats = self._keys.run_ended(
            request_id,
            outcome,
            reason,
            now_ms,
            status=None if ended is None else ended.status,
            answer=None if ended is None else ended.answer,
        )
        return [end, *repeats]

    def _forget(self, request_id: int, now_ms: int) -> RequestRow:
        row = self.requests[request_id]
        self.requests.remove(request_id)
        if row.arrived.forwarded is not None:
            self._routes.forwarded_ended(row.arrived, now_ms)
        return row


def _cancel_all(row: RequestRow) -> list[Action]:
    return [CancelAttempt(attempt_id) for attempt_id in row.attempts]
