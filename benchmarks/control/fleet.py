"""Simulate many cores on one virtual clock, with failures of network and store."""

import heapq
import time
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from rhubarbwell_core import Core
from rhubarbwell_core.adoption import (
    ConfigurationAlarm,
    ConfigurationParsed,
    ConfigurationRefused,
    FollowLog,
    LogAnswered,
    LogAskReceived,
    ParseConfiguration,
    ReadHead,
    ReadLogRows,
    ReadObject,
    ReadSnapshot,
    RestoreLog,
)
from rhubarbwell_core.messages import (
    HeartbeatReceived,
    IncarnationSuperseded,
    InstancesListed,
    PeerState,
    SendPeerMessage,
    SyncAnswered,
    SyncAskReceived,
)
from rhubarbwell_core.model import (
    Address,
    Configuration,
    DeploymentSpec,
    Identity,
    RegionSpec,
    ZoneSpec,
)
from rhubarbwell_entry.peers import (
    SUPPORTED_PROTOCOLS,
    PeerKeys,
    open_envelope,
    seal_envelope,
)

from benchmarks.control.store import LogStore

__all__ = ["Fleet", "Member", "Network"]

TICK_MS = 100
STORE_ACTIONS = (ReadHead, ReadLogRows, ReadObject, ReadSnapshot, RestoreLog)
EVENT_OF_KIND = {
    "Heartbeat": HeartbeatReceived,
    "SyncAsk": SyncAskReceived,
    "SyncAnswer": SyncAnswered,
    "LogAsk": LogAskReceived,
    "LogAnswer": LogAnswered,
}
INVALID_TEXT = "invalid"


class Network(NamedTuple):
    """Hold the delay and loss of messages within a zone and between zones.

    jitter_ms is the largest random delay on top; loss is the share of messages lost.
    """

    zone_delay_ms: int = 1
    cross_zone_delay_ms: int = 20
    jitter_ms: int = 0
    loss: float = 0.0


class Member:
    """Hold one core of the fleet with its traffic, processor time and versions.

    cpu_ns is the elapsed time of the core's calls and of sealing and opening its
    messages. Until paused_until_ms the core is not advanced and its events are
    deferred.
    """

    def __init__(self, identity: Identity, core: Core) -> None:
        self.identity = identity
        self.core = core
        self.paused_until_ms = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages: Counter[str] = Counter()
        self.cpu_ns = 0
        self.adopted_versions: list[int] = []
        self.alarms: list[ConfigurationAlarm] = []
        self.is_superseded = False


