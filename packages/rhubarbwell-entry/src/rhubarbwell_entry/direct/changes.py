"""Exchange of table changes between entry instances over HTTP."""

import base64
import json
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from aiohttp import hdrs, web
from rhubarbwell_core.direct import ReplicaRow, ReplicaUpdate, StoreVersion
from rhubarbwell_core.errors import DECODING_ERRORS, RhubarbwellError
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.direct.wire import BackendAge

__all__ = [
    "CHANGES_PATH",
    "ChangesClient",
    "ChangesError",
    "ChangesQuery",
    "ChangesResponse",
    "ConfigCopy",
    "changes_response",
]

CHANGES_PATH = "/changes"
# Query fields besides the table versions; no table has one of these names. The first
# is followed by the name of a table whose version is of a later era than 0.
ERA_FIELD_PREFIX = "-era."
FOLLOWER_FIELD = "-follower"
BUSY_FIELD = "-busy"
# Set by an instance that does not follow yet and needs an immediate response.
FIRST_FIELD = "-first"
# Version of the newest configuration that the instance knows. The responder sends a
# newer one that is in force there, which the store may have lost.
CONFIG_FIELD = "-config"
# Several round trips between regions. A machine without power does not answer, and an
# unanswered packet is sent again after a second only.
CONNECT_TIMEOUT_MS = 300
MS_PER_S = 1_000
# A configuration of 1,000 routes is 380 kB, which a reader with a link of 10 Mbit/s
# sends to nine followers in 2.7 s; each of them gives up after 0.8 s. Compressed, it
# has a twelfth of that. Smaller bodies fit into a few packets anyway.
MIN_COMPRESSED_BYTES = 8 << 10
# Higher levels take up to twice the time for a tenth less.
COMPRESSION_LEVEL = 1
COMPRESSION = "deflate"


class ChangesError(RhubarbwellError):
    """Report that an instance gave no valid response."""


class ConfigCopy(NamedTuple):
    """Hold a configuration that is in force, by its version, row key and value."""

    version: int
    key: str
    value: bytes


class ChangesQuery(NamedTuple):
    """Hold what an instance tells with a query for changes.

    known_versions are the versions of its tables. follower is its id if it counts as
    a follower; is_first asks for an immediate response. config_version is that of the
    newest configuration that it knows, None if it wants none.
    """

    known_versions: Mapping[str, StoreVersion]
    follower: str = ""
    is_busy: bool = False
    is_first: bool = False
    config_version: int | None = None

    def encode(self) -> dict[str, str]:
        """Return the query's fields."""
        fields: dict[str, str] = {}
        for name, version in self.known_versions.items():
            fields[name] = str(version.number)
            if version.era:
                fields[ERA_FIELD_PREFIX + name] = str(version.era)
        fields[FOLLOWER_FIELD] = self.follower
        fields[BUSY_FIELD] = str(int(self.is_busy))
        fields[FIRST_FIELD] = str(int(self.is_first))
        if self.config_version is not None:
            fields[CONFIG_FIELD] = str(self.config_version)
        return fields

    @classmethod
    def decode(cls, fields: Mapping[str, str]) -> "ChangesQuery":
        """Return the query in the fields; raise ValueError for an invalid version.

        >>> query = ChangesQuery({"t": StoreVersion(1, 3)}, "i-1", is_busy=True)
        >>> ChangesQuery.decode(query.encode()) == query
        True
        """
        numbers = dict(fields)
        follower = numbers.pop(FOLLOWER_FIELD, "")
        is_busy = numbers.pop(BUSY_FIELD, "") == "1"
        is_first = numbers.pop(FIRST_FIELD, "") == "1"
        config = numbers.pop(CONFIG_FIELD, None)
        config_version = None if config is None else int(config)
        eras = {
            name.removeprefix(ERA_FIELD_PREFIX): int(numbers.pop(name))
            for name in fields
            if name.startswith(ERA_FIELD_PREFIX)
        }
        known_versions = {
            name: StoreVersion(eras.get(name, 0), int(number))
            for name, number in numbers.items()
        }
        return cls(known_versions, follower, is_busy, is_first, config_version)


