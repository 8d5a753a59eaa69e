"""Tests of the client of the users' metadata store."""

from contextlib import asynccontextmanager
from urllib.parse import parse_qs, urlsplit

import pytest
from aiohttp import web
from rhubarbwell_core.direct import NO_VERSION, TableReplica
from rhubarbwell_platform.errors import (
    AnswerLostError,
    ConflictError,
    HistoryLostError,
    PlatformError,
    UnavailableError,
)
from rhubarbwell_platform.http import PlatformAnswer, open_session
from rhubarbwell_platform.services import EraTracker, RowWrite
from rhubarbwell_wire.adapter import UsersPlatform
from rhubarbwell_wire.store import UsersMetadataStore, decode_era
from support.loopback_server import LoopbackServer
from support.users_platform import make_settings
from support.versions import at


def row(key, version, **fields):
    return {"key": key, "rowVersion": version, "value": "", **fields}


class PagedClient:
    """Serve a table in pages of one row; a change happens after the first page."""

    def __init__(self):
        self.rows = {"a": row("a", 1), "b": row("b", 2)}
        self.version = 2
        self.changes = []

    async def exchange(self, kind, method, path, body, **options):
        return PlatformAnswer({}, self._answer_body(path))

    def _answer_body(self, path):
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        if "after" in query:
            changed = [r for r in self.changes if r["rowVersion"] > int(query["after"])]
            return {"rows": changed, "rowVersion": self.version}
        start = query.get("rangeStart", "")
        keys = sorted(key for key in self.rows if key >= start)
        page = {
            "rows": [self.rows[keys[0]]],
            "rowVersion": self.version,
            "hasMore": len(keys) > 1,
        }
        if not start:
            self.version = 3
            self.changes = [row("a", 3, deleted=True)]
            del self.rows["a"]
        return page


async def test_change_between_two_pages_of_a_listing_is_not_lost():
    store, replica = UsersMetadataStore(PagedClient(), EraTracker()), TableReplica()
    replica.apply(await store.read_table("servers"))
    replica.apply(await store.read_changes("servers", replica.version, 0))
    listed = {
        row.key
        for row in replica.changes_after(NO_VERSION).rows
        if row.value is not None
    }
    assert listed == {"b"}


class ScriptedStore(LoopbackServer):
    """Give each call the next of the answers: status, era header and body."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.paths = []

    async def handle(self, request):
        self.paths.append(request.path_qs)
        status, era, body = self.answers.pop(0)
        headers = {} if era is None else {"Store-Era": era}
        return web.json_response(body, status=status, headers=headers)


def page(version, *rows, more=False):
    return {"rows": rows, "rowVersion": version, "hasMore": more}


@asynccontextmanager
async def open_store(*answers):
    """Yield a client, its tracker of eras and the store that gives the answers."""
    server, eras = ScriptedStore(*answers), EraTracker()
    await server.start()
    settings = make_settings(server.address, [1, 2, 3, 4, 5])
    try:
        async with open_session() as session:
            yield UsersPlatform().open_store(session, settings, eras), eras, server
    finally:
        await server.stop()


async def test_versions_carry_the_era_of_their_answer():
    answers = (200, "2", page(9, row("a", 7))), (200, "2", page(12, row("b", 11)))
    async with open_store(*answers) as (store, _, _):
        listing = await store.read_table("servers")
        assert listing.version == at(9, era=2)
        assert [r.version for r in listing.rows] == [at(7, era=2)]
        changes = await store.read_changes("servers", listing.version, 0)
        assert changes.version == at(12, era=2)
        assert [r.version for r in changes.rows] == [at(11, era=2)]


async def test_answer_without_an_era_is_of_the_first_one():
    async with open_store((200, None, page(9))) as (store, _, _):
        assert (await store.read_table("servers")).version == at(9)


@pytest.mark.parametrize(
    "status, error",
    [
        (200, None),
        (410, HistoryLostError),
        (412, ConflictError),
        (429, UnavailableError),
        (503, AnswerLostError),
    ],
)
async def test_any_answer_of_any_call_shows_the_era(status, error):
    answers = (200, "1", page(9)), (status, "2", page(3))
    async with open_store(*answers) as (store, eras, _):
        changes = []
        eras.subscribe(lambda old, new: changes.append((old, new)))
        await store.read_table("servers")
        try:
            if status == 410:
                await store.read_changes("servers", at(9, era=1), 0)
            else:
                await store.write(RowWrite("instances", "i-1", b""))
            assert error is None
        except PlatformError as exc:
            assert type(exc) is error
        assert changes == [(1, 2)]


# The numbers are given out again: such an answer may look like one to the question.
async def test_changes_of_another_era_than_the_version_asked_for_are_no_changes():
    answers = (200, "1", page(9)), (200, "2", page(12, row("a", 11)))
    async with open_store(*answers) as (store, _, _):
        version = (await store.read_table("servers")).version
        with pytest.raises(HistoryLostError):
            await store.read_changes("servers", version, 0)


async def test_version_of_an_earlier_era_is_not_sent_to_the_store():
    async with open_store((200, "2", page(9))) as (store, _, server):
        await store.read_table("servers")
        with pytest.raises(HistoryLostError):
            await store.read_changes("servers", at(7, era=1), 0)
        removal = RowWrite("instances", "i-1", None, expected_version=at(7, era=1))
        with pytest.raises(ConflictError):
            await store.write(removal)
        assert len(server.paths) == 1


async def test_pages_of_two_eras_are_no_listing():
    answers = (
        (200, "1", page(9, row("a", 7), more=True)),
        (200, "2", page(8, row("b", 8))),
    )
    async with open_store(*answers) as (store, _, _):
        with pytest.raises(UnavailableError):
            await store.read_table("servers")


async def test_write_returns_the_era_in_which_it_took_effect():
    async with open_store((200, "4", {"now": "1ms"})) as (store, _, _):
        assert await store.write(RowWrite("instances", "i-1", b"")) == 4


INVALID_ERAS = ["-1", "+3", "1.0", "", "x", "\u0663", "9" * 16, "1"]


# An era that cannot be is the outage that it may be: nothing is read under it.
@pytest.mark.parametrize("era", [*INVALID_ERAS, None])
async def test_answer_of_an_invalid_or_lower_era_counts_as_no_answer(era, caplog):
    answers = [(200, "2", page(9))] + 3 * [(200, era, page(99))]
    async with open_store(*answers) as (store, eras, _):
        version = (await store.read_table("servers")).version
        with pytest.raises(UnavailableError):
            await store.read_table("servers")
        with pytest.raises(UnavailableError):
            await store.read_changes("servers", version, 0)
        with pytest.raises(AnswerLostError):
            await store.write(RowWrite("instances", "i-1", b""))
        assert eras.current == 2
    events = [
        r for r in caplog.records if getattr(r, "event", "") == "store_era_refused"
    ]
    assert len(events) == 1


def test_first_era_is_known_without_a_header():
    assert decode_era({}) == 0
