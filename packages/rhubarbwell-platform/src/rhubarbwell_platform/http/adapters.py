"""HTTP clients of the platform's services."""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
from rhubarbwell_core.errors import DECODING_ERRORS

from rhubarbwell_platform.errors import AnswerLostError, PlatformError, UnavailableError
from rhubarbwell_platform.http.client import (
    CallKind,
    ClientOptions,
    PlatformClient,
    RateLimits,
)
from rhubarbwell_platform.http.wire import decode_listing, decode_rows, encode_writes
from rhubarbwell_platform.services import (
    InstanceList,
    InstanceListing,
    ObjectStore,
    Platform,
    Row,
    TableService,
    Write,
)

__all__ = [
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTableService",
    "PlatformUrls",
    "http_platform",
]

T = TypeVar("T")


class PlatformUrls(NamedTuple):
    """Hold the base URLs of the platform's services."""

    table_service: str
    object_store: str
    instance_list: str


def http_platform(
    session: aiohttp.ClientSession,
    urls: PlatformUrls | str,
    rng: Random,
    *,
    options: ClientOptions | None = None,
    limits: RateLimits | None = None,
) -> Platform:
    """Return a platform that is reached over HTTP.

    If urls is a single URL, it is used for all services. The services share the rate
    limits.
    """
    options = options or ClientOptions()
    limits = limits or RateLimits(options)
    if isinstance(urls, str):
        urls = PlatformUrls(urls, urls, urls)
    table_client, object_client, list_client = (
        PlatformClient(session, url, rng, options=options, limits=limits)
        for url in urls
    )
    return Platform(
        HttpTableService(table_client),
        HttpObjectStore(object_client),
        HttpInstanceList(list_client),
    )


class HttpTableService(TableService):
    """Call the table service over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist, by key, as of a single point in time."""
        body = {"keys": list(keys)}
        answer = await self._client.call(CallKind.READ, "POST", "/tables/read", body)
        rows = _decode(decode_rows, answer, UnavailableError)
        return {row.key: row for row in rows}

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        """Return rows by key prefix, in key order.

        Only keys that sort after `after` are included, and at most limit rows.
        """
        body = {"prefix": prefix, "after": after, "limit": limit}
        answer = await self._client.call(CallKind.READ, "POST", "/tables/scan", body)
        return _decode(decode_rows, answer, UnavailableError)

    async def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes or none and return the version of the written rows."""
        body = encode_writes(writes)
        path = "/tables/transact"
        answer = await self._client.call(CallKind.WRITE, "POST", path, body)
        return _decode(lambda fields: int(fields["version"]), answer, AnswerLostError)


class HttpObjectStore(ObjectStore):
    """Call the object store over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def get(self, key: str) -> str:
        """Return the text of an object."""
        answer = await self._client.call(CallKind.READ, "GET", _object_path(key), None)
        return _decode(lambda fields: str(fields["text"]), answer, UnavailableError)

    async def put(self, key: str, text: str) -> None:
        """Store a text under a key; repeating the call has no effect."""
        body = {"text": text}
        kind = CallKind.IDEMPOTENT_WRITE
        await self._client.call(kind, "PUT", _object_path(key), body)


class HttpInstanceList(InstanceList):
    """Call the instance list over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self) -> InstanceListing:
        """Return the listing, which may be stale."""
        answer = await self._client.call(CallKind.READ, "GET", "/instances", None)
        return _decode(decode_listing, answer, UnavailableError)


def _object_path(key: str) -> str:
    return f"/objects/{quote(key, safe='/')}"


def _decode(decode: Callable[[Any], T], answer: Any, error: type[PlatformError]) -> T:
    try:
        return decode(answer)
    except DECODING_ERRORS as exc:
        raise error(f"invalid answer of the platform: {exc!r}") from exc
