"""Race operators through the publishing code against a faulty store."""

import asyncio
import json
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random
from typing import NamedTuple

from returns.result import Failure
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    InvalidLogError,
    LogPosition,
    LogRow,
    chain_digest,
    verify_rows,
)
from rhubarbwell_platform import (
    AnswerLostError,
    FaultKind,
    MemoryTableService,
    Platform,
    PlatformError,
    RandomFaults,
    Row,
    TableService,
    Unconditional,
    Write,
    memory_platform,
    with_faults,
)
from rhubarbwell_platform.documents import check_files, read_files
from rhubarbwell_platform.publishing import (
    Change,
    PublishConflict,
    Published,
    PublishFailure,
    fence_head,
    publish,
    read_head,
    read_rows,
    read_state,
)

__all__ = ["RaceResult", "run_race"]

EXAMPLES = Path(__file__).parents[2] / "examples" / "demo"
OPERATORS = 3
FOLLOWERS = 3
MAX_ATTEMPTS = 200
LATE_PROBABILITY = 0.04
STALE_PROBABILITY = 0.05
FAULTS = {
    FaultKind.DOWN: 0.02,
    FaultKind.REQUEST_LOST: 0.02,
    FaultKind.ANSWER_LOST: 0.05,
    FaultKind.SLOW: 0.4,
}


class RaceResult(NamedTuple):
    """Count the outcomes of a race's publishes and the violated guarantees.

    lost counts accepted publishes that the log lacks; doubled counts publishes that
    the log holds more than once; wrong_conflicts counts publishes that the log holds
    although they were reported as conflicts; reverts counts steps of a follower to
    an older version, and adopted versions that the final log does not hold.
    """

    accepted: int
    outcomes: Mapping[str, int]
    transactions: int
    reads: int
    lost: int
    doubled: int
    wrong_conflicts: int
    reverts: int


class _RacingTableService(TableService):
    """Serve some reads from an older state and apply some transactions late."""

    def __init__(self, rng: Random, *, keeps_conditions: bool) -> None:
        self.newest = MemoryTableService()
        self.transactions = 0
        self.reads = 0
        self._stale = self.newest.copy()
        self._late_transactions: list[Sequence[Write]] = []
        self._rng = rng
        self._keeps_conditions = keeps_conditions

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        return await self._choose_read_source().read(keys)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        return await self._choose_read_source().scan(prefix, after=after, limit=limit)

    async def transact(self, writes: Sequence[Write]) -> int:
        self.transactions += 1
        if self._rng.random() < LATE_PROBABILITY:
            self._late_transactions.append(
                writes if self._keeps_conditions else _without_conditions(writes)
            )
            raise AnswerLostError("the transaction is applied late")
        await self._apply_late_transaction()
        self._stale = self.newest.copy()
        return await self.newest.transact(writes)

    async def _apply_late_transaction(self) -> None:
        if not self._late_transactions or self._rng.random() < 0.5:
            return
        try:
            await self.newest.transact(self._late_transactions.pop(0))
        except PlatformError:
            return

    def _choose_read_source(self) -> MemoryTableService:
        self.reads += 1
        return self._stale if self._rng.random() < STALE_PROBABILITY else self.newest


def _without_conditions(writes: Sequence[Write]) -> list[Write]:
    return [write._replace(condition=Unconditional()) for write in writes]


