"""Processor time of single decisions, each against a naive baseline."""

import time
from collections.abc import Callable
from itertools import count, cycle
from random import Random
from typing import NamedTuple

from rhubarbwell_core import Core
from rhubarbwell_core.burn import EndedRequest, SeriesKey
from rhubarbwell_core.lookups import LookUpQuery
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    RequestArrived,
    SendAttempt,
)
from rhubarbwell_core.model import DeploymentSpec, Outcome, Rank, Reason
from rhubarbwell_entry.metrics import InstanceMetrics

from benchmarks.decisions.deployments import DEADLINE_MS, ENDPOINTS, make_peers

__all__ = ["Measure", "measure_look_ups", "measure_metrics", "measure_requests"]

LOOK_UPS = 20_000
REQUESTS = 10_000
ROUNDS = 5
ATTEMPT_MS = 20
OFFERS = 6


class Measure(NamedTuple):
    """Give the processor time of one operation and of its baseline in us."""

    name: str
    us: float
    baseline_us: float


def measure_look_ups(
    core: Core, deployment: DeploymentSpec, nodes: int, *, seed: int
) -> Measure:
    """Measure look-ups from random addresses against a round robin over all nodes."""
    peers = make_peers(deployment, nodes)
    for peer in peers:
        core.peers.put(peer.instance_id, peer)
    core.advance(1_000)
    rng = Random(seed)
    blocks = deployment.client_blocks
    addresses = [
        rng.choice(blocks).prefix.replace(".0/24", ".7") for _ in range(LOOK_UPS)
    ]
    robin = cycle([peer.callers for peer in peers])

    def decide() -> None:
        for address in addresses:
            core.look_up(LookUpQuery("slotsvc", address), 1_000)

    def naive() -> None:
        for _ in addresses:
            [next(robin) for _ in range(OFFERS)]

    return Measure("look-up", _best(decide, LOOK_UPS), _best(naive, LOOK_UPS))


def measure_requests(core: Core) -> Measure:
    """Measure arrival, choice and end of requests against a bare round robin."""
    ids = count()
    robin = cycle(range(ENDPOINTS))

    def decide() -> None:
        for _ in range(REQUESTS):
            _serve_one(core, next(ids))

    def naive() -> None:
        in_flight = [0] * ENDPOINTS
        for _ in range(REQUESTS):
            chosen = next(robin)
            in_flight[chosen] += 1
            in_flight[chosen] -= 1

    return Measure("request", _best(decide, REQUESTS), _best(naive, REQUESTS))


def measure_metrics(core: Core) -> Measure:
    """Measure the metrics of an ended request against a bare count in a dict."""
    metrics = InstanceMetrics(core.identity)
    key = SeriesKey("slotsvc", Rank.URGENT)
    ended = EndedRequest(key, Outcome.ANSWERED, Reason.SERVED, None, ATTEMPT_MS)
    counts: dict[SeriesKey, int] = {}

    def observe() -> None:
        for _ in range(REQUESTS):
            metrics.record_request(ended)

    def naive() -> None:
        for _ in range(REQUESTS):
            counts[key] = counts.get(key, 0) + 1

    return Measure("metrics", _best(observe, REQUESTS), _best(naive, REQUESTS))


def _serve_one(core: Core, request_id: int) -> None:
    now_ms = request_id
    arrived = RequestArrived(
        request_id, "slotsvc", "page", "c", now_ms + DEADLINE_MS, Rank.URGENT, True
    )
    for action in core.handle(arrived, now_ms):
        assert isinstance(action, SendAttempt)
        ended = AttemptEnded(action.attempt_id, AttemptEnd.ANSWERED, 100, ATTEMPT_MS)
        core.handle(ended, now_ms)


def _best(run: Callable[[], None], operations: int) -> float:
    """Return the least processor time of an operation in us over the rounds."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time()
        run()
        times.append(time.process_time() - start)
    return min(times) / operations * 1e6
