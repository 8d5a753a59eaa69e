"""Connect an entry instance's core to the peer transport."""

import socket
from typing import Any

from rhubarbwell_core.adoption import LogAnswer, LogAnswered, LogAsk, LogAskReceived
from rhubarbwell_core.messages import (
    AnswerRelay,
    GrantAnswered,
    GrantAsk,
    GrantAskReceived,
    GrantReply,
    Heartbeat,
    HeartbeatReceived,
    RelayAnswered,
    RelayAsked,
    RelayRenewal,
    SendGrantAsk,
    SendGrantReply,
    SendPeerMessage,
    SyncAnswer,
    SyncAnswered,
    SyncAsk,
    SyncAskReceived,
)
from rhubarbwell_core.model import Address

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.peers.codec import Relay, RelayAnswer
from rhubarbwell_entry.peers.envelopes import SUPPORTED_PROTOCOLS, ProtocolRange
from rhubarbwell_entry.peers.keys import PeerKeys
from rhubarbwell_entry.peers.transport import PeerTransport

__all__ = ["PeerNode"]

EVENT_OF_MESSAGE: dict[type, type[Any]] = {
    Heartbeat: HeartbeatReceived,
    SyncAsk: SyncAskReceived,
    SyncAnswer: SyncAnswered,
    LogAsk: LogAskReceived,
    LogAnswer: LogAnswered,
    GrantAsk: GrantAskReceived,
}


class PeerNode:
    """Pass messages between a core and its peers.

    Construct it before the driver runs, with PeerKeys made of the encoded keys in
    the settings; then await start() and, at the end, close(). Peers connect to the
    address `peers` of the core's identity. Seeds and the platform's instance list
    reach the core as InstancesListed events.
    """

    def __init__(
        self,
        driver: CoreDriver,
        keys: PeerKeys,
        *,
        protocols: ProtocolRange = SUPPORTED_PROTOCOLS,
    ) -> None:
        self._driver = driver
        self._instance_id = driver.core.identity.instance_id
        self.transport = PeerTransport(
            driver.core.identity.peers, keys, self._receive, protocols=protocols
        )
        driver.register(SendPeerMessage, self._send_message)
        driver.register(SendGrantAsk, self._send_grant_ask)
        driver.register(SendGrantReply, self._send_grant_reply)
        driver.register(RelayRenewal, self._relay_renewal)
        driver.register(AnswerRelay, self._answer_relay)

    async def start(self, *, sock: socket.socket | None = None) -> None:
        """Listen for peers on this instance's address, or on a socket bound to it."""
        await self.transport.start(sock=sock)

    async def close(self) -> None:
        """Stop listening, drop queued messages and close every connection."""
        await self.transport.close()

    def _receive(self, address: Address, message: Any) -> None:
        if isinstance(message, Relay):
            self._driver.handle(RelayAsked(message.peer_id, address, *message[1:]))
        elif isinstance(message, RelayAnswer):
            self._driver.handle(RelayAnswered(*message))
        elif isinstance(message, GrantReply):
            self._driver.handle(GrantAnswered(message))
        else:
            event = EVENT_OF_MESSAGE[type(message)](address, message)
            self._driver.handle(event)

    def _send_message(self, action: SendPeerMessage) -> None:
        self.transport.send(action.address, action.message)

    def _send_grant_ask(self, action: SendGrantAsk) -> None:
        self.transport.send(action.address, action.ask)

    def _send_grant_reply(self, action: SendGrantReply) -> None:
        self.transport.send(action.address, action.reply)

    def _relay_renewal(self, action: RelayRenewal) -> None:
        relay = Relay(self._instance_id, action.relay_id, action.renewal)
        self.transport.send(action.address, relay)

    def _answer_relay(self, action: AnswerRelay) -> None:
        answer = RelayAnswer(
            self._instance_id,
            action.relay_id,
            action.result,
            action.store_silent_ms,
        )
        self.transport.send(action.address, answer)
