from dataclasses import dataclass
from pathlib import Path

import pytest
from rhubarbwell_core.adoption import HEAD_KEY
from rhubarbwell_platform import (
    AnswerLostError,
    ConflictError,
    MemoryTableService,
    VersionIs,
    Write,
    memory_platform,
)
from rhubarbwell_platform.documents import check_files, read_files
from rhubarbwell_platform.publishing import (
    Change,
    PublishConflict,
    PublishIdReused,
    PublishInvalid,
    PublishNotDone,
    PublishUnknown,
    fence_head,
    publish,
    read_configuration,
    read_state,
)

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.fixture(scope="module")
def texts():
    paths = sorted((EXAMPLES / "demo").glob("*.jsonc"))
    documents = check_files(read_files(paths).unwrap()).unwrap()
    return {document.name: document.text for document in documents}


def with_deadline(texts, name, old, new):
    changed = texts[name].replace(f'"deadline_ms":{old}', f'"deadline_ms":{new}')
    assert changed != texts[name]
    return {name: changed}


async def published_platform(texts):
    platform = memory_platform()
    base = await read_state(platform)
    first = Change("first", "ana", 1, texts)
    assert (await publish(platform, first, base=base)).unwrap().version == len(texts)
    return platform


async def test_publish_and_read_back(texts):
    platform = await published_platform(texts)
    cfg = (await read_configuration(platform)).unwrap()
    state = await read_state(platform)
    assert (cfg.version, cfg.digest) == (5, state.head.chain)
    assert set(cfg.services) == {"slotsvc", "paysvc", "clipsvc", "rostersvc"}


async def test_conflict_names_winner_and_differing_keys(texts):
    platform = await published_platform(texts)
    base = await read_state(platform)
    ana = with_deadline(texts, "service/paysvc", 3000, 3500)
    ben = with_deadline(texts, "service/paysvc", 3000, 4000)
    (await publish(platform, Change("a", "ana", 2, ana), base=base)).unwrap()
    lost = await publish(platform, Change("b", "ben", 3, ben), base=base)
    conflict = lost.failure()
    assert isinstance(conflict, PublishConflict)
    assert [(row.author, row.publish_id) for row in conflict.winners] == [("ana", "a")]
    assert [(found.key, found.before, found.after) for found in conflict.differing] == [
        ("kinds[pay].deadline_ms", "3500", "4000")
    ]
    assert (await read_state(platform)).head.version == 6


async def test_repeat_of_a_publish_changes_nothing(texts):
    platform = await published_platform(texts)
    base = await read_state(platform)
    change = Change("a", "ana", 2, with_deadline(texts, "service/paysvc", 3000, 3500))
    first = (await publish(platform, change, base=base)).unwrap()
    again = (await publish(platform, change, base=base)).unwrap()
    assert again == first._replace(repeated=True)
    undo = Change("u", "ben", 3, {"service/paysvc": texts["service/paysvc"]})
    await publish(platform, undo, base=await read_state(platform))
    late = await publish(platform, change, base=await read_state(platform))
    assert late.unwrap() == first._replace(repeated=True)
    assert (await read_state(platform)).documents == texts


async def test_publish_id_of_another_change_is_refused(texts):
    platform = await published_platform(texts)
    change = with_deadline(texts, "service/paysvc", 3000, 3500)
    result = await publish(
        platform, Change("first", "ana", 2, change), base=await read_state(platform)
    )
    assert result.failure() == PublishIdReused("first", 5)


async def test_inconsistent_documents_are_not_published(texts):
    platform = await published_platform(texts)
    change = Change("a", "ana", 2, {"deployment": None})
    result = await publish(platform, change, base=await read_state(platform))
    assert isinstance(result.failure(), PublishInvalid)
    assert (await read_state(platform)).head.version == 5


@dataclass
class LostAnswers:
    applied: list[bool]


class LossyTableService(MemoryTableService):
    """Raise AnswerLostError for the next transactions, whether applied or not."""

    def __init__(self, lost_answers):
        super().__init__()
        self.lost_answers = lost_answers

    async def transact(self, writes):
        if not self.lost_answers.applied:
            return await super().transact(writes)
        if self.lost_answers.applied.pop(0):
            await super().transact(writes)
        raise AnswerLostError("the answer was lost")


@pytest.mark.parametrize("applied", [[True], [False], [False, True], [False] * 4])
async def test_retry_after_lost_answer_publishes_once(texts, applied):
    tables = LossyTableService(LostAnswers(list(applied)))
    platform = memory_platform()._replace(tables=tables)
    change = Change("a", "ana", 1, texts)
    result = await publish(platform, change, base=await read_state(platform))
    assert (result.unwrap().version, result.unwrap().repeated) == (5, False)
    assert (await read_state(platform)).documents == texts


async def test_persistent_lost_answers_leave_the_outcome_unknown(texts):
    tables = LossyTableService(LostAnswers([False] * 5))
    platform = memory_platform()._replace(tables=tables)
    change = Change("a", "ana", 1, texts)
    result = await publish(platform, change, base=await read_state(platform))
    assert isinstance(result.failure(), PublishUnknown)
    later = await publish(platform, change, base=await read_state(platform))
    assert later.unwrap().version == 5


async def test_start_reads_a_snapshot(texts):
    platform = await published_platform(texts)
    for index in range(70):
        documents = with_deadline(texts, "service/paysvc", 3000, 4000 + index)
        change = Change(f"p{index}", "ana", index, documents)
        base = await read_state(platform)
        (await publish(platform, change, base=base)).unwrap()
    state = await read_state(platform)
    assert (state.head.version, state.head.snapshot_version) == (75, 64)
    assert '"deadline_ms":4069' in state.documents["service/paysvc"]
    older = await read_state(platform, version=40)
    assert '"deadline_ms":4034' in older.documents["service/paysvc"]


class StaleTableService(MemoryTableService):
    """Answer the next reads from an older copy of the rows."""

    def __init__(self):
        super().__init__()
        self.older = self
        self.stale_reads = 0

    async def read(self, keys):
        self.stale_reads -= 1
        if self.stale_reads >= 0:
            return await self.older.read(keys)
        return await super().read(keys)


@pytest.mark.parametrize(("stale_reads", "is_done"), [(0, True), (3, True), (9, False)])
async def test_stale_reads_are_not_conflicts(texts, stale_reads, is_done):
    tables = StaleTableService()
    platform = memory_platform()._replace(tables=tables)
    older = tables.copy()
    await publish(
        platform, Change("first", "ana", 1, texts), base=await read_state(platform)
    )
    base = await read_state(platform)
    tables.older, tables.stale_reads = older, stale_reads
    change = Change("a", "ana", 2, with_deadline(texts, "service/paysvc", 3000, 3500))
    result = await publish(platform, change, base=base)
    if is_done:
        assert result.unwrap().version == 6
    else:
        assert isinstance(result.failure(), PublishNotDone)


async def test_fence_voids_publish_in_flight(texts):
    platform = await published_platform(texts)
    base = await read_state(platform)
    row = (await platform.tables.read([HEAD_KEY]))[HEAD_KEY]
    await fence_head(platform.tables)
    with pytest.raises(ConflictError):
        late = Write(HEAD_KEY, row.value, VersionIs(row.version))
        await platform.tables.transact([late])
    assert (await read_state(platform)).head == base.head
    change = Change("a", "ana", 2, with_deadline(texts, "service/paysvc", 3000, 3500))
    assert (await publish(platform, change, base=base)).unwrap().version == 6
