"""Create and verify envelopes: authenticated messages of one protocol version."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from rhubarbwell_core.model import Address

from rhubarbwell_entry.peers.codec import (
    KIND_OF_TYPE,
    PeerMessageError,
    decode_body,
    encode_body,
)
from rhubarbwell_entry.peers.keys import PeerKeys
from rhubarbwell_entry.peers.wire import peers_pb2

__all__ = [
    "MAX_ENVELOPE_BYTES",
    "SUPPORTED_PROTOCOLS",
    "OpenedEnvelope",
    "ProtocolRange",
    "open_envelope",
    "seal_envelope",
]

MAX_ENVELOPE_BYTES = 4 << 20
FIRST_PROTOCOL_OF_KIND = dict.fromkeys(KIND_OF_TYPE.values(), 1)


class ProtocolRange(NamedTuple):
    """Represent a range of supported protocol versions, both ends included.

    >>> ProtocolRange(1, 2).newest_common(ProtocolRange(2, 3))
    2
    >>> ProtocolRange(1, 1).newest_common(ProtocolRange(2, 3)) is None
    True
    """

    oldest: int = 1
    newest: int = 1

    def newest_common(self, other: "ProtocolRange") -> int | None:
        """Return the newest version in both ranges, None if they do not overlap."""
        version = min(self.newest, other.newest)
        return version if version >= max(self.oldest, other.oldest) else None


SUPPORTED_PROTOCOLS = ProtocolRange()


class OpenedEnvelope(NamedTuple):
    """Hold the sender, its protocol versions and the messages of a valid envelope."""

    sender: Address
    protocols: ProtocolRange
    messages: tuple[Any, ...]


def seal_envelope(
    messages: Sequence[Any],
    *,
    sender: Address,
    keys: PeerKeys,
    protocols: ProtocolRange,
    protocol: int,
) -> peers_pb2.Envelope:
    """Return a signed envelope of the messages that exist in the protocol version."""
    known = [message for message in messages if _first_protocol(message) <= protocol]
    envelope = peers_pb2.Envelope(
        protocol=protocol,
        oldest_protocol=protocols.oldest,
        newest_protocol=protocols.newest,
        sender=peers_pb2.Address(host=sender.host, port=sender.port),
        body=encode_body(known),
    )
    envelope.tag = keys.sign(_signed_bytes(envelope))
    return envelope


def open_envelope(
    envelope: peers_pb2.Envelope, *, keys: PeerKeys, protocols: ProtocolRange
) -> OpenedEnvelope:
    """Return the contents of an envelope after verifying it.

    Raises PeerMessageError if it exceeds MAX_ENVELOPE_BYTES, its tag is invalid,
    its protocol version is not supported or its body cannot be decoded.
    """
    if envelope.ByteSize() > MAX_ENVELOPE_BYTES:
        raise PeerMessageError(f"larger than {MAX_ENVELOPE_BYTES} bytes")
    if not keys.verify(_signed_bytes(envelope), envelope.tag):
        raise PeerMessageError("authentication failed")
    if not protocols.oldest <= envelope.protocol <= protocols.newest:
        raise PeerMessageError(f"protocol {envelope.protocol} is not spoken")
    return OpenedEnvelope(
        Address(envelope.sender.host, envelope.sender.port),
        ProtocolRange(envelope.oldest_protocol, envelope.newest_protocol),
        tuple(decode_body(envelope.body)),
    )


def _first_protocol(message: Any) -> int:
    return FIRST_PROTOCOL_OF_KIND[KIND_OF_TYPE[type(message)]]


def _signed_bytes(envelope: peers_pb2.Envelope) -> bytes:
    unsigned = peers_pb2.Envelope()
    unsigned.CopyFrom(envelope)
    unsigned.ClearField("tag")
    return unsigned.SerializeToString(deterministic=True)
