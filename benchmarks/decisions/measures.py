"""Measure processor times of single decisions and of trivial baselines."""

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

from benchmarks.decisions.deployments import (
    BACKEND_COUNT,
    REQUEST_DEADLINE_MS,
    make_peers,
)

__all__ = ["Timing", "measure_look_ups", "measure_metrics", "measure_requests"]

LOOK_UPS = 20_000
REQUESTS = 10_000
ROUNDS = 5
ATTEMPT_LATENCY_MS = 20
INSTANCES_PER_ANSWER = 6


class Timing(NamedTuple):
    """Store the processor time of one operation and of its baseline in us."""

    name: str
    operation_us: float
    baseline_us: float


def measure_look_ups(
    core: Core, deployment: DeploymentSpec, nodes: int, *, seed: int
) -> Timing:
    """Return the time of a look-up from a random address.

    The baseline is a round robin over all entry instances.
    """
    peers = make_peers(deployment, nodes)
    for peer in peers:
        core.peers.put(peer.instance_id, peer)
    core.advance(1_000)
    rng = Random(seed)
    blocks = deployment.client_blocks
    addresses = [
        rng.choice(blocks).prefix.replace(".0/24", ".7") for _ in range(LOOK_UPS)
    ]
    round_robin = cycle([peer.callers for peer in peers])

    def run_look_ups() -> None:
        for address in addresses:
            core.look_up(LookUpQuery("slotsvc", address), 1_000)

    def run_round_robin() -> None:
        for _ in addresses:
            [next(round_robin) for _ in range(INSTANCES_PER_ANSWER)]

    return Timing(
        "look-up",
        _min_us_per_operation(run_look_ups, LOOK_UPS),
        _min_us_per_operation(run_round_robin, LOOK_UPS),
    )


def measure_requests(core: Core) -> Timing:
    """Return the time of a request's arrival, backend choice and end.

    The baseline is a round robin over the backend servers.
    """
    request_ids = count()
    round_robin = cycle(range(BACKEND_COUNT))

    def run_requests() -> None:
        for _ in range(REQUESTS):
            _serve_request(core, next(request_ids))

    def run_round_robin() -> None:
        in_flight = [0] * BACKEND_COUNT
        for _ in range(REQUESTS):
            chosen = next(round_robin)
            in_flight[chosen] += 1
            in_flight[chosen] -= 1

    return Timing(
        "request",
        _min_us_per_operation(run_requests, REQUESTS),
        _min_us_per_operation(run_round_robin, REQUESTS),
    )


def measure_metrics(core: Core) -> Timing:
    """Return the time to record an ended request in the metrics.

    The baseline is one count in a dict.
    """
    metrics = InstanceMetrics(core.identity)
    key = SeriesKey("slotsvc", Rank.URGENT)
    ended = EndedRequest(key, Outcome.ANSWERED, Reason.SERVED, None, ATTEMPT_LATENCY_MS)
    counts: dict[SeriesKey, int] = {}

    def record_metrics() -> None:
        for _ in range(REQUESTS):
            metrics.record_request(ended)

    def count_in_dict() -> None:
        for _ in range(REQUESTS):
            counts[key] = counts.get(key, 0) + 1

    return Timing(
        "metrics",
        _min_us_per_operation(record_metrics, REQUESTS),
        _min_us_per_operation(count_in_dict, REQUESTS),
    )


def _serve_request(core: Core, request_id: int) -> None:
    now_ms = request_id
    arrived = RequestArrived(
        request_id,
        "slotsvc",
        "page",
        "c",
        now_ms + REQUEST_DEADLINE_MS,
        Rank.URGENT,
        True,
    )
    for action in core.handle(arrived, now_ms):
        assert isinstance(action, SendAttempt)
        ended = AttemptEnded(
            action.attempt_id, AttemptEnd.ANSWERED, 100, ATTEMPT_LATENCY_MS
        )
        core.handle(ended, now_ms)


def _min_us_per_operation(run: Callable[[], None], operations: int) -> float:
    """Return the processor time of an operation in us, in the fastest round."""
    round_times_s = []
    for _ in range(ROUNDS):
        start = time.process_time()
        run()
        round_times_s.append(time.process_time() - start)
    return min(round_times_s) / operations * 1e6
