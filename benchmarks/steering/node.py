"""Simulated entry instance that executes the actions of one core."""

from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    CancelAttempt,
    ConnectionSilent,
    EndRequest,
    RequestArrived,
    SendAttempt,
)
from rhubarbwell_core.model import Identity

from benchmarks.steering.backend import BackendState, SimulatedBackend
from benchmarks.steering.deployments import (
    SHORT_SERVICE_MS,
    UPLOAD_SERVICE_MS,
)

if TYPE_CHECKING:
    from benchmarks.steering.simulation import Simulation

__all__ = ["Attempt", "Connection", "Node"]

CONNECT_MS = 1
CONNECT_TIMEOUT_MS = 300
PROGRESS_TIMEOUT_MS = 500
# A non-idempotent request reuses only a connection active within this time.
NON_IDEMPOTENT_REUSE_MS = 2_000
MAX_IDLE_PER_BACKEND = 6

OnEnd = Callable[[EndRequest], None]


class Connection:
    """Hold the state of a connection to a backend server."""

    def __init__(self, now_ms: int) -> None:
        self.last_active_ms = now_ms
        self.is_silent = False


class Attempt:
    """Hold a running attempt and the connection that it uses."""

    def __init__(self, action: SendAttempt, req: RequestArrived, now_ms: int) -> None:
        self.action = action
        self.req = req
        self.sent_ms = now_ms
        self.conn: Connection | None = None
        self.has_fresh_connection = True


