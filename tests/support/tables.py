"""A table service with outages, delays and lost answers, by a seed."""

import asyncio
from random import Random

from rhubarbwell_platform import (
    AnswerLostError,
    MemoryTableService,
    TableService,
    UnavailableError,
)


class FlakyTables(TableService):
    """Pass calls to tables in memory and spoil some of them."""

    def __init__(self, seed=1, *, lost=0.0, delay_ms=0.0):
        self.inner = MemoryTableService()
        self.down = False
        self.writes = 0
        self._rng = Random(seed)
        self._lost = lost
        self._delay_ms = delay_ms

    async def read(self, keys):
        await self._pass()
        return await self.inner.read(keys)

    async def scan(self, prefix, *, after="", limit=1_000):
        await self._pass()
        return await self.inner.scan(prefix, after=after, limit=limit)

    async def transact(self, writes):
        await self._pass()
        self.writes += len(writes)
        spoil = self._rng.random() < self._lost
        if spoil and self._rng.random() < 0.5:
            raise AnswerLostError("lost before it took effect")
        version = await self.inner.transact(writes)
        if spoil:
            raise AnswerLostError("lost after it took effect")
        return version

    async def _pass(self):
        if self._delay_ms:
            await asyncio.sleep(self._rng.uniform(0, self._delay_ms) / 1_000)
        if self.down:
            raise UnavailableError("out")
