"""The rows under which entry instances register in the store."""

import json
from typing import Any

from rhubarbwell_core.direct import InstanceEntry
from rhubarbwell_core.model import Address

from rhubarbwell_entry.direct.wire import RowDecodingError

__all__ = ["decode_instance", "encode_instance"]


def encode_instance(entry: InstanceEntry) -> bytes:
    """Return the row of an instance.

    >>> here = Address("127.0.0.1", 1)
    >>> entry = InstanceEntry("i-1", "a", "z", "r", here, here, 2)
    >>> decode_instance("i-1", encode_instance(entry)) == entry
    True
    """
    return json.dumps(entry._asdict(), separators=(",", ":")).encode()


def decode_instance(key: str, value: bytes) -> InstanceEntry:
    """Return the entry of a row; raise RowDecodingError."""
    try:
        body: dict[str, Any] = json.loads(value)
        callers, control = Address(*body["callers"]), Address(*body["control"])
        return InstanceEntry(
            key,
            str(body["incarnation"]),
            str(body["zone"]),
            str(body["region"]),
            callers,
            control,
            int(body["beat"]),
            body["leaving"] is True,
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise RowDecodingError(f"unreadable registration: {exc!r}") from exc
