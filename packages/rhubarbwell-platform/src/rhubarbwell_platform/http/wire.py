"""JSON encoding of the platform's calls over HTTP."""

from collections.abc import Mapping, Sequence
from typing import Any

from rhubarbwell_core.model import Address

from rhubarbwell_platform.services import (
    Absent,
    Condition,
    InstanceListing,
    ListedBackend,
    ListedInstance,
    ListedState,
    Row,
    Unconditional,
    VersionIs,
    Write,
)

__all__ = [
    "decode_listing",
    "decode_rows",
    "decode_writes",
    "encode_listing",
    "encode_rows",
    "encode_writes",
]


def encode_rows(rows: Sequence[Row]) -> dict[str, Any]:
    """Return the JSON value of rows."""
    return {"rows": [row._asdict() for row in rows]}


def decode_rows(body: Mapping[str, Any]) -> list[Row]:
    """Return the rows; raise KeyError, TypeError or ValueError if malformed."""
    return [
        Row(str(row["key"]), int(row["version"]), str(row["value"]))
        for row in body["rows"]
    ]


def encode_writes(writes: Sequence[Write]) -> dict[str, Any]:
    """Return the JSON value of a transaction."""
    return {
        "writes": [
            {
                "key": write.key,
                "value": write.value,
                "condition": _encode_condition(write.condition),
            }
            for write in writes
        ]
    }


def decode_writes(body: Mapping[str, Any]) -> list[Write]:
    """Return the writes; raise KeyError, TypeError or ValueError if malformed."""
    return [
        Write(str(item["key"]), item["value"], _decode_condition(item["condition"]))
        for item in body["writes"]
    ]


def encode_listing(listing: InstanceListing) -> dict[str, Any]:
    """Return the JSON value of a listing."""
    return {
        "listed_at_ms": listing.listed_at_ms,
        "instances": [
            {
                **row._asdict(),
                "peers": row.peers._asdict(),
                "operators": row.operators._asdict(),
                "state": row.state.value,
            }
            for row in listing.instances
        ],
        "backends": [
            {**row._asdict(), "state": row.state.value} for row in listing.backends
        ],
    }


def decode_listing(body: Mapping[str, Any]) -> InstanceListing:
    """Return the listing; raise KeyError, TypeError or ValueError if malformed."""
    return InstanceListing(
        int(body["listed_at_ms"]),
        tuple(_decode_instance(item) for item in body["instances"]),
        tuple(
            ListedBackend(**{**item, "state": ListedState(item["state"])})
            for item in body["backends"]
        ),
    )


def _decode_instance(item: Mapping[str, Any]) -> ListedInstance:
    return ListedInstance(
        instance_id=str(item["instance_id"]),
        zone=str(item["zone"]),
        peers=Address(**item["peers"]),
        operators=Address(**item["operators"]),
        state=ListedState(item["state"]),
    )


def _encode_condition(condition: Condition) -> dict[str, Any]:
    if isinstance(condition, Absent):
        return {"absent": True}
    if isinstance(condition, VersionIs):
        return {"version": condition.version}
    return {}


def _decode_condition(body: Mapping[str, Any]) -> Condition:
    if body.get("absent"):
        return Absent()
    if "version" in body:
        return VersionIs(int(body["version"]))
    return Unconditional()
