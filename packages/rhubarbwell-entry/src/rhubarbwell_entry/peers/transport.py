"""Send messages to peers and receive theirs over gRPC."""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from rhubarbwell_core.model import Address, host_port

from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.peers.codec import PeerMessageError
from rhubarbwell_entry.peers.envelopes import (
    SUPPORTED_PROTOCOLS,
    OpenedEnvelope,
    ProtocolRange,
    open_envelope,
    seal_envelope,
)
from rhubarbwell_entry.peers.keys import PeerKeys
from rhubarbwell_entry.peers.wire.peers_grpc import PeersBase, PeersStub
from rhubarbwell_entry.peers.wire.peers_pb2 import Envelope

__all__ = ["PeerTransport"]

_log = logging.getLogger(__name__)

DELIVERY_TIMEOUT_S = 2.0
CONNECTION_IDLE_TIMEOUT_S = 60.0
MAX_QUEUED_MESSAGES = 64
MAX_KNOWN_PEER_PROTOCOLS = 8_192

MessageReceiver = Callable[[Address, Any], None]


class PeerTransport(PeersBase):
    """Send messages to peers and pass received messages to a callback.

    Messages to one peer are sent in order; one call takes all that are queued.
    While the callback handles a call, its messages to the calling peer go into the
    reply. A call that fails loses its messages and closes its connection, so that
    the next call opens a new one.
    """

    def __init__(
        self,
        address: Address,
        keys: PeerKeys,
        receive: MessageReceiver,
        *,
        protocols: ProtocolRange = SUPPORTED_PROTOCOLS,
    ) -> None:
        self.address = address
        self.protocols = protocols
        self.rejected_count = 0
        self.failed_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._keys = keys
        self._receive = receive
        self._server = Server([self])
        self._outboxes: dict[Address, deque[Any]] = {}
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        self._channels: dict[Address, Channel] = {}
        self._idle_timers: dict[Address, asyncio.TimerHandle] = {}
        self._peer_protocols: dict[Address, ProtocolRange] = {}
        self._replies: dict[Address, list[Any]] = {}

    async def start(self, *, sock: socket.socket | None = None) -> None:
        """Listen on this instance's address, or on the given bound socket."""
        if sock is None:
            await self._server.start(self.address.host, self.address.port)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._server.start(sock=sock)

    async def close(self) -> None:
        """Stop listening, drop queued messages and close every connection."""
        self._server.close()
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for address in list(self._channels):
            self._disconnect(address)
        await self._server.wait_closed()

    def send(self, address: Address, message: Any) -> None:
        """Queue a message to a peer; a full queue drops its oldest message."""
        reply = self._replies.get(address)
        if reply is not None:
            reply.append(message)
            return
        outbox = self._outboxes.setdefault(address, deque(maxlen=MAX_QUEUED_MESSAGES))
        outbox.append(message)
        if address not in self._tasks:
            task = asyncio.ensure_future(self._send_queued(address))
            self._tasks[address] = task

    async def Deliver(self, stream: Stream[Envelope, Envelope]) -> None:
        """Handle a peer's messages; reply with those queued for the peer meanwhile."""
        envelope = await stream.recv_message()
        if envelope is None:
            return
        try:
            opened = self._open_envelope(envelope)
        except PeerMessageError as exc:
            self.rejected_count += 1
            log_event(
                _log,
                logging.WARNING,
                "peer_message_rejected",
                "rejected a peer message",
                error=str(exc),
            )
            raise GRPCError(Status.PERMISSION_DENIED, str(exc)) from exc
        reply = self._collect_reply(opened)
        await stream.send_message(self._seal_messages(opened.sender, reply))

    def _collect_reply(self, opened: OpenedEnvelope) -> list[Any]:
        reply: list[Any] = []
        self._replies[opened.sender] = reply
        try:
            for message in opened.messages:
                self._receive(opened.sender, message)
        finally:
            del self._replies[opened.sender]
        return reply

    async def _send_queued(self, address: Address) -> None:
        outbox = self._outboxes[address]
        try:
            while outbox:
                messages = list(outbox)
                outbox.clear()
                await self._deliver_messages(address, messages)
        finally:
            del self._tasks[address]
            del self._outboxes[address]

    async def _deliver_messages(self, address: Address, messages: list[Any]) -> None:
        try:
            stub = PeersStub(self._channel_to(address))
            envelope = self._seal_messages(address, messages)
            reply = await stub.Deliver(envelope, timeout=DELIVERY_TIMEOUT_S)
            opened = self._open_envelope(reply)
        except (
            OSError,
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
            PeerMessageError,
        ) as exc:
            self.failed_count += 1
            self._disconnect(address)
            log_event(
                _log,
                logging.DEBUG,
                "peer_unreachable",
                "delivery of messages to the peer failed",
                peer=host_port(address),
                error=str(exc),
            )
            return
        for message in opened.messages:
            self._receive(opened.sender, message)

    def _seal_messages(self, address: Address, messages: list[Any]) -> Envelope:
        peer_protocols = self._peer_protocols.get(address)
        newest_common = (
            self.protocols.newest_common(peer_protocols)
            if peer_protocols
            else self.protocols.oldest
        )
        envelope = seal_envelope(
            messages,
            sender=self.address,
            keys=self._keys,
            protocols=self.protocols,
            protocol=newest_common or self.protocols.oldest,
        )
        self.sent_bytes += envelope.ByteSize()
        return envelope

    def _open_envelope(self, envelope: Envelope) -> OpenedEnvelope:
        self.received_bytes += envelope.ByteSize()
        opened = open_envelope(envelope, keys=self._keys, protocols=self.protocols)
        if len(self._peer_protocols) >= MAX_KNOWN_PEER_PROTOCOLS:
            self._peer_protocols.pop(next(iter(self._peer_protocols)))
        self._peer_protocols[opened.sender] = opened.protocols
        return opened

    def _channel_to(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(address.host, address.port)
            self._channels[address] = channel
        idle_timer = self._idle_timers.pop(address, None)
        if idle_timer is not None:
            idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timers[address] = loop.call_later(
            CONNECTION_IDLE_TIMEOUT_S, self._disconnect, address
        )
        return channel

    def _disconnect(self, address: Address) -> None:
        idle_timer = self._idle_timers.pop(address, None)
        if idle_timer is not None:
            idle_timer.cancel()
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
