"""Track each request through admission, its attempts and its single outcome."""

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
from rhubarbwell_core.keys import KeyedRequests
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
from rhubarbwell_core.requests.attempt_outcomes import attempt_outcome
from rhubarbwell_core.requests.hedging import hedge_due_ms, may_hedge
from rhubarbwell_core.requests.rows import RequestRow
from rhubarbwell_core.routing import RetryBudget, RouteChooser

__all__ = ["RequestLifecycle"]

MAX_ATTEMPTS = 3
QUEUE_PERIOD_MS = 10
HEDGE_PERIOD_MS = 50


class RequestLifecycle(Part):
    """Drive each request from its arrival to its single outcome."""

    def __init__(
        self,
        incarnation: str,
        admission: Admission,
        routes: RouteChooser,
        retry_budget: RetryBudget,
        keys: KeyedRequests | None = None,
    ) -> None:
        self.requests = Table[int, RequestRow]("requests")
        self.attempts = Table[str, int]("attempts")
        self._incarnation = incarnation
        self._admission = admission
        self._routes = routes
        self._retry_budget = retry_budget
        self._keys = keys or KeyedRequests(incarnation, lambda owner: None)
        self._next_attempt_number = 0
        self._keys.set_starter(self._accept_request)

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of request events."""
        return {
            RequestArrived: self._on_arrived,
            AttemptHeadersReceived: self._on_headers,
            AttemptEnded: self._on_attempt_ended,
            CallerGone: self._on_caller_gone,
            ShutdownForced: self._on_shutdown_forced,
        }

    def systems(self) -> Sequence[System]:
        """Return the periodic calls that drain the queue and send hedges."""
        return (
            PeriodicCall(QUEUE_PERIOD_MS, self.drain_queue),
            PeriodicCall(HEDGE_PERIOD_MS, self.send_hedges),
        )

    def drain_queue(self, now_ms: int) -> list[Action]:
        """Start, forward or refuse the queued requests as admission decides."""
        actions: list[Action] = []
        for decision in self._admission.dispatch_queued(now_ms):
            if isinstance(decision, Admitted):
                actions += self._start_admitted(decision.request_id, now_ms)
            else:
                actions += self._forward_or_refuse(decision, now_ms)
        return actions

    def send_hedges(self, now_ms: int) -> list[Action]:
        """Send second attempts of idempotent requests that are still unanswered."""
        actions: list[Action] = []
        for row in self.requests.rows():
            if may_hedge(row) and hedge_due_ms(row) <= now_ms:
                actions += self._send_hedge(row, now_ms)
        return actions

    def _on_arrived(self, event: RequestArrived, now_ms: int) -> list[Action]:
        if self._keys.is_keyed(event):
            return self._keys.handle_request(event, now_ms)
        return self._accept_request(event, now_ms)

    def _accept_request(self, event: RequestArrived, now_ms: int) -> list[Action]:
        if event.forwarded and not self._routes.accept_forwarded(event, now_ms):
            return [EndRequest(event.request_id, Outcome.NOT_RUN, Reason.NO_CAPACITY)]
        self.requests.insert(event.request_id, RequestRow(event))
        forwarding = self._try_forward(event.request_id, now_ms, refused=False)
        if forwarding:
            return forwarding
        return self._admit_request(event, now_ms)

    def _on_headers(self, event: AttemptHeadersReceived, now_ms: int) -> list[Action]:
        request_id = self.attempts.get(event.attempt_id)
        row = None if request_id is None else self.requests.get(request_id)
        if request_id is None or row is None or row.answering_attempt is not None:
            return []
        self.requests.put(request_id, row._replace(answering_attempt=event.attempt_id))
        return _cancel_attempts(row.without_attempt(event.attempt_id))

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> list[Action]:
        request_id = self.attempts.remove(event.attempt_id)
        if request_id is None:
            return self._keys.waiting.handle_attempt_ended(event)
        self._routes.record_attempt_end(event, now_ms)
        row = self.requests.get(request_id)
        if row is None:
            return []
        if row.is_admitted:
            self._admission.observe(request_id, event, now_ms)
        return self._retry_or_end(row.without_attempt(event.attempt_id), event, now_ms)

    def _retry_or_end(
        self, row: RequestRow, event: AttemptEnded, now_ms: int
    ) -> list[Action]:
        result = attempt_outcome(event, idempotent=row.request.idempotent)
        if result.outcome is Outcome.UNKNOWN:
            row = row._replace(may_have_run=True)
        request_id = row.request.request_id
        self.requests.put(request_id, row)
        is_final = row.answering_attempt == event.attempt_id
        if row.attempts and not is_final:
            return []
        may_retry = result.may_retry and event.body_replayable and not is_final
        if may_retry and self._try_reserve_retry(row, event, now_ms):
            reason = (
                result.reason if event.end.is_connect_failure else Reason.NO_BACKEND
            )
            return self._retry_request(row, now_ms, reason)
        end = self._end_request_and_drain_queue(
            request_id, result.outcome, result.reason, now_ms, event
        )
        return end if is_final else [*_cancel_attempts(row), *end]

    def _on_caller_gone(self, event: CallerGone, now_ms: int) -> list[Action]:
        row = self.requests.get(event.request_id)
        if row is None:
            return self._keys.waiting.handle_caller_gone(event.request_id)
        if row.attempts:
            # A keyed run goes on without its caller; repeats get its answer.
            is_running = self._keys.is_running(event.request_id)
            return [] if is_running else _cancel_attempts(row)
        self._admission.withdraw(event.request_id, now_ms)
        return self._end_request_and_drain_queue(
            event.request_id, Outcome.NOT_RUN, Reason.CALLER_GONE, now_ms
        )

    def _on_shutdown_forced(self, event: ShutdownForced, now_ms: int) -> list[Action]:
        actions = self._keys.waiting.end_all()
        for row in self.requests.rows():
            request_id = row.request.request_id
            self._admission.withdraw(request_id, now_ms)
            actions += _cancel_attempts(row)
            actions += self._end_request(
                request_id, Outcome.UNKNOWN, Reason.STOPPING, now_ms
            )
        return actions

    def _send_hedge(self, row: RequestRow, now_ms: int) -> list[Action]:
        if not self._try_spend_retry(row, now_ms):
            return []
        attempt_id = self._next_attempt_id()
        target = self._routes.choose(
            row.request, attempt_id, exclude=row.tried_targets, now_ms=now_ms
        )
        if target is None:
            return []
        fresh = target._replace(fresh_connection=True)
        return self._send_to(fresh, row.request.request_id, now_ms)

    def _try_reserve_retry(
        self, row: RequestRow, event: AttemptEnded, now_ms: int
    ) -> bool:
        """Return True if the request may be retried after an ended attempt.

        An attempt without a connection adds no load, so its retry costs no budget.
        """
        if event.end.is_connect_failure and not event.bytes_sent:
            return _may_attempt(row, now_ms)
        return self._try_spend_retry(row, now_ms)

    def _try_spend_retry(self, row: RequestRow, now_ms: int) -> bool:
        if not _may_attempt(row, now_ms):
            return False
        return self._retry_budget.try_spend(row.request.service, row.request.rank)

    def _retry_request(
        self, row: RequestRow, now_ms: int, no_target_reason: Reason
    ) -> list[Action]:
        if row.is_admitted:
            return self._send_attempt(
                row.request.request_id, now_ms, no_target_reason=no_target_reason
            )
        return self._admit_request(row.request, now_ms)

    def _admit_request(self, req: RequestArrived, now_ms: int) -> list[Action]:
        decision = self._admission.offer(req, now_ms)
        if isinstance(decision, Refused):
            return self._forward_or_refuse(decision, now_ms)
        if isinstance(decision, Admitted):
            return self._start_admitted(req.request_id, now_ms)
        return []

    def _start_admitted(self, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        self.requests.put(request_id, row._replace(is_admitted=True))
        return self._send_attempt(request_id, now_ms)

    def _send_attempt(
        self,
        request_id: int,
        now_ms: int,
        *,
        no_target_reason: Reason = Reason.NO_BACKEND,
    ) -> list[Action]:
        row = self.requests[request_id]
        target = self._routes.choose(
            row.request,
            self._next_attempt_id(),
            exclude=row.tried_targets,
            now_ms=now_ms,
        )
        if target is None:
            forwarding = self._try_forward(request_id, now_ms, refused=True)
            return forwarding or self._end_request(
                request_id, Outcome.NOT_RUN, no_target_reason, now_ms
            )
        return self._send_to(target, request_id, now_ms)

    def _try_forward(
        self, request_id: int, now_ms: int, *, refused: bool
    ) -> list[Action]:
        row = self.requests[request_id]
        if row.request.forwarded is not None:
            return []
        target = self._routes.choose_peer(
            row.request,
            self._next_attempt_id(),
            exclude=row.tried_targets,
            refused=refused,
            now_ms=now_ms,
        )
        return [] if target is None else self._send_to(target, request_id, now_ms)

    def _forward_or_refuse(self, refused: Refused, now_ms: int) -> list[Action]:
        forwarding = self._try_forward(refused.request_id, now_ms, refused=True)
        return forwarding or self._refuse_request(refused, now_ms)

    # The id stays the same until _send_to uses it: the route chooser counts an attempt
    # under the id with which it is sent.
    def _next_attempt_id(self) -> str:
        return f"{self._incarnation}-{self._next_attempt_number}"

    def _send_to(self, target: Target, request_id: int, now_ms: int) -> list[Action]:
        row = self.requests[request_id]
        if not row.tried_targets:
            self._retry_budget.record_first_attempt(row.request.service)
        attempt_id = self._next_attempt_id()
        self._next_attempt_number += 1
        sent = row._replace(
            attempts=(*row.attempts, attempt_id),
            tried_targets=(*row.tried_targets, target.target_id),
            sent_ms=now_ms,
        )
        self.requests.put(request_id, sent)
        self.attempts.insert(attempt_id, request_id)
        deadline_ms = row.request.deadline_ms
        fresh = target.fresh_connection
        return [SendAttempt(request_id, attempt_id, target, deadline_ms, fresh)]

    def _refuse_request(self, refused: Refused, now_ms: int) -> list[Action]:
        return self._end_request(
            refused.request_id, Outcome.NOT_RUN, refused.reason, now_ms
        )

    def _end_request_and_drain_queue(
        self,
        request_id: int,
        outcome: Outcome,
        reason: Reason,
        now_ms: int,
        ended: AttemptEnded | None = None,
    ) -> list[Action]:
        end = self._end_request(request_id, outcome, reason, now_ms, ended)
        return [*end, *self.drain_queue(now_ms)]

    def _end_request(
        self,
        request_id: int,
        outcome: Outcome,
        reason: Reason,
        now_ms: int,
        ended: AttemptEnded | None = None,
    ) -> list[Action]:
        row = self._remove_request(request_id, now_ms)
        if row.is_admitted:
            self._admission.release(request_id, now_ms)
        if outcome is Outcome.NOT_RUN and row.may_have_run:
            outcome = Outcome.UNKNOWN
        end = EndRequest(request_id, outcome, reason)
        if not self._keys.is_running(request_id):
            return [end]
        repeats = self._keys.end_run(
            request_id,
            outcome,
            reason,
            now_ms,
            status=None if ended is None else ended.status,
            answer=None if ended is None else ended.answer,
        )
        return [end, *repeats]

    def _remove_request(self, request_id: int, now_ms: int) -> RequestRow:
        row = self.requests[request_id]
        self.requests.remove(request_id)
        if row.request.forwarded is not None:
            self._routes.record_forwarded_end(row.request, now_ms)
        return row


def _may_attempt(row: RequestRow, now_ms: int) -> bool:
    return len(row.tried_targets) < MAX_ATTEMPTS and now_ms < row.request.deadline_ms


def _cancel_attempts(row: RequestRow) -> list[Action]:
    return [CancelAttempt(attempt_id) for attempt_id in row.attempts]
