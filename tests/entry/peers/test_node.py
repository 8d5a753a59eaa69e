"""Check the messages between peer nodes on the loopback interface."""

import asyncio
import socket
from random import Random

import pytest
from rhubarbwell_core import Core
from rhubarbwell_core.messages import Heartbeat, InstancesListed, SendPeerMessage
from rhubarbwell_core.model import Address, Identity
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.peers import PeerKeys, PeerNode, PeerTransport, ProtocolRange
from support.raw_servers import RawServer

KEYS = PeerKeys([b"0123456789abcdef"])


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(*sock.getsockname())


class Nodes:
    def __init__(self):
        self.drivers = []
        self.nodes = []
        self._tasks = []

    async def start(self, name, *, zone="r-a", keys=KEYS, protocols=ProtocolRange()):  # noqa: B008
        address = free_address()
        identity = Identity(name, f"{name}-1", zone, "r", address, address)
        driver = CoreDriver(Core(identity, Random(name)))
        node = PeerNode(driver, keys, protocols=protocols)
        await node.start()
        self.drivers.append(driver)
        self.nodes.append(node)
        return driver

    def run_drivers(self, seeds=None):
        addresses = [driver.core.identity.peers for driver in self.drivers]
        for driver in self.drivers:
            driver.handle(InstancesListed(tuple(seeds or addresses)))
            self._tasks.append(asyncio.ensure_future(driver.run()))

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    def all_know_peers(self, count):
        return all(len(driver.core.peers) == count for driver in self.drivers)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.close()


@pytest.fixture
async def nodes():
    nodes = Nodes()
    yield nodes
    await nodes.close()


async def test_instances_of_two_zones_find_each_other_from_one_seed(nodes):
    first = await nodes.start("a1")
    for name, zone in [("a2", "r-a"), ("b1", "r-b"), ("b2", "r-b")]:
        await nodes.start(name, zone=zone)
    nodes.run_drivers(seeds=[first.core.identity.peers])
    await asyncio.wait_for(nodes.wait_until(lambda: nodes.all_know_peers(4)), 20)


async def test_rotated_keys_are_accepted_and_unknown_keys_rejected(nodes):
    old, new = b"o" * 16, b"n" * 16
    await nodes.start("old", keys=PeerKeys([old, new]))
    await nodes.start("new", keys=PeerKeys([new, old]))
    await nodes.start("stranger", keys=PeerKeys([b"s" * 16]))
    nodes.run_drivers()
    members, stranger = nodes.drivers[:2], nodes.drivers[2]
    await asyncio.wait_for(
        nodes.wait_until(
            lambda: all(len(driver.core.peers) == 2 for driver in members)
        ),
        20,
    )
    await asyncio.wait_for(
        nodes.wait_until(lambda: nodes.nodes[0].transport.rejected_count > 0), 20
    )
    assert len(stranger.core.peers) == 1


async def test_overlapping_protocol_ranges_interoperate(nodes):
    await nodes.start("old", protocols=ProtocolRange(1, 1))
    await nodes.start("new", protocols=ProtocolRange(1, 2))
    nodes.run_drivers()
    await asyncio.wait_for(nodes.wait_until(lambda: nodes.all_know_peers(2)), 20)


async def test_disjoint_protocol_ranges_are_rejected(nodes):
    await nodes.start("old", protocols=ProtocolRange(1, 1))
    await nodes.start("new", protocols=ProtocolRange(2, 3))
    nodes.run_drivers()
    rejected = nodes.wait_until(
        lambda: all(node.transport.rejected_count for node in nodes.nodes)
    )
    await asyncio.wait_for(rejected, 20)
    assert nodes.all_know_peers(1)


async def test_unresponsive_peer_causes_one_failed_delivery(nodes):
    driver = await nodes.start("a1")
    transport = nodes.nodes[0].transport
    connected = asyncio.Event()

    class SwallowingServer(RawServer):
        async def handle(self, reader, writer):
            connected.set()
            await reader.read()

    async with SwallowingServer().running() as server:
        heartbeat = Heartbeat(1, False, "a1", "a1-1", 1, 0, 0)
        driver._execute([SendPeerMessage(server.address, heartbeat)])
        await asyncio.wait_for(connected.wait(), 20)
        failed = nodes.wait_until(lambda: transport.failed_count == 1)
        await asyncio.wait_for(failed, 20)


async def test_accepted_connections_of_a_given_socket_disable_nagle():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
        transport = PeerTransport(Address(*address), KEYS, print)
        await transport.start(sock=sock)
        with socket.create_connection(address), sock.dup() as listening:
            listening.setblocking(True)
            accepted, _ = listening.accept()
            with accepted:
                assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await transport.close()
