"""Property tests: decoders of the stand-alone product raise their one error."""

import json

import pytest
from hypothesis import example, given, settings
from rhubarbwell_core.adoption.log import (
    InvalidLogError,
    decode_head,
    decode_log_row,
    decode_snapshot,
)
from rhubarbwell_core.messages import KeptAnswer, StoredKey
from rhubarbwell_entry.keystore import decode_stored_key, encode_stored_key
from rhubarbwell_entry.slotstore import decode_slot
from support.hostile_bytes import hostile_documents

FUZZED = settings(max_examples=300, deadline=None, derandomize=True)
NESTED = "[" * 2_000
LOG_ROW = {
    "version": 1,
    "document": "deployment",
    "digest": "d",
    "previous_chain": "",
    "publish_id": "p",
    "author": "a",
    "published_at_ms": 5,
    "rows_left": 0,
}
HEAD = {"version": 1, "chain": "c", "snapshot_version": 0}
SNAPSHOT = {"version": 1, "chain": "c", "documents": {"deployment": "d"}}
STORED_KEY = json.loads(
    encode_stored_key(
        StoredKey("s", "i-1", "c", "f", 201, KeptAnswer(201, (("A", "b"),), b"x"))
    )
)
SLOT = {
    "zone": "a-1",
    "slot": 1,
    "instance_id": "i-1",
    "incarnation": "x",
    "renewals": 3,
}


def texts(valid):
    documents = hostile_documents(valid)
    return documents.map(lambda data: data.decode("utf-8", "surrogateescape"))


@pytest.mark.parametrize(
    ("decode", "error", "valid"),
    [
        (decode_log_row, InvalidLogError, LOG_ROW),
        (decode_head, InvalidLogError, HEAD),
        (decode_snapshot, InvalidLogError, SNAPSHOT),
        (decode_stored_key, ValueError, STORED_KEY),
        (decode_slot, ValueError, SLOT),
    ],
)
def test_decoder_returns_a_value_or_raises_its_error(decode, error, valid):
    @FUZZED
    @given(text=texts(valid))
    @example(text=NESTED)
    @example(text=json.dumps({**valid, "version": 10**400}))
    def check(text):
        try:
            decode(text)
        except error:
            return

    check()
