"""Measure the table calls and table rows that publishes need."""

import asyncio
from collections.abc import Mapping, Sequence

from returns.result import Success
from rhubarbwell_core.model import (
    BackendSpec,
    DeploymentSpec,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)
from rhubarbwell_platform.documents import document_name, encode_document
from rhubarbwell_platform.memory import MemoryTableService, memory_platform
from rhubarbwell_platform.publishing import Change, publish, read_state
from rhubarbwell_platform.services import Platform, Row, TableService, Write

from benchmarks.capacity.costs import KB
from benchmarks.control.fits import Line, fit_line

__all__ = ["measure_publishing"]

PUBLISH_COUNTS = (10, 50, 100, 200)
BACKENDS_PER_SERVICE = 18
DEPLOYMENT = DeploymentSpec(
    "d", (RegionSpec("lake"),), (ZoneSpec("lake-a", "lake", 4),)
)


class CountingTableService(TableService):
    """Forward calls to a table service in memory, count them and keep the rows."""

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0
        self.rows: dict[str, str] = {}
        self._tables = MemoryTableService()

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among the keys."""
        self.reads += 1
        return await self._tables.read(keys)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        """Return rows by key prefix, in key order.

        Only keys that sort after `after` are included, and at most limit rows.
        """
        self.reads += 1
        return await self._tables.scan(prefix, after=after, limit=limit)

    async def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes or none and return the new version."""
        version = await self._tables.transact(writes)
        self.writes += 1
        for write in writes:
            self.rows[write.key] = write.value or ""
        return version


def measure_publishing() -> list[Line]:
    """Return lines of table calls and rows over the number of publishes.

    Each publish changes one service.
    """
    calls: list[tuple[float, float]] = []
    rows_kb: list[tuple[float, float]] = []
    for count in PUBLISH_COUNTS:
        tables = asyncio.run(_publish_repeatedly(count))
        calls.append((count, float(tables.reads + tables.writes)))
        size = sum(len(key) + len(value) for key, value in tables.rows.items())
        rows_kb.append((count, size / KB))
    return [
        fit_line("publisher", "table calls by publishes", "1", calls),
        fit_line("publisher", "table rows by publishes", "kB", rows_kb),
    ]


async def _publish_repeatedly(count: int) -> CountingTableService:
    tables = CountingTableService()
    platform: Platform = memory_platform()._replace(tables=tables)
    await _publish_specs(platform, 0, [DEPLOYMENT, _make_service(0)])
    for number in range(1, count):
        await _publish_specs(platform, number, [_make_service(number)])
    return tables


async def _publish_specs(
    platform: Platform, number: int, specs: Sequence[DeploymentSpec | ServiceSpec]
) -> None:
    texts = {document_name(spec): encode_document(spec) for spec in specs}
    base = await read_state(platform)
    change = Change(f"p-{number}", "bench", number, texts)
    result = await publish(platform, change, base=base)
    if not isinstance(result, Success):
        raise RuntimeError(f"publish {number} failed: {result.failure()}")


def _make_service(number: int) -> ServiceSpec:
    kinds = (WorkKind("page", "GET", "/", deadline_ms=1_000 + number),)
    backends = tuple(
        BackendSpec(f"b{index}", "lake-a", "10.0.0.1", 7_000 + index)
        for index in range(BACKENDS_PER_SERVICE)
    )
    return ServiceSpec("slotsvc", kinds, backends)