class Node:
    """Simulate an entry instance: execute its core's actions and feed it events."""

    def __init__(self, identity: Identity, core: Any, simulation: "Simulation") -> None:
        self.identity = identity
        self.core = core
        self.is_up = True
        self.requests: dict[int, tuple[RequestArrived, OnEnd]] = {}
        self._simulation = simulation
        self._clock = simulation.clock
        self._attempts: dict[str, Attempt] = {}
        self._idle_connections: dict[str, list[Connection]] = defaultdict(list)
        self._busy_connections: set[Connection] = set()
        self._attempted_request_ids: set[int] = set()
        self._next_wake_ms: int | None = None
        self.schedule_wake()

    def handle(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        if self.is_up:
            self.execute(self.core.handle(event, self._clock.now_ms))

    def schedule_wake(self) -> None:
        """Schedule the core's next advance at the time when it is due."""
        due_ms = self.core.next_due_ms()
        if due_ms is not None and due_ms != self._next_wake_ms:
            self._next_wake_ms = due_ms
            self._clock.call_at(due_ms, self._wake)

    def start_request(self, req: RequestArrived, on_end: OnEnd) -> None:
        """Pass a request to the core; on_end receives its outcome."""
        self.requests[req.request_id] = req, on_end
        self.handle(req)

    def execute(self, actions: list[Action]) -> None:
        """Execute the core's actions, in order."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send_attempt(action)
            elif isinstance(action, CancelAttempt):
                self._end_attempt(action.attempt_id, AttemptEnd.CALLER_GONE)
            elif isinstance(action, EndRequest):
                self._attempted_request_ids.discard(action.request_id)
                _, on_end = self.requests.pop(action.request_id)
                on_end(action)
            else:
                self._simulation.deliver(self, action)

    def silence_connections(self) -> None:
        """Make every open connection silent, so that it returns no more answers."""
        for conn in [
            *self._busy_connections,
            *(c for pool in self._idle_connections.values() for c in pool),
        ]:
            conn.is_silent = True

    def stop(self) -> None:
        """Stop the instance as a crash does: its requests get no outcome."""
        self.is_up = False
        self._attempts.clear()

    def _wake(self) -> None:
        if self.is_up:
            self._next_wake_ms = None
            self.execute(self.core.advance(self._clock.now_ms))
            self.schedule_wake()

    def _send_attempt(self, action: SendAttempt) -> None:
        req, _ = self.requests[action.request_id]
        attempt = Attempt(action, req, self._clock.now_ms)
        self._attempts[action.attempt_id] = attempt
        self._count_attempt(action, req)
        time_out = lambda: self._end_attempt(action.attempt_id, AttemptEnd.TIMEOUT)
        self._clock.call_at(max(action.deadline_ms, attempt.sent_ms + 1), time_out)
        if action.target.grant_id is not None:
            self._simulation.forward(self, attempt, self._end_attempt)
            return
        self._connect(attempt, self._simulation.backends[action.target.target_id])

    def _count_attempt(self, action: SendAttempt, req: RequestArrived) -> None:
        metrics = self._simulation.metrics
        metrics.attempts[req.service] += 1
        if (
            action.request_id not in self._attempted_request_ids
            and req.forwarded is None
        ):
            metrics.first_attempts[req.service] += 1
        self._attempted_request_ids.add(action.request_id)

    def _connect(self, attempt: Attempt, backend: SimulatedBackend) -> None:
        zone = backend.spec.zone
        attempt_id = attempt.action.attempt_id
        self._assign_connection(attempt, zone)
        one_way_ms = self._simulation.network.delay_ms(self.identity.zone, zone)
        if attempt.has_fresh_connection:
            is_refused = backend.state is BackendState.REFUSING
            if self._is_unreachable(backend):
                self._end_attempt_later(
                    attempt_id, AttemptEnd.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS
                )
                return
            if is_refused:
                self._end_attempt_later(
                    attempt_id, AttemptEnd.CONNECT_REFUSED, 2 * one_way_ms + 1
                )
                return
            one_way_ms += CONNECT_MS + 2 * one_way_ms
        elif backend.state is BackendState.REFUSING:
            self._end_attempt_later(
                attempt_id, AttemptEnd.RESET_BEFORE_ANSWER, 2 * one_way_ms
            )
            return
        elif self._is_unreachable(backend) or attempt.conn.is_silent:  # type: ignore[union-attr]
            self._end_attempt_later(attempt_id, AttemptEnd.TIMEOUT, PROGRESS_TIMEOUT_MS)
            return
        self._clock.call_later(
            one_way_ms, lambda: self._arrive_at_backend(attempt, backend)
        )

    def _arrive_at_backend(self, attempt: Attempt, backend: SimulatedBackend) -> None:
        attempt_id = attempt.action.attempt_id
        if attempt_id not in self._attempts:
            return
        return_delay_ms = self._simulation.network.delay_ms(
            self.identity.zone, backend.spec.zone
        )
        mean_ms = (
            UPLOAD_SERVICE_MS if attempt.req.kind == "upload" else SHORT_SERVICE_MS
        )
        on_answer = lambda: self._end_attempt_later(
            attempt_id, AttemptEnd.ANSWERED, return_delay_ms
        )
        if backend.state is not BackendState.UP:
            self._end_attempt_later(
                attempt_id, AttemptEnd.RESET_BEFORE_ANSWER, return_delay_ms
            )
        elif not backend.offer(attempt_id, mean_ms, on_answer):
            self._end_attempt_later(attempt_id, AttemptEnd.SHED, return_delay_ms)
        else:
            is_forwarded = attempt.req.forwarded is not None
            self._simulation.record_backend_load(backend, is_forwarded=is_forwarded)

    def _assign_connection(self, attempt: Attempt, zone: str) -> None:
        pool = self._idle_connections[attempt.action.target.target_id]
        now_ms = self._clock.now_ms
        if pool and not attempt.action.fresh_connection:
            conn = pool.pop()
            if (
                attempt.req.idempotent
                or now_ms - conn.last_active_ms <= NON_IDEMPOTENT_REUSE_MS
            ):
                attempt.conn, attempt.has_fresh_connection = conn, False
        if attempt.conn is None:
            attempt.conn = Connection(now_ms)
        self._busy_connections.add(attempt.conn)

    def _end_attempt_later(
        self, attempt_id: str, end: AttemptEnd, delay_ms: int
    ) -> None:
        self._clock.call_later(delay_ms, lambda: self._end_attempt(attempt_id, end))

    def _end_attempt(self, attempt_id: str, end: AttemptEnd) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None or not self.is_up:
            return
        conn = attempt.conn
        if end is AttemptEnd.ANSWERED and conn is not None and conn.is_silent:
            end = AttemptEnd.TIMEOUT
        del self._attempts[attempt_id]
        backend_id = attempt.action.target.target_id
        if conn is not None:
            self._busy_connections.discard(conn)
            self._return_connection(backend_id, conn, end)
            if end is not AttemptEnd.ANSWERED:
                self._simulation.backends[backend_id].cancel(attempt_id)
        latency_ms = self._clock.now_ms - attempt.sent_ms
        self.handle(
            AttemptEnded(
                attempt_id,
                end,
                1,
                latency_ms,
                connection_was_fresh=attempt.has_fresh_connection,
            )
        )

    def _return_connection(
        self, backend_id: str, conn: Connection, end: AttemptEnd
    ) -> None:
        pool = self._idle_connections[backend_id]
        if end in (AttemptEnd.ANSWERED, AttemptEnd.SHED):
            conn.last_active_ms = self._clock.now_ms
            if len(pool) < MAX_IDLE_PER_BACKEND:
                pool.append(conn)
        elif end is AttemptEnd.TIMEOUT and conn.is_silent:
            pool.clear()
            self.handle(ConnectionSilent(backend_id))

    def _is_unreachable(self, backend: SimulatedBackend) -> bool:
        own_zone, backend_zone = self.identity.zone, backend.spec.zone
        is_backend_unreachable = backend.state is BackendState.UNREACHABLE
        return is_backend_unreachable or not self._simulation.network.reaches(
            own_zone, backend_zone
        )
