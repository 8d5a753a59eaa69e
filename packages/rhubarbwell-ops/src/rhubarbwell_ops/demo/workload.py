"""Simulated callers that look up entry instances and send requests."""

import asyncio
import time
from collections import Counter
from random import Random
from typing import NamedTuple

import aiohttp
from ddsketch import DDSketch
from rhubarbwell_core.model import Address, Rank, ServiceSpec, WorkKind, host_port
from rhubarbwell_entry.lookups import LOOK_UP_PATH

__all__ = [
    "CallResult",
    "Caller",
    "WorkloadStats",
    "WorkItem",
    "run_workload",
    "work_items_of_rank",
]

OUTCOME_HEADER = "Rhubarbwell-Outcome"
LATENCY_RELATIVE_ACCURACY = 0.01
MS_PER_S = 1_000
REQUEST_BODY = b"x" * 4_096


class WorkItem(NamedTuple):
    """Hold a service and one of its kinds of work."""

    service: str
    kind: WorkKind


class CallResult(NamedTuple):
    """Hold the rank, outcome and latency of a call."""

    rank: Rank
    outcome: str
    latency_ms: float


class WorkloadStats:
    """Store the outcome counts and the latencies of answered calls of one rank."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latencies = DDSketch(LATENCY_RELATIVE_ACCURACY)

    def record(self, result: CallResult) -> None:
        """Add a call's outcome and, if it was answered, its latency."""
        self.outcomes[result.outcome] += 1
        if result.outcome == "answered":
            self.latencies.add(result.latency_ms)


class Caller:
    """Send requests to looked-up instances and cache the look-ups for their TTL."""

    def __init__(
        self, session: aiohttp.ClientSession, entry: Address, zone: str, rng: Random
    ) -> None:
        self._session = session
        self._entry = entry
        self._zone = zone
        self._rng = rng
        self._look_up_cache: dict[str, tuple[float, list[Address]]] = {}

    async def call(self, item: WorkItem) -> CallResult:
        """Send one request to the first instance that accepts a connection."""
        start_s = time.monotonic()
        outcome = "unreachable"
        for address in await self._look_up_instances(item.service):
            try:
                outcome = await self._send_request(address, item)
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError):
                outcome = "unknown"
                break
        latency_ms = (time.monotonic() - start_s) * MS_PER_S
        return CallResult(item.kind.rank, outcome, latency_ms)

    async def _look_up_instances(self, service: str) -> list[Address]:
        expires_at_s, addresses = self._look_up_cache.get(service, (0.0, []))
        if time.monotonic() < expires_at_s:
            return addresses
        url = f"http://{host_port(self._entry)}{LOOK_UP_PATH}"
        query = {"service": service, "zone": self._zone}
        async with self._session.get(url, params=query) as answer:
            body = await answer.json()
        addresses = [Address(row["host"], row["port"]) for row in body["instances"]]
        expires_at_s = time.monotonic() + body["ttl_ms"] / MS_PER_S
        self._look_up_cache[service] = (expires_at_s, addresses)
        return addresses

    async def _send_request(self, address: Address, item: WorkItem) -> str:
        path = f"{item.kind.path_prefix.rstrip('/')}/{self._rng.randrange(1_000)}"
        url = f"http://{host_port(address)}/{item.service}{path}"
        data = REQUEST_BODY if item.kind.max_body_bytes >= len(REQUEST_BODY) else None
        async with self._session.request(item.kind.method, url, data=data) as answer:
            await answer.read()
            return answer.headers.get(OUTCOME_HEADER, "unknown")


def work_items_of_rank(services: list[ServiceSpec], rank: Rank) -> list[WorkItem]:
    """Return the work items of all kinds that have the rank."""
    return [
        WorkItem(service.name, kind)
        for service in services
        for kind in service.kinds
        if kind.rank is rank
    ]


async def run_workload(
    callers: list[Caller],
    items: list[WorkItem],
    *,
    requests_per_s: float,
    duration_s: float,
    rng: Random,
) -> WorkloadStats:
    """Send requests at random intervals and return their statistics."""
    stats = WorkloadStats()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            caller = rng.choice(callers)
            group.create_task(_call_and_record(caller, rng.choice(items), stats))
            await asyncio.sleep(rng.expovariate(requests_per_s))
    return stats


async def _call_and_record(
    caller: Caller, item: WorkItem, stats: WorkloadStats
) -> None:
    stats.record(await caller.call(item))