class _Race:
    def __init__(self, publishes: int, rng: Random, *, keeps_conditions: bool) -> None:
        self.keeps_conditions = keeps_conditions
        self.tables = _RacingTableService(rng, keeps_conditions=keeps_conditions)
        self.backing_platform = memory_platform()._replace(tables=self.tables)
        self.accepted: dict[str, Published] = {}
        self.conflicts: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.reverts = 0
        self.is_over = False
        self._rng = rng
        self._numbers_left = iter(range(publishes))

    def platform(self) -> Platform:
        return with_faults(self.backing_platform, RandomFaults(self._rng, FAULTS))

    async def run_operator(self, name: str) -> None:
        """Publish the remaining changes; publish a change again after a conflict."""
        for number in self._numbers_left:
            attempt_number = 0
            while not await self._publish(f"{name}-{number}-{attempt_number}", number):
                attempt_number += 1

    async def run_follower(self) -> None:
        """Follow the log as an instance does and count reverts."""
        platform, position = self.platform(), LogPosition()
        adopted: list[tuple[int, str]] = []
        while not self.is_over:
            await asyncio.sleep(0)
            before = position.version
            try:
                head = (await read_head(platform.tables)).head
                rows = await read_rows(
                    platform.tables, after=before, up_to=head.version
                )
                candidate = position.candidate_after(rows)
            except (PlatformError, InvalidLogError):
                continue
            if candidate is not None:
                adopted.append((candidate.version, candidate.chain))
                for digest in candidate.missing_digests():
                    text = await self.backing_platform.objects.get(f"objects/{digest}")
                    candidate = candidate.with_text(digest, text)
                position.advance_to(candidate)
            self.reverts += position.version < before
        await self._count_reverted_versions(adopted)

    async def _count_reverted_versions(
        self, adopted: Sequence[tuple[int, str]]
    ) -> None:
        chains = {row.version: chain_digest(row) for row in await self.rows()}
        self.reverts += sum(chains.get(version) != chain for version, chain in adopted)

    async def rows(self) -> tuple[LogRow, ...]:
        """Return all rows of the newest log in the store."""
        head = (await read_head(self.tables.newest)).head
        return await read_rows(self.tables.newest, up_to=head.version)

    async def _publish(self, publish_id: str, number: int) -> bool:
        """Publish until the outcome is known; return False if it is a conflict.

        Gives up after MAX_ATTEMPTS and returns True, so that the change is not retried.
        """
        platform = self.platform()
        is_repeat = False
        for _ in range(MAX_ATTEMPTS):
            try:
                if is_repeat:
                    await fence_head(platform.tables)
                base = await read_state(platform)
                change = _make_change(publish_id, number, base.documents)
                result = await publish(platform, change, base=base)
            except (PlatformError, InvalidLogError):
                is_repeat = True
                continue
            if not isinstance(result, Failure):
                self.accepted[publish_id] = result.unwrap()
                self.outcomes[
                    "repeated" if result.unwrap().repeated else "published"
                ] += 1
                return True
            failure: PublishFailure = result.failure()
            self.outcomes[type(failure).__name__] += 1
            if isinstance(failure, PublishConflict):
                self.conflicts.add(publish_id)
                return False
            is_repeat = True
        self.outcomes["gave up"] += 1
        return True


def run_race(publishes: int, *, seed: int, keeps_conditions: bool = True) -> RaceResult:
    """Return the result of a race, which is the same for the same seed.

    With keeps_conditions=False the store applies late transactions without their
    conditions. Such a store is faulty, and the result must show violations.
    """
    rng = Random(seed)
    return asyncio.run(
        _run_race(_Race(publishes, rng, keeps_conditions=keeps_conditions))
    )


async def _run_race(race: _Race) -> RaceResult:
    base = await read_state(race.backing_platform)
    first = Change("first", "ana", 0, _example_texts())
    while isinstance(await publish(race.backing_platform, first, base=base), Failure):
        base = await read_state(race.backing_platform)
    followers = [asyncio.create_task(race.run_follower()) for _ in range(FOLLOWERS)]
    await asyncio.gather(
        *(race.run_operator(f"operator-{n}") for n in range(OPERATORS))
    )
    race.is_over = True
    await asyncio.gather(*followers)
    return await _make_result(race)


async def _make_result(race: _Race) -> RaceResult:
    rows = await race.rows()
    if race.keeps_conditions:
        verify_rows(rows, version=0, chain=EMPTY_CHAIN)
    publish_counts = Counter(row.publish_id for row in rows if row.rows_left == 0)
    at_version = {row.version: row.publish_id for row in rows}
    lost = sum(
        publish_id not in publish_counts
        if not published.changed
        else at_version.get(published.version) != publish_id
        for publish_id, published in race.accepted.items()
    )
    return RaceResult(
        accepted=len(race.accepted),
        outcomes=dict(race.outcomes),
        transactions=race.tables.transactions,
        reads=race.tables.reads,
        lost=lost,
        doubled=sum(count > 1 for count in publish_counts.values()),
        wrong_conflicts=len(race.conflicts & set(publish_counts)),
        reverts=race.reverts,
    )


def _example_texts() -> dict[str, str]:
    paths = sorted(EXAMPLES.glob("*.jsonc"))
    documents = check_files(read_files(paths).unwrap()).unwrap()
    return {document.name: document.text for document in documents}


def _make_change(publish_id: str, number: int, documents: Mapping[str, str]) -> Change:
    """Return a change that sets a distinct deadline in one of two services."""
    name = ("service/paysvc", "service/slotsvc")[number % 2]
    fields = json.loads(documents[name])
    fields["kinds"][0]["deadline_ms"] = 1_000 + number
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return Change(publish_id, publish_id, number, {name: text})
