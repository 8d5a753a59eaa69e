"""Measure processor time and bytes of a message delivery over the loopback."""

import asyncio
import socket
import time
from typing import NamedTuple

from rhubarbwell_core.messages import Heartbeat
from rhubarbwell_core.model import Address
from rhubarbwell_entry.peers import PeerKeys, PeerTransport

__all__ = ["DeliveryCost", "measure_delivery"]

KEYS = PeerKeys([b"benchmark-key-0001"])
WARM_UP_DELIVERIES = 100
DELIVERIES = 1_000


class DeliveryCost(NamedTuple):
    """Hold the costs of one call that carries a heartbeat and its answer.

    cpu_us covers both ends and envelope_bytes both envelopes; overhead_bytes are the
    HTTP/2 and gRPC bytes around them, without TCP/IP.
    """

    cpu_us: float
    envelope_bytes: float
    overhead_bytes: float


class _CountingProxy:
    """Forward connections to a target and count the bytes of both directions."""

    def __init__(self, target: Address) -> None:
        self.forwarded_bytes = 0
        self._target = target
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        upstream = await asyncio.open_connection(*self._target)
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            self._tasks.append(asyncio.create_task(self._forward(source, sink)))

    async def _forward(self, reader, writer) -> None:
        while data := await reader.read(65_536):
            self.forwarded_bytes += len(data)
            writer.write(data)
        writer.close()


async def measure_delivery() -> DeliveryCost:
    """Return the costs of a heartbeat without news and its answer.

    Bytes are counted through a proxy; processor time is measured without it.
    """
    answered = asyncio.Event()
    sockets = [socket.socket() for _ in range(2)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [Address(*sock.getsockname()) for sock in sockets]
    server = PeerTransport(
        addresses[1],
        KEYS,
        lambda sender, message: server.send(sender, message._replace(is_answer=True)),
    )
    client = PeerTransport(addresses[0], KEYS, lambda *_: answered.set())
    for transport, sock in zip((client, server), sockets, strict=True):
        await transport.start(sock=sock)
    proxy = _CountingProxy(addresses[1])
    proxy_address = await proxy.start()
    try:
        await _exchange_heartbeats(client, proxy_address, answered, WARM_UP_DELIVERIES)
        wire_bytes, envelope_bytes = (
            proxy.forwarded_bytes,
            client.sent_bytes + client.received_bytes,
        )
        await _exchange_heartbeats(client, proxy_address, answered, DELIVERIES)
        wire_bytes = proxy.forwarded_bytes - wire_bytes
        envelope_bytes = client.sent_bytes + client.received_bytes - envelope_bytes
        start_ns = time.process_time_ns()
        await _exchange_heartbeats(client, addresses[1], answered, DELIVERIES)
        cpu_ns = time.process_time_ns() - start_ns
    finally:
        proxy.close()
        await client.close()
        await server.close()
    return DeliveryCost(
        cpu_ns / DELIVERIES / 1_000,
        envelope_bytes / DELIVERIES,
        (wire_bytes - envelope_bytes) / DELIVERIES,
    )


async def _exchange_heartbeats(
    client: PeerTransport, address: Address, answered: asyncio.Event, count: int
) -> None:
    heartbeat = Heartbeat(1, False, "entry-0001", f"{1:016x}", 3, 8_600, 12_345)
    for number in range(count):
        answered.clear()
        client.send(address, heartbeat._replace(probe_id=number))
        await answered.wait()
