"""Control admission for one service of a region."""

from rhubarbwell_core.admission.decisions import Admitted, Queued, Refused
from rhubarbwell_core.admission.limits import AdaptiveLimit
from rhubarbwell_core.admission.queues import RankQueue, WaitingRequest
from rhubarbwell_core.admission.shares import RankShares
from rhubarbwell_core.messages import RequestArrived
from rhubarbwell_core.model import Rank, RankFloors, Reason
from rhubarbwell_core.routing.latencies import LatencyFloors

__all__ = ["ServiceAdmission"]

HOLD_SMOOTHING = 0.05
IN_FLIGHT_SMOOTHING = 0.1


class ServiceAdmission:
    """Queue, admit and refuse the requests of one service."""

    def __init__(
        self, floors: RankFloors, latencies: LatencyFloors, *, now_ms: int
    ) -> None:
        self.limit = AdaptiveLimit(latencies, now_ms=now_ms)
        self.shares = RankShares(floors, now_ms=now_ms)
        self._floors = floors
        self._queues = tuple(RankQueue() for _ in Rank)
        self._mean_hold_ms = 0.0
        self.mean_in_flight = 0.0

    @property
    def load(self) -> float:
        """Return the mean used fraction of the limit, 0 to 1."""
        return min(1.0, self.mean_in_flight / max(self.limit.slots, 1))

    @property
    def has_waiting(self) -> bool:
        """Return True if a request is queued."""
        return any(self._queues)

    def update_mean_in_flight(self) -> None:
        """Update the moving average of the requests in flight."""
        change = self.shares.in_flight - self.mean_in_flight
        self.mean_in_flight += IN_FLIGHT_SMOOTHING * change

    def set_floors(self, floors: RankFloors) -> None:
        """Set the guaranteed shares of the ranks."""
        self._floors = floors
        self.shares.set_floors(floors)

    def offer(
        self, req: RequestArrived, typical_ms: int, now_ms: int
    ) -> Admitted | Queued | Refused:
        """Admit a request if a slot is free, else queue it if its deadline allows.

        A forwarded request is refused once the share is in use.
        """
        last_start_ms = req.deadline_ms - typical_ms
        if now_ms >= last_start_ms:
            return Refused(req.request_id, Reason.DEADLINE)
        if req.forwarded is not None and self.shares.in_flight >= self.limit.share:
            return Refused(req.request_id, Reason.OVERLOAD)
        if not self.has_waiting and self.shares.in_flight < self.limit.slots:
            return self._admit(req, now_ms)
        self.limit.record_limit_reached()
        queue = self._queues[req.rank]
        newest_first = queue.is_overloaded(now_ms)
        if (
            not newest_first
            and now_ms + self._expected_wait_ms(req.rank) >= last_start_ms
        ):
            return Refused(req.request_id, Reason.OVERLOAD)
        queue.push(WaitingRequest(req, now_ms, last_start_ms))
        return Queued(req.request_id)

    def dispatch_queued(self, now_ms: int) -> list[Admitted | Refused]:
        """Refuse expired and excess requests, admit others and return the decisions."""
        decisions: list[Admitted | Refused] = []
        for queue in self._queues:
            for waiting in queue.pop_expired(now_ms):
                decisions.append(Refused(waiting.req.request_id, Reason.DEADLINE))
            for waiting in queue.pop_excess(now_ms):
                decisions.append(Refused(waiting.req.request_id, Reason.OVERLOAD))
        while self.shares.in_flight < self.limit.slots:
            waiting_ranks = self._waiting_ranks()
            self._advance_credits(waiting_ranks, now_ms)
            rank = self.shares.next_rank(waiting_ranks)
            if rank is None:
                break
            waiting = self._queues[rank].pop(now_ms)
            decisions.append(self._admit(waiting.req, now_ms))
        return decisions

    def refuse_all(self, reason: Reason) -> list[Admitted | Refused]:
        """Refuse all queued requests and return the decisions."""
        refused: list[Admitted | Refused] = []
        for queue in self._queues:
            while queue:
                refused.append(Refused(queue.pop(0).req.request_id, reason))
        return refused

    def withdraw(self, req: RequestArrived) -> None:
        """Remove a queued request."""
        self._queues[req.rank].withdraw(req.request_id)

    def release(self, rank: Rank, held_ms: int, now_ms: int) -> None:
        """Release the slot of a request that held it for held_ms."""
        self._advance_credits(self._waiting_ranks(), now_ms)
        self.shares.record_end(rank)
        smoothing = HOLD_SMOOTHING if self._mean_hold_ms else 1.0
        self._mean_hold_ms += smoothing * (max(held_ms, 1) - self._mean_hold_ms)

    def _admit(self, req: RequestArrived, now_ms: int) -> Admitted:
        self._advance_credits(self._waiting_ranks(), now_ms)
        self.shares.record_start(req.rank)
        return Admitted(req.request_id)

    def _advance_credits(self, waiting_ranks: list[Rank], now_ms: int) -> None:
        self.shares.advance(now_ms, limit=self.limit.slots, waiting=waiting_ranks)

    def _waiting_ranks(self) -> list[Rank]:
        return [rank for rank in Rank if self._queues[rank]]

    def _expected_wait_ms(self, rank: Rank) -> float:
        free_share = 1.0
        for other in Rank:
            if other < rank and self._queues[other]:
                free_share -= self._floors.of(other)
        share = max(self._floors.of(rank), free_share if rank == 0 else 0.0)
        if not any(self._queues[other] for other in Rank if other != rank):
            share = 1.0
        return len(self._queues[rank]) * self._mean_hold_ms / (share * self.limit.slots)
