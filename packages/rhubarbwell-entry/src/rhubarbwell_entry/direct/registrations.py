"""Encoding of the rows under which entry instances register in the store."""

import json
from math import isfinite
from typing import Any

from rhubarbwell_core.direct import InstanceEntry
from rhubarbwell_core.errors import DECODING_ERRORS
from rhubarbwell_core.model import Address

from rhubarbwell_entry.direct.wire import RowDecodingError

__all__ = ["decode_instance", "encode_instance"]

MAX_PORT = 65_535


def encode_instance(entry: InstanceEntry) -> bytes:
    """Return the row of an instance, kept short because all instances read it.

    >>> here = Address("127.0.0.1", 1)
    >>> entry = InstanceEntry("i-1", "a", "z", "r", here, here, 2)
    >>> decode_instance("i-1", encode_instance(entry)) == entry
    True
    """
    fields = [
        entry.incarnation,
        entry.zone,
        entry.region,
        *entry.callers,
        *entry.control,
        entry.beat,
        int(entry.leaving),
        round(entry.capacity),
        list(entry.followers),
        list(entry.busy),
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_instance(key: str, value: bytes) -> InstanceEntry:
    """Return the entry encoded in a row; raise RowDecodingError."""
    try:
        row: Any = json.loads(value)
        incarnation, zone, region, host, port, control, control_port, *state = row
        beat, leaving, capacity, followers, busy = state
        entry = InstanceEntry(
            key,
            str(incarnation),
            str(zone),
            str(region),
            Address(str(host), int(port)),
            Address(str(control), int(control_port)),
            int(beat),
            leaving == 1,
            float(capacity),
            tuple(map(str, followers)),
            tuple(map(str, busy)),
        )
    except DECODING_ERRORS as exc:
        raise RowDecodingError(f"cannot decode the registration: {exc!r}") from exc
    if not isfinite(entry.capacity) or entry.capacity < 0.0:
        raise RowDecodingError(f"the capacity {entry.capacity} is not finite and >= 0")
    for address in (entry.callers, entry.control):
        if not address.host.isprintable() or not 0 < address.port <= MAX_PORT:
            raise RowDecodingError(f"no connection can be opened to {address!r}")
    return entry
