"""Check that peer messages round-trip and that invalid ones are rejected."""

import pytest
from rhubarbwell_core.adoption import LogAnswer, LogAsk, LogRow, PackedDocument
from rhubarbwell_core.messages import (
    Allowance,
    GrantAsk,
    GrantReply,
    GrantTerms,
    Heartbeat,
    Liveness,
    MemberNews,
    PeerRecord,
    PeerState,
    RenewalResult,
    ServiceHeadroom,
    SlotRenewal,
    SyncAnswer,
    SyncAsk,
    ZoneDigest,
    ZoneReach,
    ZoneSummary,
)
from rhubarbwell_core.model import Address, Rank
from rhubarbwell_entry.peers import (
    MAX_ENVELOPE_BYTES,
    SUPPORTED_PROTOCOLS,
    PeerKeys,
    PeerMessageError,
    Relay,
    RelayAnswer,
    decode_body,
    encode_body,
    open_envelope,
    seal_envelope,
)

LOCAL_ADDRESS = Address("10.0.0.1", 7001)
KEYS = PeerKeys([b"k" * 16])
PEER = PeerRecord(
    "a1",
    "i1",
    "r-a",
    "r",
    LOCAL_ADDRESS,
    LOCAL_ADDRESS,
    PeerState.LEAVING,
    7,
    3,
    0.5,
    2,
)
SUMMARY = ZoneSummary("r-a", 4, (ServiceHeadroom("slotsvc", 36, 0),))
ALLOWANCE = Allowance(3, 1 << 30, 0)
TERMS = GrantTerms("g", "a1", "i1", "slotsvc", Rank.BULK, ALLOWANCE, 2_000)
MESSAGES = [
    Heartbeat(1, False, "a1", "i1", 3, 9, 77, 0.25),
    Heartbeat(
        1,
        True,
        "a1",
        "i1",
        3,
        9,
        (1 << 32) - 1,
        own=PEER,
        members=(MemberNews(PEER, Liveness.GONE),),
        zones=(SUMMARY,),
        reaches=(ZoneReach("r-b", "a1", 2, False),),
        wants_own=True,
    ),
    SyncAsk((ZoneDigest("r-a", 5),)),
    SyncAnswer((MemberNews(PEER),), (SUMMARY,), False),
    LogAsk(0, ""),
    LogAnswer(
        (LogRow(1, "deployment", "d", "", "p", "ana", 1 << 41, 1),),
        (PackedDocument("deployment", "d", b"\x00\xff"),),
        5,
        "c",
    ),
    GrantAsk(1, "a1", "i1", "r", "slotsvc", Rank.URGENT, ALLOWANCE),
    GrantReply(1, "i1", "b1", "slotsvc", TERMS),
    GrantReply(1, "i1", "b1", "slotsvc", None),
    Relay("a1", 5, SlotRenewal("r-a", 2, "i1")),
    RelayAnswer("a1", 5, RenewalResult.UNAVAILABLE, None),
    RelayAnswer("a1", 5, RenewalResult.LOST, 0),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trips(message):
    assert decode_body(encode_body([message])) == [message]


def seal(messages=MESSAGES):
    return seal_envelope(
        messages,
        sender=LOCAL_ADDRESS,
        keys=KEYS,
        protocols=SUPPORTED_PROTOCOLS,
        protocol=1,
    )


def open_sealed(envelope, keys=KEYS):
    return open_envelope(envelope, keys=keys, protocols=SUPPORTED_PROTOCOLS)


def test_envelope_round_trips():
    opened = open_sealed(seal())
    assert opened.sender == LOCAL_ADDRESS
    assert list(opened.messages) == MESSAGES


@pytest.mark.parametrize("field", ["sender", "body", "tag", "protocol", "keys"])
def test_altered_envelope_is_rejected(field):
    envelope = seal()
    keys = KEYS
    if field == "sender":
        envelope.sender.port += 1
    elif field == "protocol":
        envelope.newest_protocol = 9
    elif field == "keys":
        keys = PeerKeys([b"x" * 16])
    else:
        data = getattr(envelope, field)
        setattr(envelope, field, data[:-1] + bytes([data[-1] ^ 1]))
    with pytest.raises(PeerMessageError):
        open_sealed(envelope, keys)


def test_oversized_envelope_is_rejected():
    document = PackedDocument("deployment", "d", bytes(MAX_ENVELOPE_BYTES))
    with pytest.raises(PeerMessageError, match="larger"):
        open_sealed(seal([LogAnswer((), (document,))]))


@pytest.mark.parametrize(
    "data", [b"\xff", b"\x0a\x04\x0a\x02\x50\xff", b"\n\x04J\x02\x18\x63"]
)
def test_unreadable_body_is_rejected(data):
    with pytest.raises(PeerMessageError):
        decode_body(data)


def test_kinds_of_a_newer_protocol_are_skipped():
    newer = b"\x0a\x03\x9a\x06\x00"
    assert decode_body(newer + encode_body([LogAsk(1, "c")])) == [LogAsk(1, "c")]
