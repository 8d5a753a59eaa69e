"""Property test: bodies of peers are decoded or raise PeerMessageError."""

from hypothesis import given, settings
from hypothesis import strategies as st
from rhubarbwell_core.messages import Heartbeat
from rhubarbwell_entry.peers import PeerMessageError, decode_body, encode_body

FUZZED = settings(max_examples=500, deadline=None, derandomize=True)
VALID = encode_body([Heartbeat(1, False, "a1", "i1", 3, 9, 77, 0.25)] * 3)


def damaged(edits):
    data = bytearray(VALID)
    for at, value in edits:
        data[at % len(data)] = value
    return bytes(data)


EDITS = st.lists(st.tuples(st.integers(0, 1 << 16), st.integers(0, 255)), max_size=6)


@FUZZED
@given(
    data=st.binary(max_size=200)
    | EDITS.map(damaged)
    | st.integers(0, len(VALID)).map(lambda size: VALID[:size])
)
def test_body_is_decoded_or_refused(data):
    try:
        decode_body(data)
    except PeerMessageError:
        return
