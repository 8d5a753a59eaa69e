"""A table service with seeded outages, delays and lost answers."""

import asyncio
from random import Random

from rhubarbwell_platform import (
    AnswerLostError,
    MemoryTableService,
    TableService,
    UnavailableError,
)


class FlakyTables(TableService):
    """Store tables in memory; delay calls, lose answers and fail while down."""

    def __init__(self, seed=1, *, lost_answer_share=0.0, delay_ms=0.0):
        self.inner = MemoryTableService()
        self.down = False
        self.writes = 0
        self._rng = Random(seed)
        self._lost_answer_share = lost_answer_share
        self._delay_ms = delay_ms

    async def read(self, keys):
        await self._delay_or_fail()
        return await self.inner.read(keys)

    async def scan(self, prefix, *, after="", limit=1_000):
        await self._delay_or_fail()
        return await self.inner.scan(prefix, after=after, limit=limit)

    async def transact(self, writes):
        await self._delay_or_fail()
        self.writes += len(writes)
        loses_answer = self._rng.random() < self._lost_answer_share
        if loses_answer and self._rng.random() < 0.5:
            raise AnswerLostError("request lost before the write took effect")
        version = await self.inner.transact(writes)
        if loses_answer:
            raise AnswerLostError("answer lost after the write took effect")
        return version

    async def _delay_or_fail(self):
        if self._delay_ms:
            await asyncio.sleep(self._rng.uniform(0, self._delay_ms) / 1_000)
        if self.down:
            raise UnavailableError("table service is down")