class ChangesResponse(NamedTuple):
    """Hold an instance's table changes and how it gets them.

    ages_ms maps each table to the time since the instance's copy matched the store.
    reader is the id of the instance that reads the store for it, its own if it does so
    itself, None if it has not chosen one. store_up_ms is the time for which it knows
    the store to be up, era the newest era of the store that it knows, era_age_ms the
    time since that was first seen. config is the configuration in force there, if it
    is newer than that of the query. gone holds the last ages of the servers whose rows
    the tables delete.
    """

    tables: Mapping[str, ReplicaUpdate]
    ages_ms: Mapping[str, int]
    reads_store: bool
    store_is_out: bool
    reader: str | None = None
    store_up_ms: int = 0
    era: int = 0
    era_age_ms: int = 0
    config: ConfigCopy | None = None
    gone: Mapping[str, BackendAge] = {}

    def encode(self) -> dict[str, Any]:
        """Return the response's JSON body."""
        era_age = {"era_age_ms": self.era_age_ms} if self.era else {}
        return (
            _encode_era(self.era)
            | era_age
            | _encode_config(self.config)
            | _encode_gone(self.gone)
            | {
                "store_is_out": self.store_is_out,
                "store_up_ms": self.store_up_ms,
                "reads_store": self.reads_store,
                "reader": self.reader,
                "tables": {
                    name: _encode_update(update) | {"age_ms": self.ages_ms[name]}
                    for name, update in self.tables.items()
                },
            }
        )

    @classmethod
    def decode(cls, body: Mapping[str, Any]) -> "ChangesResponse":
        """Return the response in a body; raise ChangesError."""
        try:
            tables = body["tables"]
            reader = body.get("reader")
            return cls(
                tables={name: _decode_update(table) for name, table in tables.items()},
                ages_ms={name: int(table["age_ms"]) for name, table in tables.items()},
                reads_store=bool(body["reads_store"]),
                store_is_out=bool(body["store_is_out"]),
                reader=None if reader is None else str(reader),
                # Missing in responses of earlier versions.
                store_up_ms=max(int(body.get("store_up_ms", 0)), 0),
                era=_decode_era(body),
                era_age_ms=max(int(body.get("era_age_ms", 0)), 0),
                config=_decode_config(body.get("config")),
                gone=_decode_gone(body.get("gone", {})),
            )
        except DECODING_ERRORS as exc:
            raise ChangesError(f"invalid table changes: {exc!r}") from exc


class ChangesClient:
    """Fetch table changes from other entry instances."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch(
        self, address: Address, query: ChangesQuery, timeout_ms: int
    ) -> ChangesResponse:
        """Return the changes of the instance at an address; raise ChangesError."""
        connect_timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        url = f"http://{host_port(address)}{CHANGES_PATH}"
        try:
            async with (
                SocketTimeout(timeout_ms / MS_PER_S),
                self._session.get(
                    url, params=query.encode(), timeout=connect_timeout
                ) as resp,
            ):
                resp.raise_for_status()
                body = await resp.json()
        except (aiohttp.ClientError, TimeoutError, *DECODING_ERRORS) as exc:
            raise ChangesError(repr(exc)) from exc
        return ChangesResponse.decode(body)


def changes_response(
    request: web.BaseRequest, changes: ChangesResponse
) -> web.Response:
    """Return the HTTP response with changes, compressed if large and accepted."""
    body = json.dumps(changes.encode()).encode()
    headers: dict[str, str] = {}
    accepted = request.headers.get(hdrs.ACCEPT_ENCODING, "")
    if len(body) >= MIN_COMPRESSED_BYTES and COMPRESSION in accepted:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        headers[hdrs.CONTENT_ENCODING] = COMPRESSION
    return web.Response(body=body, content_type="application/json", headers=headers)


def _encode_update(update: ReplicaUpdate) -> dict[str, Any]:
    rows = [
        [
            row.key,
            row.version.number,
            None if row.value is None else _base64_text(row.value),
        ]
        for row in update.rows
    ]
    era, number = update.version
    return _encode_era(era) | {
        "rows": rows,
        "version": number,
        "complete": update.complete,
    }


def _decode_update(table: Mapping[str, Any]) -> ReplicaUpdate:
    era = _decode_era(table)
    rows = [
        ReplicaRow(
            str(key),
            StoreVersion(era, int(number)),
            None if text is None else _base64_bytes(text),
        )
        for key, number, text in table["rows"]
    ]
    version = StoreVersion(era, int(table["version"]))
    return ReplicaUpdate(rows, version, bool(table["complete"]))


def _encode_config(config: ConfigCopy | None) -> dict[str, Any]:
    """Return the field of a configuration, none without one."""
    if config is None:
        return {}
    return {"config": [config.version, config.key, _base64_text(config.value)]}


def _decode_config(field: Any) -> ConfigCopy | None:
    if field is None:
        return None
    version, key, text = field
    return ConfigCopy(int(version), str(key), _base64_bytes(text))


def _encode_gone(gone: Mapping[str, BackendAge]) -> dict[str, Any]:
    """Return the field of the last ages of deleted servers, none without any."""
    if not gone:
        return {}
    return {"gone": {name: [age.born_ms, age.sequence] for name, age in gone.items()}}


def _decode_gone(field: Any) -> dict[str, BackendAge]:
    return {
        str(name): BackendAge(int(born_ms), int(sequence), is_draining=False)
        for name, (born_ms, sequence) in field.items()
    }


def _encode_era(era: int) -> dict[str, Any]:
    """Return the field of an era, none for the first one."""
    return {"era": era} if era else {}


def _decode_era(body: Mapping[str, Any]) -> int:
    return max(int(body.get("era", 0)), 0)


def _base64_text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _base64_bytes(text: str) -> bytes:
    return base64.b64decode(text)
