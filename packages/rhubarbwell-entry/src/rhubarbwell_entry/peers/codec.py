"""Convert peer messages to protobuf and back."""

from collections.abc import Callable, Sequence
from enum import Enum, IntEnum
from functools import cache
from types import NoneType
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from google.protobuf.message import DecodeError
from google.protobuf.message import Message as Wire
from rhubarbwell_core.adoption import LogAnswer, LogAsk
from rhubarbwell_core.messages import (
    GrantAsk,
    GrantReply,
    Heartbeat,
    RenewalResult,
    SlotRenewal,
    SyncAnswer,
    SyncAsk,
)

from rhubarbwell_entry.peers.wire import peers_pb2

__all__ = [
    "PeerMessageError",
    "Relay",
    "RelayAnswer",
    "decode_body",
    "encode_body",
]


class PeerMessageError(Exception):
    """Report a peer's message that cannot be decoded or authenticated."""


class Relay(NamedTuple):
    """Hold a slot renewal that a peer of the same zone is asked to relay."""

    peer_id: str
    relay_id: int
    renewal: SlotRenewal


class RelayAnswer(NamedTuple):
    """Hold the result of a relayed slot renewal.

    store_silent_ms is the time since the table service last answered the relaying
    instance, None if it has not answered since that instance started.
    """

    peer_id: str
    relay_id: int
    result: RenewalResult
    store_silent_ms: int | None


MESSAGE_KINDS: dict[str, type[Any]] = {
    "heartbeat": Heartbeat,
    "sync_ask": SyncAsk,
    "sync_answer": SyncAnswer,
    "log_ask": LogAsk,
    "log_answer": LogAnswer,
    "grant_ask": GrantAsk,
    "grant_reply": GrantReply,
    "relay": Relay,
    "relay_answer": RelayAnswer,
}
KIND_OF_TYPE = {cls: kind for kind, cls in MESSAGE_KINDS.items()}


def encode_body(messages: Sequence[Any]) -> bytes:
    """Return the serialized messages; raise KeyError for an unknown type."""
    body = peers_pb2.Body()
    for message in messages:
        kind = KIND_OF_TYPE[type(message)]
        part = getattr(body.messages.add(), kind)
        part.SetInParent()
        _write_message(part, message)
    return body.SerializeToString()


def decode_body(data: bytes) -> list[Any]:
    """Return the messages of a serialized body without messages of unknown kinds.

    Raises PeerMessageError if the data cannot be decoded.
    """
    try:
        body = peers_pb2.Body.FromString(data)
        parts = [(part.WhichOneof("kind"), part) for part in body.messages]
        return [
            _read_message(getattr(part, kind), MESSAGE_KINDS[kind])
            for kind, part in parts
            if kind is not None
        ]
    except (DecodeError, ValueError, IndexError) as exc:
        raise PeerMessageError(f"unreadable message: {exc}") from exc


class _FieldCodec(NamedTuple):
    name: str
    write: Callable[[Wire, str, Any], None]
    read: Callable[[Wire, str], Any]


@cache
def _field_codecs(cls: type[Any]) -> tuple[_FieldCodec, ...]:
    hints = get_type_hints(cls)
    return tuple(_make_field_codec(name, hints[name]) for name in cls._fields)


def _make_field_codec(name: str, hint: Any) -> _FieldCodec:
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        return _FieldCodec(
            name, _write_repeated, lambda wire, key: _read_repeated(wire, key, item)
        )
    if NoneType in get_args(hint):
        inner = _make_field_codec(name, get_args(hint)[0])
        return _FieldCodec(name, _optional_writer(inner), _optional_reader(inner))
    if issubclass(hint, IntEnum):
        return _FieldCodec(name, setattr, lambda wire, key: hint(getattr(wire, key)))
    if issubclass(hint, Enum):
        # Sent as the member's position, so the order of members must not change.
        members = list(hint)
        return _FieldCodec(
            name,
            lambda wire, key, value: setattr(wire, key, members.index(value)),
            lambda wire, key: members[getattr(wire, key)],
        )
    if hasattr(hint, "_fields"):
        return _FieldCodec(
            name, _write_nested, lambda wire, key: _read_message(wire, hint, key)
        )
    return _FieldCodec(name, setattr, getattr)


def _write_message(wire: Wire, message: Any) -> None:
    cls: Any = type(message)
    for field in _field_codecs(cls):
        field.write(wire, field.name, getattr(message, field.name))


def _read_message(wire: Wire, cls: Any, key: str | None = None) -> Any:
    source = wire if key is None else getattr(wire, key)
    return cls(*(field.read(source, field.name) for field in _field_codecs(cls)))


def _write_nested(wire: Wire, key: str, value: Any) -> None:
    part = getattr(wire, key)
    part.SetInParent()
    _write_message(part, value)


def _write_repeated(wire: Wire, key: str, values: Sequence[Any]) -> None:
    repeated = getattr(wire, key)
    for value in values:
        _write_message(repeated.add(), value)


def _read_repeated(wire: Wire, key: str, cls: type[Any]) -> tuple[Any, ...]:
    return tuple(_read_message(item, cls) for item in getattr(wire, key))


def _optional_writer(inner: _FieldCodec) -> Callable[[Wire, str, Any], None]:
    def write(wire: Wire, key: str, value: Any) -> None:
        if value is not None:
            inner.write(wire, key, value)

    return write


def _optional_reader(inner: _FieldCodec) -> Callable[[Wire, str], Any]:
    def read(wire: Wire, key: str) -> Any:
        return inner.read(wire, key) if wire.HasField(key) else None

    return read