class Fleet:
    """Run cores on a virtual clock, deliver messages and answer store reads.

    With keys, messages are sealed, and their bytes and processor time are counted.
    Zones in cut_zones exchange no messages with other zones; instances of
    zones_without_store get no answers from the store.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        network: Network = Network(),  # noqa: B008
        keys: PeerKeys | None = None,
    ) -> None:
        self.now_ms = 1_000_000
        self.network = network
        self.store = LogStore()
        self.members: dict[str, Member] = {}
        self.listed_addresses: list[Address] | None = None
        self.adopted_at_ms: dict[int, dict[str, int]] = {}
        self.cut_zones: set[str] = set()
        self.zones_without_store: set[str] = set()
        self._rng = Random(seed)
        self._keys = keys
        self._by_address: dict[Address, Member] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self._address_numbers = count(1)
        self._incarnation_seeds = count(1)

    def add(self, name: str, zone: str, region: str | None = None) -> Member:
        """Start an instance; replace an instance of the same name, at the same address.

        The default region is the zone's name without its last two characters.
        """
        replaced = self.members.get(name)
        number = next(self._address_numbers)
        address = (
            Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7001)
            if replaced is None
            else replaced.identity.peers
        )
        incarnation = f"{Random(next(self._incarnation_seeds)).getrandbits(64):016x}"
        identity = Identity(
            name, incarnation, zone, region or zone[:-2], address, address
        )
        rng = Random(self._rng.getrandbits(32))
        member = Member(identity, Core(identity, rng, now_ms=self.now_ms))
        self.members[name] = member
        self._by_address[address] = member
        listed_addresses = self.listed_addresses
        other_addresses = [
            m.identity.peers for m in self.members.values() if m is not member
        ]
        self._deliver_event(
            member,
            InstancesListed(
                tuple(other_addresses if listed_addresses is None else listed_addresses)
            ),
        )
        self._deliver_event(member, FollowLog())
        self._schedule(self._rng.randrange(TICK_MS), lambda: self._tick(member))
        return member

    def kill(self, name: str) -> None:
        """Remove an instance at once, without a graceful stop."""
        member = self.members.pop(name)
        del self._by_address[member.identity.peers]

    def set_instance_list(self, addresses: list[Address]) -> None:
        """Give every instance these addresses as the platform's instance list."""
        self.listed_addresses = addresses
        for member in list(self.members.values()):
            self._deliver_event(member, InstancesListed(tuple(addresses)))

    def run(self, duration_ms: int) -> None:
        """Advance the clock by duration_ms and run every call that falls due."""
        until_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def run_until(self, condition: Callable[[], bool], timeout_ms: int) -> int:
        """Advance the clock until the condition holds and return the elapsed ms.

        The condition is checked every 20 ms. Raises TimeoutError after timeout_ms.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= timeout_ms:
                raise TimeoutError(f"condition still false after {timeout_ms} ms")
            self.run(20)
        return self.now_ms - start_ms

    def all_ready(self) -> bool:
        """Return True if every instance is ready."""
        return all(m.core.state is PeerState.READY for m in self.members.values())

    def converged(self) -> bool:
        """Return True if every instance's peers are exactly the running instances."""
        names = set(self.members)
        return all(set(m.core.peers) == names for m in self.members.values())

    def all_in_force(self, version: int) -> bool:
        """Return True if every instance has the version or a later one in force."""
        return all(
            m.core.adoption.in_force_version >= version for m in self.members.values()
        )

    def _schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._queue, (due_ms, next(self._sequence_numbers), call))

    def _tick(self, member: Member) -> None:
        if self.members.get(member.identity.instance_id) is not member:
            return
        if self.now_ms >= member.paused_until_ms:
            self._execute_actions(member, self._run_core(member, None))
        self._schedule(TICK_MS, lambda: self._tick(member))

    def _deliver_event(self, member: Member, event: object) -> None:
        if self._by_address.get(member.identity.peers) is not member:
            return
        if self.now_ms < member.paused_until_ms:
            wait_ms = member.paused_until_ms - self.now_ms
            self._schedule(wait_ms, lambda: self._deliver_event(member, event))
            return
        self._execute_actions(member, self._run_core(member, event))

    def _run_core(self, member: Member, event: object | None) -> list:
        start_ns = time.perf_counter_ns()
        if event is None:
            actions = member.core.advance(self.now_ms)
        else:
            actions = member.core.handle(event, self.now_ms)
        member.cpu_ns += time.perf_counter_ns() - start_ns
        return actions

    def _execute_actions(self, member: Member, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self._send_message(member, action)
            elif isinstance(action, STORE_ACTIONS):
                self._call_store(member, action)
            elif isinstance(action, ParseConfiguration):
                self._parse_configuration(member, action)
            elif isinstance(action, ConfigurationAlarm):
                member.alarms.append(action)
            elif isinstance(action, IncarnationSuperseded):
                member.is_superseded = True

    def _send_message(self, member: Member, action: SendPeerMessage) -> None:
        message = action.message
        kind = type(message).__name__
        member.sent_messages[kind] += 1
        envelope = None
        if self._keys is not None:
            start_ns = time.perf_counter_ns()
            envelope = self._seal_message(member, message)
            member.cpu_ns += time.perf_counter_ns() - start_ns
            member.sent_bytes += envelope.ByteSize()
        target = self._by_address.get(action.address)
        if target is None or not self._is_delivered(member, target):
            return
        sender = member.identity.peers
        delay_ms = self._delay_ms(member, target)
        self._schedule(
            delay_ms, lambda: self._receive_message(target, sender, message, envelope)
        )

    def _receive_message(self, target, sender, message, envelope) -> None:
        if envelope is not None:
            start_ns = time.perf_counter_ns()
            opened = open_envelope(
                envelope, keys=self._keys, protocols=SUPPORTED_PROTOCOLS
            )
            target.cpu_ns += time.perf_counter_ns() - start_ns
            target.received_bytes += envelope.ByteSize()
            (message,) = opened.messages
        self._deliver_event(
            target, EVENT_OF_KIND[type(message).__name__](sender, message)
        )

    def _seal_message(self, member: Member, message: object):
        return seal_envelope(
            [message],
            sender=member.identity.peers,
            keys=self._keys,
            protocols=SUPPORTED_PROTOCOLS,
            protocol=SUPPORTED_PROTOCOLS.newest,
        )

    def _is_delivered(self, member: Member, target: Member) -> bool:
        zones = {member.identity.zone, target.identity.zone}
        is_cut = len(zones) == 2 and bool(zones & self.cut_zones)
        return not is_cut and self._rng.random() >= self.network.loss

    def _delay_ms(self, member: Member, target: Member) -> float:
        same_zone = member.identity.zone == target.identity.zone
        network = self.network
        base_ms = network.zone_delay_ms if same_zone else network.cross_zone_delay_ms
        return base_ms + self._rng.uniform(0, network.jitter_ms)

    def _call_store(self, member: Member, action) -> None:
        zone = member.identity.zone
        if self.store.is_down or zone in self.zones_without_store:
            return

        def answer() -> None:
            event = self.store.answer(action)
            if event is not None:
                self._schedule(0, lambda: self._deliver_event(member, event))

        self._schedule(self.store.delay_ms, answer)

    def _parse_configuration(self, member: Member, action: ParseConfiguration) -> None:
        if INVALID_TEXT in action.documents.values():
            refused = ConfigurationRefused(action.version, ("invalid",))
            self._deliver_event(member, refused)
            return
        zone = member.identity.zone
        region = member.identity.region
        deployment = DeploymentSpec(
            "d", (RegionSpec(region),), (ZoneSpec(zone, region, 1),)
        )
        cfg = Configuration(action.version, action.digest, deployment, {})
        self._deliver_event(member, ConfigurationParsed(cfg))
        member.adopted_versions.append(member.core.configuration.version)
        name = member.identity.instance_id
        self.adopted_at_ms.setdefault(action.version, {})[name] = self.now_ms
