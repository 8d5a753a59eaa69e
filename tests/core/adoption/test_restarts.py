"""Test which configuration a restarted instance puts into force first."""

from random import Random

import pytest
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    AdoptionPart,
    FollowLog,
    HeadRead,
    LogAnswer,
    LogAnswered,
    LogHead,
    LogRow,
    LogRowsRead,
    ObjectRead,
    ParseConfiguration,
    ReadHead,
    ReadLogRows,
    ReadObject,
    chain_digest,
    pack_document,
)
from rhubarbwell_core.model import Address

PEER = Address("127.0.0.1", 1)
TEXTS = ["servers: one, two", "servers: one", "servers: one, three"]
DOCUMENTS = [pack_document("service/x", text) for text in TEXTS]


def make_rows():
    rows, chain = [], EMPTY_CHAIN
    for version, document in enumerate(DOCUMENTS, start=1):
        rows.append(
            LogRow(version, "service/x", document.digest, chain, f"p{version}", "op", 1)
        )
        chain = chain_digest(rows[-1])
    return rows


ROWS = make_rows()
HEAD = LogHead(3, chain_digest(ROWS[-1]))
# A peer that has not heard of the removal of server two.
OLD_PEER_ANSWER = LogAnswered(PEER, LogAnswer((ROWS[0],), (DOCUMENTS[0],)))


@pytest.fixture
def part():
    return AdoptionPart(
        Random(1),
        is_poller=lambda: False,
        on_configuration=lambda event, now_ms: [],
        on_advanced=lambda now_ms: [],
    )


def handle(part, event, now_ms):
    return list(part.handlers()[type(event)](event, now_ms))


def parsed_versions(actions):
    return [a.version for a in actions if isinstance(a, ParseConfiguration)]


def of_type(actions, kind):
    (found,) = [a for a in actions if isinstance(a, kind)]
    return found


def read_rows_after_head(part, head_call, now_ms):
    actions = handle(part, HeadRead(head_call, HEAD), now_ms)
    read = of_type(actions, ReadLogRows)
    assert parsed_versions(actions) == []
    rows = tuple(ROWS[read.first - 1 : read.last])
    actions = handle(part, LogRowsRead(read.call_id, rows), now_ms)
    fetch = of_type(actions, ReadObject)
    event = ObjectRead(fetch.call_id, fetch.digest, TEXTS[2])
    return [*actions, *handle(part, event, now_ms)]


def test_older_version_of_a_peer_waits_for_the_head_of_the_log(part):
    read = of_type(handle(part, FollowLog(), 0), ReadHead)
    assert parsed_versions(handle(part, OLD_PEER_ANSWER, 20)) == []
    assert parsed_versions(read_rows_after_head(part, read.call_id, 40)) == [3]
    assert parsed_versions(part.poll(5_000)) == []


def test_older_version_of_a_peer_waits_for_rows_that_the_head_announced(part):
    read = of_type(handle(part, FollowLog(), 0), ReadHead)
    actions = handle(part, HeadRead(read.call_id, HEAD), 10)
    rows = of_type(actions, ReadLogRows)
    assert parsed_versions(handle(part, OLD_PEER_ANSWER, 20)) == []
    # The store fails now: the older version is better than none.
    actions = handle(part, LogRowsRead(rows.call_id, None), 30)
    assert parsed_versions([*actions, *part.poll(2_000)]) == [1]


def test_version_of_a_peer_that_is_the_head_is_used_at_once(part):
    read = of_type(handle(part, FollowLog(), 0), ReadHead)
    answer = LogAnswered(PEER, LogAnswer(tuple(ROWS), (DOCUMENTS[2],)))
    assert parsed_versions(handle(part, answer, 20)) == []
    assert parsed_versions(handle(part, HeadRead(read.call_id, HEAD), 30)) == [3]


@pytest.mark.parametrize("answers", [True, False], ids=["error", "silence"])
def test_peers_version_is_used_while_the_store_is_out(part, answers):
    read = of_type(handle(part, FollowLog(), 0), ReadHead)
    assert parsed_versions(handle(part, OLD_PEER_ANSWER, 20)) == []
    actions = handle(part, HeadRead(read.call_id, None), 30) if answers else []
    if not answers:
        assert parsed_versions(part.poll(500)) == []
    # Only the wait for a silent store takes a second.
    assert parsed_versions([*actions, *part.poll(40 if answers else 1_250)]) == [1]
    assert parsed_versions(part.poll(3_000)) == []


def test_later_versions_do_not_wait(part):
    read = of_type(handle(part, FollowLog(), 0), ReadHead)
    handle(part, HeadRead(read.call_id, None), 10)
    assert parsed_versions(handle(part, OLD_PEER_ANSWER, 20)) == [1]
    newer = LogAnswered(PEER, LogAnswer(tuple(ROWS[1:]), (DOCUMENTS[2],)))
    assert parsed_versions(handle(part, newer, 30)) == [3]
