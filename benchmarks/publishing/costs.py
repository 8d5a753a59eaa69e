"""Measure store operations and processor time of publishes without faults."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from rhubarbwell_platform import (
    Fault,
    FaultSource,
    Operation,
    memory_platform,
    with_faults,
)
from rhubarbwell_platform.documents import check_files, read_files
from rhubarbwell_platform.publishing import (
    Change,
    publish,
    read_configuration,
    read_state,
)

__all__ = ["PublishCosts", "measure_costs"]

EXAMPLES = Path(__file__).parents[2] / "examples"


class PublishCosts(NamedTuple):
    """Hold the costs of a file check, a publish and a configuration read at start.

    Times are in ms of processor time; operations are counts per publish or start.
    """

    check_cpu_ms: float
    publish_cpu_ms: float
    publish_operations: Mapping[str, float]
    start_cpu_ms: float
    start_operations: Mapping[str, float]


class _OperationCounter(FaultSource):
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def next_fault(self, operation: Operation) -> Fault | None:
        self.counts[operation.value] += 1
        return None

    def take_averages(self, calls: int) -> dict[str, float]:
        taken = {name: round(n / calls, 2) for name, n in self.counts.items()}
        self.counts.clear()
        return taken


def measure_costs(example: str, *, publishes: int) -> PublishCosts:
    """Return the costs of consecutive publishes that change one service."""
    return asyncio.run(_measure(EXAMPLES / example, publishes))


async def _measure(folder: Path, publishes: int) -> PublishCosts:
    started_ms = _cpu_ms()
    paths = sorted(folder.glob("*.jsonc"))
    documents = check_files(read_files(paths).unwrap()).unwrap()
    check_ms = _cpu_ms() - started_ms
    counter = _OperationCounter()
    platform = with_faults(memory_platform(), counter)
    texts = {document.name: document.text for document in documents}
    base = await read_state(platform)
    (await publish(platform, Change("first", "ana", 0, texts), base=base)).unwrap()
    counter.take_averages(1)
    started_ms = _cpu_ms()
    for number in range(publishes):
        base = await read_state(platform)
        change = _make_change(number, base.documents)
        (await publish(platform, change, base=base)).unwrap()
    publish_ms = (_cpu_ms() - started_ms) / publishes
    publish_operations = counter.take_averages(publishes)
    started_ms = _cpu_ms()
    (await read_configuration(platform)).unwrap()
    start_ms = _cpu_ms() - started_ms
    return PublishCosts(
        check_ms, publish_ms, publish_operations, start_ms, counter.take_averages(1)
    )


def _make_change(number: int, documents: Mapping[str, str]) -> Change:
    name = max(documents)
    fields = json.loads(documents[name])
    fields["kinds"][0]["deadline_ms"] = 1_000 + number
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return Change(f"p{number}", "ana", number, {name: text})


def _cpu_ms() -> float:
    return time.process_time() * 1_000
