"""Tests of the contract that every adapter of the platform's services fulfils."""

from random import Random

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from rhubarbwell_core.model import Address
from rhubarbwell_platform import (
    Absent,
    ConflictError,
    InstanceListing,
    ListedBackend,
    ListedInstance,
    ListedState,
    MissingObjectError,
    PlatformUrls,
    VersionIs,
    Write,
    http_platform,
    memory_platform,
    platform_app,
)

LISTING = InstanceListing(
    7,
    (
        ListedInstance("i-1", "r-a", Address("10.0.0.1", 1), Address("10.0.0.1", 2)),
        ListedInstance(
            "i-2",
            "r-b",
            Address("10.0.0.2", 1),
            Address("10.0.0.2", 2),
            ListedState.LEAVING,
        ),
    ),
    (ListedBackend("b-1", "slotsvc", "r-a", ListedState.LEAVING),),
)


@pytest.fixture(params=["memory", "http"])
async def platform(request):
    inner = memory_platform()
    inner.instances.listing = LISTING
    if request.param == "memory":
        yield inner
        return
    server = TestServer(platform_app(inner))
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        yield http_platform(
            session, PlatformUrls(*[str(server.make_url(""))] * 3), Random(1)
        )
    await server.close()


async def test_a_row_is_read_as_written(platform):
    tables = platform.tables
    version = await tables.transact([Write("a", "é\n1"), Write("b/ü", "2")])
    rows = await tables.read(["a", "b/ü", "c"])
    assert {key: tuple(row) for key, row in rows.items()} == {
        "a": ("a", version, "é\n1"),
        "b/ü": ("b/ü", version, "2"),
    }


async def test_row_versions_are_never_reused(platform):
    tables = platform.tables
    first = await tables.transact([Write("a", "1")])
    await tables.transact([Write("a", None)])
    assert await tables.read(["a"]) == {}
    second = await tables.transact([Write("a", "1", Absent())])
    assert second > first
    with pytest.raises(ConflictError):
        await tables.transact([Write("a", "2", VersionIs(first))])


CONDITIONS = [
    (None, Absent(), True),
    (None, VersionIs(1), False),
    ("x", Absent(), False),
    ("x", VersionIs(1), True),
    ("x", VersionIs(2), False),
]


@pytest.mark.parametrize(("value", "condition", "holds"), CONDITIONS)
async def test_a_condition_holds_or_nothing_is_written(
    platform, value, condition, holds
):
    tables = platform.tables
    if value is not None:
        assert await tables.transact([Write("k", value)]) == 1
    writes = [Write("other", "1"), Write("k", "new", condition)]
    if holds:
        await tables.transact(writes)
    else:
        with pytest.raises(ConflictError) as caught:
            await tables.transact(writes)
        assert caught.value.key == "k"
    assert ("other" in await tables.read(["other"])) is holds


async def test_a_scan_pages_in_key_order(platform):
    tables = platform.tables
    keys = ["p/2", "p/1", "q/1", "p/3", "o/9"]
    await tables.transact([Write(key, key) for key in keys])
    first = await tables.scan("p/", limit=2)
    rest = await tables.scan("p/", after=first[-1].key, limit=2)
    assert [row.key for row in [*first, *rest]] == ["p/1", "p/2", "p/3"]


async def test_object_cannot_be_overwritten(platform):
    objects = platform.objects
    await objects.put("objects/a b?c", "text")
    await objects.put("objects/a b?c", "text")
    with pytest.raises(ConflictError):
        await objects.put("objects/a b?c", "other")
    assert await objects.get("objects/a b?c") == "text"
    with pytest.raises(MissingObjectError) as caught:
        await objects.get("objects/none")
    assert caught.value.key == "objects/none"


async def test_instance_listing_is_read_completely(platform):
    assert await platform.instances.read() == LISTING
